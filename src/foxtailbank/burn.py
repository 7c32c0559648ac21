"""Service-level events of one VM, by entry, over several windows."""

import collections
import dataclasses

from foxtailbank.burn_judge import EventClass, Verdict
from foxtailbank.burn_window import (
    HOUR_MS,
    SIX_HOURS,
    WINDOWS,
    EventCounts,
    EventSeries,
    RingWindow,
)

MAX_ENTRIES = 1024
MAX_REASONS = 16
REASON_PERIOD_MS = 6 * HOUR_MS
OTHER = "(other)"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReasonCount:
    """How often a reason was given.

    Attributes
    ----------
    reason : str
        Stable code.
    count : int
        Events in the latest 6 to 12 hours.
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
        One for each of `WINDOWS`.
    series : EventSeries
        Slots of the 6-hour window, oldest first.
    reasons : tuple of ReasonCount
        Why events were bad or refused, most frequent first.
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
        Wall time of the report in milliseconds.
    entries : tuple of EntryEvents
        In order of name.
    """

    vm: str
    zone: str
    at_ms: int
    entries: tuple[EntryEvents, ...]


class BurnRecorder:
    """Counts good and bad events; memory is fixed for each entry and bounded in all.

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
            Catalogue entry; beyond `MAX_ENTRIES` they are taken together.
        verdict : Verdict
            How the event counts.
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
        """Return all counts, in a form that can be merged with other VMs'.

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
        self._rings = tuple(RingWindow(shape=shape) for shape in WINDOWS)
        self._reasons = _ReasonCounter()

    def add(self, verdict: Verdict, now_ms: int) -> None:
        if verdict.reason:
            self._reasons.add(verdict.reason, now_ms)
        if verdict.event_class is EventClass.CALLERS_FAULT:
            return
        is_good = verdict.event_class is EventClass.GOOD
        for ring in self._rings:
            ring.add(is_good=is_good, now_ms=now_ms)

    def report(self, entry: str, now_ms: int) -> EntryEvents:
        series_ring = self._rings[WINDOWS.index(SIX_HOURS)]
        return EntryEvents(
            entry=entry,
            counts=tuple(ring.counts(now_ms=now_ms) for ring in self._rings),
            series=series_ring.series(now_ms=now_ms),
            reasons=self._reasons.report(now_ms),
        )


class _ReasonCounter:
    def __init__(self) -> None:
        self._period = 0
        self._now: collections.Counter[str] = collections.Counter()
        self._before: collections.Counter[str] = collections.Counter()

    def add(self, reason: str, now_ms: int) -> None:
        self._advance(now_ms)
        if reason not in self._now and len(self._now) >= MAX_REASONS:
            reason = OTHER
        self._now[reason] += 1

    def report(self, now_ms: int) -> tuple[ReasonCount, ...]:
        self._advance(now_ms)
        return ranked_reasons(self._now + self._before)

    def _advance(self, now_ms: int) -> None:
        period = now_ms // REASON_PERIOD_MS
        if period <= self._period:
            return
        is_next = period == self._period + 1
        self._before = self._now if is_next else collections.Counter()
        self._now = collections.Counter()
        self._period = period


def ranked_reasons(counts: collections.Counter[str]) -> tuple[ReasonCount, ...]:
    """Return reasons, most frequent first, then by name."""
    ranked = sorted(counts.items(), key=lambda item: (-item[1], item[0]))
    return tuple(ReasonCount(reason=reason, count=count) for reason, count in ranked)
