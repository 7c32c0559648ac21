"""Burn of service-level objectives over the whole fleet."""

import collections
import dataclasses
import enum
import typing as t

from foxtailbank.burn import EntryEvents, ReasonCount, VmEvents, ranked_reasons
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
    """How urgent a burn is."""

    OK = "ok"
    NO_EVENTS = "no events"
    SLOW_BURN = "slow burn"
    FAST_BURN = "fast burn"
    EXHAUSTED = "exhausted"


@dataclasses.dataclass(frozen=True, kw_only=True)
class WindowBurn:
    """Burn over one window.

    Attributes
    ----------
    window : str
        Name of the window.
    length_ms : int
        Its length in milliseconds.
    good : int
        Good events.
    bad : int
        Bad events.
    burn_rate : float
        Share of bad events over the share that the objective allows; 1 uses the
        budget up exactly by the window's end.
    """

    window: str
    length_ms: int
    good: int
    bad: int
    burn_rate: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class BurnRow:
    """Burn of one entry over the fleet.

    Attributes
    ----------
    owner : str
        Owner of the entry.
    entry : str
        Name of the entry.
    good_share : float
        The objective.
    status : BurnStatus
        How urgent it is.
    windows : tuple of WindowBurn
        From the shortest to the longest.
    budget_left : float
        Share of the longest window's budget that is left; negative if overspent.
    exhausted_in_ms : int or None
        Time until the budget is used up at the last hour's rate; 0 if it is used
        up, None if it will not be.
    reasons : tuple of ReasonCount
        Worst reasons of bad events and refusals.
    bad_shares : tuple of float
        Share of bad events in each slot of the last six hours, oldest first; -1
        where there was none.
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


@dataclasses.dataclass(frozen=True, kw_only=True)
class BurnReport:
    """Burn of every entry over the fleet.

    Attributes
    ----------
    at_ms : int
        Wall time in milliseconds.
    vms : tuple of str
        VMs that the report includes.
    unreachable_vms : tuple of str
        Live VMs that gave no answer; their events are missing.
    rows : tuple of BurnRow
        Worst first.
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
    """Merge the events of all VMs.

    Parameters
    ----------
    reports : sequence of VmEvents
        One for each VM that answered; a second one of a VM is left out.
    entries_by_name : mapping of str to Entry
        The catalogue's entries; events of others are left out.
    live_vms : iterable of str
        VMs that should have answered.
    now_ms : int
        Wall time in milliseconds.

    Returns
    -------
    BurnReport
        Names the live VMs that did not answer.
    """
    report_by_vm = {report.vm: report for report in reversed(reports)}
    parts_by_entry: dict[str, list[_Part]] = collections.defaultdict(list)
    for report in report_by_vm.values():
        slot = report.at_ms // SIX_HOURS.slot_ms
        for events in report.entries:
            parts_by_entry[events.entry].append(_Part(slot=slot, events=events))
    rows = [
        _row(entry, parts_by_entry.get(name, []))
        for name, entry in entries_by_name.items()
    ]
    return BurnReport(
        at_ms=now_ms,
        vms=tuple(sorted(report_by_vm)),
        unreachable_vms=tuple(sorted(set(live_vms) - set(report_by_vm))),
        rows=tuple(sorted(rows, key=_urgency)),
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Part:
    slot: int
    events: EntryEvents


def _row(entry: Entry, vm_parts: list[_Part]) -> BurnRow:
    parts = [part.events for part in vm_parts]
    allowed = 1 - entry.objective.good_share
    windows = tuple(
        _window(shape, _sum(part.counts[index] for part in parts), allowed)
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


def _sum(counts: t.Iterable[EventCounts]) -> EventCounts:
    return sum(counts, start=EventCounts())


def _window(shape: WindowShape, counts: EventCounts, allowed: float) -> WindowBurn:
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
    if longest.good + longest.bad == 0:
        return BurnStatus.NO_EVENTS
    if longest.burn_rate >= 1:
        return BurnStatus.EXHAUSTED
    five_minutes, hour, six_hours = (
        rate_by_name[shape.name] for shape in (FIVE_MINUTES, ONE_HOUR, SIX_HOURS)
    )
    # A loose objective cannot reach the usual rates even with all events bad.
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
    return ranked_reasons(counts)[:MAX_REASONS]


def _bad_shares(parts: list[_Part]) -> tuple[float, ...]:
    if not parts:
        return ()
    latest = max(part.slot for part in parts)
    good = _added([(latest - part.slot, part.events.series.good) for part in parts])
    bad = _added([(latest - part.slot, part.events.series.bad) for part in parts])
    return tuple(
        bad_count / (good_count + bad_count) if good_count + bad_count else -1.0
        for good_count, bad_count in zip(good, bad, strict=True)
    )


def _added(aged_series: list[tuple[int, tuple[int, ...]]]) -> list[int]:
    """Add up series after moving each back by its age in slots."""
    slots = SIX_HOURS.slots
    aligned = [(series[age:] + (0,) * age)[:slots] for age, series in aged_series]
    return [sum(counts) for counts in zip(*aligned, strict=True)]


def _urgency(row: BurnRow) -> tuple[float, str, str]:
    return (row.budget_left, row.owner, row.entry)
