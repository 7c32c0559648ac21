import pytest

from foxtailbank.adaptive_batch_limit import AdaptiveBatchLimit
from foxtailbank.batch_limit import (
    CancelBatchStreams,
    StaticBatchLimit,
    UnlimitedBatchLimit,
)
from foxtailbank.endpoint import LoadReport
from foxtailbank.gap_objective import FixedGapObjective
from foxtailbank.step_model import StepModel

STEP_MS = 50


def adaptive():
    return AdaptiveBatchLimit(
        max_running=32,
        objective=FixedGapObjective(objective_ms=35.0),
        model=StepModel(base_ms=20.0, per_stream_ms=0.5, prefill_ms=10.0),
    )


def fill(limit, now_ms, steps=40):
    for _ in range(steps):
        for _ in range(min(limit.startable_streams(now_ms), 40 - limit.batch_streams)):
            limit.on_batch_start(now_ms)
        now_ms += STEP_MS
    return now_ms


def report(*, age_ms=0, running=0, waiting=0):
    return LoadReport(
        age_ms=age_ms,
        running=running,
        waiting=waiting,
        max_running=32,
        step_ms=30.0,
        draining=False,
    )


@pytest.mark.parametrize(
    ("make", "streams"),
    [
        (adaptive, 32),
        (lambda: StaticBatchLimit(max_batch_streams=16), 16),
        (UnlimitedBatchLimit, 40),
    ],
)
def test_batch_streams_without_online_load(make, streams):
    limit = make()
    fill(limit, 0)
    assert limit.batch_streams == streams


def test_one_batch_stream_starts_per_step():
    limit = adaptive()
    limit.on_batch_start(0)
    assert limit.startable_streams(STEP_MS // 5) == 0
    assert limit.startable_streams(STEP_MS) == 1


def test_online_dispatch_cancels_in_the_same_call():
    limit = adaptive()
    now_ms = fill(limit, 0)
    (action,) = limit.on_online_dispatch(now_ms)
    assert action == CancelBatchStreams(count=32 - limit.batch_streams)
    step_ms = 20 + 0.5 * (limit.batch_streams + 1) + 10
    assert step_ms <= 35
    assert limit.startable_streams(now_ms) == 0


@pytest.mark.parametrize(("after_ms", "streams"), [(1000, 20), (8000, 32)])
def test_idle_engine_is_filled_again(after_ms, streams):
    limit = adaptive()
    now_ms = fill(limit, 0)
    limit.on_online_dispatch(now_ms)
    limit.on_online_end(now_ms)
    fill(limit, now_ms + 500, steps=after_ms // STEP_MS)
    assert limit.batch_streams == streams


def test_load_report_reveals_unnoticed_online_streams():
    limit = adaptive()
    now_ms = fill(limit, 0)
    actions = limit.on_load_report(report(running=32, waiting=3), now_ms)
    assert limit.online_streams == 3
    assert actions[0].count == 32 - limit.batch_streams


def test_lagging_report_does_not_count_cancelled_batch_as_online():
    limit = adaptive()
    now_ms = fill(limit, 0)
    limit.on_online_dispatch(now_ms)
    limit.on_load_report(report(age_ms=500, running=32), now_ms + 100)
    assert limit.online_streams == 1


def test_online_streams_without_end_notice_are_removed():
    limit = adaptive()
    limit.on_online_dispatch(0)
    for n in range(20):
        limit.on_load_report(report(), 1000 + n * 100)
    assert limit.online_streams == 0
