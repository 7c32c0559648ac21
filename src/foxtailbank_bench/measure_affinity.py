"""Compares routers by prefix cache hit rate and endpoint load; prints JSON lines.

A simulation with Poisson arrivals, Zipf-distributed prefixes, exponential service
times and an LRU prefix cache on each endpoint.
"""

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
    LeastLoadedRouter,
    PrefixAffinityRouter,
    RoundRobinRouter,
    Router,
    RouteRequest,
)

ENDPOINT_COUNT = 6
ZONE_COUNT = 3
PREFIX_COUNT = 120
CACHE_CAPACITY_PREFIXES = 24
REQUEST_COUNT = 20_000
REQUESTS_PER_MS = 0.012
MEAN_SERVICE_HIT_MS = 1600.0
MEAN_SERVICE_MISS_MS = 2000.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class AffinityResult:
    """Results of one router, each the median over all seeds.

    Attributes
    ----------
    router : str
        Name of the router and its load bound, if any.
    hit_rate : float
        Share of requests whose prefix was in the cache of the chosen endpoint.
    load_p99 : float
        99th percentile of the streams in flight on the chosen endpoint when a
        request arrives.
    load_p50 : float
        Median of the same.
    """

    router: str
    hit_rate: float
    load_p99: float
    load_p50: float


def _zipf_weights() -> list[float]:
    return [1.0 / (rank + 1) for rank in range(PREFIX_COUNT)]


def _simulate(router: Router, seed: int) -> tuple[float, float, float]:
    rng = random.Random(seed)
    weights = _zipf_weights()
    # The lowest bit is set because a digest of 0 means that there is no prefix.
    digests = [rng.getrandbits(63) | 1 for _ in range(PREFIX_COUNT)]
    caches: list[collections.OrderedDict[int, None]] = [
        collections.OrderedDict() for _ in range(ENDPOINT_COUNT)
    ]
    loads = [0] * ENDPOINT_COUNT
    completions: list[tuple[float, int]] = []
    observed_loads: list[int] = []
    hits = 0
    now_ms = 0.0
    for _ in range(REQUEST_COUNT):
        now_ms += rng.expovariate(REQUESTS_PER_MS)
        while completions and completions[0][0] <= now_ms:
            loads[heapq.heappop(completions)[1]] -= 1
        prefix = rng.choices(digests, weights)[0]
        request = RouteRequest(
            zone=f"z{rng.randrange(ZONE_COUNT)}", prefix_digest=prefix
        )
        views = [
            EndpointView(
                endpoint_id=str(n), zone=f"z{n % ZONE_COUNT}", online_in_flight=load
            )
            for n, load in enumerate(loads)
        ]
        chosen = router.choose(request, views, int(now_ms))
        assert isinstance(chosen, EndpointView)
        index = int(chosen.endpoint_id)
        is_hit = prefix in caches[index]
        hits += is_hit
        caches[index][prefix] = None
        caches[index].move_to_end(prefix)
        if len(caches[index]) > CACHE_CAPACITY_PREFIXES:
            caches[index].popitem(last=False)
        observed_loads.append(loads[index])
        loads[index] += 1
        service_ms = rng.expovariate(
            1 / (MEAN_SERVICE_HIT_MS if is_hit else MEAN_SERVICE_MISS_MS)
        )
        heapq.heappush(completions, (now_ms + service_ms, index))
    observed_loads.sort()
    return (
        hits / REQUEST_COUNT,
        observed_loads[REQUEST_COUNT * 99 // 100],
        observed_loads[REQUEST_COUNT // 2],
    )


def _make_routers(seed: int) -> dict[str, Router]:
    least_loaded = LeastLoadedRouter(rng=random.Random(seed))
    routers: dict[str, Router] = {
        "fifo": RoundRobinRouter(),
        "least_loaded": least_loaded,
    }
    for bound in (1.1, 1.25, 1.5, 2.0):
        routers[f"prefix_affinity_{bound}"] = PrefixAffinityRouter(
            fallback=least_loaded, bound=bound
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
    for name in _make_routers(0):
        runs = [
            _simulate(_make_routers(seed)[name], seed) for seed in range(options.seeds)
        ]
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
