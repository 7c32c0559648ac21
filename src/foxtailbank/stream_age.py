"""Age of the records of a stream, estimated from its observed end offsets."""

import collections

MAX_SAMPLES = 64
RENEWAL_DIVISOR = 2


class StreamAge:
    """Samples the end offset of a stream to find the records due for renewal.

    Parameters
    ----------
    retention_ms : int
        Retention of the log, in milliseconds.
    """

    def __init__(self, *, retention_ms: int) -> None:
        self._renewal_age_ms = retention_ms // RENEWAL_DIVISOR
        self._spacing_ms = max(1, self._renewal_age_ms // MAX_SAMPLES)
        self._ends: collections.deque[tuple[int, int]] = collections.deque()
        self._aged_offset = 0

    def observe(self, *, end: int, now_ms: int) -> int:
        """Record the end of the stream; return the offset before which records are old.

        Parameters
        ----------
        end : int
            Offset that the next append gets.
        now_ms : int
            Current time in milliseconds.

        Returns
        -------
        int
            Records before it have been in the stream for at least half the retention;
            0 until this VM has run for that long.
        """
        if not self._ends or now_ms - self._ends[-1][0] >= self._spacing_ms:
            self._ends.append((now_ms, end))
        while self._ends and now_ms - self._ends[0][0] >= self._renewal_age_ms:
            self._aged_offset = self._ends.popleft()[1]
        return self._aged_offset
