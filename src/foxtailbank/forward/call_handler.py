"""Forwarding of one online request, with retries and stream resumption."""

import dataclasses

import anyio

from foxtailbank.clock import MS_PER_S
from foxtailbank.fleet.placement import Refusal, RefusalReason
from foxtailbank.fleet.stream_origin import StreamOrigin
from foxtailbank.forward import stream_continuation
from foxtailbank.forward.attempt_progress import AttemptProgress
from foxtailbank.forward.attempt_target import AttemptTarget
from foxtailbank.forward.attempt_timeouts import MAX_EVENT_GAP_MS, head_timeout_ms
from foxtailbank.forward.call import Call
from foxtailbank.forward.call_recorder import CallRecorder
from foxtailbank.forward.event_stream import EventBuffer, EventSource
from foxtailbank.forward.final_response import FinalResponse
from foxtailbank.forward.forward_context import ForwardContext
from foxtailbank.forward.held_body import held_body
from foxtailbank.forward.route import Route, RouteKind
from foxtailbank.forward.send_checks import SendChecks
from foxtailbank.forward.stream_pacer import StreamPacer
from foxtailbank.forward.target_finder import TargetFinder
from foxtailbank.forward.worker_client import WorkerResponse
from foxtailbank.http1.failures import ExchangeFailed, NotConnected, ResponseTimeout
from foxtailbank.http1.responder import Responder
from foxtailbank.relay.relay_messages import RelayedAttempt

