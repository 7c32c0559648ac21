"""Submission of a batch job: stores the input, then records the job as accepted."""

import secrets
import typing as t

from foxtailbank.clock import Clock
from foxtailbank.entry import Entry
from foxtailbank.exceptions import (
    FoxtailbankError,
    IdempotencyConflict,
    LogUnavailable,
    Ran,
)
from foxtailbank.job_input import DuplicateCheck, InputChunk, JobInputParser
from foxtailbank.ledger_events import JobAdded, JobConflict, JobRepeated, LedgerEvent
from foxtailbank.ledger_service import LedgerService
from foxtailbank.payload import PayloadKind
from foxtailbank.records import ChunkRef, JobAccepted

JOB_ID_BYTES = 9
PAYLOAD_TIMEOUT_MS = 5_000
RETRY_AFTER_MS = 1_000


class BatchSubmission:
    """A single submission of a batch job.

    Parameters
    ----------
    clock : Clock
        Source of time.
    service : LedgerService
        Where the job is recorded.
    entry : Entry
        Catalogue entry that permits the job.
    key : str
        Idempotency key; empty if the caller gave none.
    deadline_ms : int
        Time by which results are due, in milliseconds since the Unix epoch.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        service: LedgerService,
        entry: Entry,
        key: str,
        deadline_ms: int,
    ) -> None:
        self._clock = clock
        self._service = service
        self._entry = entry
        self._key = key
        self._deadline_ms = deadline_ms
        self._job_id = f"job-{secrets.token_hex(JOB_ID_BYTES)}"
        self._chunks: list[ChunkRef] = []

    async def run(self, parts: t.AsyncIterator[bytes]) -> str:
        """Read the whole input and return the job's id once it is durable.

        Parameters
        ----------
        parts : async iterator of bytes
            The input, split anywhere. It is read to its end even after a failure.

        Returns
        -------
        str
            Id of the job; if an earlier submission under the same key had the same
            content, the id of that job.

        Raises
        ------
        JobInputInvalid
            A line is malformed, or the input has no, too many or duplicate items.
        IdempotencyConflict
            The key was used for a job with different content.
        LogUnavailable
            The job was not confirmed as durable; ``ran`` tells whether it may have
            been recorded.
        """
        failure: FoxtailbankError | None = None
        parser = JobInputParser(max_line_bytes=self._entry.limits.body_bytes)
        # If the key is already in use, the input is compared and not stored again.
        earlier_id = self._find_earlier_job()
        async for part in parts:
            if failure is not None:
                continue
            try:
                await self._store(parser.feed(part), earlier_id)
            except FoxtailbankError as error:
                failure = error
        if failure is not None:
            raise failure
        last_chunks, summary = parser.finish()
        await self._store(last_chunks, earlier_id)
        if summary.repeated_digests:
            await self._check_duplicates(summary.repeated_digests)
        accepted = JobAccepted(
            job_id=self._job_id,
            owner=self._entry.owner,
            entry=self._entry.name,
            key=self._key,
            digest=self._digest(summary.digest),
            deadline_ms=self._deadline_ms,
            item_count=summary.item_count,
            chunks=tuple(self._chunks),
            idempotent=self._entry.idempotent,
            at_ms=self._clock.wall_ms(),
        )
        if earlier_id:
            return self._require_same_content(earlier_id, self._digest(summary.digest))
        return self._recorded_job_id(await self._service.append(accepted))

    def _digest(self, content_digest: str) -> str:
        # The entry is included because the same content under another entry is a
        # different job.
        return f"{self._entry.name}:{content_digest}"

    def _find_earlier_job(self) -> str:
        if not self._key:
            return ""
        ledger = self._service.ledger
        return ledger.job_id_for_key(self._entry.owner, self._key) or ""

    def _require_same_content(self, job_id: str, digest: str) -> str:
        ledger = self._service.ledger
        job = ledger.jobs_by_id.get(job_id) or ledger.retired_by_id.get(job_id)
        if job is None or job.digest != digest:
            raise self._conflict(job_id)
        return job_id

    async def _store(self, chunks: tuple[InputChunk, ...], earlier_id: str) -> None:
        if earlier_id:
            return
        for chunk in chunks:
            try:
                offset = await self._service.payloads.append(
                    kind=PayloadKind.INPUT,
                    body=chunk.data,
                    timeout_ms=PAYLOAD_TIMEOUT_MS,
                    job_id=self._job_id,
                    part=len(self._chunks),
                )
            except LogUnavailable as error:
                raise LogUnavailable(
                    detail="the input of the job could not be stored",
                    retry_after_ms=RETRY_AFTER_MS,
                    ran=Ran.NO,
                ) from error
            self._chunks.append(ChunkRef(offset, chunk.first, chunk.count))

    async def _check_duplicates(self, repeated_digests: frozenset[int]) -> None:
        check = DuplicateCheck(repeated_digests=repeated_digests)
        for number, chunk in enumerate(self._chunks):
            payload = await self._service.payloads.read(
                offset=chunk.payload_offset,
                kind=PayloadKind.INPUT,
                job_id=self._job_id,
                part=number,
            )
            check.feed(
                InputChunk(first=chunk.first, count=chunk.count, data=payload.body)
            )

    def _recorded_job_id(self, events: tuple[LedgerEvent, ...]) -> str:
        for event in events:
            if isinstance(event, JobAdded | JobRepeated):
                return event.job_id
            if isinstance(event, JobConflict):
                raise self._conflict(event.job_id)
        raise LogUnavailable(
            detail="the log did not confirm that the job was recorded", ran=Ran.UNKNOWN
        )

    def _conflict(self, job_id: str) -> IdempotencyConflict:
        return IdempotencyConflict(
            detail=f"the idempotency key was used for {job_id} with different content"
        )
