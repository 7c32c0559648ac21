"""Batch limit that follows online load and latency."""

from foxtailbank.batch_limit import BatchLimit, CancelBatchStreams
from foxtailbank.endpoint import LoadReport

HEADROOM_STREAMS = 2
ONLINE_SHARE_PERCENT = 50
IDLE_MS = 300
MAX_GAP_RATIO = 1.08
_EWMA_WEIGHT = 0.2


class AdaptiveBatchLimit(BatchLimit):
    """Lets batch have the whole engine while no online stream is on it.

    While online streams run, batch shares the engine up to a total number of
    streams that shrinks by half when the gap between online tokens exceeds its
    objective and grows by one a step otherwise.

    Parameters
    ----------
    max_running : int
        Streams that the engine runs at once, until a load report says otherwise.
    gap_objective_ms : float
        Bound on the time between online tokens, in milliseconds.
    headroom_streams : int
        Places kept free for online requests while online streams run.
    idle_ms : int
        Time without online streams after which batch gets the whole engine, in
        milliseconds.
    """

    def __init__(
        self,
        *,
        max_running: int,
        gap_objective_ms: float,
        headroom_streams: int = HEADROOM_STREAMS,
        idle_ms: int = IDLE_MS,
    ) -> None:
        super().__init__()
        self._max_running = max_running
        self._gap_objective_ms = gap_objective_ms
        self._headroom_streams = headroom_streams
        self._idle_ms = idle_ms
        self._idle_since_ms: int | None = None
        self._shared_streams = max(1, max_running * ONLINE_SHARE_PERCENT // 100)
        self._gap_ms = 0.0
        self._changed_at_ms = 0

    def limit(self, now_ms: int) -> int:
        """Return the present limit."""
        if self._is_idle(now_ms):
            return self._max_running
        places = self._max_running - self._headroom_streams
        total = min(places, self._shared_streams)
        return max(0, total - self._online_streams)

    def on_online_dispatch(self, now_ms: int) -> tuple[CancelBatchStreams, ...]:
        """Make room for an online request at once."""
        self._idle_since_ms = None
        return super().on_online_dispatch(now_ms)

    def on_online_end(self, now_ms: int) -> None:
        """Note that an online request left the endpoint."""
        super().on_online_end(now_ms)
        if self._online_streams == 0:
            self._idle_since_ms = now_ms

    def on_token_gap(self, gap_ms: float, now_ms: int) -> None:
        """Shrink or grow the number of streams that share the engine."""
        self._gap_ms += _EWMA_WEIGHT * (gap_ms - self._gap_ms)
        if now_ms - self._changed_at_ms < self._gap_ms * 2:
            return
        self._changed_at_ms = now_ms
        if self._gap_ms > self._gap_objective_ms:
            self._shared_streams = max(1, self._shared_streams // 2)
        elif self._gap_ms < self._gap_objective_ms / MAX_GAP_RATIO:
            self._shared_streams = min(self._max_running, self._shared_streams + 1)

    def on_load_report(
        self, report: LoadReport, now_ms: int
    ) -> tuple[CancelBatchStreams, ...]:
        """Take over the engine's number of places."""
        self._max_running = report.max_running
        return self._cancel_excess(now_ms)

    def _is_idle(self, now_ms: int) -> bool:
        if self._online_streams:
            return False
        if self._idle_since_ms is None:
            return True
        return now_ms - self._idle_since_ms >= self._idle_ms
