"""Forwarding of one online request, with retries and stream resumption."""

import dataclasses

import anyio

from foxtailbank.clock import MS_PER_S
from foxtailbank.fleet.load_table import LoadKind
from foxtailbank.fleet.placement import Choice, Refusal, RefusalReason
from foxtailbank.fleet.stream_origin import StreamOrigin
from foxtailbank.fleet.worker import Worker
from foxtailbank.forward.attempt_progress import AttemptProgress
from foxtailbank.forward.call import Call
from foxtailbank.forward.call_recorder import CallRecorder
from foxtailbank.forward.event_stream import EventBuffer, EventSource
from foxtailbank.forward.final_response import FinalResponse
from foxtailbank.forward.forward_context import ForwardContext
from foxtailbank.forward.route import Route, RouteKind
from foxtailbank.forward.slot_finder import Assignment, SlotFinder
from foxtailbank.forward.stream_pacer import StreamPacer
from foxtailbank.forward.worker_client import WorkerResponse
from foxtailbank.http1.failures import ExchangeFailed, NotConnected
from foxtailbank.http1.responder import Responder

MAX_EVENT_GAP_MS = 900  # several times the longest step of a fully loaded engine
MIN_SAFE_TIMEOUT_MS = 250
SAFE_TIMEOUT_FACTOR = 5  # times the mean run time; few requests take longer
# A client takes these statuses to mean that its request has not been run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
CRASHES_WORKERS = "crashes_workers"  # reason in log lines and metrics
MIN_RETRY_TIME_MS = 30  # no request completes in less time


