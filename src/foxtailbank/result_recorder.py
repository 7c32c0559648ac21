"""Records batch results: first the lines, then their entry in the ledger."""

import anyio

from foxtailbank.clock import MS_PER_S
from foxtailbank.exceptions import LogUnavailable
from foxtailbank.ledger_service import LedgerService
from foxtailbank.open_chunk import FinishedItems, OpenChunk
from foxtailbank.payload import PayloadKind
from foxtailbank.records import ChunkResults

FLUSH_MS = 1_000
APPEND_MS = 10_000
DRAIN_POLL_MS = 20


class ResultRecorder:
    """Groups results by chunk and appends them.

    Parameters
    ----------
    service : LedgerService
        Where results are recorded.

    Attributes
    ----------
    buffered_bytes : int
        Results that are being appended.
    """

    def __init__(self, *, service: LedgerService) -> None:
        self._service = service
        # A chunk may be open twice while it moves between endpoints.
        self._offered: set[OpenChunk] = set()
        self._drained = anyio.Event()
        self.buffered_bytes = 0

    def offer(self, chunk: OpenChunk) -> None:
        """Note that a chunk may have results; a drained one is recorded at once."""
        self._offered.add(chunk)
        if chunk.drained:
            self._drained.set()

    async def run(self) -> None:
        """Record results until cancelled."""
        while True:
            with anyio.move_on_after(FLUSH_MS / MS_PER_S):
                await self._drained.wait()
            self._drained = anyio.Event()
            await self.flush()

    async def flush(self) -> None:
        """Record all results that are ready."""
        chunks = self._offered
        self._offered = set()
        async with anyio.create_task_group() as tasks:
            for chunk in chunks:
                finished = chunk.take_results()
                if finished is not None:
                    self.buffered_bytes += len(finished.body)
                    tasks.start_soon(self._record, chunk, finished)

    async def drain(self) -> None:
        """Record all results and wait until they are in the ledger."""
        await self.flush()
        while self.buffered_bytes:
            await anyio.sleep(DRAIN_POLL_MS / MS_PER_S)

    async def _record(self, chunk: OpenChunk, finished: FinishedItems) -> None:
        offset = await self._append(chunk, finished)
        entry = ChunkResults(
            job_id=chunk.job_id,
            chunk=chunk.index,
            items=finished.items,
            payload_offset=offset,
            failed=finished.failed,
            claimant=self._claimant(chunk),
        )
        while True:
            try:
                await self._service.writer.append(
                    entry, timeout_ms=APPEND_MS, urgent=False
                )
                break
            except LogUnavailable as failure:
                if not self._is_repeatable(chunk, finished, failure):
                    break
        self.buffered_bytes -= len(finished.body)
        chunk.recorded()

    async def _append(self, chunk: OpenChunk, finished: FinishedItems) -> int:
        while True:
            try:
                return await self._service.payloads.append(
                    kind=PayloadKind.RESULTS,
                    body=finished.body,
                    timeout_ms=APPEND_MS,
                    job_id=chunk.job_id,
                    part=chunk.index,
                    items=finished.items,
                )
            except LogUnavailable:
                continue

    def _claimant(self, chunk: OpenChunk) -> str:
        # Only claimed items need it; ledger bytes are read by every VM.
        job = self._service.ledger.jobs_by_id.get(chunk.job_id)
        is_claimed = job is not None and not job.idempotent
        return self._service.incarnation if is_claimed else ""

    def _is_repeatable(
        self, chunk: OpenChunk, finished: FinishedItems, failure: LogUnavailable
    ) -> bool:
        """Return whether the results still have to get into the ledger."""
        job = self._service.ledger.jobs_by_id.get(chunk.job_id)
        if job is None or job.ended:
            return False
        done = job.done(chunk.index)
        return not all(done >> position & 1 for position in finished.positions)
