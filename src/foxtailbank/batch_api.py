"""HTTP API for batch jobs."""

import typing as t

import msgspec
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from foxtailbank.asgi import drain_body, get_header, iter_body
from foxtailbank.batch_submission import BatchSubmission
from foxtailbank.caller import Caller, authenticate, entry_by_name
from foxtailbank.catalogue import Catalogue
from foxtailbank.clock import Clock
from foxtailbank.entry import Entry, WorkClass
from foxtailbank.events import Event
from foxtailbank.exceptions import (
    FoxtailbankError,
    InvalidRequest,
    LogUnavailable,
    NotFound,
)
from foxtailbank.job_results import JobResults
from foxtailbank.job_state import JobState
from foxtailbank.job_view import build_job_view
from foxtailbank.json_response import json_response
from foxtailbank.ledger_events import JobCancelledEvent
from foxtailbank.ledger_service import LedgerService
from foxtailbank.logs import LogFields, Logs
from foxtailbank.records import JobCancelled
from foxtailbank.retired_job import RetiredJob

MAX_KEY_CHARS = 256
STATUS_ACCEPTED = 202
NDJSON = "application/x-ndjson"


class BatchApi:
    """Handlers for the paths under ``/v1/batches``.

    Parameters
    ----------
    clock : Clock
        Source of time.
    catalogue : Catalogue
        Catalogue entries, used to authenticate and authorize callers.
    service : LedgerService
        Where jobs are recorded.
    logs : Logs
        Receives a line for each job accepted, refused or cancelled.
    on_cancelled : callable
        Called with the id of each job whose cancellation has been recorded.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        catalogue: Catalogue,
        service: LedgerService,
        logs: Logs,
        on_cancelled: t.Callable[[str], None],
    ) -> None:
        self._on_cancelled = on_cancelled
        self._clock = clock
        self._catalogue = catalogue
        self._service = service
        self._logs = logs
        self._results_reader = JobResults(service=service)

    def routes(self) -> list[Route]:
        """Return the routes."""
        return [
            Route("/v1/batches", self._submit, methods=["POST"]),
            Route("/v1/batches/{job_id}", self._status, methods=["GET"]),
            Route("/v1/batches/{job_id}/cancel", self._cancel, methods=["POST"]),
            Route("/v1/batches/{job_id}/results", self._results, methods=["GET"]),
        ]

    async def _submit(self, request: Request) -> Response:
        try:
            caller = authenticate(request.scope, self._catalogue)
            entry = self._find_entry(caller, request)
            submission = self._parse_submission(request, entry)
        except FoxtailbankError:
            await drain_body(request.receive)
            raise
        try:
            job_id = await submission.run(iter_body(request.receive))
        except FoxtailbankError as failure:
            self._log_outcome(Event.JOB_REFUSED, entry, reason=failure.code)
            raise
        self._log_outcome(Event.JOB_ACCEPTED, entry, job_id=job_id)
        return self._job_response(
            self._find_job(caller, job_id), status=STATUS_ACCEPTED
        )

    def _find_entry(self, caller: Caller, request: Request) -> Entry:
        name = request.query_params.get("entry", "")
        if not name:
            raise InvalidRequest(
                detail="query parameter `entry` is missing; add `?entry=NAME`"
            )
        return entry_by_name(caller, self._catalogue, name, WorkClass.BATCH)

    def _parse_submission(self, request: Request, entry: Entry) -> BatchSubmission:
        key = get_header(request.scope, b"idempotency-key")
        if len(key) > MAX_KEY_CHARS:
            raise InvalidRequest(detail="`Idempotency-Key` is too long")
        deadline_param = request.query_params.get("deadline_ms", "")
        if deadline_param and (
            not deadline_param.isdecimal() or not int(deadline_param)
        ):
            raise InvalidRequest(
                detail="`deadline_ms` must be a positive number of milliseconds"
            )
        timeout_ms = int(deadline_param) if deadline_param else entry.limits.deadline_ms
        if timeout_ms > entry.limits.deadline_ms:
            raise InvalidRequest(
                detail=f"`deadline_ms` exceeds {entry.limits.deadline_ms}"
            )
        return BatchSubmission(
            clock=self._clock,
            service=self._service,
            entry=entry,
            key=key,
            deadline_ms=self._clock.wall_ms() + timeout_ms,
        )

    async def _status(self, request: Request) -> Response:
        await drain_body(request.receive)
        caller = authenticate(request.scope, self._catalogue)
        return self._job_response(self._find_job(caller, request.path_params["job_id"]))

    async def _cancel(self, request: Request) -> Response:
        await drain_body(request.receive)
        caller = authenticate(request.scope, self._catalogue)
        job = self._find_job(caller, request.path_params["job_id"])
        if isinstance(job, JobState) and not job.ended:
            events = await self._service.append(JobCancelled(job_id=job.job_id))
            if any(isinstance(event, JobCancelledEvent) for event in events):
                self._on_cancelled(job.job_id)
                fields = LogFields(owner=job.owner, entry=job.entry, job_id=job.job_id)
                self._logs.write(Event.JOB_CANCELLED, fields=fields)
        return self._job_response(self._find_job(caller, job.job_id))

    async def _results(self, request: Request) -> Response:
        await drain_body(request.receive)
        caller = authenticate(request.scope, self._catalogue)
        job = self._find_job(caller, request.path_params["job_id"])
        lines = self._results_reader.lines(job)
        # Read the first part before the response starts, so that an error up to
        # here still becomes an error response.
        first = await anext(lines, b"")

        async def body():  # type: ignore[no-untyped-def]  # noqa: ANN202
            yield first
            try:
                async for part in lines:
                    yield part
            except LogUnavailable as failure:
                # The status has been sent. Aborting leaves the chunked body without its
                # end, which tells the caller that lines are missing.
                raise ConnectionAbortedError(failure.code) from failure

        return StreamingResponse(body(), media_type=NDJSON)

    def _find_job(self, caller: Caller, job_id: str) -> JobState | RetiredJob:
        ledger = self._service.ledger
        job = ledger.jobs_by_id.get(job_id) or ledger.retired_by_id.get(job_id)
        if job is None or job.owner != caller.owner:
            raise NotFound(detail=f"no job `{job_id}`")
        return job

    def _job_response(
        self, job: JobState | RetiredJob, *, status: int = 200
    ) -> Response:
        view = build_job_view(job, now_ms=self._clock.wall_ms())
        return json_response(msgspec.to_builtins(view), status=status)

    def _log_outcome(
        self, event: Event, entry: Entry, *, job_id: str = "", reason: str = ""
    ) -> None:
        fields = LogFields(
            owner=entry.owner, entry=entry.name, job_id=job_id, reason=reason
        )
        self._logs.write(event, fields=fields)
