"""Which records of a stream are old, going by when this VM saw its end."""

import collections

SAMPLES = 64
RENEW_PART = 2


class StreamAge:
    """Remembers where the stream ended at earlier times.

    Parameters
    ----------
    retention_ms : int
        How long the log keeps a record, in milliseconds.
    """

    def __init__(self, *, retention_ms: int) -> None:
        self._renew_ms = retention_ms // RENEW_PART
        self._spacing_ms = max(1, self._renew_ms // SAMPLES)
        self._ends: collections.deque[tuple[int, int]] = collections.deque()
        self._aged_offset = 0

    def observe(self, *, end: int, now_ms: int) -> int:
        """Note where the stream ends; return the offset before which it is old.

        Parameters
        ----------
        end : int
            Offset that the next append will get.
        now_ms : int
            Present time in milliseconds.

        Returns
        -------
        int
            Records before it were seen more than half the retention ago; 0 until
            this VM has run so long.
        """
        if not self._ends or now_ms - self._ends[-1][0] >= self._spacing_ms:
            self._ends.append((now_ms, end))
        while self._ends and now_ms - self._ends[0][0] >= self._renew_ms:
            self._aged_offset = self._ends.popleft()[1]
        return self._aged_offset
