import random

import pytest

from foxtailbank import catchup, log_service


def records(start, end, size=10):
    return tuple(
        log_service.LogRecord(offset=offset, data=b"x" * size)
        for offset in range(start, end)
    )


def batch(start, end, until=None):
    return catchup.RecordBatch(
        from_offset=start, records=records(start, end), end_offset=until or end
    )


@pytest.mark.parametrize(
    "start,end,expected",
    [(5, 8, [5, 6, 7]), (3, 7, [5, 6]), (0, 5, []), (6, 9, [])],
    ids=["next", "overlap", "known", "gap"],
)
def test_only_records_without_a_gap_are_taken(start, end, expected):
    state = catchup.Catchup(next_offset=5)
    taken = state.take(batch(start, end), peer_id="a")
    assert [one.offset for one in taken] == expected


def test_gap_is_pulled_once_and_then_from_another_peer():
    state = catchup.Catchup(next_offset=5)
    state.take(batch(7, 9), peer_id="a")
    state.peer_has("b", 9)
    first = state.pull(now_ms=0)
    assert (first.peer_id, first.from_offset) == ("a", 5)
    assert state.pull(now_ms=catchup.RETRY_MS - 1) is None
    assert state.pull(now_ms=catchup.RETRY_MS).peer_id == "b"
    state.applied(9)
    assert state.pull(now_ms=9 * catchup.RETRY_MS) is None


def test_peers_that_lack_records_are_named():
    state = catchup.Catchup(next_offset=5)
    state.peer_has("a", 4)
    state.peer_has("b", 5)
    assert state.lacking(["a", "b", "unknown"]) == ("a",)


def test_ended_peer_is_not_asked():
    state = catchup.Catchup(next_offset=0)
    state.peer_has("a", 4)
    state.pull(now_ms=0)
    state.forget("a")
    assert state.pull(now_ms=0) is None


@pytest.mark.parametrize(
    "max_bytes,count", [(1, 1), (25, 2), (30, 3), (1 << 30, 7)], ids=str
)
def test_batches_are_bounded_and_not_empty(max_bytes, count):
    answer = catchup.make_batch(
        records(0, 10), from_offset=3, end_offset=10, max_bytes=max_bytes
    )
    assert [one.offset for one in answer.records] == list(range(3, 3 + count))


def test_vm_without_the_log_catches_up_under_loss():
    rng = random.Random(3)
    held = records(0, 200)
    state = catchup.Catchup(next_offset=0, max_bytes=120)
    applied = []
    for step in range(400):
        state.peer_has(rng.choice("abc"), 200)
        pull = state.pull(now_ms=step * 300)
        if pull is None or rng.random() < 0.3:
            continue
        answer = catchup.make_batch(
            held,
            from_offset=pull.from_offset,
            end_offset=200,
            max_bytes=pull.max_bytes,
        )
        for one in state.take(answer, peer_id=pull.peer_id):
            applied.append(one.offset)
            state.applied(one.offset + 1)
    assert applied == list(range(200))
