import hypothesis.strategies as st
import msgspec
import pytest
from hypothesis import given, settings

from entry_samples import make_entry
from foxtailbank.burn_classify import (
    GOOD,
    EventClass,
    Verdict,
    classify_answer,
    classify_batch_item,
    classify_failure,
)
from foxtailbank.burn_merge import BurnStatus, merge_burn
from foxtailbank.burn_recorder import (
    MAX_ENTRIES,
    MAX_REASONS,
    OTHER,
    BurnRecorder,
    VmEvents,
)
from foxtailbank.burn_window import (
    HOUR_MS,
    MINUTE_MS,
    WINDOWS,
    EventCounts,
    SlidingWindow,
    WindowShape,
)
from foxtailbank.entry import Objective
from foxtailbank.exceptions import (
    DeadlineExceeded,
    EndpointFailed,
    InvalidApiKey,
    InvalidRequest,
    NoEndpoint,
    Overloaded,
    Quarantined,
    RateLimited,
)

START_MS = 1_800_000_000_000
BAD = Verdict(event_class=EventClass.BAD, reason="overloaded")


def make_entry_with_objective(name="tributes", *, good_share=0.9):
    return make_entry(name, objective=Objective(good_share=good_share))


def record(*, good=0, bad=0, vm="vm-1", at_ms=START_MS, entry="tributes"):
    recorder = BurnRecorder(vm=vm, zone="nairobi-a")
    for verdict, count in ((GOOD, good), (BAD, bad)):
        for _ in range(count):
            recorder.add(entry=entry, verdict=verdict, now_ms=at_ms)
    return recorder


def merge(*reports, now_ms=START_MS, live=("vm-1",), good_share=0.9):
    entries = {"tributes": make_entry_with_objective(good_share=good_share)}
    return merge_burn(reports, entries_by_name=entries, live_vms=live, now_ms=now_ms)


