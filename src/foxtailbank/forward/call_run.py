"""The way of one online request to a worker, and of the answer back."""

import anyio

from foxtailbank.clock import MS_PER_S
from foxtailbank.fleet.load_table import LoadKind
from foxtailbank.fleet.placement import Choice, Refusal
from foxtailbank.fleet.worker import Worker
from foxtailbank.forward import patience
from foxtailbank.forward.call import Call
from foxtailbank.forward.call_recorder import BROKEN_OFF, CallRecorder
from foxtailbank.forward.event_stream import EventCutter
from foxtailbank.forward.forward_tools import ForwardTools
from foxtailbank.forward.place_finder import Place, PlaceFinder
from foxtailbank.forward.route import Route, RouteKind
from foxtailbank.forward.stream_pace import StreamPace
from foxtailbank.forward.worker_client import WorkerAnswer
from foxtailbank.headers import Headers
from foxtailbank.http1.failures import (
    ConnectionBroken,
    ExchangeFailed,
    NotConnected,
)
from foxtailbank.http1.responder import Responder

EVENT_GAP_MS = 900  # several times the longest step of a full engine
MIN_SAFE_WAIT_MS = 250
SAFE_WAIT_FACTOR = 5  # of the mean run time; slower ones are rare
PROMISES = frozenset((408, 421, 429, 503))  # tell a client that nothing has run
LAST_MOMENT_MS = 30  # less is too short for any run


