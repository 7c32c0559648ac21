"""Counts of service-level events on one VM, by entry and time window."""

import collections
import dataclasses

from foxtailbank.burn_classify import EventClass, Verdict
from foxtailbank.burn_window import (
    HOUR_MS,
    SIX_HOURS,
    WINDOWS,
    EventCounts,
    EventSeries,
    SlidingWindow,
)

MAX_ENTRIES = 1024
MAX_REASONS = 16
REASON_PERIOD_MS = 6 * HOUR_MS
OTHER = "(other)"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReasonCount:
    """Number of events with one reason.

    Attributes
    ----------
    reason : str
        Stable error code.
    count : int
        Events in the current and the previous period of 6 hours.
    """

    reason: str
    count: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryEvents:
    """Events of one entry on one VM.

    Attributes
    ----------
    entry : str
        Name of the entry.
    counts : tuple of EventCounts
        One per window, in the order of `WINDOWS`.
    series : EventSeries
        Events in each slot of the 6-hour window.
    reasons : tuple of ReasonCount
        Reasons of events that were not good, most frequent first.
    """

    entry: str
    counts: tuple[EventCounts, ...]
    series: EventSeries
    reasons: tuple[ReasonCount, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class VmEvents:
    """Events of one VM.

    Attributes
    ----------
    vm : str
        Name of the VM.
    zone : str
        Its availability zone.
    at_ms : int
        Wall time of the report, in milliseconds.
    entries : tuple of EntryEvents
        Sorted by name.
    """

    vm: str
    zone: str
    at_ms: int
    entries: tuple[EntryEvents, ...]


class BurnRecorder:
    """Counts good and bad events in bounded memory.

    Memory per entry is fixed, and the number of entries and reasons is limited;
    entries and reasons beyond the limit are counted as ``(other)``.

    Parameters
    ----------
    vm : str
        Name of the VM.
    zone : str
        Its availability zone.
    """

    def __init__(self, *, vm: str, zone: str) -> None:
        self._vm = vm
        self._zone = zone
        self._recorder_by_entry: dict[str, _EntryRecorder] = {}

    def add(self, *, entry: str, verdict: Verdict, now_ms: int) -> None:
        """Count one event.

        Parameters
        ----------
        entry : str
            Catalogue entry; entries beyond `MAX_ENTRIES` share one recorder.
        verdict : Verdict
            Classification of the event.
        now_ms : int
            Wall time in milliseconds.
        """
        recorder = self._recorder_by_entry.get(entry)
        if recorder is None:
            recorder = self._new_recorder(entry)
        recorder.add(verdict, now_ms)

    def _new_recorder(self, entry: str) -> "_EntryRecorder":
        name = entry if len(self._recorder_by_entry) < MAX_ENTRIES else OTHER
        return self._recorder_by_entry.setdefault(name, _EntryRecorder())

    def report(self, *, now_ms: int) -> VmEvents:
        """Return all counts, in a form that can be merged across VMs.

        Parameters
        ----------
        now_ms : int
            Wall time in milliseconds.
        """
        entries = tuple(
            self._recorder_by_entry[name].report(name, now_ms)
            for name in sorted(self._recorder_by_entry)
        )
        return VmEvents(vm=self._vm, zone=self._zone, at_ms=now_ms, entries=entries)


class _EntryRecorder:
    def __init__(self) -> None:
        self._windows = tuple(SlidingWindow(shape=shape) for shape in WINDOWS)
        self._reasons = _ReasonCounter()

    def add(self, verdict: Verdict, now_ms: int) -> None:
        if verdict.reason:
            self._reasons.add(verdict.reason, now_ms)
        if verdict.event_class is EventClass.CALLER_ERROR:
            return
        is_good = verdict.event_class is EventClass.GOOD
        for window in self._windows:
            window.add(is_good=is_good, now_ms=now_ms)

    def report(self, entry: str, now_ms: int) -> EntryEvents:
        six_hours = self._windows[WINDOWS.index(SIX_HOURS)]
        return EntryEvents(
            entry=entry,
            counts=tuple(window.counts(now_ms=now_ms) for window in self._windows),
            series=six_hours.series(now_ms=now_ms),
            reasons=self._reasons.report(now_ms),
        )


class _ReasonCounter:
    def __init__(self) -> None:
        self._period = 0
        self._current: collections.Counter[str] = collections.Counter()
        self._previous: collections.Counter[str] = collections.Counter()

    def add(self, reason: str, now_ms: int) -> None:
        self._advance(now_ms)
        if reason not in self._current and len(self._current) >= MAX_REASONS:
            reason = OTHER
        self._current[reason] += 1

    def report(self, now_ms: int) -> tuple[ReasonCount, ...]:
        self._advance(now_ms)
        return rank_reasons(self._current + self._previous)

    def _advance(self, now_ms: int) -> None:
        period = now_ms // REASON_PERIOD_MS
        if period <= self._period:
            return
        is_next = period == self._period + 1
        self._previous = self._current if is_next else collections.Counter()
        self._current = collections.Counter()
        self._period = period


def rank_reasons(counts: collections.Counter[str]) -> tuple[ReasonCount, ...]:
    """Sort reasons by descending count, then by name."""
    ranked = sorted(counts.items(), key=lambda item: (-item[1], item[0]))
    return tuple(ReasonCount(reason=reason, count=count) for reason, count in ranked)
