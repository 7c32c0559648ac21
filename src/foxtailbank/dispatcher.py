"""Runs work on endpoints: endpoint choice, attempts, retries and resumption."""

import contextlib
import typing as t

import anyio

from foxtailbank.backend import Backend
from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.crash_check import has_crashed
from foxtailbank.dispatch_progress import DispatchProgress
from foxtailbank.endpoint import Endpoint, EndpointResponse
from foxtailbank.endpoint_directory import EndpointDirectory
from foxtailbank.exceptions import (
    DeadlineExceeded,
    EndpointFailed,
    EndpointRefused,
    EndpointStalled,
    FoxtailbankError,
    NoEndpoint,
    OutcomeUnknown,
    Ran,
)
from foxtailbank.isolation import Isolation
from foxtailbank.quarantine import Quarantine
from foxtailbank.response_body import read_body
from foxtailbank.response_check import (
    check_event_size,
    check_stream_size,
    is_json_cut_off,
)
from foxtailbank.response_limits import MAX_BODY_BYTES
from foxtailbank.retry_budget import RetryBudget
from foxtailbank.routing import Router, RouteRequest
from foxtailbank.sentinels import Missing
from foxtailbank.sink import Sink
from foxtailbank.sse import EVENT_END, TokenEventBuffer
from foxtailbank.suspect_gate import Assignment, SuspectGate
from foxtailbank.work import Work

MAX_ATTEMPTS = 4
NO_ENDPOINT_RETRY_MS = 1_000
FAILED_RETRY_MS = 500
FIRST_ERROR_STATUS = 400
FIRST_SERVER_ERROR_STATUS = 500


class DispatchObserver:
    """Callbacks for the progress of work; each does nothing by default."""

    def on_dispatch(self, backend: Backend, work: Work) -> None:
        """Handle a dispatch, before its first byte is sent to the endpoint."""

    def on_end(self, backend: Backend, work: Work) -> None:
        """Handle the end of an attempt on an endpoint, whether it failed or not."""

    def on_first_token(self, backend: Backend, work: Work, ttft_ms: int) -> None:
        """Handle the first content, with the time since the dispatch."""

    def on_chunk_gap(self, backend: Backend, work: Work, gap_ms: int) -> None:
        """Handle further content, with the time since the previous content."""

    def on_death(self, backend: Backend, work: Work, exclusive: bool) -> None:
        """Handle the death of an endpoint; `exclusive` if only this work ran there."""

    def on_complete(self, backend: Backend, work: Work) -> None:
        """Handle the complete response."""

    def on_progress(self, work: Work, new_tokens: int) -> bool:
        """Handle new tokens of suspect work; return whether it is cleared."""
        return False

    def on_resumed(self, backend: Backend, work: Work, reason: str) -> None:
        """Handle the decision to retry or resume work after a failed attempt."""