class CallHandler:
    """Forwards one request and sends its response to the client.

    Parameters
    ----------
    call : Call
        The request.
    route : Route
        Route that it matched.
    responder : Responder
        Sends the response to the client.
    context : ForwardContext
        Components shared by all requests.
    """

    def __init__(
        self, *, call: Call, route: Route, responder: Responder, context: ForwardContext
    ) -> None:
        self._call = call
        self._route = route
        self._responder = responder
        self._client = context.client
        self._fleet = context.fleet
        self._clock = context.clock
        self._recorder = CallRecorder(call=call, route=route, context=context)
        self._final = FinalResponse(
            responder=responder, recorder=self._recorder, rng=context.rng
        )
        self._finder = SlotFinder(
            call=call, route=route, recorder=self._recorder, context=context
        )
        wait_ms = min(call.max_wait_ms or route.timeout_ms, route.timeout_ms)
        self._deadline_ms = call.arrived_ms + wait_ms
        self._pacer = StreamPacer(pass_ms=context.pass_ms)
        self._tried: set[str] = set()
        self._attempts = 0
        self._progress = AttemptProgress()
        self._may_have_run = False
        self._last_failure = ""
        self._event_buffer = EventBuffer()
        self._event_buffer.last_event_id = call.resume_after
        # Software that wrote the events which the client has.
        self._origin: StreamOrigin | None = None

    async def run(self) -> None:
        """Respond to the request before its deadline."""
        with anyio.move_on_after(self._remaining_ms / MS_PER_S) as scope:
            try:
                await self._try_workers()
            except anyio.get_cancelled_exc_class():
                if not scope.cancel_called:
                    self._recorder.on_client_disconnected()
                raise
        if scope.cancelled_caught:
            await self._final.fail(504, "deadline")

    @property
    def _remaining_ms(self) -> float:
        return max(0.0, self._deadline_ms - self._clock.now_ms())

    @property
    def _has_attempts_left(self) -> bool:
        return self._attempts < self._route.max_attempts

    async def _try_workers(self) -> None:
        if self._continues_stream and not await self._find_origin():
            return
        while not await self._stop_if_crashing():
            assignment = await self._finder.find(
                tried=self._tried,
                remaining_ms=self._remaining_ms,
                origin=self._origin,
            )
            # Workers may have crashed while the request waited for a slot.
            if await self._stop_if_crashing():
                return
            if isinstance(assignment, Refusal):
                await self._give_up(assignment)
                return
            if await self._attempt(assignment):
                return
            if not self._has_attempts_left:
                service = assignment.choice.worker.service
                await self._give_up(self._fleet.no_attempts_left(service))
                return

    @property
    def _continues_stream(self) -> bool:
        return bool(self._call.resume_after) and self._route.kind is RouteKind.STREAM

    async def _find_origin(self) -> bool:
        """Find out which software began the stream; if unknown, refuse the request."""
        self._origin = await self._fleet.origins.find(
            self._call.stream_key, self._route.services
        )
        if self._origin is None:
            refusal = Refusal(reason=RefusalReason.ORIGIN_UNKNOWN, wait_ms=0)
            await self._give_up(refusal)
        return self._origin is not None

    def _on_first_events(self, worker: Worker) -> None:
        """Record which software writes a stream, before its first events are sent."""
        if self._origin is None:
            self._origin = StreamOrigin.of(worker)
        if self._route.resumable:
            self._fleet.origins.record(self._call.stream_key, self._origin)

    async def _stop_if_crashing(self) -> bool:
        """End a request that crashes workers; return whether it was ended."""
        refused_ms = self._fleet.crashes.refused_ms(self._call)
        if not refused_ms:
            return False
        self._recorder.on_crashing(refused_ms)
        if self._may_have_run:
            await self._final.fail(502, CRASHES_WORKERS)
        else:
            await self._final.refuse_for(CRASHES_WORKERS, refused_ms)
        return True

    async def _attempt(self, assignment: Assignment) -> bool:
        """Send to one worker; true if the request needs no further attempt."""
        worker = assignment.choice.worker
        self._tried.add(worker.worker_id)
        after_event = self._event_buffer.last_event_id
        self._recorder.on_assigned(worker, after_event=after_event)
        self._fleet.add_in_flight(worker.worker_id, LoadKind.ONLINE)
        self._attempts += 1
        self._progress = AttemptProgress(sent_wall_ms=self._clock.wall_ms())
        try:
            return await self._exchange(assignment)
        except NotConnected as failure:
            self._attempts -= 1
            self._on_failure(worker, failure)
            return False
        except ExchangeFailed as failure:
            self._may_have_run = True
            self._on_failure(worker, failure)
            return not await self._may_retry_after(failure)
        finally:
            self._fleet.remove_in_flight(worker.worker_id, LoadKind.ONLINE)

    async def _exchange(self, assignment: Assignment) -> bool:
        worker = assignment.choice.worker
        started_ms = self._clock.now_ms()
        async with self._client.exchange(
            worker,
            self._call,
            remaining_ms=int(self._remaining_ms),
            head_timeout_ms=self._head_timeout_ms(assignment.choice),
            resume_after=self._event_buffer.last_event_id,
            reservation=assignment.reservation,
        ) as response:
            self._recorder.on_response_head(response)
            self._progress = dataclasses.replace(self._progress, answered=True)
            self._fleet.on_answer(worker, response)
            if response.not_run:
                self._on_refused(worker, response)
                return False
            self._may_have_run = True
            done = await self._forward_response(worker, response)
        if done:
            self._on_completed(worker, response, started_ms)
        return done

    def _head_timeout_ms(self, choice: Choice) -> float:
        remaining_ms = self._remaining_ms
        if not self._route.is_repeatable or not self._has_attempts_left:
            return remaining_ms
        if self._route.kind is RouteKind.SAFE:
            mean_ms = self._fleet.service_times.mean_ms(choice.worker.service)
            wait_ms = max(SAFE_TIMEOUT_FACTOR * mean_ms, MIN_SAFE_TIMEOUT_MS)
            return min(remaining_ms, choice.wait_ms + wait_ms)
        return min(remaining_ms, choice.wait_ms + MAX_EVENT_GAP_MS)

    async def _forward_response(self, worker: Worker, response: WorkerResponse) -> bool:
        """Send the response to the client; false to retry on another worker."""
        if self._route.kind is RouteKind.STREAM and response.is_success:
            await self._forward_stream(worker, response)
            return True
        body = await response.read_all(self._remaining_ms)
        is_error = response.status >= 500 or response.status in NOT_RUN_STATUSES
        if is_error:
            self._last_failure = f"status {response.status}"
            self._fleet.on_worker_error(worker, self._last_failure)
            self._recorder.on_attempt_failed(
                worker,
                self._last_failure,
                attempts=self._attempts,
                events=self._progress.events,
            )
        if self._responder.started:
            # Resuming the stream failed.
            await self._final.fail(502, f"status {response.status}")
            return True
        if is_error and self._route.is_repeatable and self._has_attempts_left:
            return False
        if response.status in NOT_RUN_STATUSES:
            # The worker did not mark the request as not run, so these statuses, which
            # would tell the client so, must not be forwarded.
            reason = f"status {response.status} without a not-run header"
            await self._final.fail(502, reason)
            return True
        await self._responder.respond(
            status=response.status, headers=response.headers, body=body
        )
        self._recorder.on_finished(response.status, reason="")
        return True

    async def _forward_stream(self, worker: Worker, response: WorkerResponse) -> None:
        responder = self._responder
        source = EventSource(
            response=response, buffer=self._event_buffer, clock=self._clock
        )
        while (events := await source.next_chunk(self._event_timeout_ms())) is not None:
            if not self._progress.events:
                self._on_first_events(worker)
            self._progress = dataclasses.replace(
                self._progress, events=source.event_count
            )
            if not responder.started:
                await responder.start(status=response.status, headers=response.headers)
            self._recorder.on_first_byte()
            await responder.send(events)
            await self._pause_to_coalesce(response)
        if not responder.started:
            await responder.start(status=response.status, headers=response.headers)
        await responder.finish()
        self._recorder.on_finished(response.status, reason="")

    async def _pause_to_coalesce(self, response: WorkerResponse) -> None:
        """Pause so that events are sent together.

        A small fleet does not pause, so that peers are notified of the end of a
        request at once.
        """
        if response.is_complete or not self._fleet.tiers.is_large_fleet:
            return
        pause_ms = self._pacer.pause_ms(self._clock.now_ms())
        if pause_ms:
            await anyio.sleep(pause_ms / MS_PER_S)

    def _event_timeout_ms(self) -> float:
        if self._route.resumable and self._has_attempts_left:
            return min(self._remaining_ms, MAX_EVENT_GAP_MS)
        return self._remaining_ms

    async def _may_retry_after(self, failure: ExchangeFailed) -> bool:
        """Return whether to retry after a failure; if not, end the response."""
        self._event_buffer.discard_partial_event()
        if self._may_retry():
            self._recorder.on_retry()
            return True
        await self._final.fail(failure.status, failure.code)
        return False

    def _may_retry(self) -> bool:
        if not self._route.is_repeatable or not self._has_attempts_left:
            return False
        if self._remaining_ms <= MIN_RETRY_TIME_MS:
            return False
        return not self._fleet.crashes.refused_ms(self._call)

    def _on_refused(self, worker: Worker, response: WorkerResponse) -> None:
        self._fleet.on_not_run(worker, response)
        self._last_failure = f"refused {response.status}"
        self._recorder.on_worker_refused(worker, response)

    def _on_failure(self, worker: Worker, failure: ExchangeFailed) -> None:
        self._last_failure = failure.code
        self._fleet.on_request_failure(
            worker,
            self._call,
            failure,
            progress=self._progress,
        )
        reason = f"{failure.code}: {failure.detail}"
        self._recorder.on_attempt_failed(
            worker, reason, attempts=self._attempts, events=self._progress.events
        )

    def _on_completed(
        self, worker: Worker, response: WorkerResponse, started_ms: int
    ) -> None:
        duration_ms = self._clock.now_ms() - started_ms
        if response.is_success:
            self._fleet.health.on_success(worker.worker_id)
            self._fleet.service_times.record(worker.service, duration_ms)
            self._fleet.crashes.on_completed(self._call)

    async def _give_up(self, refusal: Refusal) -> None:
        if not self._may_have_run:
            await self._final.refuse(
                refusal.reason.value,
                wait_ms=refusal.wait_ms,
                remaining_ms=self._remaining_ms,
            )
            return
        is_refused = self._route.is_repeatable and not self._responder.started
        reason = refusal.reason.value if is_refused else self._last_failure
        await self._final.fail(502, reason)
