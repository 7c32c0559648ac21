"""Error-budget burn of service-level objectives over the whole fleet."""

import collections
import dataclasses
import enum
import typing as t

from foxtailbank.burn_recorder import EntryEvents, ReasonCount, VmEvents, rank_reasons
from foxtailbank.burn_window import (
    FIVE_MINUTES,
    ONE_HOUR,
    SIX_HOURS,
    THREE_DAYS,
    WINDOWS,
    EventCounts,
    WindowShape,
)
from foxtailbank.entry import Entry

FAST_BURN_RATE = 14.4
FAST_BAD_SHARE = 0.5
SLOW_BURN_RATE = 3.0
SLOW_BAD_SHARE = 0.15
MAX_REASONS = 5


class BurnStatus(enum.Enum):
    """State of the error budget of an entry."""

    OK = "ok"
    NO_EVENTS = "no events"
    SLOW_BURN = "slow burn"
    FAST_BURN = "fast burn"
    EXHAUSTED = "exhausted"


@dataclasses.dataclass(frozen=True, kw_only=True)
class WindowBurn:
    """Burn rate over one window.

    Attributes
    ----------
    window : str
        Name of the window.
    length_ms : int
        Length of the window in milliseconds.
    good : int
        Good events.
    bad : int
        Bad events.
    burn_rate : float
        Share of bad events divided by the share that the objective allows. At a
        rate of 1, the budget is used up exactly at the end of the window.
    """

    window: str
    length_ms: int
    good: int
    bad: int
    burn_rate: float

    @property
    def has_events(self) -> bool:
        """Whether the window contains any events."""
        return self.good + self.bad > 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class BurnRow:
    """Error-budget burn of one entry over the fleet.

    Attributes
    ----------
    owner : str
        Owner of the entry.
    entry : str
        Name of the entry.
    good_share : float
        Share of events that must be good according to the objective.
    status : BurnStatus
        State of the error budget.
    windows : tuple of WindowBurn
        From the shortest window to the longest.
    budget_left : float
        Remaining share of the budget of the longest window; negative if overspent.
    exhausted_in_ms : int or None
        Time until the budget is used up at the burn rate of the last hour; 0 if it
        is already used up, None if there were no bad events in that hour.
    reasons : tuple of ReasonCount
        Most frequent reasons of events that were not good.
    bad_shares : tuple of float
        Share of bad events in each slot of the last six hours, oldest first; -1
        for a slot without events.
    """

    owner: str
    entry: str
    good_share: float
    status: BurnStatus
    windows: tuple[WindowBurn, ...]
    budget_left: float
    exhausted_in_ms: int | None
    reasons: tuple[ReasonCount, ...]
    bad_shares: tuple[float, ...]

    @property
    def longest_window(self) -> WindowBurn:
        """Window that the error budget covers."""
        return self.windows[-1]


@dataclasses.dataclass(frozen=True, kw_only=True)
class BurnReport:
    """Error-budget burn of all entries over the fleet.

    Attributes
    ----------
    at_ms : int
        Wall time of the report, in milliseconds.
    vms : tuple of str
        VMs whose events are included.
    unreachable_vms : tuple of str
        Live VMs that did not answer; their events are missing.
    rows : tuple of BurnRow
        Entry with the least remaining budget first.
    """

    at_ms: int
    vms: tuple[str, ...]
    unreachable_vms: tuple[str, ...]
    rows: tuple[BurnRow, ...]


