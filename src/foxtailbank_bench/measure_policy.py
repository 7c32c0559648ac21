"""Measures the CPU time of a decision of each policy module; prints JSON lines."""

import argparse
import dataclasses
import random
import sys
import time
import typing as t

import msgspec

from foxtailbank.adaptive_batch_limit import AdaptiveBatchLimit
from foxtailbank.admission import Admission, Admitted, LimitShare
from foxtailbank.batch_order import BatchOrder, ChunkCandidate
from foxtailbank.endpoint_view import EndpointView
from foxtailbank.gap_objective import RelativeGapObjective
from foxtailbank.overload import OverloadControl, PoolLoad
from foxtailbank.preemption import BatchStream, LeastProgress
from foxtailbank.quarantine import Fingerprint, Quarantine
from foxtailbank.retry_budget import RetryBudget
from foxtailbank.routing import (
    LeastLoadedRouter,
    PrefixAffinityRouter,
    RoundRobinRouter,
    Router,
    RouteRequest,
)
from foxtailbank.stall import EndpointGaps, StallDetector
from foxtailbank.step_model import StepModel

POOL_SIZES = (10, 100, 2000)
ZONES = 16
ROUNDS = 7
_NS_PER_US = 1000


@dataclasses.dataclass(frozen=True, kw_only=True)
class DecisionCost:
    """CPU time of one kind of decision.

    Attributes
    ----------
    decision : str
        Kind of decision.
    size : int
        Input size; 0 where it does not apply.
    median_us : float
        Median over the rounds, in microseconds.
    min_us : float
        Minimum over the rounds, in microseconds.
    max_us : float
        Maximum over the rounds, in microseconds.
    """

    decision: str
    size: int
    median_us: float
    min_us: float
    max_us: float


def _measure(
    name: str, size: int, decide: t.Callable[[int], object], iterations: int
) -> DecisionCost:
    samples = []
    for _ in range(ROUNDS):
        started_ns = time.process_time_ns()
        for iteration in range(iterations):
            decide(iteration)
        elapsed_ns = time.process_time_ns() - started_ns
        samples.append(elapsed_ns / iterations / _NS_PER_US)
    samples.sort()
    return DecisionCost(
        decision=name,
        size=size,
        median_us=round(samples[ROUNDS // 2], 2),
        min_us=round(samples[0], 2),
        max_us=round(samples[-1], 2),
    )


def _endpoint_views(size: int) -> list[EndpointView]:
    rng = random.Random(1)
    return [
        EndpointView(
            endpoint_id=f"worker-{number}",
            zone=f"zone-{number % ZONES}",
            online_in_flight=rng.randrange(8),
        )
        for number in range(size)
    ]


def _routers() -> dict[str, Router]:
    least_loaded = LeastLoadedRouter(rng=random.Random(1))
    return {
        "fifo": RoundRobinRouter(),
        "least_loaded": least_loaded,
        "prefix_affinity": PrefixAffinityRouter(fallback=least_loaded),
    }


def _measure_routing() -> t.Iterator[DecisionCost]:
    for size in POOL_SIZES:
        views = _endpoint_views(size)
        for name, router in _routers().items():

            def decide(
                iteration: int,
                router: Router = router,
                views: list[EndpointView] = views,
            ) -> object:
                request = RouteRequest(zone="zone-3", prefix_digest=iteration % 50 + 1)
                return router.choose(request, views, iteration)

            iterations = max(50, 20_000 // size)
            yield _measure(f"route_{name}", size, decide, iterations)


def _measure_admission() -> t.Iterator[DecisionCost]:
    admission = Admission()
    share = LimitShare(
        requests_milli_per_s=10**9,
        requests_burst=10**6,
        tokens_milli_per_s=10**9,
        tokens_burst=10**6,
        concurrency=10**6,
    )
    keys = ("owner:a", "entry:b")
    for key in keys:
        admission.set_share(key, share, 0)

    def admit(iteration: int) -> None:
        admitted = admission.admit(keys=keys, tokens=10, now_ms=iteration)
        if isinstance(admitted, Admitted):
            admission.release(admitted, used_tokens=5, now_ms=iteration)

    yield _measure("admit_and_release", 2, admit, 5000)
    control = OverloadControl()
    load = PoolLoad(slots=100, in_flight=50)

    def check(iteration: int) -> object:
        return control.check(
            load, first_token_ms=790, deadline_ms=None, now_ms=iteration
        )

    yield _measure("overload", 0, check, 5000)
    budget = RetryBudget()

    def retry(iteration: int) -> None:
        budget.on_request(iteration)
        budget.try_retry(iteration)

    yield _measure("request_and_retry", 0, retry, 5000)


def _measure_batch() -> t.Iterator[DecisionCost]:
    limit = AdaptiveBatchLimit(
        max_running=64, objective=RelativeGapObjective(), model=StepModel()
    )
    for start in range(64):
        limit.on_batch_start(start)

    def online(iteration: int) -> None:
        limit.on_online_dispatch(100 + iteration * 20)
        limit.on_token_gap(25.0, 110 + iteration * 20)
        limit.on_online_end(115 + iteration * 20)

    yield _measure("batch_limit_online_request", 64, online, 2000)
    streams = [
        BatchStream(
            stream_id=str(number),
            deadline_ms=number,
            prompt_tokens=200,
            generated_tokens=number * 7 % 200,
            expected_tokens=200,
        )
        for number in range(64)
    ]
    preemption = LeastProgress()
    yield _measure(
        "preempt", 64, lambda iteration: preemption.choose(streams, 40), 1000
    )
    for size in POOL_SIZES:
        chunks = [
            ChunkCandidate(
                job_id=str(number),
                chunk=0,
                owner=f"owner-{number % 470}",
                deadline_ms=10**9 + number,
                job_tokens_left=1000,
            )
            for number in range(size)
        ]
        order = BatchOrder(tokens_per_s=1000.0)

        def pick(
            iteration: int,
            order: BatchOrder = order,
            chunks: list[ChunkCandidate] = chunks,
        ) -> object:
            return order.next_chunk(chunks, iteration)

        yield _measure("next_chunk", size, pick, max(20, 10_000 // size))


def _measure_fault_detection() -> t.Iterator[DecisionCost]:
    quarantine = Quarantine()
    for number in range(1000):
        fingerprint = Fingerprint(owner="a", digest=str(number))
        quarantine.on_crash(
            death_id="e", in_flight=[fingerprint], exclusive=False, now_ms=0
        )
    clean = Fingerprint(owner="a", digest="clean")
    yield _measure(
        "quarantine_verdict",
        1000,
        lambda iteration: quarantine.verdict(clean, iteration),
        5000,
    )
    watch = StallDetector(gaps=EndpointGaps(), started_ms=0)

    def chunk(iteration: int) -> None:
        watch.on_chunk(iteration * 20)
        watch.check(iteration * 20 + 5)

    yield _measure("stall_chunk", 0, chunk, 5000)


def main(arguments: t.Sequence[str] | None = None) -> int:
    """Measure all decisions and return the exit code.

    Parameters
    ----------
    arguments : sequence of str, optional
        Command-line arguments; those of the process by default.
    """
    argparse.ArgumentParser(description=__doc__).parse_args(arguments)
    for group in (
        _measure_routing,
        _measure_admission,
        _measure_batch,
        _measure_fault_detection,
    ):
        for cost in group():
            sys.stdout.write(msgspec.json.encode(cost).decode() + "\n")
            sys.stdout.flush()
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
