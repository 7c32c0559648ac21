"""Records batch results: first the result lines, then a ledger entry for them."""

import anyio

from foxtailbank.clock import MS_PER_S
from foxtailbank.exceptions import LogUnavailable
from foxtailbank.ledger_service import LedgerService
from foxtailbank.open_chunk import FinishedItems, OpenChunk
from foxtailbank.payload import PayloadKind
from foxtailbank.records import ChunkResults

FLUSH_INTERVAL_MS = 1_000
APPEND_TIMEOUT_MS = 10_000
DRAIN_POLL_INTERVAL_MS = 20


class ResultRecorder:
    """Records results in groups, one per chunk and flush.

    Parameters
    ----------
    service : LedgerService
        Ledger and payload store that results are written to.

    Attributes
    ----------
    buffered_bytes : int
        Size of the results that are being recorded.
    """

    def __init__(self, *, service: LedgerService) -> None:
        self._service = service
        # Holds chunks rather than their keys, since a chunk may be open twice
        # while it moves between endpoints.
        self._chunks: set[OpenChunk] = set()
        self._flush_requested = anyio.Event()
        self.buffered_bytes = 0

    def add_chunk(self, chunk: OpenChunk) -> None:
        """Add a chunk to the next flush, and flush at once if it is drained."""
        self._chunks.add(chunk)
        if chunk.is_drained:
            self._flush_requested.set()

    async def run(self) -> None:
        """Flush periodically, or as soon as a chunk is drained, until cancelled."""
        while True:
            with anyio.move_on_after(FLUSH_INTERVAL_MS / MS_PER_S):
                await self._flush_requested.wait()
            self._flush_requested = anyio.Event()
            await self.flush()

    async def flush(self) -> None:
        """Record all buffered results."""
        chunks = self._chunks
        self._chunks = set()
        async with anyio.create_task_group() as tasks:
            for chunk in chunks:
                finished = chunk.pop_results()
                if finished is not None:
                    self.buffered_bytes += len(finished.body)
                    tasks.start_soon(self._record, chunk, finished)

    async def drain(self) -> None:
        """Record all buffered results and wait until none is being recorded."""
        await self.flush()
        while self.buffered_bytes:
            await anyio.sleep(DRAIN_POLL_INTERVAL_MS / MS_PER_S)

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
                    entry, timeout_ms=APPEND_TIMEOUT_MS, urgent=False
                )
                break
            except LogUnavailable as failure:
                if not self._needs_retry(chunk, finished, failure):
                    break
        self.buffered_bytes -= len(finished.body)
        chunk.on_recorded()

    async def _append(self, chunk: OpenChunk, finished: FinishedItems) -> int:
        while True:
            try:
                return await self._service.payloads.append(
                    kind=PayloadKind.RESULTS,
                    body=finished.body,
                    timeout_ms=APPEND_TIMEOUT_MS,
                    job_id=chunk.job_id,
                    part=chunk.index,
                    items=finished.items,
                )
            except LogUnavailable:
                continue

    def _claimant(self, chunk: OpenChunk) -> str:
        # Every VM reads the ledger, so the field is left empty to save bytes
        # unless the items are claimed.
        job = self._service.ledger.jobs_by_id.get(chunk.job_id)
        is_claimed = job is not None and not job.idempotent
        return self._service.incarnation if is_claimed else ""

    def _needs_retry(
        self, chunk: OpenChunk, finished: FinishedItems, failure: LogUnavailable
    ) -> bool:
        """Return whether some of the results still have to be recorded."""
        job = self._service.ledger.jobs_by_id.get(chunk.job_id)
        if job is None or job.ended:
            return False
        done = job.ended_bitmap(chunk.index)
        return not all(done >> position & 1 for position in finished.positions)
