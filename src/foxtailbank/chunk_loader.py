"""Reads chunks ahead of need, and claims the items that must not be repeated."""

import itertools

import anyio

from foxtailbank.chunk_source import ChunkKey, ChunkSource
from foxtailbank.endpoint_batch import EndpointBatch
from foxtailbank.exceptions import LogUnavailable
from foxtailbank.item_runner import ItemRunner
from foxtailbank.item_set import positions_of
from foxtailbank.job_state import JobState
from foxtailbank.ledger_service import LedgerService
from foxtailbank.open_chunk import OpenChunk
from foxtailbank.payload import PayloadKind

CLAIM_ITEMS = 16
RETRY_S = 1.0


class ChunkLoader:
    """Opens chunks for an endpoint.

    Parameters
    ----------
    service : LedgerService
        Jobs and their payloads.
    source : ChunkSource
        Gets back what could not be read, or has further items to claim.
    items : ItemRunner
        Claims items.
    """

    def __init__(
        self, *, service: LedgerService, source: ChunkSource, items: ItemRunner
    ) -> None:
        self._service = service
        self._source = source
        self._items = items

    async def load(self, batch: EndpointBatch, key: ChunkKey) -> None:
        """Read a chunk and add it to its endpoint's open ones.

        Parameters
        ----------
        batch : EndpointBatch
            The endpoint; its flag `loading` is taken back at the end.
        key : ChunkKey
            Job and number of the chunk, taken from the source.
        """
        try:
            chunk = await self._read_chunk(key)
            if chunk is not None:
                batch.chunks.append(chunk)
                self._keep_unclaimed(batch, chunk)
        except LogUnavailable:
            self._source.put_back(batch.backend.endpoint_id, key)
            await anyio.sleep(RETRY_S)
        finally:
            batch.loading = False

    async def _read_chunk(self, key: ChunkKey) -> OpenChunk | None:
        job_id, index = key
        job = self._service.ledger.jobs_by_id.get(job_id)
        if job is None or job.ended or job.chunk_ended(index):
            return None
        payload = await self._service.payloads.read(
            offset=job.chunk(index).payload_offset,
            kind=PayloadKind.INPUT,
            job_id=job_id,
            part=index,
        )
        open_bitmap = job.open(index)
        if not job.idempotent:
            open_bitmap = await self._claim(job, index, open_bitmap)
        return OpenChunk(
            job_id=job_id,
            index=index,
            owner=job.owner,
            lines=payload.body.split(b"\n"),
            open_bitmap=open_bitmap,
        )

    def _keep_unclaimed(self, batch: EndpointBatch, chunk: OpenChunk) -> None:
        """Put a chunk back whose items are claimed in groups, for the next group."""
        job = self._service.ledger.jobs_by_id.get(chunk.job_id)
        if job is None or job.idempotent or job.ended:
            return
        if job.open(chunk.index):
            self._source.put_back(batch.backend.endpoint_id, chunk.key)

    async def _claim(self, job: JobState, index: int, bitmap: int) -> int:
        group = 0
        for position in itertools.islice(positions_of(bitmap), CLAIM_ITEMS):
            group |= 1 << position
        if not group:
            return 0
        return await self._items.claim(self._service, job.job_id, index, group)
