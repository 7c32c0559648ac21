"""Output for log lines that never blocks and never floods."""

import io
import os

from foxtailbank.clock import MS_PER_S, Clock

LINES_PER_S = 400
BURST_LINES = 2_000


class LogOutput(io.TextIOBase):
    """Writes lines to a descriptor as long as it takes them.

    Lines beyond the rate, or that the reader is too slow for, are dropped and
    counted; the count is written with the next line that passes.

    Parameters
    ----------
    descriptor : int
        Open file descriptor; it is made non-blocking.
    clock : Clock
        Source of time.
    """

    def __init__(self, *, descriptor: int, clock: Clock) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._lines_left = float(BURST_LINES)
        self._updated_ms = clock.now_ms()
        self._rest = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Take one whole line."""
        self._refill()
        if self._lines_left < 1 or not self._flush_rest():
            self.dropped += 1
            return len(text)
        self._lines_left -= 1
        data = text.encode("utf-8", "backslashreplace")
        if self.dropped:
            note = f'{{"event": "lines_dropped", "count": {self.dropped}}}\n'
            data = note.encode() + data
            self.dropped = 0
        self._rest = data
        self._flush_rest()
        return len(text)

    def _refill(self) -> None:
        now_ms = self._clock.now_ms()
        gained = (now_ms - self._updated_ms) * LINES_PER_S / MS_PER_S
        self._lines_left = min(self._lines_left + gained, float(BURST_LINES))
        self._updated_ms = now_ms

    def _flush_rest(self) -> bool:
        """Write what is left of the last line; true once nothing is."""
        if not self._rest:
            return True
        try:
            written = os.write(self._descriptor, self._rest)
        except OSError:
            return False  # the reader is slow or gone; the line waits
        self._rest = self._rest[written:]
        return not self._rest
