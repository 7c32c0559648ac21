"""Queues of the chunks that this VM runs, by endpoint."""

import collections
import typing as t

from foxtailbank.catalogue import Catalogue
from foxtailbank.entry import WorkClass
from foxtailbank.job_state import JobState
from foxtailbank.ledger import Ledger
from foxtailbank.ownership import Placement
from foxtailbank.sentinels import Missing

ChunkKey: t.TypeAlias = tuple[str, int]


class ChunkQueue:
    """Chunks that wait to be loaded, by the endpoint that they are placed on.

    Parameters
    ----------
    vm_id : str
        This VM.
    catalogue : Catalogue
        Gives the pool of a job's entry.
    """

    def __init__(self, *, vm_id: str, catalogue: Catalogue) -> None:
        self._vm_id = vm_id
        self._catalogue = catalogue
        self.placements_by_pool: dict[str, Placement] = {}
        self._chunks_by_endpoint: dict[str, dict[str, collections.deque[int]]] = {}

    def update_placements(
        self, placements_by_pool: dict[str, Placement], ledger: Ledger
    ) -> None:
        """Replace the placements and rebuild the queues.

        Parameters
        ----------
        placements_by_pool : dict of str to Placement
            Placement over the live endpoints and VMs of each pool.
        ledger : Ledger
            Jobs; only those that are running are queued.
        """
        self.placements_by_pool = placements_by_pool
        self._chunks_by_endpoint = {}
        for job in ledger.jobs_by_id.values():
            self.add_job(job)

    def add_job(self, job: JobState) -> None:
        """Queue the chunks of a job that this VM runs."""
        placement = self._placement(job)
        if job.ended or placement is None:
            return
        for index in job.open_chunks():
            endpoint_id = self._local_endpoint(placement, chunk_name(job.job_id, index))
            if endpoint_id:
                chunks = self._chunks_by_endpoint.setdefault(endpoint_id, {})
                chunks.setdefault(job.job_id, collections.deque()).append(index)

    def remove_job(self, job_id: str) -> None:
        """Remove the chunks of a job that has ended."""
        for chunks in self._chunks_by_endpoint.values():
            chunks.pop(job_id, None)

    def next_chunks(self, endpoint_id: str) -> tuple[ChunkKey, ...]:
        """Return the next chunk of each job that is queued for an endpoint."""
        chunks = self._chunks_by_endpoint.get(endpoint_id, {})
        return tuple((job_id, waiting[0]) for job_id, waiting in chunks.items())

    def pop(self, endpoint_id: str, key: ChunkKey) -> None:
        """Remove a chunk that is the next of its job for an endpoint."""
        job_id, _ = key
        waiting = self._chunks_by_endpoint[endpoint_id][job_id]
        waiting.popleft()
        if not waiting:
            del self._chunks_by_endpoint[endpoint_id][job_id]

    def requeue(self, endpoint_id: str, key: ChunkKey) -> None:
        """Put a chunk back at the front of its job's queue."""
        job_id, index = key
        chunks = self._chunks_by_endpoint.setdefault(endpoint_id, {})
        chunks.setdefault(job_id, collections.deque()).appendleft(index)

    def is_placed_on(self, endpoint_id: str, key: ChunkKey, job: JobState) -> bool:
        """Return whether this VM runs a chunk on an endpoint."""
        placement = self._placement(job)
        return placement is not None and (
            self._local_endpoint(placement, chunk_name(*key)) == endpoint_id
        )

    def _placement(self, job: JobState) -> Placement | None:
        entry = self._catalogue.entry(job.entry)
        if isinstance(entry, Missing) or entry.work_class is not WorkClass.BATCH:
            return None
        return self.placements_by_pool.get(entry.pool)

    def _local_endpoint(self, placement: Placement, name: str) -> str:
        endpoint = placement.endpoint_of_chunk(name)
        if isinstance(endpoint, Missing):
            return ""
        owner = placement.owner_of_endpoint(endpoint)
        if isinstance(owner, Missing) or owner.candidate_id != self._vm_id:
            return ""
        return endpoint.candidate_id


def chunk_name(job_id: str, index: int) -> str:
    """Return the key that a chunk's placement is computed from."""
    return f"{job_id}/{index}"
