"""Simulation of one engine under a batch policy, with given online arrivals."""

import collections
import dataclasses
import functools
import heapq
import typing as t

from hdrh.histogram import HdrHistogram

from foxtailbank.batch_limit import BatchLimit
from foxtailbank.endpoint import LoadReport
from foxtailbank.preemption import LeastProgress, PreemptionPolicy
from foxtailbank_bench.replay_input import EngineModel, ReplayStream, Workload

_HISTOGRAM_MAX_US = 600_000_000
_US_PER_MS = 1000
_BATCH_START_INTERVAL_MS = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplayResult:
    """Latencies in milliseconds and token counts of one run.

    Attributes
    ----------
    ttft_p50_ms, ttft_p99_ms, gap_p50_ms, gap_p99_ms : float
        Percentiles of the online requests.
    batch_tokens, online_tokens : int
        Output tokens by work class.
    max_preemption_ms : float
        Longest time from an online arrival until a batch stream that its dispatch
        notice preempted is cancelled at the engine.
    cancelled_on_dispatch : int
        Batch streams preempted by dispatch notices, not by load reports.
    resumed_tokens : int
        Tokens that preempted streams have to prefill again on resumption.
    """

    ttft_p50_ms: float
    ttft_p99_ms: float
    gap_p50_ms: float
    gap_p99_ms: float
    batch_tokens: int
    online_tokens: int
    max_preemption_ms: float
    cancelled_on_dispatch: int
    resumed_tokens: int


