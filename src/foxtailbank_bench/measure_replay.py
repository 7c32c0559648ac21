"""Compares batch policies in simulation on the same arrivals; prints JSON lines."""

import argparse
import dataclasses
import functools
import statistics
import sys
import typing as t

import msgspec

from foxtailbank.adaptive_batch_limit import AdaptiveBatchLimit
from foxtailbank.batch_limit import BatchLimit, StaticBatchLimit, UnlimitedBatchLimit
from foxtailbank.gap_objective import FixedGapObjective, RelativeGapObjective
from foxtailbank.preemption import (
    LatestDeadline,
    LeastProgress,
    LeastWaste,
    MostRemaining,
    PreemptionPolicy,
)
from foxtailbank.step_model import StepModel
from foxtailbank_bench.policy_replay import Replay, ReplayResult
from foxtailbank_bench.replay_input import EngineModel, Workload

GAP_OBJECTIVE_MS = 57.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class BatchPolicy:
    """A batch policy under comparison."""

    name: str
    create_limit: t.Callable[[EngineModel], BatchLimit]
    notify_dispatch: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class Comparison:
    """Results of one policy on one workload: medians over seeds, minima and maxima."""

    workload: str
    policy: str
    seeds: int
    ttft_p99_without_batch_ms: float
    gap_p99_without_batch_ms: float
    ttft_p50_ratio: float
    ttft_p99_ratio: float
    ttft_p99_ratio_min: float
    ttft_p99_ratio_max: float
    gap_p50_ratio: float
    gap_p99_ratio: float
    gap_p99_ratio_min: float
    gap_p99_ratio_max: float
    batch_share: float
    preempted_max_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class PreemptionResult:
    """Results of one preemption policy, as medians over seeds."""

    preemption: str
    seeds: int
    batch_tokens: float
    resumed_tokens: float
    ttft_p99_ms: float
    gap_p99_ms: float


PREEMPTIONS: tuple[PreemptionPolicy, ...] = (
    LeastProgress(),
    LatestDeadline(),
    MostRemaining(),
    LeastWaste(),
)


