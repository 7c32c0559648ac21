"""Batch limit that adapts to online load and latency."""

from foxtailbank.batch_limit import BatchLimit, CancelBatchStreams
from foxtailbank.endpoint import LoadReport
from foxtailbank.gap_objective import GapObjective
from foxtailbank.online_estimate import OnlineEstimate
from foxtailbank.step_model import StepModel

HEADROOM_STREAMS = 2
ONLINE_IDLE_MS = 5000
START_PAUSE_MS = 4000
_SAMPLE_SPACING = 0.5  # shortest time between samples, in steps of an empty batch


class AdaptiveBatchLimit(BatchLimit):
    """Limits batch so that the predicted gap between online tokens stays bounded.

    While online streams run, the total number of streams is bounded so that a step
    that includes one online prefill stays within the objective. Batch streams start
    only if no online request was dispatched recently, since their prefill would
    lengthen the steps of that request.

    Once no online stream has run for `online_idle_ms`, batch gets the whole engine.
    Until then it gets as many streams as keep the running step short, because a new
    online request waits for that step.

    At most one batch stream starts per step, so that no step computes many prompts.

    Parameters
    ----------
    max_running : int
        Streams that the engine runs at once, until a load report gives the number.
    objective : GapObjective
        Bound on the time between online tokens.
    model : StepModel
        Model of the engine's step time.
    headroom_streams : int
        Slots kept free for online requests while online streams run.
    online_idle_ms : int
        Time without online streams after which batch gets the whole engine, in
        milliseconds.
    start_pause_ms : int
        Time after an online dispatch during which no batch stream starts while
        online streams run, in milliseconds.
    """

    def __init__(
        self,
        *,
        max_running: int,
        objective: GapObjective,
        model: StepModel,
        headroom_streams: int = HEADROOM_STREAMS,
        online_idle_ms: int = ONLINE_IDLE_MS,
        start_pause_ms: int = START_PAUSE_MS,
    ) -> None:
        super().__init__()
        self._max_running = max_running
        self._objective = objective
        self._model = model
        self._headroom_streams = headroom_streams
        self._online_idle_ms = online_idle_ms
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
        """Online streams on the endpoint, known by notice or only by load report."""
        return self._estimate.online_streams

    def limit(self, now_ms: int) -> int:
        """Return the number of batch streams that the endpoint may hold."""
        if self.online_streams:
            return self._limit_with_online()
        if self._is_within(self._last_online_ms, self._online_idle_ms, now_ms):
            return self._limit_after_online()
        return self._max_running

    def startable_streams(self, now_ms: int) -> int:
        """Return the number of batch streams that may start; at most one per step."""
        if super().startable_streams(now_ms) == 0:
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
        """Record that a batch stream was sent to the endpoint."""
        super().on_batch_start(now_ms)
        self._last_start_ms = now_ms
        self._joined_batch += 1
        self._estimate.on_change(online=0, batch=1, now_ms=now_ms)

    def on_batch_end(self, now_ms: int) -> None:
        """Record that a batch stream ended without being cancelled."""
        super().on_batch_end(now_ms)
        self._estimate.on_change(online=0, batch=-1, now_ms=now_ms)

    def on_online_dispatch(self, now_ms: int) -> tuple[CancelBatchStreams, ...]:
        """Record an online dispatch and return the cancellations that it requires."""
        self._estimate.on_change(online=1, batch=0, now_ms=now_ms)
        self._joined_online += 1
        self._last_online_ms = now_ms
        self._last_dispatch_ms = now_ms
        return self._cancel_excess(now_ms)

    def on_online_end(self, now_ms: int) -> None:
        """Record that an online request ended on the endpoint."""
        self._estimate.on_change(online=-1, batch=0, now_ms=now_ms)
        self._last_online_ms = now_ms

    def on_token_gap(self, gap_ms: float, now_ms: int) -> None:
        """Update the model from a gap of any stream, with one sample per step."""
        spacing_ms = self._model.step_ms(0) * _SAMPLE_SPACING
        if self._is_within(self._last_sample_ms, spacing_ms, now_ms):
            return
        self._last_sample_ms = now_ms
        self._observe_step(gap_ms)
        self._step_streams = self.online_streams + self.batch_streams
        self._step_online = self.online_streams
        self._step_joined_online = self._joined_online
        self._step_joined_batch = self._joined_batch
        self._joined_online = 0
        self._joined_batch = 0

    def on_load_report(
        self, report: LoadReport, now_ms: int
    ) -> tuple[CancelBatchStreams, ...]:
        """Apply the engine's slot count and the online streams known by report only."""
        self._max_running = report.max_running
        self._estimate.on_load_report(report, now_ms)
        if self.online_streams:
            self._last_online_ms = now_ms
        return self._cancel_excess(now_ms)

    def _limit_with_online(self) -> int:
        decode_ms = self._objective.objective_ms() - self._model.prefill_ms
        slots = self._max_running - self._headroom_streams
        total = min(slots, self._model.streams_within(decode_ms))
        return max(0, total - self.online_streams)

    def _limit_after_online(self) -> int:
        decode_ms = self._objective.objective_ms() - self._model.prefill_ms / 2
        return min(self._max_running, self._model.streams_within(decode_ms))

    def _observe_step(self, gap_ms: float) -> None:
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
