"""Good and bad events over a sliding window, in fixed memory."""

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
        How people call it, ``"1 h"``.
    slot_ms : int
        Resolution in milliseconds.
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
    """Good and bad events.

    Attributes
    ----------
    good : int
        Events that met the objective.
    bad : int
        Events that did not.
    """

    good: int = 0
    bad: int = 0

    @property
    def total(self) -> int:
        """All events."""
        return self.good + self.bad

    def __add__(self, other: "EventCounts") -> "EventCounts":
        return EventCounts(good=self.good + other.good, bad=self.bad + other.bad)


@dataclasses.dataclass(frozen=True, kw_only=True)
class EventSeries:
    """Good and bad events in each slot of a window.

    Attributes
    ----------
    good : tuple of int
        Good events, oldest slot first.
    bad : tuple of int
        Bad events, oldest slot first.
    """

    good: tuple[int, ...]
    bad: tuple[int, ...]


class RingWindow:
    """Ring of slots; slots are aligned to wall time, the same on every VM.

    Parameters
    ----------
    shape : WindowShape
        Length and resolution.
    """

    def __init__(self, *, shape: WindowShape) -> None:
        self.shape = shape
        self._good = array.array("I", bytes(4 * shape.slots))
        self._bad = array.array("I", bytes(4 * shape.slots))
        self._latest = 0

    def add(self, *, is_good: bool, now_ms: int) -> None:
        """Count one event.

        Parameters
        ----------
        is_good : bool
            Whether it met the objective.
        now_ms : int
            Wall time in milliseconds; if it went back, the latest slot counts.
        """
        self._advance(now_ms)
        counts = self._good if is_good else self._bad
        counts[self._latest % self.shape.slots] += 1

    def counts(self, *, now_ms: int) -> EventCounts:
        """Return the sums over the window."""
        self._advance(now_ms)
        return EventCounts(good=sum(self._good), bad=sum(self._bad))

    def series(self, *, now_ms: int) -> EventSeries:
        """Return the slots, oldest first; the last one is still running."""
        self._advance(now_ms)
        first = (self._latest + 1) % self.shape.slots
        good, bad = self._good, self._bad
        return EventSeries(
            good=tuple(good[first:] + good[:first]),
            bad=tuple(bad[first:] + bad[:first]),
        )

    def _advance(self, now_ms: int) -> None:
        slot = now_ms // self.shape.slot_ms
        passed = slot - self._latest
        if passed <= 0:
            return
        for index in range(min(passed, self.shape.slots)):
            position = (slot - index) % self.shape.slots
            self._good[position] = 0
            self._bad[position] = 0
        self._latest = slot
