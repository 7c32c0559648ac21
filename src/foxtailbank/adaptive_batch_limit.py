"""Batch limit that follows online load and latency."""

from foxtailbank.batch_limit import BatchLimit, CancelBatchStreams
from foxtailbank.endpoint import LoadReport
from foxtailbank.gap_objective import GapObjective
from foxtailbank.online_estimate import OnlineEstimate
from foxtailbank.step_model import StepModel

HEADROOM_STREAMS = 2
QUIET_MS = 5000
START_PAUSE_MS = 4000
_SAMPLE_SPACING = 0.5


class AdaptiveBatchLimit(BatchLimit):
    """Limits batch so that the predicted gap between online tokens stays bounded.

    With online streams on the engine, the total of streams is what a step within the
    objective allows, with one online prefill in it; batch streams start only while no
    online request came for a while, since their prefill would lengthen its steps.
    Without online streams batch gets the whole engine after a quiet time, and until
    then as many streams as leave a new online request a short wait for the running
    step. Batch streams start one a step, so that no step has to compute many prompts.

    Parameters
    ----------
    max_running : int
        Streams that the engine runs at once, until a load report says otherwise.
    objective : GapObjective
        Bound on the time between online tokens.
    model : StepModel
        Step time of the engine.
    headroom_streams : int
        Places kept free for online requests while online streams run.
    quiet_ms : int
        Time without online streams after which batch gets the whole engine, in
        milliseconds.
    start_pause_ms : int
        Time after an online dispatch during which no batch stream starts beside
        online ones, in milliseconds.
    """

    def __init__(
        self,
        *,
        max_running: int,
        objective: GapObjective,
        model: StepModel,
        headroom_streams: int = HEADROOM_STREAMS,
        quiet_ms: int = QUIET_MS,
        start_pause_ms: int = START_PAUSE_MS,
    ) -> None:
        super().__init__()
        self._max_running = max_running
        self._objective = objective
        self._model = model
        self._headroom_streams = headroom_streams
        self._quiet_ms = quiet_ms
        self._start_pause_ms = start_pause_ms
        self._estimate = OnlineEstimate()
        self._last_online_ms: int | None = None
        self._last_dispatch_ms: int | None = None
        self._last_start_ms: int | None = None
        self._last_sample_ms: int | None = None
        self._joined_online = 0
        self._joined_batch = 0
        self._step_streams = 0
        self._step_online = 0
        self._step_joined_online = 0
        self._step_joined_batch = 0

    @property
    def online_streams(self) -> int:
        """Online streams on the endpoint, noticed or only reported."""
        return self._estimate.online_streams

    def limit(self, now_ms: int) -> int:
        """Return the number of batch streams that the endpoint may hold."""
        if self.online_streams:
            return self._busy_limit()
        if self._is_within(self._last_online_ms, self._quiet_ms, now_ms):
            return self._recovering_limit()
        return self._max_running

    def startable(self, now_ms: int) -> int:
        """Return how many more batch streams may start; at most one a step."""
        if super().startable(now_ms) == 0:
            return 0
        streams = self.online_streams + self.batch_streams + 1
        step_ms = self._model.step_ms(streams, prefills=1)
        if self._is_within(self._last_start_ms, step_ms, now_ms):
            return 0
        if self.online_streams == 0:
            return 1
        if self._is_within(self._last_dispatch_ms, self._start_pause_ms, now_ms):
            return 0
        return int(step_ms <= self._objective.objective_ms())

    def on_batch_start(self, now_ms: int) -> None:
        """Note that a batch stream was sent to the endpoint."""
        super().on_batch_start(now_ms)
        self._last_start_ms = now_ms
        self._joined_batch += 1
        self._estimate.on_change(online=0, batch=1, now_ms=now_ms)

    def on_batch_end(self, now_ms: int) -> None:
        """Note that a batch stream ended by itself."""
        super().on_batch_end(now_ms)
        self._estimate.on_change(online=0, batch=-1, now_ms=now_ms)

    def on_online_dispatch(self, now_ms: int) -> tuple[CancelBatchStreams, ...]:
        """Make room for an online request at once."""
        self._estimate.on_change(online=1, batch=0, now_ms=now_ms)
        self._joined_online += 1
        self._last_online_ms = now_ms
        self._last_dispatch_ms = now_ms
        return self._cancel_excess(now_ms)

    def on_online_end(self, now_ms: int) -> None:
        """Note that an online request left the endpoint."""
        self._estimate.on_change(online=-1, batch=0, now_ms=now_ms)
        self._last_online_ms = now_ms

    def on_token_gap(self, gap_ms: float, now_ms: int) -> None:
        """Learn from the gap of any stream; one sample a step is used."""
        spacing_ms = self._model.step_ms(0) * _SAMPLE_SPACING
        if self._is_within(self._last_sample_ms, spacing_ms, now_ms):
            return
        self._last_sample_ms = now_ms
        self._observe(gap_ms)
        self._step_streams = self.online_streams + self.batch_streams
        self._step_online = self.online_streams
        self._step_joined_online = self._joined_online
        self._step_joined_batch = self._joined_batch
        self._joined_online = 0
        self._joined_batch = 0

    def on_load_report(
        self, report: LoadReport, now_ms: int
    ) -> tuple[CancelBatchStreams, ...]:
        """Take over the engine's places and online streams without notice."""
        self._max_running = report.max_running
        self._estimate.on_load_report(report, now_ms)
        if self.online_streams:
            self._last_online_ms = now_ms
        return self._cancel_excess(now_ms)

    def _busy_limit(self) -> int:
        room_ms = self._objective.objective_ms() - self._model.prefill_ms
        places = self._max_running - self._headroom_streams
        total = min(places, self._model.streams_within(room_ms))
        return max(0, total - self.online_streams)

    def _recovering_limit(self) -> int:
        room_ms = self._objective.objective_ms() - self._model.prefill_ms / 2
        return min(self._max_running, self._model.streams_within(room_ms))

    def _observe(self, gap_ms: float) -> None:
        if self._step_streams == 0:
            return
        self._model.observe(
            streams=self._step_streams,
            prefills=self._step_joined_online + self._step_joined_batch,
            gap_ms=gap_ms,
        )
        if self._step_online:
            baseline_ms = self._model.step_ms(
                self._step_online, prefills=self._step_joined_online
            )
            self._objective.observe(
                baseline_gap_ms=baseline_ms, online_streams=self._step_online
            )

    def _cancel_excess(self, now_ms: int) -> tuple[CancelBatchStreams, ...]:
        actions = super()._cancel_excess(now_ms)
        for action in actions:
            self._estimate.on_change(online=0, batch=-action.count, now_ms=now_ms)
        return actions

    @staticmethod
    def _is_within(since_ms: int | None, duration_ms: float, now_ms: int) -> bool:
        return since_ms is not None and now_ms - since_ms < duration_ms
