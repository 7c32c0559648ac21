import random

import pytest

from foxtailbank import log_service, peer_catchup


def records(start, end, size=10):
    return tuple(
        log_service.LogRecord(offset=offset, data=b"x" * size)
        for offset in range(start, end)
    )


def batch(start, end, until=None):
    return peer_catchup.RecordBatch(
        from_offset=start, records=records(start, end), end_offset=until or end
    )


@pytest.mark.parametrize(
    "start,end,expected",
    [(5, 8, [5, 6, 7]), (3, 7, [5, 6]), (0, 5, []), (6, 9, [])],
    ids=["next", "overlap", "known", "gap"],
)
def test_only_records_without_a_gap_are_accepted(start, end, expected):
    state = peer_catchup.PeerCatchup(next_offset=5)
    accepted = state.accept(batch(start, end), peer_id="a")
    assert [record.offset for record in accepted] == expected


def test_gap_is_requested_once_and_then_from_another_peer():
    state = peer_catchup.PeerCatchup(next_offset=5)
    state.accept(batch(7, 9), peer_id="a")
    state.on_peer_progress("b", 9)
    first = state.next_pull(now_ms=0)
    assert (first.peer_id, first.from_offset) == ("a", 5)
    assert state.next_pull(now_ms=peer_catchup.RETRY_MS - 1) is None
    assert state.next_pull(now_ms=peer_catchup.RETRY_MS).peer_id == "b"
    state.on_applied(9)
    assert state.next_pull(now_ms=9 * peer_catchup.RETRY_MS) is None


def test_peers_behind_are_returned():
    state = peer_catchup.PeerCatchup(next_offset=5)
    state.on_peer_progress("a", 4)
    state.on_peer_progress("b", 5)
    assert state.peers_behind(["a", "b", "unknown"]) == ("a",)


def test_removed_peer_is_not_asked():
    state = peer_catchup.PeerCatchup(next_offset=0)
    state.on_peer_progress("a", 4)
    state.next_pull(now_ms=0)
    state.remove_peer("a")
    assert state.next_pull(now_ms=0) is None


@pytest.mark.parametrize(
    "max_bytes,count", [(1, 1), (25, 2), (30, 3), (1 << 30, 7)], ids=str
)
def test_batches_are_bounded_and_not_empty(max_bytes, count):
    response = peer_catchup.make_batch(
        records(0, 10), from_offset=3, end_offset=10, max_bytes=max_bytes
    )
    assert [record.offset for record in response.records] == list(range(3, 3 + count))


def test_vm_without_the_log_catches_up_under_loss():
    rng = random.Random(3)
    available = records(0, 200)
    state = peer_catchup.PeerCatchup(next_offset=0, max_bytes=120)
    applied = []
    for tick in range(400):
        state.on_peer_progress(rng.choice("abc"), 200)
        pull = state.next_pull(now_ms=tick * 300)
        if pull is None or rng.random() < 0.3:
            continue
        response = peer_catchup.make_batch(
            available,
            from_offset=pull.from_offset,
            end_offset=200,
            max_bytes=pull.max_bytes,
        )
        for record in state.accept(response, peer_id=pull.peer_id):
            applied.append(record.offset)
            state.on_applied(record.offset + 1)
    assert applied == list(range(200))
