"""Which worker may take a batch item, and how many items must give way.

Answers the pattern of online waves over a standing batch: items fill the places that
online requests leave, and stop at once when more online requests come than there are
free places. What an item has produced is kept, so that it goes on from there. In a
large fleet, where a wave is known late, items leave more places free from the start.
"""

import math
import typing as t

from foxtailbank import rendezvous
from foxtailbank.fleet.worker import Worker
from foxtailbank.fleet.worker_view import WorkerView

ONLINE_RESERVE = 1  # places a worker keeps for the next online request
LARGE_FLEET_RESERVE = 0.55  # of a worker's places; a wave doubles the mean online load
RING_WAIT_MS = 1_500  # a run in a fleet with room ends earlier
LARGE_FLEET_HEADROOM = 0.25  # of a worker's places; online requests reserve them
EXCESS_MS = 50  # a full worker ends some request within about that


class BatchRoom:
    """Decides about places for batch items.

    Parameters
    ----------
    vm_id : str
        This VM.
    view : WorkerView
        What is believed of the workers.
    """

    def __init__(
        self,
        *,
        vm_id: str,
        view: WorkerView,
    ) -> None:
        self._vm_id = vm_id
        self._view = view
        self._loads = view.loads
        self._neighbourhood = view.neighbourhood
        self._excess_since_ms: dict[str, int] = {}

    @property
    def has_excess(self) -> bool:
        """Whether some worker has more requests than places."""
        return bool(self._excess_since_ms)

    def choose(
        self,
        workers: tuple[Worker, ...],
        *,
        avoid: t.Container[str],
        waited_ms: int,
        now_ms: int,
    ) -> Worker | None:
        """Return the worker with the most free places, or None if none is free.

        Parameters
        ----------
        workers : tuple of Worker
            Workers of the item's service.
        avoid : container of str
            Workers that failed this item.
        waited_ms : int
            How long this VM has found no place; workers farther away are taken only
            then.
        now_ms : int
            Present time.
        """
        rings = self._neighbourhood.rings(workers)
        count = 1 + waited_ms // RING_WAIT_MS
        for number, ring in enumerate(rings[:count]):
            open_workers = [w for w in ring if self._is_open(w, now_ms)]
            preferred = [w for w in open_workers if w.worker_id not in avoid]
            compared = self._neighbourhood.compared(preferred or open_workers, number)
            if compared:
                return min(compared, key=self._cost)
        return None

    def places_to_yield(self, worker: Worker, now_ms: int) -> int:
        """Return how many of this VM's items on a worker must stop now.

        An excess that the worker's own completions remove within `EXCESS_MS` stops
        nothing. All VMs with items there share the rest in one order, so that
        together they stop as many as needed.
        """
        share = self._share_of_excess(worker)
        if not share:
            self._excess_since_ms.pop(worker.worker_id, None)
            return 0
        since_ms = self._excess_since_ms.setdefault(worker.worker_id, now_ms)
        return share if now_ms - since_ms >= EXCESS_MS else 0

    def _share_of_excess(self, worker: Worker) -> int:
        load = self._loads.total(worker.worker_id)
        own = self._loads.own(worker.worker_id).batch
        if not own or not load.online:
            return 0
        excess = min(load.total - worker.slots + self._headroom(worker), load.batch)
        if excess <= 0:
            return 0
        batch_by_vm = self._loads.batch_by_peer(worker.worker_id)
        batch_by_vm[self._vm_id] = own
        for vm_id in sorted(
            batch_by_vm, key=lambda vm: rendezvous.score(vm, worker.worker_id)
        ):
            share = min(excess, batch_by_vm[vm_id])
            if vm_id == self._vm_id:
                return share
            excess -= share
        return 0

    def _headroom(self, worker: Worker) -> int:
        if self._neighbourhood.is_large:
            return math.ceil(LARGE_FLEET_HEADROOM * worker.slots)
        return 0

    def _is_open(self, worker: Worker, now_ms: int) -> bool:
        if not self._view.is_sound(worker, now_ms):
            return False
        return self._view.has_place(worker, now_ms, reserve=self._reserve(worker))

    def _reserve(self, worker: Worker) -> int:
        if self._neighbourhood.is_large:
            return math.ceil(LARGE_FLEET_RESERVE * worker.slots)
        return ONLINE_RESERVE

    def _cost(self, worker: Worker) -> tuple[float, bool, float]:
        load = self._loads.total(worker.worker_id)
        is_far = worker.zone != self._view.zone
        return (
            load.total / worker.slots,
            is_far,
            self._neighbourhood.taste(worker),
        )
