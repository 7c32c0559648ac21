"""When an open-loop load generator sends what."""

import dataclasses
import random

from foxtailbank_bench.scenario import OnlineLoad

FAMILIES = 8
FAMILY_CHARS = 200


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class Arrival:
    """One request.

    Attributes
    ----------
    at_s : float
        Intended time to send it, in seconds from the start.
    prompt : str
        Prompt; a family of prompts has a long prefix in common.
    in_burst : bool
        Whether others are sent at the same time.
    """

    at_s: float
    prompt: str
    in_burst: bool = False


def plan(load: OnlineLoad, *, duration_s: float, seed: int) -> tuple[Arrival, ...]:
    """Return all arrivals in order of time.

    Parameters
    ----------
    load : OnlineLoad
        Rates.
    duration_s : float
        Time within which requests are sent, in seconds.
    seed : int
        Seed of all random choices.
    """
    rng = random.Random(seed)
    arrivals = []
    at_s = rng.expovariate(load.requests_per_s)
    while at_s < duration_s:
        arrivals.append(Arrival(at_s=at_s, prompt=_prompt(rng)))
        at_s += rng.expovariate(load.requests_per_s)
    for burst_s in bursts(load, duration_s=duration_s):
        arrivals += [
            Arrival(at_s=burst_s, prompt=_prompt(rng), in_burst=True)
            for _ in range(load.burst_requests)
        ]
    return tuple(sorted(arrivals))


def bursts(load: OnlineLoad, *, duration_s: float) -> tuple[float, ...]:
    """Return the start of each burst, in seconds from the start."""
    count = int(duration_s / load.burst_period_s + 0.5)
    return tuple((n + 0.5) * load.burst_period_s for n in range(count))


def _prompt(rng: random.Random) -> str:
    family = f"Tribute of family {rng.randrange(FAMILIES)}. ".ljust(FAMILY_CHARS, "x")
    return f"{family} {rng.getrandbits(64):x}"
