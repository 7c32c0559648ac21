"""Compares batch policies on recorded arrivals; prints JSON lines."""

import argparse
import dataclasses
import functools
import statistics
import sys
import typing as t

import msgspec

from foxtailbank.adaptive_batch_limit import AdaptiveBatchLimit
from foxtailbank.batch_limit import BatchLimit, StaticBatchLimit, UnlimitedBatch
from foxtailbank.gap_objective import FixedGapObjective, RelativeGapObjective
from foxtailbank.preemption import (
    LatestDeadline,
    LeastProgress,
    LeastWaste,
    MostRemaining,
    Preemption,
)
from foxtailbank.step_model import StepModel
from foxtailbank_bench.policy_replay import Replay, ReplayResult
from foxtailbank_bench.replay_input import EngineModel, Workload

GAP_OBJECTIVE_MS = 57.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Policy:
    """Batch policy under comparison."""

    name: str
    make: t.Callable[[EngineModel], BatchLimit]
    notice: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class Comparison:
    """Medians over seeds of one policy on one workload."""

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
    """Medians over seeds of one choice of streams to cancel."""

    preemption: str
    seeds: int
    batch_tokens: float
    resumed_tokens: float
    ttft_p99_ms: float
    gap_p99_ms: float


PREEMPTIONS: tuple[Preemption, ...] = (
    LeastProgress(),
    LatestDeadline(),
    MostRemaining(),
    LeastWaste(),
)


def _static(model: EngineModel) -> BatchLimit:
    return StaticBatchLimit(max_batch_streams=model.max_running // 2)


def _relative(model: EngineModel) -> BatchLimit:
    return AdaptiveBatchLimit(
        max_running=model.max_running,
        objective=RelativeGapObjective(),
        model=StepModel(),
    )


def _fixed(model: EngineModel) -> BatchLimit:
    return AdaptiveBatchLimit(
        max_running=model.max_running,
        objective=FixedGapObjective(objective_ms=GAP_OBJECTIVE_MS),
        model=StepModel(),
    )


POLICIES = (
    Policy(name="fifo", make=lambda model: UnlimitedBatch()),
    Policy(name="static", make=_static),
    Policy(name="adaptive_no_notice", make=_relative, notice=False),
    Policy(name="adaptive_57ms", make=_fixed),
    Policy(name="adaptive", make=_relative),
)

WORKLOADS_BY_NAME = {
    "bursts": Workload(),
    "sparse": Workload(requests_per_s=0.02, burst_every_ms=60_000.0),
    "no_online": Workload(requests_per_s=1e-9, burst_requests_per_s=1e-9),
}


@functools.cache
def _most_batch_tokens(model: EngineModel, workload: Workload) -> int:
    """Return the batch tokens of a run without online requests."""
    limit = StaticBatchLimit(max_batch_streams=model.max_running)
    replay = Replay(model=model, workload=workload, arrivals=[], limit=limit)
    return replay.run().batch_tokens


def compare(name: str, policy: Policy, *, model: EngineModel, seeds: int) -> Comparison:
    """Run a policy on a workload over several seeds.

    Parameters
    ----------
    name : str
        Workload.
    policy : Policy
        Policy.
    model : EngineModel
        Engine.
    seeds : int
        Number of recorded sequences.
    """
    workload = WORKLOADS_BY_NAME[name]
    without: list[ReplayResult] = []
    with_batch: list[ReplayResult] = []
    for seed in range(seeds):
        arrivals = workload.arrivals(seed)
        run = functools.partial(
            Replay, model=model, workload=workload, arrivals=arrivals
        )
        without.append(run(limit=None).run())
        limit = policy.make(model)
        with_batch.append(run(limit=limit, notice=policy.notice).run())

    def ratios(field: str) -> list[float]:
        return [
            getattr(after, field) / max(0.001, getattr(before, field))
            for before, after in zip(without, with_batch, strict=True)
        ]

    most = _most_batch_tokens(model, workload)
    shares = [run.batch_tokens / (most - run.online_tokens) for run in with_batch]
    ttft = ratios("ttft_p99_ms")
    gap = ratios("gap_p99_ms")
    return Comparison(
        workload=name,
        policy=policy.name,
        seeds=seeds,
        ttft_p99_without_batch_ms=statistics.median(r.ttft_p99_ms for r in without),
        gap_p99_without_batch_ms=statistics.median(r.gap_p99_ms for r in without),
        ttft_p50_ratio=statistics.median(ratios("ttft_p50_ms")),
        ttft_p99_ratio=statistics.median(ttft),
        ttft_p99_ratio_min=min(ttft),
        ttft_p99_ratio_max=max(ttft),
        gap_p50_ratio=statistics.median(ratios("gap_p50_ms")),
        gap_p99_ratio=statistics.median(gap),
        gap_p99_ratio_min=min(gap),
        gap_p99_ratio_max=max(gap),
        batch_share=statistics.median(shares),
        preempted_max_ms=max(run.preempted_p100_ms for run in with_batch),
    )


def compare_preemption(*, model: EngineModel, seeds: int) -> list[PreemptionResult]:
    """Run the adaptive limit with each choice of streams to cancel.

    Parameters
    ----------
    model : EngineModel
        Engine.
    seeds : int
        Number of recorded sequences.
    """
    workload = WORKLOADS_BY_NAME["bursts"]
    results = []
    for preemption in PREEMPTIONS:
        runs = [
            Replay(
                model=model,
                workload=workload,
                arrivals=workload.arrivals(seed),
                limit=_relative(model),
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


def _print(result: Comparison | PreemptionResult) -> None:
    sys.stdout.write(msgspec.json.encode(result).decode() + "\n")
    sys.stdout.flush()


def main(arguments: t.Sequence[str] | None = None) -> int:
    """Run the comparison.

    Parameters
    ----------
    arguments : sequence of str, optional
        Command line without the program's name.
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
            _print(result)
    if options.preemption:
        for outcome in compare_preemption(model=model, seeds=options.seeds):
            _print(outcome)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
