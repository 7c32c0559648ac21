"""Time in milliseconds."""

import abc
import time

MS_PER_S = 1000
NS_PER_MS = 1_000_000


class Clock(abc.ABC):
    """Source of time; every duration in the system is in milliseconds."""

    @abc.abstractmethod
    def now_ms(self) -> int:
        """Return time since boot, suspension included.

        Returns
        -------
        int
            Milliseconds; comparable only within this VM's boot.
        """

    @abc.abstractmethod
    def wall_ms(self) -> int:
        """Return civil time.

        Returns
        -------
        int
            Milliseconds since the Unix epoch; may jump.
        """


class SystemClock(Clock):
    """Clock of the operating system that keeps counting while suspended."""

    def now_ms(self) -> int:
        """Return milliseconds since boot, suspension included."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // NS_PER_MS


class ManualClock(Clock):
    """Clock that moves only when told to; for tests and replays.

    Parameters
    ----------
    start_ms : int
        First reading of both scales, in milliseconds.
    """

    def __init__(self, *, start_ms: int = 0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> int:
        """Return the current reading in milliseconds."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the current reading in milliseconds."""
        return self._now_ms

    def advance(self, delta_ms: int) -> None:
        """Move forward.

        Parameters
        ----------
        delta_ms : int
            Milliseconds to add; not negative.
        """
        self._now_ms += delta_ms