@settings(deadline=None, derandomize=True, max_examples=200)
@given(
    st.lists(st.tuples(st.integers(0, 90), st.booleans()), max_size=40),
    st.integers(0, 200),
)
def test_window_matches_a_list_of_events(steps, after_ms):
    shape = WindowShape(name="w", slot_ms=10, slots=6)
    window = SlidingWindow(shape=shape)
    now_ms, events = START_MS, []
    for step_ms, is_good in steps:
        now_ms += step_ms
        window.add(is_good=is_good, now_ms=now_ms)
        events.append((now_ms, is_good))
    now_ms += after_ms
    oldest = now_ms // 10 - 5
    in_window = [is_good for at_ms, is_good in events if at_ms // 10 >= oldest]
    expected = EventCounts(good=in_window.count(True), bad=in_window.count(False))
    assert window.counts(now_ms=now_ms) == expected
    series = window.series(now_ms=now_ms)
    assert EventCounts(good=sum(series.good), bad=sum(series.bad)) == expected
    assert series.good[-1] == sum(g for at_ms, g in events if at_ms // 10 == oldest + 5)


def test_window_keeps_counting_when_the_clock_goes_back():
    window = SlidingWindow(shape=WINDOWS[0])
    window.add(is_good=True, now_ms=START_MS)
    window.add(is_good=False, now_ms=START_MS - HOUR_MS)
    assert window.counts(now_ms=START_MS) == EventCounts(good=1, bad=1)


@pytest.mark.parametrize(
    ("error", "event_class"),
    [
        (InvalidRequest(), EventClass.CALLER_ERROR),
        (InvalidApiKey(), EventClass.CALLER_ERROR),
        (RateLimited(), EventClass.CALLER_ERROR),
        (Quarantined(), EventClass.CALLER_ERROR),
        (Overloaded(), EventClass.BAD),
        (NoEndpoint(), EventClass.BAD),
        (EndpointFailed(), EventClass.BAD),
        (DeadlineExceeded(), EventClass.BAD),
    ],
)
def test_classify_failure(error, event_class):
    verdict = classify_failure(error)
    assert verdict == Verdict(event_class=event_class, reason=error.code)


@pytest.mark.parametrize(
    ("first_token_ms", "gap_ms", "reason"),
    [(790, 57, ""), (791, 0, "slow_first_token"), (10, 57.5, "slow_tokens")],
)
def test_classify_answer(first_token_ms, gap_ms, reason):
    verdict = classify_answer(Objective(), first_token_ms=first_token_ms, gap_ms=gap_ms)
    assert verdict.reason == reason


@pytest.mark.parametrize(
    ("finished_ms", "failure", "reason"),
    [(10, "", ""), (11, "", "after_deadline"), (5, "quarantined", "quarantined")],
)
def test_classify_batch_item(finished_ms, failure, reason):
    verdict = classify_batch_item(
        finished_ms=finished_ms, deadline_ms=10, failure=failure
    )
    assert verdict.reason == reason


def test_merge_sums_vms_and_lists_unreachable_ones():
    first = record(good=90, bad=10).report(now_ms=START_MS)
    second = record(good=98, bad=2, vm="vm-2").report(now_ms=START_MS + MINUTE_MS)
    report = merge(first, second, first, live=("vm-1", "vm-2", "vm-3"))
    assert report.vms == ("vm-1", "vm-2")
    assert report.unreachable_vms == ("vm-3",)
    (row,) = report.rows
    longest = row.windows[-1]
    assert (longest.good, longest.bad) == (188, 12)
    assert longest.burn_rate == pytest.approx(0.6)
    assert row.budget_left == pytest.approx(0.4)
    assert row.exhausted_in_ms == pytest.approx(0.4 / 0.6 * 72 * HOUR_MS, rel=1e-6)
    assert row.reasons[0].count == 12
    assert [share for share in row.bad_shares if share >= 0] == pytest.approx([0.06])


def test_slots_of_vms_that_report_later_are_aligned():
    recorder = record(good=1, bad=1)
    other = record(good=3, vm="vm-2")
    report = merge(
        recorder.report(now_ms=START_MS),
        other.report(now_ms=START_MS + 10 * MINUTE_MS),
    )
    shares = report.rows[0].bad_shares
    assert shares[-3] == pytest.approx(0.2)
    assert set(shares) - {shares[-3]} == {-1.0}


STATUSES = [
    (0, 0, 0.9, BurnStatus.NO_EVENTS, None),
    (100, 0, 0.9, BurnStatus.OK, None),
    (100, 1, 0.9, BurnStatus.OK, ...),
    (80, 20, 0.9, BurnStatus.EXHAUSTED, 0),
]


@pytest.mark.parametrize(("good", "bad", "share", "status", "exhausted"), STATUSES)
def test_status(good, bad, share, status, exhausted):
    events = record(good=good, bad=bad).report(now_ms=START_MS)
    (row,) = merge(events, good_share=share).rows
    assert row.status is status
    if exhausted is not ...:
        assert row.exhausted_in_ms == exhausted


@pytest.mark.parametrize(
    ("recent_bad", "status"), [(60, BurnStatus.FAST_BURN), (20, BurnStatus.SLOW_BURN)]
)
def test_fast_and_slow_burn_while_budget_remains(recent_bad, status):
    recorder = record(good=10_000, at_ms=START_MS - 20 * HOUR_MS)
    for number in range(100):
        verdict = BAD if number < recent_bad else GOOD
        recorder.add(entry="tributes", verdict=verdict, now_ms=START_MS)
    (row,) = merge(recorder.report(now_ms=START_MS)).rows
    assert row.status is status


def test_memory_is_bounded():
    recorder = BurnRecorder(vm="vm-1", zone="nairobi-a")
    for number in range(MAX_ENTRIES + 5):
        recorder.add(entry=f"e{number}", verdict=GOOD, now_ms=START_MS)
    for number in range(MAX_REASONS + 5):
        verdict = Verdict(event_class=EventClass.BAD, reason=f"r{number}")
        recorder.add(entry="e0", verdict=verdict, now_ms=START_MS)
    events = recorder.report(now_ms=START_MS)
    assert len(events.entries) == MAX_ENTRIES + 1
    by_name = {part.entry: part for part in events.entries}
    assert by_name[OTHER].counts[-1].good == 5
    assert by_name["e0"].reasons[0].reason == OTHER
    assert len(by_name["e0"].reasons) == MAX_REASONS + 1


def test_reasons_expire():
    recorder = record(bad=3)
    assert recorder.report(now_ms=START_MS).entries[0].reasons[0].count == 3
    later = recorder.report(now_ms=START_MS + 12 * HOUR_MS)
    assert later.entries[0].reasons == ()


def test_events_round_trip_through_json():
    events = record(good=2, bad=1).report(now_ms=START_MS)
    assert msgspec.json.decode(msgspec.json.encode(events), type=VmEvents) == events
