import pytest

from foxtailbank.adaptive_batch_limit import AdaptiveBatchLimit
from foxtailbank.batch_limit import (
    CancelBatchStreams,
    StaticBatchLimit,
    UnlimitedBatch,
)


def adaptive():
    return AdaptiveBatchLimit(max_running=32, gap_objective_ms=30)


def fill(limit, now_ms, backlog=40):
    started = min(backlog, limit.startable(now_ms))
    for _ in range(started):
        limit.on_batch_start(now_ms)
    return started


@pytest.mark.parametrize(
    ("make", "started"),
    [
        (adaptive, 32),
        (lambda: StaticBatchLimit(max_batch_streams=16), 16),
        (UnlimitedBatch, 40),
    ],
)
def test_batch_streams_without_online_load(make, started):
    assert fill(make(), 0) == started


def test_online_dispatch_cancels_in_the_same_call():
    limit = adaptive()
    fill(limit, 0)
    (action,) = limit.on_online_dispatch(0)
    assert action == CancelBatchStreams(count=32 - limit.batch_streams)
    assert limit.batch_streams + limit.online_streams < 32
    assert limit.startable(0) == 0


def test_idle_engine_is_filled_again():
    limit = adaptive()
    fill(limit, 0)
    limit.on_online_dispatch(0)
    limit.on_online_end(1000)
    fill(limit, 2000)
    assert limit.batch_streams == 32
