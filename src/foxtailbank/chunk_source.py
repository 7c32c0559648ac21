"""Which chunks this VM runs on which endpoint."""

import collections
import typing as t

from foxtailbank.catalogue import Catalogue
from foxtailbank.entry import WorkClass
from foxtailbank.job_state import JobState
from foxtailbank.ledger import Ledger
from foxtailbank.ownership import Placement
from foxtailbank.sentinels import Missing

ChunkKey: t.TypeAlias = tuple[str, int]


class ChunkSource:
    """Chunks by the endpoint that they are placed on.

    Parameters
    ----------
    vm_id : str
        This VM.
    catalogue : Catalogue
        Tells the pool of a job's entry.
    """

    def __init__(self, *, vm_id: str, catalogue: Catalogue) -> None:
        self._vm_id = vm_id
        self._catalogue = catalogue
        self.placements_by_pool: dict[str, Placement] = {}
        self._chunks_by_endpoint: dict[str, dict[str, collections.deque[int]]] = {}

    def place(self, placements_by_pool: dict[str, Placement], ledger: Ledger) -> None:
        """Take a new placement and find this VM's chunks anew.

        Parameters
        ----------
        placements_by_pool : dict of str to Placement
            Live endpoints and VMs.
        ledger : Ledger
            Running jobs.
        """
        self.placements_by_pool = placements_by_pool
        self._chunks_by_endpoint = {}
        for job in ledger.jobs_by_id.values():
            self.add(job)

    def add(self, job: JobState) -> None:
        """Find this VM's chunks of a job."""
        placement = self._placement(job)
        if job.ended or placement is None:
            return
        for index in job.open_chunks():
            endpoint_id = self._own_endpoint(placement, chunk_name(job.job_id, index))
            if endpoint_id:
                chunks = self._chunks_by_endpoint.setdefault(endpoint_id, {})
                chunks.setdefault(job.job_id, collections.deque()).append(index)

    def forget(self, job_id: str) -> None:
        """Drop a job that has ended."""
        for chunks in self._chunks_by_endpoint.values():
            chunks.pop(job_id, None)

    def heads(self, endpoint_id: str) -> tuple[ChunkKey, ...]:
        """Return the next chunk of each job on an endpoint."""
        chunks = self._chunks_by_endpoint.get(endpoint_id, {})
        return tuple((job_id, waiting[0]) for job_id, waiting in chunks.items())

    def take(self, endpoint_id: str, key: ChunkKey) -> None:
        """Remove a chunk that is the next of its job on an endpoint."""
        job_id, _ = key
        waiting = self._chunks_by_endpoint[endpoint_id][job_id]
        waiting.popleft()
        if not waiting:
            del self._chunks_by_endpoint[endpoint_id][job_id]

    def put_back(self, endpoint_id: str, key: ChunkKey) -> None:
        """Return a chunk that was taken and could not be read."""
        job_id, index = key
        chunks = self._chunks_by_endpoint.setdefault(endpoint_id, {})
        chunks.setdefault(job_id, collections.deque()).appendleft(index)

    def is_on(self, endpoint_id: str, key: ChunkKey, job: JobState) -> bool:
        """Return whether this VM has a chunk placed on an endpoint."""
        placement = self._placement(job)
        return placement is not None and (
            self._own_endpoint(placement, chunk_name(*key)) == endpoint_id
        )

    def _placement(self, job: JobState) -> Placement | None:
        entry = self._catalogue.entry(job.entry)
        if isinstance(entry, Missing) or entry.work_class is not WorkClass.BATCH:
            return None
        return self.placements_by_pool.get(entry.pool)

    def _own_endpoint(self, placement: Placement, name: str) -> str:
        endpoint = placement.endpoint_of_chunk(name)
        if isinstance(endpoint, Missing):
            return ""
        owner = placement.owner_of_endpoint(endpoint)
        if isinstance(owner, Missing) or owner.candidate_id != self._vm_id:
            return ""
        return endpoint.candidate_id


def chunk_name(job_id: str, index: int) -> str:
    """Return the key that a chunk is placed by."""
    return f"{job_id}/{index}"
