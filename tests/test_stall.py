import pytest

from foxtailbank.stall import MAX_EXCESS_MS, EndpointGaps, StallAction, StallDetector


def trained_gaps(gap_ms):
    gaps = EndpointGaps()
    for _ in range(200):
        gaps.on_gap(gap_ms)
        gaps.on_first_chunk(gap_ms * 3)
    return gaps


@pytest.mark.parametrize("gap_ms", [1, 20, 57, 200, 2000])
@pytest.mark.parametrize("chunks", [0, 1, 5])
def test_stall_is_probed_within_a_second_of_the_usual_gap(gap_ms, chunks):
    detector = StallDetector(gaps=trained_gaps(gap_ms), started_ms=0)
    now_ms = 0
    for n in range(chunks):
        now_ms += gap_ms * 3 if n == 0 else gap_ms
        detector.on_chunk(now_ms)
    usual_ms = gap_ms if chunks else gap_ms * 3
    check_ms = detector.next_check_ms()
    assert usual_ms < check_ms - now_ms <= usual_ms + MAX_EXCESS_MS + 1
    assert detector.check(check_ms - 1) is StallAction.WAIT
    assert detector.check(check_ms) is StallAction.PROBE


def test_unanswered_probe_fails_over():
    detector = StallDetector(gaps=trained_gaps(20), started_ms=0)
    assert detector.check(detector.next_check_ms()) is StallAction.PROBE
    assert detector.check(detector.next_check_ms() - 1) is StallAction.WAIT
    assert detector.check(detector.next_check_ms()) is StallAction.FAIL_OVER


def test_chunk_after_a_probe_resets_the_detector():
    detector = StallDetector(gaps=trained_gaps(20), started_ms=0)
    detector.on_chunk(10)
    assert detector.check(detector.next_check_ms()) is StallAction.PROBE
    detector.on_chunk(detector.next_check_ms() - 1)
    assert detector.check(detector.next_check_ms()) is StallAction.PROBE


def test_slower_endpoint_is_given_longer():
    assert trained_gaps(60).gap_deadline_ms() > trained_gaps(20).gap_deadline_ms()
