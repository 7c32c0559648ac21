import pytest

from foxtailbank.drain import PEER_REPORT_TTL_MS, DrainReport, DrainSource, DrainTracker


def report(source, leaving, at_ms=0, incarnation=""):
    return DrainReport(
        source=source, incarnation=incarnation, leaving=leaving, at_ms=at_ms
    )


@pytest.mark.parametrize("source", list(DrainSource))
def test_leaving_if_any_source_reports_it(source):
    state = DrainTracker()
    assert not state.is_leaving("e", 0)
    for other in DrainSource:
        state.on_report("e", report(other, other is source))
    assert state.is_leaving("e", 0)
    assert not state.is_leaving("f", 0)


@pytest.mark.parametrize(
    ("reports", "now_ms", "leaving"),
    [
        (
            [(DrainSource.VM_LIST, True, 0, ""), (DrainSource.VM_LIST, False, 5, "")],
            9,
            0,
        ),
        (
            [(DrainSource.VM_LIST, False, 5, ""), (DrainSource.VM_LIST, True, 0, "")],
            9,
            0,
        ),
        ([(DrainSource.PEER, True, 0, "")], PEER_REPORT_TTL_MS - 1, 1),
        ([(DrainSource.PEER, True, 0, "")], PEER_REPORT_TTL_MS, 0),
        ([(DrainSource.VM_LIST, True, 0, "")], PEER_REPORT_TTL_MS * 9, 1),
        (
            [
                (DrainSource.ENDPOINT, True, 0, "1"),
                (DrainSource.PEER, True, 1, "1"),
                (DrainSource.ENDPOINT, False, 2, "2"),
            ],
            3,
            0,
        ),
        (
            [
                (DrainSource.ENDPOINT, False, 2, "2"),
                (DrainSource.PEER, True, 3, "1"),
            ],
            3,
            0,
        ),
    ],
)
def test_which_reports_are_in_effect(reports, now_ms, leaving):
    state = DrainTracker()
    for source, is_leaving, at_ms, incarnation in reports:
        state.on_report("e", report(source, is_leaving, at_ms, incarnation))
    assert state.is_leaving("e", now_ms) == bool(leaving)
