"""Sliding-window counts of good and bad events in fixed memory."""

import array
import dataclasses

MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS
DAY_MS = 24 * HOUR_MS


@dataclasses.dataclass(frozen=True, kw_only=True)
class WindowShape:
    """Length and resolution of a window.

    Attributes
    ----------
    name : str
        Name in reports, such as ``"1 h"``.
    slot_ms : int
        Length of a slot in milliseconds.
    slots : int
        Number of slots.
    """

    name: str
    slot_ms: int
    slots: int

    @property
    def length_ms(self) -> int:
        """Length of the window in milliseconds."""
        return self.slot_ms * self.slots


FIVE_MINUTES = WindowShape(name="5 min", slot_ms=10_000, slots=30)
ONE_HOUR = WindowShape(name="1 h", slot_ms=MINUTE_MS, slots=60)
SIX_HOURS = WindowShape(name="6 h", slot_ms=5 * MINUTE_MS, slots=72)
THREE_DAYS = WindowShape(name="3 d", slot_ms=HOUR_MS, slots=72)
WINDOWS = (FIVE_MINUTES, ONE_HOUR, SIX_HOURS, THREE_DAYS)


@dataclasses.dataclass(frozen=True, kw_only=True)
class EventCounts:
    """Numbers of good and bad events.

    Attributes
    ----------
    good : int
        Events that met the objective.
    bad : int
        Events that did not meet the objective.
    """

    good: int = 0
    bad: int = 0

    @property
    def total(self) -> int:
        """Number of good and bad events."""
        return self.good + self.bad

    def __add__(self, other: "EventCounts") -> "EventCounts":
        return EventCounts(good=self.good + other.good, bad=self.bad + other.bad)


@dataclasses.dataclass(frozen=True, kw_only=True)
class EventSeries:
    """Numbers of good and bad events in each slot of a window.

    Attributes
    ----------
    good : tuple of int
        Good events, oldest slot first.
    bad : tuple of int
        Bad events, oldest slot first.
    """

    good: tuple[int, ...]
    bad: tuple[int, ...]


class SlidingWindow:
    """Sliding window over a ring buffer of slots.

    Slots are aligned to wall time, so that the slots of all VMs coincide.

    Parameters
    ----------
    shape : WindowShape
        Length and resolution of the window.
    """

    def __init__(self, *, shape: WindowShape) -> None:
        self.shape = shape
        self._good = array.array("I", bytes(4 * shape.slots))
        self._bad = array.array("I", bytes(4 * shape.slots))
        self._latest_slot = 0

    def add(self, *, is_good: bool, now_ms: int) -> None:
        """Count one event.

        Parameters
        ----------
        is_good : bool
            Whether the event met the objective.
        now_ms : int
            Wall time in milliseconds. If the clock went back, the event is counted in
            the latest slot.
        """
        self._advance(now_ms)
        counts = self._good if is_good else self._bad
        counts[self._latest_slot % self.shape.slots] += 1

    def counts(self, *, now_ms: int) -> EventCounts:
        """Return the totals over the window."""
        self._advance(now_ms)
        return EventCounts(good=sum(self._good), bad=sum(self._bad))

    def series(self, *, now_ms: int) -> EventSeries:
        """Return the counts by slot, oldest first; the last slot is still filling."""
        self._advance(now_ms)
        first = (self._latest_slot + 1) % self.shape.slots
        good, bad = self._good, self._bad
        return EventSeries(
            good=tuple(good[first:] + good[:first]),
            bad=tuple(bad[first:] + bad[:first]),
        )

    def _advance(self, now_ms: int) -> None:
        slot = now_ms // self.shape.slot_ms
        slots_passed = slot - self._latest_slot
        if slots_passed <= 0:
            return
        for index in range(min(slots_passed, self.shape.slots)):
            position = (slot - index) % self.shape.slots
            self._good[position] = 0
            self._bad[position] = 0
        self._latest_slot = slot
