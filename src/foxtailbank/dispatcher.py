"""Runs work on endpoints: choice, attempts, retries and resumption."""

import contextlib
import dataclasses
import typing as t

import anyio

from foxtailbank.backend import Backend
from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.death_check import has_died
from foxtailbank.directory import Directory
from foxtailbank.endpoint import Answer, Endpoint
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
from foxtailbank.retry_budget import RetryBudget
from foxtailbank.routing import Router, RouteRequest
from foxtailbank.sentinels import Missing
from foxtailbank.sink import Sink
from foxtailbank.sse import EVENT_END, EventTail
from foxtailbank.suspect_gate import Place, SuspectGate
from foxtailbank.work import Work

MAX_ATTEMPTS = 4
NO_ENDPOINT_RETRY_MS = 1_000
FAILED_RETRY_MS = 500
FIRST_ERROR_STATUS = 400
FIRST_SERVER_ERROR_STATUS = 500


class DispatchObserver:
    """Hooks that are told of dispatches; each does nothing by default."""

    def on_dispatch(self, backend: Backend, work: Work) -> None:
        """Note that work goes to an endpoint, before its first byte is sent."""

    def on_end(self, backend: Backend, work: Work) -> None:
        """Note that work left an endpoint."""

    def on_first_token(self, backend: Backend, work: Work, ttft_ms: int) -> None:
        """Note the time from dispatch to the first content."""

    def on_chunk_gap(self, backend: Backend, work: Work, gap_ms: int) -> None:
        """Note the time between two pieces of content."""

    def on_death(self, backend: Backend, work: Work, exclusive: bool) -> None:
        """Note that an endpoint died while work was in flight there, maybe alone."""

    def on_complete(self, backend: Backend, work: Work) -> None:
        """Note that work has its whole answer."""

    def on_progress(self, work: Work, new_tokens: int) -> bool:
        """Note how far a suspect got; return whether it is cleared."""
        return False

    def on_resumed(self, backend: Backend, work: Work, reason: str) -> None:
        """Note that work goes on after an attempt that failed there."""


@dataclasses.dataclass(kw_only=True)
class _Progress:
    """What has happened to one piece of work so far."""

    resume_at: int
    may_have_run: bool = False
    tried: frozenset[str] = frozenset()
    stalled: frozenset[str] = frozenset()

    def note_failure(self, endpoint_id: str, failure: FoxtailbankError) -> None:
        """Rule out an endpoint; one that stalled is tried on a new connection."""
        first_stall = endpoint_id not in self.stalled
        if isinstance(failure, EndpointStalled) and first_stall:
            self.stalled |= {endpoint_id}
        else:
            self.tried |= {endpoint_id}

    @property
    def ran(self) -> Ran:
        """Whether the work may have run."""
        return Ran.UNKNOWN if self.may_have_run else Ran.NO