class Replay:
    """Discrete-event simulation of one engine, one arrival sequence and one policy.

    Parameters
    ----------
    model : EngineModel
        Cost model of the engine.
    workload : Workload
        Request sizes and duration.
    arrivals : list of (float, int)
        Time in milliseconds and number of output tokens of each online request.
    limit : BatchLimit or None
        Batch policy; None runs no batch streams.
    notify_dispatch : bool
        Whether the policy is notified of online requests: dispatch, first token, end.
    backlog : int
        Maximum number of concurrent batch streams.
    preemption : PreemptionPolicy, optional
        Chooses the batch streams to preempt; `LeastProgress` by default.
    """

    def __init__(
        self,
        *,
        model: EngineModel,
        workload: Workload,
        arrivals: list[tuple[float, int]],
        limit: BatchLimit | None,
        notify_dispatch: bool = True,
        backlog: int = 256,
        preemption: PreemptionPolicy | None = None,
    ) -> None:
        self._model = model
        self._workload = workload
        self._limit = limit
        self._notify_dispatch = notify_dispatch
        self._backlog = backlog
        self._preemption = preemption or LeastProgress()
        self._resumed_tokens = 0
        self._started_items = 0
        self._events: list[tuple[float, int, t.Callable[[float], None]]] = []
        self._event_count = 0
        self._running: list[ReplayStream] = []
        self._waiting: collections.deque[ReplayStream] = collections.deque()
        self._preempted: list[ReplayStream] = []
        self._batch_streams: list[ReplayStream] = []
        self._is_stepping = False
        self._step_ms = model.base_step_ms
        self._tokens_by_online = {True: 0, False: 0}
        self._cancelled_on_dispatch = 0
        self._max_preemption_ms = 0.0
        self._ttft = HdrHistogram(1, _HISTOGRAM_MAX_US, 3)
        self._gap = HdrHistogram(1, _HISTOGRAM_MAX_US, 3)
        for at_ms, length in arrivals:
            self._schedule(at_ms, functools.partial(self._on_arrival, length))

    def run(self) -> ReplayResult:
        """Simulate the workload for its whole duration."""
        self._schedule(0.0, self._send_load_report)
        self._schedule(0.0, self._start_batch_streams)
        while self._events:
            now_ms, _, action = heapq.heappop(self._events)
            if now_ms > self._workload.duration_ms:
                break
            action(now_ms)
        return ReplayResult(
            ttft_p50_ms=self._ttft.get_value_at_percentile(50) / _US_PER_MS,
            ttft_p99_ms=self._ttft.get_value_at_percentile(99) / _US_PER_MS,
            gap_p50_ms=self._gap.get_value_at_percentile(50) / _US_PER_MS,
            gap_p99_ms=self._gap.get_value_at_percentile(99) / _US_PER_MS,
            batch_tokens=self._tokens_by_online[False],
            online_tokens=self._tokens_by_online[True],
            max_preemption_ms=self._max_preemption_ms,
            cancelled_on_dispatch=self._cancelled_on_dispatch,
            resumed_tokens=self._resumed_tokens,
        )

    def _schedule(self, at_ms: float, action: t.Callable[[float], None]) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (at_ms, self._event_count, action))

    def _on_arrival(self, length: int, now_ms: float) -> None:
        stream = ReplayStream(
            online=True,
            arrived_ms=now_ms,
            prompt_tokens=self._workload.online_prompt_tokens,
            remaining_tokens=length,
        )
        arrives_ms = now_ms + self._model.network_ms
        self._schedule(arrives_ms, functools.partial(self._enqueue, stream))
        if self._limit is not None and self._notify_dispatch:
            self._schedule(
                arrives_ms, functools.partial(self._on_dispatch_notice, now_ms)
            )

    def _on_dispatch_notice(self, arrived_ms: float, now_ms: float) -> None:
        assert self._limit is not None
        actions = self._limit.on_online_dispatch(int(now_ms))
        self._preempt(now_ms, sum(action.count for action in actions), arrived_ms)

    def _preempt(self, now_ms: float, count: int, since_ms: float | None) -> None:
        views = [
            stream.to_batch_stream(n) for n, stream in enumerate(self._batch_streams)
        ]
        chosen = self._preemption.choose(views, count)
        for victim in [self._batch_streams[int(view.stream_id)] for view in chosen]:
            self._batch_streams.remove(victim)
            self._cancelled_on_dispatch += since_ms is not None
            arrives_ms = now_ms + self._model.network_ms
            self._schedule(arrives_ms, functools.partial(self._on_cancel, victim))
            if since_ms is not None:
                self._max_preemption_ms = max(
                    self._max_preemption_ms, arrives_ms - since_ms
                )

    def _on_cancel(self, victim: ReplayStream, now_ms: float) -> None:
        if victim.remaining_tokens == 0:
            return
        victim.cancelled = True
        self._resumed_tokens += victim.prompt_tokens + victim.done_tokens
        resumed = dataclasses.replace(victim, cancelled=False, last_token_ms=None)
        self._preempted.append(resumed)

    def _start_batch_streams(self, now_ms: float) -> None:
        if self._limit is None:
            return
        free_slots = min(
            self._limit.startable_streams(int(now_ms)),
            self._backlog - len(self._batch_streams),
        )
        for _ in range(free_slots):
            self._limit.on_batch_start(int(now_ms))
            stream = (
                self._preempted.pop() if self._preempted else self._new_item(now_ms)
            )
            self._batch_streams.append(stream)
            arrives_ms = now_ms + self._model.network_ms
            self._schedule(arrives_ms, functools.partial(self._enqueue, stream))
        self._schedule(now_ms + _BATCH_START_INTERVAL_MS, self._start_batch_streams)

    def _new_item(self, now_ms: float) -> ReplayStream:
        self._started_items += 1
        return self._workload.batch_item(self._started_items, now_ms)

    def _enqueue(self, stream: ReplayStream, now_ms: float) -> None:
        self._waiting.append(stream)
        if not self._is_stepping:
            self._start_step(now_ms)

    def _start_step(self, now_ms: float) -> None:
        self._running = [
            s for s in self._running if s.remaining_tokens and not s.cancelled
        ]
        prefill_tokens = 0
        while self._waiting and len(self._running) < self._model.max_running:
            stream = self._waiting.popleft()
            if stream.cancelled:
                continue
            prefill_tokens += stream.prompt_tokens + stream.done_tokens
            self._running.append(stream)
        self._is_stepping = bool(self._running)
        if not self._is_stepping:
            return
        self._step_ms = (
            self._model.base_step_ms
            + self._model.per_stream_ms * len(self._running)
            + self._model.prefill_ms_per_token * prefill_tokens
        )
        self._schedule(now_ms + self._step_ms, self._end_step)

    def _end_step(self, now_ms: float) -> None:
        for stream in self._running:
            if not stream.cancelled:
                self._emit_token(now_ms, stream)
        self._start_step(now_ms)

    def _emit_token(self, now_ms: float, stream: ReplayStream) -> None:
        stream.remaining_tokens -= 1
        stream.done_tokens += 1
        self._tokens_by_online[stream.online] += 1
        if stream.online and stream.last_token_ms is None:
            ttft_ms = now_ms - stream.arrived_ms
            self._ttft.record_value(int(ttft_ms * _US_PER_MS))
            if self._limit is not None and self._notify_dispatch:
                self._limit.on_first_token(ttft_ms, int(now_ms))
        elif stream.online:
            gap_ms = now_ms - t.cast(float, stream.last_token_ms)
            self._gap.record_value(int(gap_ms * _US_PER_MS))
        if self._limit is not None and stream.last_token_ms is not None:
            self._limit.on_token_gap(now_ms - stream.last_token_ms, int(now_ms))
        stream.last_token_ms = now_ms
        if stream.remaining_tokens == 0:
            self._on_stream_end(now_ms, stream)

    def _on_stream_end(self, now_ms: float, stream: ReplayStream) -> None:
        if self._limit is None:
            return
        if stream in self._batch_streams:
            self._batch_streams.remove(stream)
            self._limit.on_batch_end(int(now_ms))
        elif stream.online and self._notify_dispatch:
            self._limit.on_online_end(int(now_ms))

    def _send_load_report(self, now_ms: float) -> None:
        report = LoadReport(
            age_ms=int(self._model.report_lag_ms),
            running=len(self._running),
            waiting=len(self._waiting),
            max_running=self._model.max_running,
            step_ms=self._step_ms,
            draining=False,
        )
        self._schedule(
            now_ms + self._model.report_lag_ms,
            functools.partial(self._on_load_report, report),
        )
        self._schedule(now_ms + self._model.report_interval_ms, self._send_load_report)

    def _on_load_report(self, report: LoadReport, now_ms: float) -> None:
        if self._limit is None:
            return
        actions = self._limit.on_load_report(report, int(now_ms))
        self._preempt(now_ms, sum(action.count for action in actions), None)
