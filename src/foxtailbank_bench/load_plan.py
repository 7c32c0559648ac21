"""Send schedule of the open-loop load generator."""

import dataclasses
import random

from foxtailbank_bench.scenario import OnlineLoad

PROMPT_FAMILIES = 8
SHARED_PREFIX_CHARS = 200


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class Arrival:
    """One scheduled request.

    Attributes
    ----------
    at_s : float
        Scheduled send time, in seconds from the start.
    prompt : str
        Prompt text; the prompts of a family share a long prefix.
    in_burst : bool
        Whether the request is part of a burst sent at one time.
    """

    at_s: float
    prompt: str
    in_burst: bool = False


def plan_arrivals(
    load: OnlineLoad, *, duration_s: float, seed: int
) -> tuple[Arrival, ...]:
    """Return all arrivals, ordered by time.

    Parameters
    ----------
    load : OnlineLoad
        Request rates and burst sizes.
    duration_s : float
        Period in which requests are sent, in seconds.
    seed : int
        Random seed.
    """
    rng = random.Random(seed)
    arrivals = []
    at_s = rng.expovariate(load.requests_per_s)
    while at_s < duration_s:
        arrivals.append(Arrival(at_s=at_s, prompt=_prompt(rng)))
        at_s += rng.expovariate(load.requests_per_s)
    for start_s in burst_times_s(load, duration_s=duration_s):
        arrivals += [
            Arrival(at_s=start_s, prompt=_prompt(rng), in_burst=True)
            for _ in range(load.burst_requests)
        ]
    return tuple(sorted(arrivals))


def burst_times_s(load: OnlineLoad, *, duration_s: float) -> tuple[float, ...]:
    """Return the time of each burst, in seconds from the start of the run."""
    count = int(duration_s / load.burst_period_s + 0.5)
    return tuple((n + 0.5) * load.burst_period_s for n in range(count))


def _prompt(rng: random.Random) -> str:
    family = f"Tribute of family {rng.randrange(PROMPT_FAMILIES)}. ".ljust(
        SHARED_PREFIX_CHARS, "x"
    )
    return f"{family} {rng.getrandbits(64):x}"
