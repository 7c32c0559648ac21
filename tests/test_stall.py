import pytest

from foxtailbank.stall import MAX_EXCESS_MS, EndpointGaps, StallAction, StreamWatch


def learnt(gap_ms):
    gaps = EndpointGaps()
    for _ in range(200):
        gaps.on_gap(gap_ms)
        gaps.on_first_chunk(gap_ms * 3)
    return gaps


@pytest.mark.parametrize("gap_ms", [1, 20, 57, 200, 2000])
@pytest.mark.parametrize("chunks", [0, 1, 5])
def test_stall_is_probed_within_a_second_of_the_usual_gap(gap_ms, chunks):
    watch = StreamWatch(gaps=learnt(gap_ms), started_ms=0)
    now_ms = 0
    for n in range(chunks):
        now_ms += gap_ms * 3 if n == 0 else gap_ms
        watch.on_chunk(now_ms)
    usual_ms = gap_ms if chunks else gap_ms * 3
    due_ms = watch.due_ms()
    assert usual_ms < due_ms - now_ms <= usual_ms + MAX_EXCESS_MS + 1
    assert watch.check(due_ms - 1) is StallAction.WAIT
    assert watch.check(due_ms) is StallAction.PROBE


def test_probe_without_answer_leaves_the_endpoint():
    watch = StreamWatch(gaps=learnt(20), started_ms=0)
    assert watch.check(watch.due_ms()) is StallAction.PROBE
    assert watch.check(watch.due_ms() - 1) is StallAction.WAIT
    assert watch.check(watch.due_ms()) is StallAction.LEAVE


def test_chunk_after_the_probe_ends_the_suspicion():
    watch = StreamWatch(gaps=learnt(20), started_ms=0)
    watch.on_chunk(10)
    assert watch.check(watch.due_ms()) is StallAction.PROBE
    watch.on_chunk(watch.due_ms() - 1)
    assert watch.check(watch.due_ms()) is StallAction.PROBE


def test_slower_endpoint_is_given_longer():
    assert learnt(60).gap_deadline_ms() > learnt(20).gap_deadline_ms()
