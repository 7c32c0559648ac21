"""Takes an online request to a worker and its answer back."""

import dataclasses
import random

import anyio

from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.fleet.load_table import LoadKind
from foxtailbank.fleet.placement import Choice, Refusal
from foxtailbank.fleet.worker import Worker
from foxtailbank.forward import patience
from foxtailbank.forward.call import Call
from foxtailbank.forward.call_recorder import BROKEN_OFF, CallRecorder
from foxtailbank.forward.event_stream import EventCutter
from foxtailbank.forward.fleet_state import FleetState
from foxtailbank.forward.route import Route, RouteKind
from foxtailbank.forward.worker_client import WorkerAnswer, WorkerClient
from foxtailbank.headers import Headers
from foxtailbank.http1.failures import (
    ConnectionBroken,
    ExchangeFailed,
    NotConnected,
)
from foxtailbank.http1.responder import Responder
from foxtailbank.logs import Logs
from foxtailbank.metrics import Metrics

EVENT_GAP_MS = 900  # several times the longest step of a full engine
MIN_SAFE_WAIT_MS = 250
SAFE_WAIT_FACTOR = 5  # of the mean run time; slower ones are rare
PROMISES = frozenset((408, 421, 429, 503))  # tell a client that nothing has run
LAST_MOMENT_MS = 30  # less is too short for any run
STREAM_PAUSE_MS = 40  # 25 pieces a second look continuous to a reader


@dataclasses.dataclass(kw_only=True)
class _Progress:
    """What has happened to one request so far."""

    deadline_ms: int
    tried: set[str] = dataclasses.field(default_factory=set)
    sent: int = 0
    may_have_run: bool = False
    last_failure: str = ""
    cutter: EventCutter = dataclasses.field(default_factory=EventCutter)


