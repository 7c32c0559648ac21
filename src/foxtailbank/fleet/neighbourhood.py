"""Which workers an entry VM uses first, and which only if those have no place.

Answers the pattern of many entry VMs before many workers: if each VM spread over all
of them, several would take each place that falls free, with loads that they know
late, and none would keep its connections busy. In a small fleet all workers are alike.
"""

import dataclasses
import functools
import math
import random
import typing as t

import xxhash

from foxtailbank.fleet.report_pace import SMALL_GROUP, PeerGroup
from foxtailbank.fleet.worker import Worker

VMS_PER_WORKER = 4  # that use it first; fewer would leave some workers without any
SAMPLE = 2  # of workers whose loads are known late
TASTES_KEPT = 4_096  # workers

Rings: t.TypeAlias = tuple[tuple[Worker, ...], ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Sorted:
    workers: tuple[Worker, ...]
    rings: Rings


class Neighbourhood:
    """Sorts workers into rings, nearest first.

    Parameters
    ----------
    vm_id : str
        This VM.
    zone : str
        Its availability zone.
    rng : random.Random
        Draws the workers that are compared.
    """

    def __init__(self, *, vm_id: str, zone: str, rng: random.Random) -> None:
        self._vm_id = vm_id
        self._rng = rng
        self._zone = zone
        self._peers_by_group = dict.fromkeys(PeerGroup, 0)
        self._sorted_by_service: dict[str, _Sorted] = {}

    def count_peers(self, group: PeerGroup, peers: int) -> None:
        """Take the number of other VMs in a group."""
        if self._peers_by_group[group] != peers:
            self._peers_by_group[group] = peers
            self._sorted_by_service.clear()

    @property
    def is_large(self) -> bool:
        """Whether there are so many VMs that loads are known late."""
        return max(self._peers_by_group.values()) > SMALL_GROUP

    def peers(self, group: PeerGroup) -> int:
        """Return the number of other VMs in a group."""
        return self._peers_by_group[group]

    def rings(self, workers: tuple[Worker, ...]) -> Rings:
        """Return the workers by rings; no ring is empty.

        Parameters
        ----------
        workers : tuple of Worker
                Workers of one service.
        """
        if not workers:
            return ()
        service = workers[0].service
        known = self._sorted_by_service.get(service)
        if known is None or known.workers is not workers:
            known = _Sorted(workers=workers, rings=self._sort(workers))
            self._sorted_by_service[service] = known
        return known.rings

    def compared(self, ring: t.Sequence[Worker], number: int) -> t.Sequence[Worker]:
        """Return the workers of a ring among which the least loaded one is taken.

        Loads outside the first ring are known late. If all VMs took the least loaded
        worker there, they would all take the same one.

        Parameters
        ----------
        ring : sequence of Worker
            What is left of the ring.
        number : int
            Its number from 0.
        """
        if number == 0 or len(ring) <= SAMPLE:
            return ring
        return self._rng.sample(ring, SAMPLE)

    def taste(self, worker: Worker) -> float:
        """Return from 0 to 1 how little this VM likes a worker.

        Each VM has its own order, so that VMs that see the same loads choose
        different ones of equal workers.
        """
        return _taste(self._vm_id, worker.worker_id)

    def _sort(self, workers: tuple[Worker, ...]) -> Rings:
        if not self.is_large:
            return (workers,)
        near = sorted((w for w in workers if w.zone == self._zone), key=self.taste)
        far = tuple(w for w in workers if w.zone != self._zone)
        vms = 1 + self._peers_by_group[PeerGroup.NEAR]
        homes = math.ceil(len(near) * VMS_PER_WORKER / vms)
        rings = (tuple(near[:homes]), tuple(near[homes:]), far)
        return tuple(ring for ring in rings if ring)


@functools.lru_cache(maxsize=TASTES_KEPT)
def _taste(vm_id: str, worker_id: str) -> float:
    return xxhash.xxh32_intdigest(f"{vm_id}/{worker_id}") / 2**32