# A client takes these statuses to mean that its request has not been run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
ANSWER_WITHOUT_END = "answer without end"
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
    relayed : RelayedAttempt, optional
        Given if another VM asks for one attempt of the request.
    """

    def __init__(
        self,
        *,
        call: Call,
        route: Route,
        responder: Responder,
        context: ForwardContext,
        relayed: RelayedAttempt | None = None,
    ) -> None:
        if relayed is not None:
            route = dataclasses.replace(route, max_attempts=1)
        self._call = call
        self._route = route
        self._relayed = relayed
        self._responder = responder
        self._fleet = context.fleet
        self._clock = context.clock
        self._recorder = CallRecorder(call=call, route=route, context=context)
        self._final = FinalResponse(
            responder=responder,
            recorder=self._recorder,
            rng=context.rng,
            is_relayed=relayed is not None,
        )
        self._checks = SendChecks(
            call=call, final=self._final, recorder=self._recorder, context=context
        )
        self._finder = TargetFinder(
            call=call,
            route=route,
            recorder=self._recorder,
            context=context,
            tried=relayed.tried if relayed is not None else (),
            may_relay=relayed is None,
        )
        wait_ms = min(call.max_wait_ms or route.timeout_ms, route.timeout_ms)
        self._deadline_ms = call.arrived_ms + wait_ms
        if route.resumable:
            self._fleet.lifetimes.on_wait(route.services, call.max_wait_ms)
        self._answer_memory = context.answer_memory
        self._pacer = StreamPacer(pass_ms=context.pass_ms)
        self._deadline_scope: anyio.CancelScope | None = None
        self._attempts = 0
        self._progress = AttemptProgress()
        self._may_have_run = False
        self._last_failure = ""
        self._event_buffer = EventBuffer()
        self._event_buffer.start_from(call.resume_after)
        # Software that wrote the events which the client has.
        self._origin: StreamOrigin | None = None
        if relayed is not None:
            self._event_buffer.start_from(relayed.resume_after)
            self._origin = relayed.origin

    async def run(self) -> bool:
        """Respond before the deadline; return whether a worker may have run it."""
        with anyio.move_on_after(self._remaining_ms / MS_PER_S) as scope:
            self._deadline_scope = scope
            try:
                await self._try_workers()
            except anyio.get_cancelled_exc_class():
                if not scope.cancel_called:
                    self._recorder.on_client_disconnected()
                raise
        if scope.cancelled_caught:
            await self._final.fail(504, "deadline")
        return self._may_have_run or scope.cancelled_caught

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
            if self._origin is not None:
                # A worker may be back under its id with another software version.
                await self._fleet.origins.sync_list()
            target = await self._finder.find(
                remaining_ms=self._remaining_ms, origin=self._origin
            )
            # Workers may have crashed while the request waited for a slot.
            if await self._stop_if_crashing():
                return
            if isinstance(target, Refusal):
                await self._give_up(target)
                return
            if await self._checks.stop_if_unwanted(may_have_run=self._may_have_run):
                return
            if await self._attempt(target):
                return
            if not self._has_attempts_left:
                await self._give_up(self._fleet.no_attempts_left(target.service))
                return

    async def _stop_if_crashing(self) -> bool:
        return await self._checks.stop_if_crashing(may_have_run=self._may_have_run)

    @property
    def _continues_stream(self) -> bool:
        if self._origin is not None:
            return False  # another VM knows it
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

    def _on_first_events(
        self, target: AttemptTarget, origin: StreamOrigin | None
    ) -> None:
        """Record which software writes a stream, before its first events are sent."""
        self._origin = origin
        if origin is not None and self._route.resumable:
            self._fleet.origins.begin(
                self._call.stream_key, origin, process_id=target.process_id
            )

    async def _attempt(self, target: AttemptTarget) -> bool:
        """Send to one target; true if the request needs no further attempt."""
        after_event = self._event_buffer.last_event_id
        self._recorder.on_assigned(target, after_event=after_event)
        target.on_start()
        self._attempts += 1
        self._progress = AttemptProgress(sent_wall_ms=self._clock.wall_ms())
        self._event_buffer.discard_partial_event()
        try:
            return await self._exchange(target)
        except NotConnected as failure:
            self._attempts -= 1
            self._finder.on_not_connected(target)
            self._on_failure(target, failure)
            return False
        except ExchangeFailed as failure:
            self._may_have_run = True
            self._on_failure(target, failure)
            return not await self._may_retry_after(failure)
        except anyio.get_cancelled_exc_class():
            self._on_cancelled(target)
            raise
        finally:
            target.on_end()
            self._finder.on_ended(target)

    def _on_cancelled(self, target: AttemptTarget) -> None:
        """Count bytes that had not become an answer by the deadline as an error."""
        scope = self._deadline_scope
        if scope is not None and scope.cancel_called and self._has_unfinished_bytes:
            self._on_error(target, ANSWER_WITHOUT_END)

    @property
    def _has_unfinished_bytes(self) -> bool:
        """Whether bytes of a body, or of a first event, came and not its end."""
        if self._progress.events:
            return False
        return bool(self._progress.body_bytes or self._event_buffer.partial_bytes)

    def _on_error(self, target: AttemptTarget, reason: str) -> None:
        self._last_failure = reason
        target.on_error(reason)
        self._recorder.on_attempt_failed(
            target, reason, attempts=self._attempts, events=self._progress.events
        )

    async def _exchange(self, target: AttemptTarget) -> bool:
        started_ms = self._clock.now_ms()
        async with target.exchange(
            self._call,
            remaining_ms=int(self._remaining_ms),
            head_timeout_ms=self._head_timeout_ms(target),
            resume_after=self._event_buffer.last_event_id,
            origin=self._origin,
        ) as response:
            self._recorder.on_response_head(target, response)
            self._progress = dataclasses.replace(self._progress, answered=True)
            target.on_answer(response)
            if response.not_run:
                self._on_refused(target, response)
                return False
            self._may_have_run = True
            done = await self._forward_response(target, response)
        if done and response.is_success:
            target.on_success(self._call, self._clock.now_ms() - started_ms)
        return done

    def _head_timeout_ms(self, target: AttemptTarget) -> float:
        remaining_ms = self._remaining_ms
        if not self._route.is_repeatable or not self._has_attempts_left:
            return remaining_ms
        return head_timeout_ms(
            self._route,
            slot_wait_ms=target.wait_ms,
            mean_ms=self._fleet.service_times.mean_ms(target.service),
            remaining_ms=remaining_ms,
        )

    async def _forward_response(
        self, target: AttemptTarget, response: WorkerResponse
    ) -> bool:
        """Send the response to the client; false to retry on another worker."""
        if response.is_success and self._is_stream(response):
            await self._forward_stream(target, response)
            return True
        async with held_body(
            response,
            timeout_ms=self._remaining_ms,
            memory=self._answer_memory,
            on_part=self._on_body_part,
        ) as body:
            return await self._forward_body(target, response, body)

    def _on_body_part(self, size_bytes: int) -> None:
        body_bytes = self._progress.body_bytes + size_bytes
        self._progress = dataclasses.replace(self._progress, body_bytes=body_bytes)

    async def _forward_body(
        self, target: AttemptTarget, response: WorkerResponse, body: bytes
    ) -> bool:
        is_error = response.status >= 500 or response.status in NOT_RUN_STATUSES
        if is_error:
            self._on_error(target, f"status {response.status}")
        if self._responder.started:
            return await self._stop_resuming(response)
        if is_error and self._route.is_repeatable and self._has_attempts_left:
            return False
        if response.status in NOT_RUN_STATUSES:
            # The worker did not mark the request as not run, so these statuses, which
            # would tell the client so, must not be forwarded.
            reason = f"status {response.status} without a not-run header"
            await self._final.fail(502, reason)
            return True
        await self._responder.respond(
            status=response.status,
            headers=self._final.answer_headers(target, response, self._origin),
            body=body,
        )
        self._recorder.on_finished(response.status, reason="")
        return True

    def _is_stream(self, response: WorkerResponse) -> bool:
        """Return whether a success is read as a stream of events.

        A worker may answer with a plain body, but not in the middle of a stream.
        """
        if self._route.kind is not RouteKind.STREAM:
            return False
        is_begun = self._event_buffer.position.is_begun
        return is_begun or stream_continuation.may_be_event_stream(response)

    async def _stop_resuming(self, response: WorkerResponse) -> bool:
        """End a begun stream for which a worker failed; false to try another one."""
        self._last_failure = f"status {response.status}"
        if self._may_retry():
            self._recorder.on_retry()
            return False
        await self._final.fail(502, self._last_failure)
        return True

    async def _forward_stream(
        self, target: AttemptTarget, response: WorkerResponse
    ) -> None:
        responder = self._responder
        source = EventSource(
            response=response, buffer=self._event_buffer, clock=self._clock
        )
        await source.check_head(is_same_process=target.may_continue)
        origin = self._origin
        if origin is None and self._route.resumable:
            origin = await target.new_origin(response)
        headers = self._final.answer_headers(target, response, origin)
        while (events := await source.next_chunk(self._event_timeout_ms())) is not None:
            if not self._progress.events:
                self._on_first_events(target, origin)
            self._progress = dataclasses.replace(
                self._progress, events=source.event_count
            )
            if not responder.started:
                await responder.start(status=response.status, headers=headers)
            self._recorder.on_first_byte()
            await responder.send(events)
            # A small fleet does not pause, so that peers are notified of the end of a
            # request at once.
            if self._fleet.tiers.is_large_fleet and not response.is_complete:
                await self._pacer.pause(self._clock.now_ms())
        if not responder.started:
            await responder.start(status=response.status, headers=headers)
        await responder.finish()
        self._recorder.on_finished(response.status, reason="")

    def _event_timeout_ms(self) -> float:
        if self._route.resumable and self._has_attempts_left:
            return min(self._remaining_ms, MAX_EVENT_GAP_MS)
        return self._remaining_ms

    async def _may_retry_after(self, failure: ExchangeFailed) -> bool:
        """Return whether to retry after a failure; if not, end the response."""
        if self._may_retry():
            self._recorder.on_retry()
            return True
        await self._final.fail(failure.status, failure.code)
        return False

    def _may_retry(self) -> bool:
        if not self._route.is_repeatable or not self._has_attempts_left:
            return False
        if not self._event_buffer.position.can_continue:
            return False
        if self._remaining_ms <= MIN_RETRY_TIME_MS:
            return False
        return not self._fleet.crashes.refused_ms(self._call)

    def _on_refused(self, target: AttemptTarget, response: WorkerResponse) -> None:
        if not target.on_not_run(response):
            self._attempts -= 1
        self._last_failure = f"refused {response.status}"
        self._recorder.on_worker_refused(target, response)

    def _on_failure(self, target: AttemptTarget, failure: ExchangeFailed) -> None:
        self._last_failure = failure.code
        if isinstance(failure, ResponseTimeout) and self._has_unfinished_bytes:
            target.on_error(ANSWER_WITHOUT_END)
        target.on_failure(self._call, failure, self._progress)
        reason = f"{failure.code}: {failure.detail}"
        self._recorder.on_attempt_failed(
            target, reason, attempts=self._attempts, events=self._progress.events
        )

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