class Dispatcher:
    """Runs work on endpoints until the response is complete or a typed error occurs.

    Parameters
    ----------
    clock : Clock
        Source of time.
    zone : str
        Availability zone of this VM.
    directory : EndpointDirectory
        Known endpoints.
    router : Router
        Chooses among the endpoints.
    quarantine : Quarantine
        Requests that are suspected of crashing endpoints.
    retry_budget : RetryBudget
        Limit on retries.
    gate : SuspectGate
        Isolates suspect requests from others.
    observer : DispatchObserver
        Receives callbacks about the progress of work.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        zone: str,
        directory: EndpointDirectory,
        router: Router,
        quarantine: Quarantine,
        retry_budget: RetryBudget,
        gate: SuspectGate,
        observer: DispatchObserver,
    ) -> None:
        self._clock = clock
        self._zone = zone
        self._directory = directory
        self._router = router
        self._quarantine = quarantine
        self._retry_budget = retry_budget
        self._gate = gate
        self._observer = observer

    async def run(
        self,
        work: Work,
        sink: Sink,
        *,
        first_backend: Backend | None = None,
        may_retry: bool = True,
    ) -> None:
        """Run work and write its response to a sink.

        Parameters
        ----------
        work : Work
            The work to run.
        sink : Sink
            Receives the response.
        first_backend : Backend, optional
            The endpoint for the first attempt. One is chosen if it is not given or
            if the work is suspected of crashing endpoints.
        may_retry : bool
            Whether to retry or resume after a failed attempt.

        Raises
        ------
        FoxtailbankError
            The response is incomplete; `ran` says whether the work may have run.
        """
        progress = DispatchProgress(resume_at=work.resume_at, writer=work.writer)
        self._retry_budget.on_request(self._clock.now_ms())
        remaining_ms = work.deadline_at_ms - self._clock.now_ms()
        with anyio.move_on_after(max(0, remaining_ms) / MS_PER_S) as scope:
            await self._run(work, sink, progress, first_backend, may_retry)
        if scope.cancelled_caught:
            raise DeadlineExceeded(detail="deadline exceeded", ran=progress.ran)

    async def _run(
        self,
        work: Work,
        sink: Sink,
        progress: DispatchProgress,
        first_backend: Backend | None,
        may_retry: bool,
    ) -> None:
        while True:
            placement = await self._acquire_placement(work, progress, first_backend)
            first_backend = None
            backend = placement.backend
            try:
                may_have_run_before = progress.may_have_run
                progress.may_have_run = True
                await self._attempt(work, sink, progress, placement)
                self._observer.on_complete(backend, work)
                return
            except (EndpointFailed, EndpointRefused) as failure:
                progress.may_have_run = (
                    may_have_run_before or failure.ran is Ran.UNKNOWN
                )
                self._record_failure(backend, failure)
                await self._check_death(work, placement, failure)
                progress.record_failure(backend.endpoint_id, failure)
                self._raise_unless_retryable(work, progress, failure, may_retry)
                self._observer.on_resumed(backend, work, failure.code)
            finally:
                self._gate.release(placement)

    async def _acquire_placement(
        self, work: Work, progress: DispatchProgress, first_backend: Backend | None
    ) -> Assignment:
        if self._is_suspect(work):
            excluded = self._excluded(work, progress)
            return await self._gate.acquire(work, excluded, progress.ran)
        return Assignment(
            backend=first_backend or self._choose(work, progress), reservation=None
        )

    def _choose(self, work: Work, progress: DispatchProgress) -> Backend:
        now_ms = self._clock.now_ms()
        request = RouteRequest(
            zone=self._zone,
            prefix_digest=work.prefix_digest,
            tried=self._excluded(work, progress),
        )
        views = [
            b.view(now_ms) for b in self._directory.backends_in_pool(work.entry.pool)
        ]
        chosen = self._router.choose(request, views, now_ms)
        if isinstance(chosen, Missing):
            raise self._no_endpoint_error(work, progress, chosen)
        return self._directory.backends_by_id[chosen.endpoint_id]

    def _excluded(self, work: Work, progress: DispatchProgress) -> frozenset[str]:
        """Return the endpoints that must not get the work, or not go on with it."""
        if progress.writer is None:
            return progress.tried
        writer = progress.writer
        return progress.tried | {
            backend.endpoint_id
            for backend in self._directory.backends_in_pool(work.entry.pool)
            if not backend.vm.may_continue_output_of(writer)
        }

    def _no_endpoint_error(
        self, work: Work, progress: DispatchProgress, reason: Missing
    ) -> FoxtailbankError:
        return NoEndpoint(
            detail=f"no endpoint available for {work.entry.name}: {reason.reason}",
            retry_after_ms=NO_ENDPOINT_RETRY_MS,
            ran=progress.ran,
        )

    async def _attempt(
        self, work: Work, sink: Sink, progress: DispatchProgress, placement: Assignment
    ) -> None:
        backend = placement.backend
        with self._track_in_flight(work, backend):
            started_ms = self._clock.now_ms()
            async with backend.service.open(
                work.call(resume_at=progress.resume_at)
            ) as response:
                if work.streamed and response.status < FIRST_ERROR_STATUS:
                    await self._relay_stream(
                        work, sink, progress, placement, response, started_ms
                    )
                else:
                    await self._relay_buffered(work, sink, backend, response)
        backend.breaker.on_success()

    async def _relay_buffered(
        self, work: Work, sink: Sink, backend: Backend, response: EndpointResponse
    ) -> None:
        body = await read_body(response.chunks(), max_bytes=MAX_BODY_BYTES)
        if response.status >= FIRST_SERVER_ERROR_STATUS and work.is_for_engine:
            raise EndpointFailed(
                detail=f"{backend.endpoint_id} answered with status {response.status}"
            )
        if work.is_for_engine and is_json_cut_off(response, body):
            raise EndpointFailed(
                detail=f"{backend.endpoint_id} ended its answer within the JSON"
            )
        await sink.start(status=response.status, headers=response.headers)
        if body:
            await sink.write(body)

    async def _relay_stream(
        self,
        work: Work,
        sink: Sink,
        progress: DispatchProgress,
        placement: Assignment,
        response: EndpointResponse,
        started_ms: int,
    ) -> None:
        backend = placement.backend
        suspect = placement.reservation is not None
        new_tokens = 0
        tail = TokenEventBuffer()
        last_content_ms = 0
        received_bytes = 0
        try:
            async for chunk in response.chunks():
                received_bytes += len(chunk)
                check_stream_size(received_bytes)
                events = tail.feed(chunk)
                if not events:
                    check_event_size(tail)
                    continue
                now_ms = self._clock.now_ms()
                if not last_content_ms:
                    self._observer.on_first_token(backend, work, now_ms - started_ms)
                else:
                    self._observer.on_chunk_gap(backend, work, now_ms - last_content_ms)
                last_content_ms = now_ms
                progress.writer = backend.vm
                sink.on_writer(backend.vm)
                if not sink.started:
                    await sink.start(status=response.status, headers=response.headers)
                await sink.write(events)
                if suspect:
                    new_tokens += events.count(EVENT_END)
                    suspect = not self._release_if_cleared(work, placement, new_tokens)
        finally:
            progress.resume_at = tail.next_index(progress.resume_at)
        if not tail.done:
            raise EndpointFailed(
                detail=f"{backend.endpoint_id} ended the stream before its last event"
            )

    def _release_if_cleared(
        self, work: Work, placement: Assignment, new_tokens: int
    ) -> bool:
        """Release the endpoint for other requests once a suspect is cleared."""
        if not self._observer.on_progress(work, new_tokens):
            return False
        self._gate.release(placement)
        return True

    def _record_failure(self, backend: Backend, failure: FoxtailbankError) -> None:
        if not isinstance(failure, EndpointStalled):
            backend.breaker.on_failure(self._clock.now_ms())

    async def _check_death(
        self,
        work: Work,
        placement: Assignment,
        failure: FoxtailbankError,
    ) -> None:
        backend = placement.backend
        if isinstance(failure, EndpointStalled | EndpointRefused):
            return
        if not isinstance(backend.service, Endpoint):
            return
        if await has_crashed(backend.service):
            backend.breaker.on_death(self._clock.now_ms())
            self._observer.on_death(backend, work, placement.exclusive)

    def _raise_unless_retryable(
        self,
        work: Work,
        progress: DispatchProgress,
        failure: FoxtailbankError,
        may_retry: bool,
    ) -> None:
        if not work.idempotent and progress.may_have_run:
            raise OutcomeUnknown(
                detail=f"the call may have run and is not idempotent: {failure.detail}"
            ) from failure
        now_ms = self._clock.now_ms()
        exhausted = not may_retry or len(progress.tried) >= MAX_ATTEMPTS
        # A refused request puts no load on the endpoint, so its retry is not budgeted.
        is_exempt = isinstance(failure, EndpointRefused)
        if exhausted or not (is_exempt or self._retry_budget.try_retry(now_ms)):
            failure.ran = progress.ran
            failure.retry_after_ms = failure.retry_after_ms or FAILED_RETRY_MS
            raise failure

    def _is_suspect(self, work: Work) -> bool:
        verdict = self._quarantine.verdict(work.fingerprint, self._clock.wall_ms())
        return verdict.isolation is not Isolation.NONE

    @contextlib.contextmanager
    def _track_in_flight(self, work: Work, backend: Backend) -> t.Iterator[None]:
        now_ms = self._clock.now_ms()
        suspect = self._is_suspect(work)
        backend.breaker.on_dispatch(now_ms)
        self._observer.on_dispatch(backend, work)
        self._adjust_in_flight(work, backend, 1, suspect)
        try:
            yield
        finally:
            self._adjust_in_flight(work, backend, -1, suspect)
            self._observer.on_end(backend, work)

    def _adjust_in_flight(
        self, work: Work, backend: Backend, count: int, suspect: bool
    ) -> None:
        if work.batch:
            backend.batch_in_flight += count
        else:
            backend.online_in_flight += count
        backend.suspects_in_flight += count if suspect else 0
