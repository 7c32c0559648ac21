"""Takes a batch job in: its input to the log, then its acceptance."""

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
    """One submission of a job.

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
        Civil time by which results are due, in milliseconds.
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
            The input in any split; it is read to its end in every case.

        Returns
        -------
        str
            Id of the job; that of an earlier submission if it is the same job.

        Raises
        ------
        JobInputInvalid
            A line is malformed.
        IdempotencyConflict
            The key was used for a job with other content.
        LogUnavailable
            The job is not known to be durable; ``ran`` tells whether it may be.
        """
        failure: FoxtailbankError | None = None
        parser = JobInputParser(max_line_bytes=self._entry.limits.body_bytes)
        # A job under a known key is only compared, not stored once more.
        known = self._known_job()
        async for part in parts:
            if failure is not None:
                continue
            try:
                await self._store(parser.feed(part), known)
            except FoxtailbankError as error:
                failure = error
        if failure is not None:
            raise failure
        rest, summary = parser.finish()
        await self._store(rest, known)
        if summary.suspects:
            await self._check_duplicates(summary.suspects)
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
        if known:
            return self._compare(known, self._digest(summary.digest))
        return self._verdict(await self._service.append(accepted))

    def _digest(self, content_digest: str) -> str:
        # The same content under another entry is another job.
        return f"{self._entry.name}:{content_digest}"

    def _known_job(self) -> str:
        if not self._key:
            return ""
        ledger = self._service.ledger
        return ledger.job_id_for_key(self._entry.owner, self._key) or ""

    def _compare(self, job_id: str, digest: str) -> str:
        ledger = self._service.ledger
        job = ledger.jobs_by_id.get(job_id) or ledger.retired_by_id.get(job_id)
        if job is None or job.digest != digest:
            raise self._conflict(job_id)
        return job_id

    async def _store(self, chunks: tuple[InputChunk, ...], known: str) -> None:
        if known:
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
                    detail="the job could not be stored",
                    retry_after_ms=RETRY_AFTER_MS,
                    ran=Ran.NO,
                ) from error
            self._chunks.append(ChunkRef(offset, chunk.first, chunk.count))

    async def _check_duplicates(self, suspects: frozenset[int]) -> None:
        check = DuplicateCheck(suspects=suspects)
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

    def _verdict(self, events: tuple[LedgerEvent, ...]) -> str:
        for event in events:
            if isinstance(event, JobAdded | JobRepeated):
                return event.job_id
            if isinstance(event, JobConflict):
                raise self._conflict(event.job_id)
        raise LogUnavailable(detail="the job was not recorded", ran=Ran.UNKNOWN)

    def _conflict(self, job_id: str) -> IdempotencyConflict:
        return IdempotencyConflict(
            detail=f"the idempotency key belongs to {job_id} with other content"
        )
