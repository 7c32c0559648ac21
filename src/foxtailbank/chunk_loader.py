"""Prefetches chunks, and claims the items of non-idempotent jobs."""

import itertools

import anyio

from foxtailbank.chunk_queue import ChunkKey, ChunkQueue
from foxtailbank.endpoint_batch import EndpointBatch
from foxtailbank.exceptions import LogUnavailable
from foxtailbank.item_runner import ItemRunner
from foxtailbank.item_set import bitmap_positions
from foxtailbank.job_state import JobState
from foxtailbank.ledger_service import LedgerService
from foxtailbank.open_chunk import OpenChunk
from foxtailbank.payload import PayloadKind

MAX_ITEMS_PER_CLAIM = 16
RETRY_DELAY_S = 1.0


class ChunkLoader:
    """Loads chunks and adds them to their endpoint's open chunks.

    Parameters
    ----------
    service : LedgerService
        Jobs and their payloads.
    queue : ChunkQueue
        Queue of chunks; a chunk that could not be read, or that has more items
        to claim, is returned to it.
    items : ItemRunner
        Claims items.
    """

    def __init__(
        self, *, service: LedgerService, queue: ChunkQueue, items: ItemRunner
    ) -> None:
        self._service = service
        self._queue = queue
        self._items = items

    async def load(self, batch: EndpointBatch, key: ChunkKey) -> None:
        """Read a chunk and add it to its endpoint's open chunks.

        Parameters
        ----------
        batch : EndpointBatch
            The endpoint; its `is_loading` flag is cleared at the end.
        key : ChunkKey
            Job and number of the chunk, already removed from the queue.
        """
        try:
            chunk = await self._read_chunk(key)
            if chunk is not None:
                batch.chunks.append(chunk)
                self._requeue_unclaimed(batch, chunk)
        except LogUnavailable:
            self._queue.requeue(batch.backend.endpoint_id, key)
            await anyio.sleep(RETRY_DELAY_S)
        finally:
            batch.is_loading = False

    async def _read_chunk(self, key: ChunkKey) -> OpenChunk | None:
        job_id, index = key
        job = self._service.ledger.jobs_by_id.get(job_id)
        if job is None or job.ended or job.is_chunk_ended(index):
            return None
        payload = await self._service.payloads.read(
            offset=job.chunk(index).payload_offset,
            kind=PayloadKind.INPUT,
            job_id=job_id,
            part=index,
        )
        open_bitmap = job.open_bitmap(index)
        if not job.idempotent:
            open_bitmap = await self._claim(job, index, open_bitmap)
        return OpenChunk(
            job_id=job_id,
            index=index,
            owner=job.owner,
            lines=payload.body.split(b"\n"),
            open_bitmap=open_bitmap,
        )

    def _requeue_unclaimed(self, batch: EndpointBatch, chunk: OpenChunk) -> None:
        """Requeue a non-idempotent chunk that still has items to claim."""
        job = self._service.ledger.jobs_by_id.get(chunk.job_id)
        if job is None or job.idempotent or job.ended:
            return
        if job.open_bitmap(chunk.index):
            self._queue.requeue(batch.backend.endpoint_id, chunk.key)

    async def _claim(self, job: JobState, index: int, bitmap: int) -> int:
        group = 0
        for position in itertools.islice(bitmap_positions(bitmap), MAX_ITEMS_PER_CLAIM):
            group |= 1 << position
        if not group:
            return 0
        return await self._items.claim(self._service, job.job_id, index, group)
