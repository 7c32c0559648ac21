"""Non-blocking, rate-limited output for log lines."""

import io
import os

from foxtailbank.clock import MS_PER_S, Clock

LINES_PER_S = 400
BURST_LINES = 2_000


class LogOutput(io.TextIOBase):
    """Stream that writes lines to a file descriptor without blocking.

    Lines are dropped if they exceed the rate limit or if the reader has not yet
    accepted the previous line. The number of dropped lines is written before the
    next line that is not dropped.

    Parameters
    ----------
    descriptor : int
        Open file descriptor; it is switched to non-blocking mode.
    clock : Clock
        Source of time.
    """

    def __init__(self, *, descriptor: int, clock: Clock) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._line_allowance = float(BURST_LINES)
        self._updated_ms = clock.now_ms()
        self._pending = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write or drop one complete line."""
        self._refill()
        if self._line_allowance < 1 or not self._flush_pending():
            self.dropped += 1
            return len(text)
        self._line_allowance -= 1
        data = text.encode("utf-8", "backslashreplace")
        if self.dropped:
            notice = f'{{"event": "lines_dropped", "count": {self.dropped}}}\n'
            data = notice.encode() + data
            self.dropped = 0
        self._pending = data
        self._flush_pending()
        return len(text)

    def _refill(self) -> None:
        now_ms = self._clock.now_ms()
        gained = (now_ms - self._updated_ms) * LINES_PER_S / MS_PER_S
        self._line_allowance = min(self._line_allowance + gained, float(BURST_LINES))
        self._updated_ms = now_ms

    def _flush_pending(self) -> bool:
        """Write the rest of the last line; return whether it is fully written."""
        if not self._pending:
            return True
        try:
            written = os.write(self._descriptor, self._pending)
        except OSError:
            return False  # The pipe is full or closed; the line stays pending.
        self._pending = self._pending[written:]
        return not self._pending
