"""Compares routers on prefix cache hits and queueing; prints JSON lines."""

import argparse
import collections
import dataclasses
import heapq
import random
import statistics
import sys
import typing as t

import msgspec

from foxtailbank.endpoint_view import EndpointView
from foxtailbank.routing import (
    FifoRouter,
    LeastLoadedRouter,
    PrefixAffinityRouter,
    Router,
    RouteRequest,
)

ENDPOINTS = 6
ZONES = 3
PREFIXES = 120
CACHED_PREFIXES = 24
REQUESTS = 20_000
RATE_PER_MS = 0.012
HIT_MS = 1600.0
MISS_MS = 2000.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class AffinityResult:
    """Medians over seeds of one router.

    Attributes
    ----------
    router : str
        The router.
    hit_rate : float
        Share of requests whose prefix the endpoint had cached.
    load_p99 : float
        99th percentile of the streams that a request found on its endpoint.
    load_p50 : float
        Median of them.
    """

    router: str
    hit_rate: float
    load_p99: float
    load_p50: float


def _zipf_weights() -> list[float]:
    return [1.0 / (rank + 1) for rank in range(PREFIXES)]


def _run(router: Router, seed: int) -> tuple[float, float, float]:
    rng = random.Random(seed)
    weights = _zipf_weights()
    digests = [rng.getrandbits(63) | 1 for _ in range(PREFIXES)]
    caches: list[collections.OrderedDict[int, None]] = [
        collections.OrderedDict() for _ in range(ENDPOINTS)
    ]
    loads = [0] * ENDPOINTS
    ends: list[tuple[float, int]] = []
    found: list[int] = []
    hits = 0
    now_ms = 0.0
    for _ in range(REQUESTS):
        now_ms += rng.expovariate(RATE_PER_MS)
        while ends and ends[0][0] <= now_ms:
            loads[heapq.heappop(ends)[1]] -= 1
        prefix = rng.choices(digests, weights)[0]
        request = RouteRequest(zone=f"z{rng.randrange(ZONES)}", prefix_digest=prefix)
        views = [
            EndpointView(
                endpoint_id=str(n), zone=f"z{n % ZONES}", online_in_flight=load
            )
            for n, load in enumerate(loads)
        ]
        chosen = router.choose(request, views, int(now_ms))
        assert isinstance(chosen, EndpointView)
        number = int(chosen.endpoint_id)
        hit = prefix in caches[number]
        hits += hit
        caches[number][prefix] = None
        caches[number].move_to_end(prefix)
        if len(caches[number]) > CACHED_PREFIXES:
            caches[number].popitem(last=False)
        found.append(loads[number])
        loads[number] += 1
        service_ms = rng.expovariate(1 / (HIT_MS if hit else MISS_MS))
        heapq.heappush(ends, (now_ms + service_ms, number))
    found.sort()
    return hits / REQUESTS, found[REQUESTS * 99 // 100], found[REQUESTS // 2]


def _routers(seed: int) -> dict[str, Router]:
    least = LeastLoadedRouter(rng=random.Random(seed))
    routers: dict[str, Router] = {"fifo": FifoRouter(), "least_loaded": least}
    for bound in (1.1, 1.25, 1.5, 2.0):
        routers[f"prefix_affinity_{bound}"] = PrefixAffinityRouter(
            fallback=least, bound=bound
        )
    return routers


def main(arguments: t.Sequence[str] | None = None) -> int:
    """Run the comparison.

    Parameters
    ----------
    arguments : sequence of str, optional
        Command line without the program's name.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    options = parser.parse_args(arguments)
    for name in _routers(0):
        runs = [_run(_routers(seed)[name], seed) for seed in range(options.seeds)]
        hit_rate, load_p99, load_p50 = (
            statistics.median(run[field] for run in runs) for field in range(3)
        )
        result = AffinityResult(
            router=name, hit_rate=hit_rate, load_p99=load_p99, load_p50=load_p50
        )
        sys.stdout.write(msgspec.json.encode(result).decode() + "\n")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
