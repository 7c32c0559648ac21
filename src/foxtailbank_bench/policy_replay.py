"""Replay of recorded online arrivals on one modelled engine under batch policies."""

import collections
import dataclasses
import functools
import heapq
import typing as t

from hdrh.histogram import HdrHistogram

from foxtailbank.batch_limit import BatchLimit
from foxtailbank.endpoint import LoadReport
from foxtailbank.preemption import LeastProgress, Preemption
from foxtailbank_bench.replay_input import EngineModel, ReplayStream, Workload

_HISTOGRAM_MAX_US = 600_000_000
_US_PER_MS = 1000


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplayResult:
    """Latencies in milliseconds and batch tokens of one run."""

    ttft_p50_ms: float
    ttft_p99_ms: float
    gap_p50_ms: float
    gap_p99_ms: float
    batch_tokens: int
    online_tokens: int
    preempted_p100_ms: float
    cancelled_on_dispatch: int
    resumed_tokens: int


class Replay:
    """One engine, one recorded sequence of arrivals, one batch policy.

    Parameters
    ----------
    model : EngineModel
        The engine.
    workload : Workload
        Shapes and duration.
    arrivals : list of (float, int)
        Online arrivals.
    limit : BatchLimit or None
        Policy; None runs no batch work.
    notice : bool
        Whether the policy is told of each dispatch.
    backlog : int
        Most batch streams that are ever offered at once.
    preemption : Preemption, optional
        Chooses the batch streams that are cancelled.
    """

    def __init__(
        self,
        *,
        model: EngineModel,
        workload: Workload,
        arrivals: list[tuple[float, int]],
        limit: BatchLimit | None,
        notice: bool = True,
        backlog: int = 256,
        preemption: Preemption | None = None,
    ) -> None:
        self._model = model
        self._workload = workload
        self._limit = limit
        self._notice = notice
        self._backlog = backlog
        self._preemption = preemption or LeastProgress()
        self._resumed_tokens = 0
        self._items = 0
        self._events: list[tuple[float, int, t.Callable[[float], None]]] = []
        self._sequence = 0
        self._running: list[ReplayStream] = []
        self._waiting: collections.deque[ReplayStream] = collections.deque()
        self._paused: list[ReplayStream] = []
        self._batch: list[ReplayStream] = []
        self._stepping = False
        self._step_ms = model.base_ms
        self._tokens = {True: 0, False: 0}
        self._cancelled_on_dispatch = 0
        self._preempted_ms = 0.0
        self._ttft = HdrHistogram(1, _HISTOGRAM_MAX_US, 3)
        self._gap = HdrHistogram(1, _HISTOGRAM_MAX_US, 3)
        for at_ms, length in arrivals:
            self._at(at_ms, functools.partial(self._arrive, length))

    def run(self) -> ReplayResult:
        """Run the sequence to its end."""
        self._at(0.0, self._report)
        self._at(0.0, self._fill)
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
            batch_tokens=self._tokens[False],
            online_tokens=self._tokens[True],
            preempted_p100_ms=self._preempted_ms,
            cancelled_on_dispatch=self._cancelled_on_dispatch,
            resumed_tokens=self._resumed_tokens,
        )

    def _at(self, at_ms: float, action: t.Callable[[float], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at_ms, self._sequence, action))

    def _arrive(self, length: int, now_ms: float) -> None:
        stream = ReplayStream(
            online=True,
            arrived_ms=now_ms,
            prompt=self._workload.online_prompt,
            left=length,
        )
        arrives_ms = now_ms + self._model.network_ms
        self._at(arrives_ms, functools.partial(self._admit, stream))
        if self._limit is not None and self._notice:
            self._at(arrives_ms, functools.partial(self._notify, now_ms))

    def _notify(self, arrived_ms: float, now_ms: float) -> None:
        assert self._limit is not None
        actions = self._limit.on_online_dispatch(int(now_ms))
        self._cancel(now_ms, sum(action.count for action in actions), arrived_ms)

    def _cancel(self, now_ms: float, count: int, since_ms: float | None) -> None:
        views = [stream.view(n) for n, stream in enumerate(self._batch)]
        chosen = self._preemption.choose(views, count)
        for victim in [self._batch[int(view.stream_id)] for view in chosen]:
            self._batch.remove(victim)
            self._cancelled_on_dispatch += since_ms is not None
            arrives_ms = now_ms + self._model.network_ms
            self._at(arrives_ms, functools.partial(self._drop, victim))
            if since_ms is not None:
                self._preempted_ms = max(self._preempted_ms, arrives_ms - since_ms)

    def _drop(self, victim: ReplayStream, now_ms: float) -> None:
        if victim.left == 0:
            return
        victim.cancelled = True
        self._resumed_tokens += victim.prompt + victim.done
        resumed = dataclasses.replace(victim, cancelled=False, last_token_ms=None)
        self._paused.append(resumed)

    def _fill(self, now_ms: float) -> None:
        if self._limit is None:
            return
        room = min(self._limit.startable(int(now_ms)), self._backlog - len(self._batch))
        for _ in range(room):
            self._limit.on_batch_start(int(now_ms))
            stream = self._paused.pop() if self._paused else self._new_item(now_ms)
            self._batch.append(stream)
            arrives_ms = now_ms + self._model.network_ms
            self._at(arrives_ms, functools.partial(self._admit, stream))
        self._at(now_ms + 5.0, self._fill)

    def _new_item(self, now_ms: float) -> ReplayStream:
        self._items += 1
        return self._workload.item(self._items, now_ms)

    def _admit(self, stream: ReplayStream, now_ms: float) -> None:
        self._waiting.append(stream)
        if not self._stepping:
            self._start_step(now_ms)

    def _start_step(self, now_ms: float) -> None:
        self._running = [s for s in self._running if s.left and not s.cancelled]
        prefill = 0
        while self._waiting and len(self._running) < self._model.max_running:
            stream = self._waiting.popleft()
            if stream.cancelled:
                continue
            prefill += stream.prompt + stream.done
            self._running.append(stream)
        self._stepping = bool(self._running)
        if not self._stepping:
            return
        self._step_ms = (
            self._model.base_ms
            + self._model.per_stream_ms * len(self._running)
            + self._model.prefill_ms_per_token * prefill
        )
        self._at(now_ms + self._step_ms, self._end_step)

    def _end_step(self, now_ms: float) -> None:
        for stream in self._running:
            if not stream.cancelled:
                self._emit(now_ms, stream)
        self._start_step(now_ms)

    def _emit(self, now_ms: float, stream: ReplayStream) -> None:
        stream.left -= 1
        stream.done += 1
        self._tokens[stream.online] += 1
        if stream.online and stream.last_token_ms is None:
            ttft_ms = now_ms - stream.arrived_ms
            self._ttft.record_value(int(ttft_ms * _US_PER_MS))
            if self._limit is not None and self._notice:
                self._limit.on_first_token(ttft_ms, int(now_ms))
        elif stream.online:
            gap_ms = now_ms - t.cast(float, stream.last_token_ms)
            self._gap.record_value(int(gap_ms * _US_PER_MS))
        if self._limit is not None and stream.last_token_ms is not None:
            self._limit.on_token_gap(now_ms - stream.last_token_ms, int(now_ms))
        stream.last_token_ms = now_ms
        if stream.left == 0:
            self._finish(now_ms, stream)

    def _finish(self, now_ms: float, stream: ReplayStream) -> None:
        if self._limit is None:
            return
        if stream in self._batch:
            self._batch.remove(stream)
            self._limit.on_batch_end(int(now_ms))
        elif stream.online and self._notice:
            self._limit.on_online_end(int(now_ms))

    def _report(self, now_ms: float) -> None:
        report = LoadReport(
            age_ms=int(self._model.report_lag_ms),
            running=len(self._running),
            waiting=len(self._waiting),
            max_running=self._model.max_running,
            step_ms=self._step_ms,
            draining=False,
        )
        self._at(
            now_ms + self._model.report_lag_ms, functools.partial(self._read, report)
        )
        self._at(now_ms + self._model.report_interval_ms, self._report)

    def _read(self, report: LoadReport, now_ms: float) -> None:
        if self._limit is None:
            return
        actions = self._limit.on_load_report(report, int(now_ms))
        self._cancel(now_ms, sum(action.count for action in actions), None)
