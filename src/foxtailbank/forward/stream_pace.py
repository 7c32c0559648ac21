"""When to let events of a stream gather, so that some travel together.

Answers the pattern of a large fleet of small VMs that pass on many streams: where
events come close together, each piece costs processor time that others wait for. Events
that are farther apart are passed on as they come, since a pause would join none.
"""

MAX_PAUSE_MS = 40  # 25 pieces a second look continuous to a reader
PASS_SHARE = 0.4  # of the time for passing an event on; the rest is for the way


class StreamPace:
    """Pauses between the pieces of one stream.

    Parameters
    ----------
    pass_ms : int
        Longest time in which the deployment wants an event passed on.
    """

    def __init__(self, *, pass_ms: int) -> None:
        self._pause_ms = min(MAX_PAUSE_MS, PASS_SHARE * pass_ms)
        self._last_ms: int | None = None
        self._gathers = False

    def pause_ms(self, now_ms: int) -> float:
        """Return the pause after a piece that came now; 0 for none."""
        if self._last_ms is not None and not self._gathers:
            self._gathers = 2 * (now_ms - self._last_ms) <= self._pause_ms
        self._last_ms = now_ms
        return self._pause_ms if self._gathers else 0.0
