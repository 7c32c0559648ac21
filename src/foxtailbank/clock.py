"""Clocks in milliseconds."""

import abc
import time

MS_PER_S = 1000
NS_PER_MS = 1_000_000


class Clock(abc.ABC):
    """Source of time; every duration in the system is in milliseconds."""

    @abc.abstractmethod
    def now_ms(self) -> int:
        """Return the time since boot, including time suspended.

        Returns
        -------
        int
            Milliseconds; comparable only until this VM reboots.
        """

    @abc.abstractmethod
    def wall_ms(self) -> int:
        """Return the wall-clock time.

        Returns
        -------
        int
            Milliseconds since the Unix epoch; may jump in either direction.
        """


class SystemClock(Clock):
    """Operating system clock; `now_ms` keeps counting during suspension."""

    def now_ms(self) -> int:
        """Return milliseconds since boot, including time suspended."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // NS_PER_MS


class ManualClock(Clock):
    """Clock that moves only by `advance`; for tests and replays.

    Parameters
    ----------
    start_ms : int
        Initial value of both times, in milliseconds.
    """

    def __init__(self, *, start_ms: int = 0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> int:
        """Return the current value in milliseconds."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the current value in milliseconds."""
        return self._now_ms

    def advance(self, delta_ms: int) -> None:
        """Move the clock forward.

        Parameters
        ----------
        delta_ms : int
            Milliseconds to add; not negative.
        """
        self._now_ms += delta_ms
