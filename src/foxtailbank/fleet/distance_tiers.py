"""Tiers of workers by distance: which ones an entry VM tries first.

Meant for deployments with many entry VMs and many workers, where load reports are
stale. If each VM used all workers alike, several VMs would compete for each slot that
becomes free, and connections to workers would be idle most of the time. The first tier
holds the workers of the VM's cell (see `report_cells`). In a small fleet all workers
form one tier.
"""

import copy
import dataclasses
import functools
import math
import random
import typing as t

import xxhash

from foxtailbank.fleet import report_cells
from foxtailbank.fleet.report_cells import Cell
from foxtailbank.fleet.report_intervals import SMALL_GROUP, PeerGroup
from foxtailbank.fleet.worker import Worker

# Mean number of VMs that use a limited worker; with fewer, some would be used by none.
# Before the cells are known, these workers are the first tier.
FIRST_TIER_VMS_PER_WORKER = 4
SAMPLE_SIZE = 2  # workers compared where load reports are stale
TIE_BREAK_CACHE_SIZE = 4_096  # workers

Tiers: t.TypeAlias = tuple[tuple[Worker, ...], ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _CachedTiers:
    workers: tuple[Worker, ...]
    tiers: Tiers
    nearest_ids: frozenset[str]
    cell_ids: frozenset[str]


class DistanceTiers:
    """Groups workers into distance tiers, nearest first.

    Parameters
    ----------
    vm_id : str
        This VM.
    zone : str
        Its availability zone.
    rng : random.Random
        Samples the workers that are compared.
    """

    def __init__(self, *, vm_id: str, zone: str, rng: random.Random) -> None:
        self._vm_id = vm_id
        self._rng = rng
        self._zone = zone
        self._peer_count_by_group = dict.fromkeys(PeerGroup, 0)
        self._cached_by_service: dict[str, _CachedTiers] = {}
        self._cell: Cell | None = None

    def fork(self, rng: random.Random) -> "DistanceTiers":
        """Return a copy that draws from another generator."""
        fork = copy.copy(self)
        fork._rng = rng
        fork._cached_by_service = dict(self._cached_by_service)
        return fork

    def set_peer_count(self, group: PeerGroup, count: int) -> None:
        """Set the number of other VMs in a group."""
        if self._peer_count_by_group[group] != count:
            self._peer_count_by_group[group] = count
            self._cached_by_service.clear()

    def set_cell(self, cell: Cell) -> None:
        """Set the cell of this VM."""
        if self._cell != cell:
            self._cell = cell
            self._cached_by_service.clear()

    @property
    def is_split(self) -> bool:
        """Whether this VM's zone is split into several cells."""
        return self._cell is not None and self._cell.count > 1

    @property
    def cell_vm_ids(self) -> frozenset[str]:
        """VMs of this VM's cell, itself included; alone before cells are known."""
        return self._cell.vm_ids if self._cell else frozenset({self._vm_id})

    @property
    def is_large_fleet(self) -> bool:
        """Whether there are so many VMs that load reports are stale."""
        far = self._peer_count_by_group[PeerGroup.FAR]
        return max(self.zone_peer_count, far) > SMALL_GROUP

    def peer_count(self, group: PeerGroup) -> int:
        """Return the number of other VMs in a group."""
        return self._peer_count_by_group[group]

    @property
    def zone_peer_count(self) -> int:
        """Number of other VMs in the zone of this one."""
        in_cell = self._peer_count_by_group[PeerGroup.CELL]
        return in_cell + self._peer_count_by_group[PeerGroup.NEAR]

    @property
    def total_peer_count(self) -> int:
        """Number of other VMs in all groups."""
        return sum(self._peer_count_by_group.values())

    def for_workers(self, workers: tuple[Worker, ...]) -> Tiers:
        """Return the workers in tiers; no tier is empty.

        Parameters
        ----------
        workers : tuple of Worker
            Workers of one service. The result is cached for the same tuple object.
        """
        if not workers:
            return ()
        service = workers[0].service
        known = self._cached_by_service.get(service)
        if known is None or known.workers is not workers:
            known = self._build(workers)
            self._cached_by_service[service] = known
        return known.tiers

    def is_nearest(self, worker: Worker) -> bool:
        """Return whether this VM is one of the few that use a worker first.

        Of a zone without workers of the service, a few VMs are drawn for each worker.
        """
        known = self._cached_by_service.get(worker.service)
        if known is None or worker.worker_id not in known.nearest_ids:
            return False
        if worker.zone == self._zone:
            return True
        vms = 1 + self.total_peer_count
        return self.tie_break(worker) < FIRST_TIER_VMS_PER_WORKER / vms

    def is_in_cell(self, worker: Worker) -> bool:
        """Return whether the VMs of this VM's cell use a worker first.

        Its load is known better than that of others.
        """
        known = self._cached_by_service.get(worker.service)
        return known is not None and worker.worker_id in known.cell_ids

    def cell_workers(self, workers: tuple[Worker, ...]) -> list[Worker]:
        """Return those workers of a service that this VM's cell uses first."""
        self.for_workers(workers)
        return [worker for worker in workers if self.is_in_cell(worker)]

    def sample(self, tier: t.Sequence[Worker], number: int) -> t.Sequence[Worker]:
        """Return the workers of a tier from which the least loaded one is chosen.

        Loads outside the first tier are stale. If all VMs chose the least loaded
        worker there, they would all choose the same one, so a random sample is
        compared instead.

        Parameters
        ----------
        tier : sequence of Worker
            Candidates in the tier.
        number : int
            Index of the tier; 0 is the first one.
        """
        if number == 0 or len(tier) <= SAMPLE_SIZE:
            return tier
        return self._rng.sample(tier, SAMPLE_SIZE)

    def tie_break(self, worker: Worker) -> float:
        """Return the tie-break cost of a worker, from 0 to 1.

        Each VM has its own order, so that VMs that see the same loads choose
        different ones among equally loaded workers.
        """
        return _tie_break(self._vm_id, worker.worker_id)

    def _build(self, workers: tuple[Worker, ...]) -> _CachedTiers:
        near = [worker for worker in workers if worker.zone == self._zone]
        nearest = self._nearest(near) if near and self.is_large_fleet else workers
        in_cell = report_cells.workers_of(self._cell, near) if self._cell else ()
        return _CachedTiers(
            workers=workers,
            tiers=self._build_tiers(workers),
            nearest_ids=frozenset(worker.worker_id for worker in nearest),
            cell_ids=frozenset(worker.worker_id for worker in in_cell),
        )

    def _build_tiers(self, workers: tuple[Worker, ...]) -> Tiers:
        if not self.is_large_fleet:
            return (workers,)
        near = sorted((w for w in workers if w.zone == self._zone), key=self.tie_break)
        far = tuple(w for w in workers if w.zone != self._zone)
        first = self._nearest(near)
        if self._cell is not None:
            first = report_cells.workers_of(self._cell, near)
        rest = tuple(worker for worker in near if worker not in first)
        return tuple(tier for tier in (first, rest, far) if tier)

    def _nearest(self, near: t.Sequence[Worker]) -> tuple[Worker, ...]:
        vms = 1 + self.zone_peer_count
        size = math.ceil(len(near) * FIRST_TIER_VMS_PER_WORKER / vms)
        return tuple(sorted(near, key=self.tie_break)[:size])


@functools.lru_cache(maxsize=TIE_BREAK_CACHE_SIZE)
def _tie_break(vm_id: str, worker_id: str) -> float:
    return xxhash.xxh32_intdigest(f"{vm_id}/{worker_id}") / 2**32