class Dispatcher:
    """Runs work on endpoints until it has its whole answer or a typed failure.

    Parameters
    ----------
    clock : Clock
        Source of time.
    zone : str
        Availability zone of this VM.
    directory : Directory
        Known endpoints.
    router : Router
        Chooses among them.
    quarantine : Quarantine
        Requests that took down endpoints.
    retry_budget : RetryBudget
        Bound on retries.
    gate : SuspectGate
        Keeps suspect requests apart.
    observer : DispatchObserver
        Is told of dispatches.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        zone: str,
        directory: Directory,
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
        on: Backend | None = None,
        may_retry: bool = True,
    ) -> None:
        """Run work and give its answer to a sink.

        Parameters
        ----------
        work : Work
            What to run.
        sink : Sink
            Takes the answer.
        on : Backend, optional
            The endpoint of the first attempt; chosen if not given, or if the work
            is suspected of crashing endpoints.
        may_retry : bool
            Whether to go on after an attempt that failed.

        Raises
        ------
        FoxtailbankError
            Why there is no whole answer; says whether the work may have run.
        """
        progress = _Progress(resume_at=work.resume_at)
        self._retry_budget.on_request(self._clock.now_ms())
        remaining_ms = work.deadline_at_ms - self._clock.now_ms()
        with anyio.move_on_after(max(0, remaining_ms) / MS_PER_S) as scope:
            await self._run(work, sink, progress, on, may_retry)
        if scope.cancelled_caught:
            raise DeadlineExceeded(detail="the deadline passed", ran=progress.ran)

    async def _run(
        self,
        work: Work,
        sink: Sink,
        progress: _Progress,
        on: Backend | None,
        may_retry: bool,
    ) -> None:
        while True:
            place = await self._place(work, progress, on)
            on = None
            backend = place.backend
            try:
                before = progress.may_have_run
                progress.may_have_run = True
                await self._attempt(work, sink, progress, place)
                self._observer.on_complete(backend, work)
                return
            except (EndpointFailed, EndpointRefused) as failure:
                progress.may_have_run = before or failure.ran is Ran.UNKNOWN
                self._note_failure(backend, failure)
                await self._check_death(work, place, failure)
                progress.note_failure(backend.endpoint_id, failure)
                self._decide(work, progress, failure, may_retry)
                self._observer.on_resumed(backend, work, failure.code)
            finally:
                self._gate.leave(place)

    async def _place(
        self, work: Work, progress: _Progress, on: Backend | None
    ) -> Place:
        if self._is_suspect(work):
            return await self._gate.enter(work, progress.tried, progress.ran)
        return Place(backend=on or self._choose(work, progress), reservation=None)

    def _choose(self, work: Work, progress: _Progress) -> Backend:
        now_ms = self._clock.now_ms()
        request = RouteRequest(
            zone=self._zone,
            prefix_digest=work.prefix_digest,
            tried=progress.tried,
        )
        views = [b.view(now_ms) for b in self._directory.pool(work.entry.pool)]
        chosen = self._router.choose(request, views, now_ms)
        if isinstance(chosen, Missing):
            raise self._no_endpoint(work, progress, chosen)
        return self._directory.backends_by_id[chosen.endpoint_id]

    def _no_endpoint(
        self, work: Work, progress: _Progress, reason: Missing
    ) -> FoxtailbankError:
        return NoEndpoint(
            detail=f"no endpoint for {work.entry.name}: {reason.reason}",
            retry_after_ms=NO_ENDPOINT_RETRY_MS,
            ran=progress.ran,
        )

    async def _attempt(
        self, work: Work, sink: Sink, progress: _Progress, place: Place
    ) -> None:
        backend = place.backend
        with self._counted(work, backend):
            started_ms = self._clock.now_ms()
            async with backend.service.open(
                work.call(resume_at=progress.resume_at)
            ) as answer:
                if work.streamed and answer.status < FIRST_ERROR_STATUS:
                    await self._relay(work, sink, progress, place, answer, started_ms)
                else:
                    await self._relay_whole(work, sink, backend, answer)
        backend.breaker.on_success()

    async def _relay_whole(
        self, work: Work, sink: Sink, backend: Backend, answer: Answer
    ) -> None:
        body = b"".join([part async for part in answer.chunks()])
        if answer.status >= FIRST_SERVER_ERROR_STATUS and work.for_engine:
            raise EndpointFailed(
                detail=f"{backend.endpoint_id} answered {answer.status}"
            )
        await sink.start(status=answer.status, headers=answer.headers)
        if body:
            await sink.write(body)

    async def _relay(
        self,
        work: Work,
        sink: Sink,
        progress: _Progress,
        place: Place,
        answer: Answer,
        started_ms: int,
    ) -> None:
        backend = place.backend
        suspect = place.reservation is not None
        new_tokens = 0
        tail = EventTail()
        last_ms = 0
        try:
            async for part in answer.chunks():
                events = tail.feed(part)
                if not events:
                    continue
                now_ms = self._clock.now_ms()
                if not last_ms:
                    self._observer.on_first_token(backend, work, now_ms - started_ms)
                else:
                    self._observer.on_chunk_gap(backend, work, now_ms - last_ms)
                last_ms = now_ms
                if not sink.started:
                    await sink.start(status=answer.status, headers=answer.headers)
                await sink.write(events)
                if suspect:
                    new_tokens += events.count(EVENT_END)
                    suspect = not self._is_cleared(work, place, new_tokens)
        finally:
            progress.resume_at = tail.next_index(progress.resume_at)
        if not tail.done:
            raise EndpointFailed(detail=f"{backend.endpoint_id} ended a stream early")

    def _is_cleared(self, work: Work, place: Place, new_tokens: int) -> bool:
        """Free the endpoint for others once a suspect went on well."""
        if not self._observer.on_progress(work, new_tokens):
            return False
        self._gate.leave(place)
        return True

    def _note_failure(self, backend: Backend, failure: FoxtailbankError) -> None:
        if not isinstance(failure, EndpointStalled):
            backend.breaker.on_failure(self._clock.now_ms())

    async def _check_death(
        self,
        work: Work,
        place: Place,
        failure: FoxtailbankError,
    ) -> None:
        backend = place.backend
        if isinstance(failure, EndpointStalled | EndpointRefused):
            return
        if not isinstance(backend.service, Endpoint):
            return
        if await has_died(backend.service):
            backend.breaker.on_death(self._clock.now_ms())
            self._observer.on_death(backend, work, place.exclusive)

    def _decide(
        self,
        work: Work,
        progress: _Progress,
        failure: FoxtailbankError,
        may_retry: bool,
    ) -> None:
        if not work.idempotent and progress.may_have_run:
            raise OutcomeUnknown(
                detail=f"the call may have run: {failure.detail}"
            ) from failure
        now_ms = self._clock.now_ms()
        exhausted = not may_retry or len(progress.tried) >= MAX_ATTEMPTS
        # A refusal puts no load on an endpoint, so that it costs no budget.
        is_free = isinstance(failure, EndpointRefused)
        if exhausted or not (is_free or self._retry_budget.try_retry(now_ms)):
            failure.ran = progress.ran
            failure.retry_after_ms = failure.retry_after_ms or FAILED_RETRY_MS
            raise failure

    def _is_suspect(self, work: Work) -> bool:
        verdict = self._quarantine.verdict(work.fingerprint, self._clock.wall_ms())
        return verdict.isolation is not Isolation.NONE

    @contextlib.contextmanager
    def _counted(self, work: Work, backend: Backend) -> t.Iterator[None]:
        now_ms = self._clock.now_ms()
        suspect = self._is_suspect(work)
        backend.breaker.on_dispatch(now_ms)
        self._observer.on_dispatch(backend, work)
        self._add(work, backend, 1, suspect)
        try:
            yield
        finally:
            self._add(work, backend, -1, suspect)
            self._observer.on_end(backend, work)

    def _add(self, work: Work, backend: Backend, count: int, suspect: bool) -> None:
        if work.batch:
            backend.batch_in_flight += count
        else:
            backend.online_in_flight += count
        backend.suspects_in_flight += count if suspect else 0