def _static_limit(model: EngineModel) -> BatchLimit:
    return StaticBatchLimit(max_batch_streams=model.max_running // 2)


def _relative_gap_limit(model: EngineModel) -> BatchLimit:
    return AdaptiveBatchLimit(
        max_running=model.max_running,
        objective=RelativeGapObjective(),
        model=StepModel(),
    )


def _fixed_gap_limit(model: EngineModel) -> BatchLimit:
    return AdaptiveBatchLimit(
        max_running=model.max_running,
        objective=FixedGapObjective(objective_ms=GAP_OBJECTIVE_MS),
        model=StepModel(),
    )


POLICIES = (
    BatchPolicy(name="fifo", create_limit=lambda model: UnlimitedBatchLimit()),
    BatchPolicy(name="static", create_limit=_static_limit),
    BatchPolicy(
        name="adaptive_no_notice",
        create_limit=_relative_gap_limit,
        notify_dispatch=False,
    ),
    BatchPolicy(name="adaptive_57ms", create_limit=_fixed_gap_limit),
    BatchPolicy(name="adaptive", create_limit=_relative_gap_limit),
)

WORKLOADS_BY_NAME = {
    "bursts": Workload(),
    "sparse": Workload(requests_per_s=0.02, burst_period_ms=60_000.0),
    "no_online": Workload(requests_per_s=1e-9, burst_requests_per_s=1e-9),
}


@functools.cache
def _max_batch_tokens(model: EngineModel, workload: Workload) -> int:
    """Return the batch tokens of a run without online requests."""
    limit = StaticBatchLimit(max_batch_streams=model.max_running)
    replay = Replay(model=model, workload=workload, arrivals=[], limit=limit)
    return replay.run().batch_tokens


def compare(
    name: str, policy: BatchPolicy, *, model: EngineModel, seeds: int
) -> Comparison:
    """Compare runs with and without batch work under a policy, over several seeds.

    Parameters
    ----------
    name : str
        Name of the workload.
    policy : Policy
        Batch policy.
    model : EngineModel
        Cost model of the engine.
    seeds : int
        Number of arrival sequences.
    """
    workload = WORKLOADS_BY_NAME[name]
    without_batch: list[ReplayResult] = []
    with_batch: list[ReplayResult] = []
    for seed in range(seeds):
        arrivals = workload.arrivals(seed)
        create_replay = functools.partial(
            Replay, model=model, workload=workload, arrivals=arrivals
        )
        without_batch.append(create_replay(limit=None).run())
        limit = policy.create_limit(model)
        with_batch.append(
            create_replay(limit=limit, notify_dispatch=policy.notify_dispatch).run()
        )

    def ratios(field: str) -> list[float]:
        return [
            getattr(batch, field) / max(0.001, getattr(baseline, field))
            for baseline, batch in zip(without_batch, with_batch, strict=True)
        ]

    max_tokens = _max_batch_tokens(model, workload)
    shares = [run.batch_tokens / (max_tokens - run.online_tokens) for run in with_batch]
    ttft = ratios("ttft_p99_ms")
    gap = ratios("gap_p99_ms")
    return Comparison(
        workload=name,
        policy=policy.name,
        seeds=seeds,
        ttft_p99_without_batch_ms=statistics.median(
            r.ttft_p99_ms for r in without_batch
        ),
        gap_p99_without_batch_ms=statistics.median(r.gap_p99_ms for r in without_batch),
        ttft_p50_ratio=statistics.median(ratios("ttft_p50_ms")),
        ttft_p99_ratio=statistics.median(ttft),
        ttft_p99_ratio_min=min(ttft),
        ttft_p99_ratio_max=max(ttft),
        gap_p50_ratio=statistics.median(ratios("gap_p50_ms")),
        gap_p99_ratio=statistics.median(gap),
        gap_p99_ratio_min=min(gap),
        gap_p99_ratio_max=max(gap),
        batch_share=statistics.median(shares),
        preempted_max_ms=max(run.max_preemption_ms for run in with_batch),
    )


def compare_preemption(*, model: EngineModel, seeds: int) -> list[PreemptionResult]:
    """Run the adaptive limit with each preemption policy.

    Parameters
    ----------
    model : EngineModel
        Cost model of the engine.
    seeds : int
        Number of arrival sequences.
    """
    workload = WORKLOADS_BY_NAME["bursts"]
    results = []
    for preemption in PREEMPTIONS:
        runs = [
            Replay(
                model=model,
                workload=workload,
                arrivals=workload.arrivals(seed),
                limit=_relative_gap_limit(model),
                preemption=preemption,
            ).run()
            for seed in range(seeds)
        ]
        results.append(
            PreemptionResult(
                preemption=type(preemption).__name__,
                seeds=seeds,
                batch_tokens=statistics.median(run.batch_tokens for run in runs),
                resumed_tokens=statistics.median(run.resumed_tokens for run in runs),
                ttft_p99_ms=statistics.median(run.ttft_p99_ms for run in runs),
                gap_p99_ms=statistics.median(run.gap_p99_ms for run in runs),
            )
        )
    return results


def _print_result(result: Comparison | PreemptionResult) -> None:
    sys.stdout.write(msgspec.json.encode(result).decode() + "\n")
    sys.stdout.flush()


def main(arguments: t.Sequence[str] | None = None) -> int:
    """Run the comparison and return the exit code.

    Parameters
    ----------
    arguments : sequence of str, optional
        Command-line arguments; those of the process by default.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--workload", choices=sorted(WORKLOADS_BY_NAME), nargs="*")
    parser.add_argument("--policy", choices=[p.name for p in POLICIES], nargs="*")
    parser.add_argument("--preemption", action="store_true")
    options = parser.parse_args(arguments)
    model = EngineModel()
    for name in options.workload or WORKLOADS_BY_NAME:
        for policy in POLICIES:
            if options.policy and policy.name not in options.policy:
                continue
            result = compare(name, policy, model=model, seeds=options.seeds)
            _print_result(result)
    if options.preemption:
        for outcome in compare_preemption(model=model, seeds=options.seeds):
            _print_result(outcome)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
