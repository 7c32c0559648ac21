import pytest

from foxtailbank.endpoint import LoadReport
from foxtailbank.online_estimate import REMOVE_AFTER_REPORTS, OnlineEstimate


@pytest.mark.parametrize(("running", "online"), [(10, 0), (9, 0), (11, 1), (14, 4)])
def test_only_streams_beyond_the_counts_around_the_report_are_added(running, online):
    estimate = OnlineEstimate()
    estimate.on_change(online=0, batch=10, now_ms=0)
    estimate.on_change(online=0, batch=-4, now_ms=1001)
    report = LoadReport(
        age_ms=100,
        running=running,
        waiting=0,
        max_running=32,
        step_ms=1,
        draining=False,
    )
    estimate.on_load_report(report, 1100)
    assert estimate.online_streams == online


def test_batch_turnover_is_not_counted_as_online():
    estimate = OnlineEstimate()
    estimate.on_change(online=0, batch=32, now_ms=0)
    for now_ms in range(1000, 5000, 37):
        estimate.on_change(online=0, batch=-1, now_ms=now_ms)
        lagging = LoadReport(
            age_ms=0, running=32, waiting=0, max_running=32, step_ms=1, draining=False
        )
        estimate.on_load_report(lagging, now_ms)
        estimate.on_change(online=0, batch=1, now_ms=now_ms)
        assert estimate.online_streams == 0


def test_stream_with_lost_end_is_removed_only_after_several_reports():
    estimate = OnlineEstimate()
    estimate.on_change(online=2, batch=0, now_ms=0)
    report = LoadReport(
        age_ms=0, running=1, waiting=0, max_running=32, step_ms=1, draining=False
    )
    for n in range(REMOVE_AFTER_REPORTS):
        assert estimate.online_streams == 2
        estimate.on_load_report(report, 1000 + n)
    assert estimate.online_streams == 1
