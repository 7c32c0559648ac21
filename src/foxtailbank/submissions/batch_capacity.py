"""Placement of batch items on workers, and their preemption for online requests.

Designed for bursts of online requests during a long-running batch: items fill the slots
that online requests leave free and are preempted when online requests exceed the free
slots. A preempted item keeps its output and resumes from there. How many slots items
leave free, and when they are preempted for a burst, is decided by `OnlineReserve`.
"""

import copy
import typing as t

from foxtailbank import rendezvous
from foxtailbank.fleet.load_table import LoadKind
from foxtailbank.fleet.stream_origin import StreamOrigin
from foxtailbank.fleet.worker import Worker
from foxtailbank.fleet.worker_view import WorkerView
from foxtailbank.submissions.online_reserve import OnlineReserve

# A trough between two bursts lasts about 3 s; an item that waited longer for a slot
# nearby would miss most of it.
TIER_WAIT_MS = 100
EXCESS_GRACE_MS = 50  # a full worker completes some request within about this time


class BatchCapacity:
    """Assigns worker slots to batch items.

    Parameters
    ----------
    vm_id : str
        This VM.
    view : WorkerView
        Load and health of the workers as this VM knows them.
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
        self._neighbourhood = view.tiers
        self._excess_since_ms: dict[str, int] = {}
        self._reserve = OnlineReserve(view=view)

    def fork(self, view: WorkerView) -> "BatchCapacity":
        """Return a copy to be asked only, for another view of the same workers."""
        fork = copy.copy(self)
        fork._view = view
        fork._neighbourhood = view.tiers
        return fork

    def reserved_slots(self, worker: Worker, now_ms: int) -> int:
        """Return how many slots of a worker items leave free for online requests."""
        return self._reserve.reserved_slots(worker, now_ms)

    def is_burst_on(self, service: str) -> bool:
        """Return whether a burst of online requests has begun and is not over."""
        return self._reserve.is_burst_on(service)

    @property
    def has_excess(self) -> bool:
        """Whether this VM has items to preempt if an excess of requests persists."""
        return bool(self._excess_since_ms)

    def observe_online_load(
        self, workers_by_service: t.Mapping[str, tuple[Worker, ...]], now_ms: int
    ) -> None:
        """Sample the online load, from which the slots to leave free are derived.

        To be called every few hundred milliseconds, also while no item waits. The load
        of peers that don't report is not known, so a VM that hears too few of them
        forgets its samples.

        Parameters
        ----------
        workers_by_service : mapping of str to tuple of Worker
            Workers that accept new requests.
        now_ms : int
            Current time.
        """
        self._reserve.observe(workers_by_service, now_ms)

    def choose_worker(
        self,
        workers: tuple[Worker, ...],
        *,
        avoid: t.Container[str],
        waited_ms: int,
        now_ms: int,
        origin: StreamOrigin | None = None,
    ) -> Worker | None:
        """Return the least loaded worker with a free slot, or None if there is none.

        Parameters
        ----------
        workers : tuple of Worker
            Workers of the item's service.
        avoid : container of str
            Ids of workers that failed or refused this item; used only if no other is
            free.
        waited_ms : int
            How long this VM has found no free slot for items of the same route; after
            each `TIER_WAIT_MS` the next distance tier is included.
        now_ms : int
            Current time.
        origin : StreamOrigin, optional
            Software that wrote the output that the item has.
        """
        tiers = self._neighbourhood.for_workers(workers)
        tier_count = 1 + waited_ms // TIER_WAIT_MS
        for number, tier in enumerate(tiers[:tier_count]):
            available = [w for w in tier if self._has_capacity(w, now_ms)]
            if origin is not None:
                available = [w for w in available if origin.may_continue_at(w)]
            preferred = [w for w in available if w.worker_id not in avoid]
            candidates = self._neighbourhood.sample(preferred or available, number)
            if candidates:
                return min(candidates, key=self._cost)
        return None

    def items_to_preempt(self, worker: Worker, now_ms: int) -> int:
        """Return how many of this VM's items on a worker must be preempted now.

        An excess that completions at the worker remove within `EXCESS_GRACE_MS`
        preempts nothing. A lasting excess is divided among the VMs with items there,
        in the same order on every VM, so that together they preempt as many as needed.
        """
        share = self._share_of_excess(worker, now_ms)
        if not share:
            self._excess_since_ms.pop(worker.worker_id, None)
            return 0
        since_ms = self._excess_since_ms.setdefault(worker.worker_id, now_ms)
        return share if now_ms - since_ms >= EXCESS_GRACE_MS else 0

    def choose_swap(
        self,
        workers: t.Sequence[Worker],
        *,
        running_counts: t.Mapping[str, int],
        now_ms: int,
    ) -> Worker | None:
        """Return where an item of this VM makes way for an online request of it.

        Workers of its own zone come first. At a worker where requests wait already,
        the slot would be theirs.

        Parameters
        ----------
        workers : sequence of Worker
            Workers of its items, in the order in which these are preempted.
        running_counts : mapping of str to int
            Items of this VM that run and are not being stopped, by worker id.
        now_ms : int
            Current time.
        """
        for is_near in (True, False):
            for worker in workers:
                if (worker.zone == self._view.zone) is not is_near:
                    continue
                if self._can_swap(worker, running_counts, now_ms):
                    return worker
        return None

    def _can_swap(
        self, worker: Worker, running_counts: t.Mapping[str, int], now_ms: int
    ) -> bool:
        worker_id = worker.worker_id
        own_count = self._loads.own(worker_id).batch
        stopping_count = own_count - running_counts.get(worker_id, 0)
        if self._loads.total(worker_id).total - stopping_count > worker.slots:
            return False
        if self._view.limit_wait_ms(worker, LoadKind.ONLINE, now_ms):
            return False
        return self._view.is_healthy(worker, now_ms)

    def _share_of_excess(self, worker: Worker, now_ms: int) -> int:
        load = self._loads.total(worker.worker_id)
        own = self._loads.own(worker.worker_id).batch
        if not own or not self._is_wanted(worker):
            return 0
        headroom = self._reserve.headroom_slots(worker, now_ms)
        excess = min(load.total - worker.slots + headroom, load.batch)
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

    def _is_wanted(self, worker: Worker) -> bool:
        """Return whether online requests use a worker, or would if items left it."""
        if self._loads.online(worker.worker_id):
            return True
        return self._reserve.is_burst_on(worker.service)

    def _has_capacity(self, worker: Worker, now_ms: int) -> bool:
        if not self._view.has_free_slot(worker, now_ms):
            return False  # found sooner than what else excludes a worker
        if not self._view.is_healthy(worker, now_ms):
            return False
        if self._view.limit_wait_ms(worker, LoadKind.BATCH, now_ms):
            return False
        reserve = self._reserve.reserved_slots(worker, now_ms)
        if not self._view.has_free_slot(worker, now_ms, reserve=reserve):
            return False
        # An item that starts must not be preempted by the same load.
        total = self._loads.total(worker.worker_id).total
        return total < worker.slots - self._reserve.headroom_slots(worker, now_ms)

    def _cost(self, worker: Worker) -> tuple[float, bool, float]:
        load = self._loads.total(worker.worker_id)
        is_far = worker.zone != self._view.zone
        return (
            load.total / worker.slots,
            is_far,
            self._neighbourhood.tie_break(worker),
        )