def merge_burn(
    reports: t.Sequence[VmEvents],
    *,
    entries_by_name: t.Mapping[str, Entry],
    live_vms: t.Iterable[str],
    now_ms: int,
) -> BurnReport:
    """Merge the events of all VMs into one report.

    Parameters
    ----------
    reports : sequence of VmEvents
        One for each VM that answered; of several from one VM, the first is used.
    entries_by_name : mapping of str to Entry
        Entries of the catalogue; events of other entries are ignored.
    live_vms : iterable of str
        VMs that are expected to answer.
    now_ms : int
        Wall time in milliseconds.

    Returns
    -------
    BurnReport
        One row per catalogue entry, and the live VMs that did not answer.
    """
    report_by_vm = {report.vm: report for report in reversed(reports)}
    parts_by_entry: dict[str, list[_VmEntryEvents]] = collections.defaultdict(list)
    for report in report_by_vm.values():
        slot = report.at_ms // SIX_HOURS.slot_ms
        for events in report.entries:
            parts_by_entry[events.entry].append(
                _VmEntryEvents(report_slot=slot, events=events)
            )
    rows = [
        _burn_row(entry, parts_by_entry.get(name, []))
        for name, entry in entries_by_name.items()
    ]
    return BurnReport(
        at_ms=now_ms,
        vms=tuple(sorted(report_by_vm)),
        unreachable_vms=tuple(sorted(set(live_vms) - set(report_by_vm))),
        rows=tuple(sorted(rows, key=_urgency_key)),
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class _VmEntryEvents:
    report_slot: int
    events: EntryEvents


def _burn_row(entry: Entry, vm_parts: list[_VmEntryEvents]) -> BurnRow:
    parts = [part.events for part in vm_parts]
    allowed = 1 - entry.objective.good_share
    windows = tuple(
        _window_burn(
            shape, _total_counts(part.counts[index] for part in parts), allowed
        )
        for index, shape in enumerate(WINDOWS)
    )
    window_by_name = {window.window: window for window in windows}
    longest = window_by_name[THREE_DAYS.name]
    budget_left = 1 - longest.burn_rate
    return BurnRow(
        owner=entry.owner,
        entry=entry.name,
        good_share=entry.objective.good_share,
        status=_status(window_by_name, allowed),
        windows=windows,
        budget_left=budget_left,
        exhausted_in_ms=_exhausted_in_ms(
            budget_left, window_by_name[ONE_HOUR.name].burn_rate
        ),
        reasons=_merged_reasons(parts),
        bad_shares=_bad_shares(vm_parts),
    )


def _total_counts(counts: t.Iterable[EventCounts]) -> EventCounts:
    return sum(counts, start=EventCounts())


def _window_burn(shape: WindowShape, counts: EventCounts, allowed: float) -> WindowBurn:
    bad_share = counts.bad / counts.total if counts.total else 0.0
    return WindowBurn(
        window=shape.name,
        length_ms=shape.length_ms,
        good=counts.good,
        bad=counts.bad,
        burn_rate=bad_share / allowed,
    )


def _status(window_by_name: dict[str, WindowBurn], allowed: float) -> BurnStatus:
    rate_by_name = {name: w.burn_rate for name, w in window_by_name.items()}
    longest = window_by_name[THREE_DAYS.name]
    if not longest.has_events:
        return BurnStatus.NO_EVENTS
    if longest.burn_rate >= 1:
        return BurnStatus.EXHAUSTED
    five_minutes, hour, six_hours = (
        rate_by_name[shape.name] for shape in (FIVE_MINUTES, ONE_HOUR, SIX_HOURS)
    )
    # With a loose objective, the usual burn rates are out of reach even if all
    # events are bad. The thresholds are therefore capped at a share of bad events.
    fast_rate = min(FAST_BURN_RATE, FAST_BAD_SHARE / allowed)
    slow_rate = min(SLOW_BURN_RATE, SLOW_BAD_SHARE / allowed)
    if min(five_minutes, hour) >= fast_rate:
        return BurnStatus.FAST_BURN
    if min(hour, six_hours) >= slow_rate:
        return BurnStatus.SLOW_BURN
    return BurnStatus.OK


def _exhausted_in_ms(budget_left: float, burn_rate: float) -> int | None:
    if budget_left <= 0:
        return 0
    if burn_rate <= 0:
        return None
    return round(budget_left * THREE_DAYS.length_ms / burn_rate)


def _merged_reasons(parts: list[EntryEvents]) -> tuple[ReasonCount, ...]:
    counts: collections.Counter[str] = collections.Counter()
    for part in parts:
        counts.update({item.reason: item.count for item in part.reasons})
    return rank_reasons(counts)[:MAX_REASONS]


def _bad_shares(parts: list[_VmEntryEvents]) -> tuple[float, ...]:
    if not parts:
        return ()
    latest = max(part.report_slot for part in parts)
    good = _sum_aligned(
        [(latest - part.report_slot, part.events.series.good) for part in parts]
    )
    bad = _sum_aligned(
        [(latest - part.report_slot, part.events.series.bad) for part in parts]
    )
    return tuple(
        bad_count / (good_count + bad_count) if good_count + bad_count else -1.0
        for good_count, bad_count in zip(good, bad, strict=True)
    )


def _sum_aligned(aged_series: list[tuple[int, tuple[int, ...]]]) -> list[int]:
    """Sum series slot by slot after shifting each by its age in slots.

    A report that is older than the latest one has no counts for the newest slots.
    """
    slots = SIX_HOURS.slots
    aligned = [(series[age:] + (0,) * age)[:slots] for age, series in aged_series]
    return [sum(counts) for counts in zip(*aligned, strict=True)]


def _urgency_key(row: BurnRow) -> tuple[float, str, str]:
    return (row.budget_left, row.owner, row.entry)
