"""Coalescing of stream events that arrive close together.

Designed for a large fleet of small VMs that forward many streams: each write costs
processor time for which other streams wait. Events that are farther apart are forwarded
as they arrive, since a pause would not combine any.
"""

import anyio

from foxtailbank.clock import MS_PER_S

MAX_PAUSE_MS = 40  # 25 updates per second look continuous to a reader
PASS_SHARE = 0.4  # of the limit on an event's delay; the rest is for transport


class StreamPacer:
    """Determines the pauses between the writes of one stream.

    Parameters
    ----------
    pass_ms : int
        Upper limit of the deployment on the delay of an event.
    """

    def __init__(self, *, pass_ms: int) -> None:
        self._pause_ms = min(MAX_PAUSE_MS, PASS_SHARE * pass_ms)
        self._last_ms: int | None = None
        self._is_coalescing = False

    def pause_ms(self, now_ms: int) -> float:
        """Return the pause after data that arrived at `now_ms`; 0 for none."""
        if self._last_ms is not None and not self._is_coalescing:
            self._is_coalescing = 2 * (now_ms - self._last_ms) <= self._pause_ms
        self._last_ms = now_ms
        return self._pause_ms if self._is_coalescing else 0.0

    async def pause(self, now_ms: int) -> None:
        """Pause after data that arrived at `now_ms` if that combines events."""
        if pause_ms := self.pause_ms(now_ms):
            await anyio.sleep(pause_ms / MS_PER_S)