class Forwarder:
    """Serves online requests.

    Parameters
    ----------
    client : WorkerClient
        Connections to workers.
    fleet : FleetState
        Workers, loads and marks that the decisions rest on.
    clock : Clock
        Source of time.
    logs : Logs
        Takes a line for each outcome.
    metrics : Metrics
        Takes counts and latencies.
    rng : random.Random
        Spreads choices and times to come back.
    """

    def __init__(
        self,
        *,
        client: WorkerClient,
        fleet: FleetState,
        clock: Clock,
        logs: Logs,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._client = client
        self._fleet = fleet
        self._clock = clock
        self._rng = rng
        self._recorder = CallRecorder(
            fleet=fleet, clock=clock, logs=logs, metrics=metrics
        )

    async def serve(self, call: Call, route: Route, responder: Responder) -> None:
        """Answer one request.

        Parameters
        ----------
        call : Call
            The request.
        route : Route
            Entry that it falls under.
        responder : Responder
            Where the answer goes.
        """
        wait_ms = min(call.patience_ms or route.timeout_ms, route.timeout_ms)
        progress = _Progress(deadline_ms=call.arrived_ms + wait_ms)
        progress.cutter.last_id = call.resume_after
        with anyio.move_on_after(self._left_ms(progress) / MS_PER_S) as scope:
            try:
                await self._run(call, route, responder, progress)
            except anyio.get_cancelled_exc_class():
                if not scope.cancel_called:
                    self._recorder.client_left(call, route)
                raise
        if scope.cancelled_caught:
            await self._expire(call, route, responder, progress)

    async def _run(
        self, call: Call, route: Route, responder: Responder, progress: _Progress
    ) -> None:
        if self._fleet.marks.refused(call.fingerprint):
            await self._refuse(call, route, responder, progress, "crashes_workers", 0)
            return
        while True:
            choice = self._choose(call, route, progress)
            if isinstance(choice, Refusal):
                await self._give_up(call, route, responder, progress, choice)
                return
            if await self._attempt(call, route, responder, progress, choice):
                return
            if progress.sent >= route.max_attempts:
                refusal = self._fleet.no_attempts_left(choice.worker.service)
                await self._give_up(call, route, responder, progress, refusal)
                return

    def _choose(
        self, call: Call, route: Route, progress: _Progress
    ) -> Choice | Refusal:
        left_ms = self._left_ms(progress)
        longest_ms = patience.longest_wait_ms(
            target_ms=route.target_ms, timeout_ms=route.timeout_ms, left_ms=left_ms
        )
        return self._fleet.choose(
            service=route.choose_service(self._rng),
            tried=progress.tried,
            affinity=call.affinity,
            patience_ms=longest_ms,
            now_ms=self._clock.now_ms(),
        )

    async def _attempt(
        self,
        call: Call,
        route: Route,
        responder: Responder,
        progress: _Progress,
        choice: Choice,
    ) -> bool:
        """Send to one worker; true once the request has its answer."""
        worker = choice.worker
        progress.tried.add(worker.worker_id)
        self._fleet.start(worker.worker_id, LoadKind.ONLINE)
        started_ms = self._clock.now_ms()
        progress.sent += 1
        try:
            async with self._client.exchange(
                worker,
                call,
                left_ms=int(self._left_ms(progress)),
                head_timeout_ms=self._head_timeout_ms(route, choice, progress),
                resume_after=progress.cutter.last_id,
            ) as answer:
                if answer.not_run:
                    self._on_refused(call, worker, answer, progress)
                    return False
                progress.may_have_run = True
                done = await self._pass_on(
                    call, route, responder, progress, worker, answer
                )
            if done:
                self._on_served(call, worker, answer, started_ms)
            return done
        except NotConnected as failure:
            progress.sent -= 1
            self._on_failure(call, worker, progress, failure)
            return False
        except ExchangeFailed as failure:
            progress.may_have_run = True
            self._on_failure(call, worker, progress, failure)
            return not await self._may_go_on(call, route, responder, progress, failure)
        finally:
            self._fleet.end(worker.worker_id, LoadKind.ONLINE)

    def _head_timeout_ms(
        self, route: Route, choice: Choice, progress: _Progress
    ) -> float:
        left_ms = self._left_ms(progress)
        if not route.repeatable or progress.sent >= route.max_attempts:
            return left_ms
        if route.kind is RouteKind.SAFE:
            mean_ms = self._fleet.times.mean_ms(choice.worker.service)
            wait_ms = max(SAFE_WAIT_FACTOR * mean_ms, MIN_SAFE_WAIT_MS)
            return min(left_ms, choice.wait_ms + wait_ms)
        return min(left_ms, choice.wait_ms + EVENT_GAP_MS)

    async def _pass_on(
        self,
        call: Call,
        route: Route,
        responder: Responder,
        progress: _Progress,
        worker: Worker,
        answer: WorkerAnswer,
    ) -> bool:
        """Send the answer to the client; false to try another worker."""
        if route.kind is RouteKind.STREAM and answer.is_success:
            await self._pass_stream(call, route, responder, progress, answer)
            return True
        body = await answer.rest(self._left_ms(progress))
        attempts_left = progress.sent < route.max_attempts
        is_failure = answer.status >= 500 or answer.status in PROMISES
        if is_failure:
            reason = f"status {answer.status}"
            self._fleet.on_worker_error(worker, reason)
            self._recorder.attempt_failed(call, worker, reason, progress.sent)
        if is_failure and route.repeatable and attempts_left and not responder.started:
            progress.last_failure = f"status {answer.status}"
            return False
        if responder.started:
            # A resumed stream met a failure: the client must see it end early.
            self._recorder.finished(
                call, route, BROKEN_OFF, reason=f"status {answer.status}"
            )
            return True
        if answer.status in PROMISES:
            # The worker did not say that it had not run the request.
            reason = f"status {answer.status} without a promise"
            await self._answer_failure(call, route, responder, 502, reason)
            return True
        await responder.answer(status=answer.status, headers=answer.headers, body=body)
        self._recorder.finished(call, route, answer.status, reason="")
        return True

    async def _pass_stream(
        self,
        call: Call,
        route: Route,
        responder: Responder,
        progress: _Progress,
        answer: WorkerAnswer,
    ) -> None:
        cutter = progress.cutter
        first = True
        while True:
            part = await answer.next_part(self._gap_ms(route, progress))
            if part is None:
                break
            data = cutter.feed(part) if route.resumable else part
            if not data:
                continue
            if not responder.started:
                await responder.start(status=answer.status, headers=answer.headers)
            if first:
                first = False
                self._recorder.first_byte(call, route)
            await responder.send(data)
            await self._pause(answer)
        if route.resumable and not cutter.is_clean:
            raise ConnectionBroken(detail="ended within an event")
        if not responder.started:
            await responder.start(status=answer.status, headers=answer.headers)
        await responder.finish()
        self._recorder.finished(call, route, answer.status, reason="")

    async def _pause(self, answer: WorkerAnswer) -> None:
        """Let events of a stream gather, so that some travel together.

        Answers the pattern of a large fleet of small VMs, where each piece that is
        passed on costs processor time that others wait for. In a small fleet the end
        of a stream is told to peers at once, which a pause would delay.
        """
        if self._fleet.neighbourhood.is_large and not answer.is_complete:
            await anyio.sleep(STREAM_PAUSE_MS / MS_PER_S)

    def _gap_ms(self, route: Route, progress: _Progress) -> float:
        left_ms = self._left_ms(progress)
        if route.resumable and progress.sent < route.max_attempts:
            return min(left_ms, EVENT_GAP_MS)
        return left_ms

    async def _may_go_on(
        self,
        call: Call,
        route: Route,
        responder: Responder,
        progress: _Progress,
        failure: ExchangeFailed,
    ) -> bool:
        """Return whether another worker may take the request after a failure."""
        attempts_left = progress.sent < route.max_attempts
        time_left = self._left_ms(progress) > LAST_MOMENT_MS
        progress.cutter.drop_rest()
        if route.repeatable and attempts_left and time_left:
            refused = self._fleet.marks.refused(call.fingerprint)
            if not refused:
                self._recorder.retried(route)
                return True
        if responder.started:
            self._recorder.finished(call, route, BROKEN_OFF, reason=failure.code)
            return False
        status = failure.status
        await self._answer_failure(call, route, responder, status, failure.code)
        return False

    def _on_refused(
        self, call: Call, worker: Worker, answer: WorkerAnswer, progress: _Progress
    ) -> None:
        self._fleet.on_not_run(worker, answer)
        progress.last_failure = f"refused {answer.status}"
        self._recorder.worker_refused(call, worker, answer)

    def _on_failure(
        self, call: Call, worker: Worker, progress: _Progress, failure: ExchangeFailed
    ) -> None:
        progress.last_failure = failure.code
        self._fleet.on_exchange_failure(worker, call.fingerprint, failure)
        reason = f"{failure.code}: {failure.detail}"
        self._recorder.attempt_failed(call, worker, reason, progress.sent)

    def _on_served(
        self, call: Call, worker: Worker, answer: WorkerAnswer, started_ms: int
    ) -> None:
        duration_ms = self._clock.now_ms() - started_ms
        if answer.is_success:
            self._fleet.health.on_success(worker.worker_id)
            self._fleet.times.record(worker.service, duration_ms)
            self._fleet.marks.clear(call.fingerprint)

    async def _give_up(
        self,
        call: Call,
        route: Route,
        responder: Responder,
        progress: _Progress,
        refusal: Refusal,
    ) -> None:
        if responder.started:
            self._recorder.finished(
                call, route, BROKEN_OFF, reason=progress.last_failure
            )
            return
        if progress.may_have_run and not route.repeatable:
            await self._answer_failure(
                call, route, responder, 502, progress.last_failure
            )
            return
        reason = refusal.reason.value
        if progress.may_have_run:
            await self._answer_failure(call, route, responder, 502, reason)
            return
        await self._refuse(call, route, responder, progress, reason, refusal.wait_ms)

    async def _refuse(
        self,
        call: Call,
        route: Route,
        responder: Responder,
        progress: _Progress,
        reason: str,
        wait_ms: float,
    ) -> None:
        after_ms = patience.retry_after_ms(
            wait_ms=wait_ms, left_ms=self._left_ms(progress), rng=self._rng
        )
        headers: Headers = (("Retry-After", f"{after_ms / MS_PER_S:.3f}"),)
        self._recorder.refused(call, route, reason=reason, wait_ms=wait_ms)
        await responder.answer(status=503, headers=headers)

    async def _answer_failure(
        self,
        call: Call,
        route: Route,
        responder: Responder,
        status: int,
        reason: str,
    ) -> None:
        self._recorder.finished(call, route, status, reason=reason)
        await responder.answer(status=status)

    async def _expire(
        self, call: Call, route: Route, responder: Responder, progress: _Progress
    ) -> None:
        if responder.started:
            self._recorder.finished(call, route, BROKEN_OFF, reason="deadline")
            return
        await self._answer_failure(call, route, responder, 504, "deadline")

    def _left_ms(self, progress: _Progress) -> float:
        return max(0.0, progress.deadline_ms - self._clock.now_ms())