class CallRun:
    """One request until it has its final answer.

    Parameters
    ----------
    call : Call
        The request.
    route : Route
        Entry that it falls under.
    responder : Responder
        Where the answer goes.
    tools : ForwardTools
        What all requests share.
    """

    def __init__(
        self, *, call: Call, route: Route, responder: Responder, tools: ForwardTools
    ) -> None:
        self._call = call
        self._route = route
        self._responder = responder
        self._client = tools.client
        self._fleet = tools.fleet
        self._clock = tools.clock
        self._rng = tools.rng
        self._recorder = CallRecorder(call=call, route=route, tools=tools)
        self._finder = PlaceFinder(
            call=call, route=route, recorder=self._recorder, tools=tools
        )
        wait_ms = min(call.patience_ms or route.timeout_ms, route.timeout_ms)
        self._deadline_ms = call.arrived_ms + wait_ms
        self._pace = StreamPace(pass_ms=tools.pass_ms)
        self._tried: set[str] = set()
        self._sent = 0
        self._may_have_run = False
        self._last_failure = ""
        self._cutter = EventCutter()
        self._cutter.last_id = call.resume_after

    async def run(self) -> None:
        """Answer the request within its time."""
        with anyio.move_on_after(self._left_ms / MS_PER_S) as scope:
            try:
                await self._try_workers()
            except anyio.get_cancelled_exc_class():
                if not scope.cancel_called:
                    self._recorder.client_left()
                raise
        if scope.cancelled_caught:
            await self._expire()

    @property
    def _left_ms(self) -> float:
        return max(0.0, self._deadline_ms - self._clock.now_ms())

    @property
    def _attempts_left(self) -> bool:
        return self._sent < self._route.max_attempts

    async def _try_workers(self) -> None:
        if self._fleet.marks.refused(self._call.fingerprint):
            await self._refuse("crashes_workers", 0)
            return
        while True:
            place = await self._finder.find(tried=self._tried, left_ms=self._left_ms)
            if isinstance(place, Refusal):
                await self._give_up(place)
                return
            if await self._attempt(place):
                return
            if not self._attempts_left:
                service = place.choice.worker.service
                await self._give_up(self._fleet.no_attempts_left(service))
                return

    async def _attempt(self, place: Place) -> bool:
        """Send to one worker; true once the request has its answer."""
        worker = place.choice.worker
        self._tried.add(worker.worker_id)
        self._recorder.placed(worker)
        self._fleet.start(worker.worker_id, LoadKind.ONLINE)
        self._sent += 1
        try:
            return await self._exchange(place)
        except NotConnected as failure:
            self._sent -= 1
            self._on_failure(worker, failure)
            return False
        except ExchangeFailed as failure:
            self._may_have_run = True
            self._on_failure(worker, failure)
            return not await self._may_go_on(failure)
        finally:
            self._fleet.end(worker.worker_id, LoadKind.ONLINE)

    async def _exchange(self, place: Place) -> bool:
        worker = place.choice.worker
        started_ms = self._clock.now_ms()
        async with self._client.exchange(
            worker,
            self._call,
            left_ms=int(self._left_ms),
            head_timeout_ms=self._head_timeout_ms(place.choice),
            resume_after=self._cutter.last_id,
            reservation=place.reservation,
        ) as answer:
            if answer.not_run:
                self._on_refused(worker, answer)
                return False
            self._may_have_run = True
            done = await self._pass_on(worker, answer)
        if done:
            self._on_served(worker, answer, started_ms)
        return done

    def _head_timeout_ms(self, choice: Choice) -> float:
        left_ms = self._left_ms
        if not self._route.repeatable or not self._attempts_left:
            return left_ms
        if self._route.kind is RouteKind.SAFE:
            mean_ms = self._fleet.times.mean_ms(choice.worker.service)
            wait_ms = max(SAFE_WAIT_FACTOR * mean_ms, MIN_SAFE_WAIT_MS)
            return min(left_ms, choice.wait_ms + wait_ms)
        return min(left_ms, choice.wait_ms + EVENT_GAP_MS)

    async def _pass_on(self, worker: Worker, answer: WorkerAnswer) -> bool:
        """Send the answer to the client; false to try another worker."""
        if self._route.kind is RouteKind.STREAM and answer.is_success:
            await self._pass_stream(answer)
            return True
        body = await answer.rest(self._left_ms)
        is_failure = answer.status >= 500 or answer.status in PROMISES
        if is_failure:
            self._last_failure = f"status {answer.status}"
            self._fleet.on_worker_error(worker, self._last_failure)
            self._recorder.attempt_failed(worker, self._last_failure, self._sent)
        if self._responder.started:
            # A resumed stream met a failure: the client must see it end early.
            self._recorder.finished(BROKEN_OFF, reason=f"status {answer.status}")
            return True
        if is_failure and self._route.repeatable and self._attempts_left:
            return False
        if answer.status in PROMISES:
            # The worker did not say that it had not run the request.
            reason = f"status {answer.status} without a promise"
            await self._answer_failure(502, reason)
            return True
        await self._responder.answer(
            status=answer.status, headers=answer.headers, body=body
        )
        self._recorder.finished(answer.status, reason="")
        return True

    async def _pass_stream(self, answer: WorkerAnswer) -> None:
        responder = self._responder
        while (part := await answer.next_part(self._gap_ms())) is not None:
            data = self._cutter.feed(part) if self._route.resumable else part
            if not data:
                continue
            if not responder.started:
                await responder.start(status=answer.status, headers=answer.headers)
            self._recorder.first_byte()
            await responder.send(data)
            await self._pause(answer)
        if self._route.resumable and not self._cutter.is_clean:
            raise ConnectionBroken(detail="ended within an event")
        if not responder.started:
            await responder.start(status=answer.status, headers=answer.headers)
        await responder.finish()
        self._recorder.finished(answer.status, reason="")

    async def _pause(self, answer: WorkerAnswer) -> None:
        """Let events gather; in a small fleet peers are to hear of an end at once."""
        if answer.is_complete or not self._fleet.neighbourhood.is_large:
            return
        pause_ms = self._pace.pause_ms(self._clock.now_ms())
        if pause_ms:
            await anyio.sleep(pause_ms / MS_PER_S)

    def _gap_ms(self) -> float:
        if self._route.resumable and self._attempts_left:
            return min(self._left_ms, EVENT_GAP_MS)
        return self._left_ms

    async def _may_go_on(self, failure: ExchangeFailed) -> bool:
        """Return whether another worker may take the request after a failure."""
        self._cutter.drop_rest()
        if self._may_repeat():
            self._recorder.retried()
            return True
        if self._responder.started:
            self._recorder.finished(BROKEN_OFF, reason=failure.code)
            return False
        await self._answer_failure(failure.status, failure.code)
        return False

    def _may_repeat(self) -> bool:
        if not self._route.repeatable or not self._attempts_left:
            return False
        if self._left_ms <= LAST_MOMENT_MS:
            return False
        return not self._fleet.marks.refused(self._call.fingerprint)

    def _on_refused(self, worker: Worker, answer: WorkerAnswer) -> None:
        self._fleet.on_not_run(worker, answer)
        self._last_failure = f"refused {answer.status}"
        self._recorder.worker_refused(worker, answer)

    def _on_failure(self, worker: Worker, failure: ExchangeFailed) -> None:
        self._last_failure = failure.code
        self._fleet.on_exchange_failure(worker, self._call.fingerprint, failure)
        reason = f"{failure.code}: {failure.detail}"
        self._recorder.attempt_failed(worker, reason, self._sent)

    def _on_served(self, worker: Worker, answer: WorkerAnswer, started_ms: int) -> None:
        duration_ms = self._clock.now_ms() - started_ms
        if answer.is_success:
            self._fleet.health.on_success(worker.worker_id)
            self._fleet.times.record(worker.service, duration_ms)
            self._fleet.marks.clear(self._call.fingerprint)

    async def _give_up(self, refusal: Refusal) -> None:
        if self._responder.started:
            self._recorder.finished(BROKEN_OFF, reason=self._last_failure)
            return
        if not self._may_have_run:
            await self._refuse(refusal.reason.value, refusal.wait_ms)
            return
        repeatable = self._route.repeatable
        reason = refusal.reason.value if repeatable else self._last_failure
        await self._answer_failure(502, reason)

    async def _refuse(self, reason: str, wait_ms: float) -> None:
        after_ms = patience.retry_after_ms(
            wait_ms=wait_ms, left_ms=self._left_ms, rng=self._rng
        )
        headers: Headers = (("Retry-After", f"{after_ms / MS_PER_S:.3f}"),)
        self._recorder.refused(reason=reason, wait_ms=wait_ms)
        await self._responder.answer(status=503, headers=headers)

    async def _answer_failure(self, status: int, reason: str) -> None:
        self._recorder.finished(status, reason=reason)
        await self._responder.answer(status=status)

    async def _expire(self) -> None:
        if self._responder.started:
            self._recorder.finished(BROKEN_OFF, reason="deadline")
            return
        await self._answer_failure(504, "deadline")
