import dataclasses

import pytest

from foxtailbank_bench.measure_replay import POLICIES
from foxtailbank_bench.policy_replay import Replay
from foxtailbank_bench.replay_input import EngineModel, Workload

MODEL = EngineModel()
SHORT = Workload(duration_ms=60_000.0)
POLICIES_BY_NAME = {policy.name: policy for policy in POLICIES}


def run(name, *, workload=SHORT, arrivals=None):
    policy = POLICIES_BY_NAME.get(name)
    replay = Replay(
        model=MODEL,
        workload=workload,
        arrivals=workload.arrivals(1) if arrivals is None else arrivals,
        limit=policy.create_limit(MODEL) if policy else None,
        notify_dispatch=policy.notify_dispatch if policy else True,
    )
    return replay.run()


def test_replay_is_deterministic():
    assert run("adaptive") == run("adaptive")


@pytest.mark.parametrize("worse", ["fifo", "static"])
def test_adaptive_limit_keeps_online_faster_than_a_baseline(worse):
    adaptive, other = run("adaptive"), run(worse)
    assert adaptive.gap_p99_ms < other.gap_p99_ms
    assert adaptive.ttft_p99_ms < other.ttft_p99_ms
    assert adaptive.online_tokens >= other.online_tokens


def test_batch_streams_are_cancelled_within_100_ms():
    result = run("adaptive")
    assert result.cancelled_on_dispatch > 0
    assert result.max_preemption_ms <= 100


def test_batch_work_fills_an_engine_without_online_load():
    longer = dataclasses.replace(SHORT, duration_ms=180_000.0)
    full = run("fifo", workload=longer, arrivals=[]).batch_tokens
    adaptive = run("adaptive", workload=longer, arrivals=[]).batch_tokens
    assert adaptive >= 0.97 * full
