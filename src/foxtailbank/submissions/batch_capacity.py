"""Placement of batch items on workers, and their preemption for online requests.

Designed for bursts of online requests during a long-running batch: items fill the slots
that online requests leave free and are preempted when online requests exceed the free
slots. A preempted item keeps its output and resumes from there. In a large fleet, where
a burst is noticed late, items leave more slots free: as many as the last bursts used
and a margin, up to a fixed share.
"""

import collections
import math
import typing as t

from foxtailbank import rendezvous
from foxtailbank.fleet.load_table import LoadKind
from foxtailbank.fleet.stream_origin import StreamOrigin
from foxtailbank.fleet.worker import Worker
from foxtailbank.fleet.worker_view import WorkerView
from foxtailbank.submissions.online_peak import OnlinePeak

ONLINE_RESERVE_SLOTS = 1  # kept free on a worker for the next online request
# Greatest share of a worker's slots that items leave free; a burst doubles the mean
# online load.
LARGE_FLEET_RESERVE_SHARE = 0.55
PEAK_MARGIN = 1.5  # slots left free per slot at the peak; workers differ in their load
TIER_WAIT_MS = 1_500  # an item's run in a fleet with free capacity is shorter
# Share of a worker's slots that preemption keeps free; online requests reserve them.
LARGE_FLEET_HEADROOM_SHARE = 0.25
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
        self._peak_by_service: dict[str, OnlinePeak] = collections.defaultdict(
            OnlinePeak
        )

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
        if not self._neighbourhood.is_large_fleet:
            return
        if not self._view.hears_peers:
            self._peak_by_service.clear()
            return
        for service, workers in workers_by_service.items():
            peak = self._peak_by_service[service]
            if peak.is_due(now_ms):
                share = self._view.online_share(workers, now_ms)
                if share is not None:
                    peak.add(share, now_ms)

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

    def _share_of_excess(self, worker: Worker, now_ms: int) -> int:
        load = self._loads.total(worker.worker_id)
        own = self._loads.own(worker.worker_id).batch
        if not own or not load.online:
            return 0
        excess = min(
            load.total - worker.slots + self._headroom_slots(worker, now_ms),
            load.batch,
        )
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

    def _headroom_slots(self, worker: Worker, now_ms: int) -> int:
        """Return the slots that preemption keeps free.

        They are fewer than those that items leave free, or a single online request
        would preempt items that were just started.
        """
        if not self._neighbourhood.is_large_fleet:
            return 0
        headroom = math.ceil(LARGE_FLEET_HEADROOM_SHARE * worker.slots)
        return min(headroom, self._reserved_slots(worker, now_ms) - 1)

    def _has_capacity(self, worker: Worker, now_ms: int) -> bool:
        if not self._view.is_healthy(worker, now_ms):
            return False
        if self._view.limit_wait_ms(worker, LoadKind.BATCH, now_ms):
            return False
        return self._view.has_free_slot(
            worker, now_ms, reserve=self._reserved_slots(worker, now_ms)
        )

    def _reserved_slots(self, worker: Worker, now_ms: int) -> int:
        if not self._neighbourhood.is_large_fleet:
            return ONLINE_RESERVE_SLOTS
        share = min(LARGE_FLEET_RESERVE_SHARE, self._expected_share(worker, now_ms))
        return max(ONLINE_RESERVE_SLOTS, math.ceil(share * worker.slots))

    def _expected_share(self, worker: Worker, now_ms: int) -> float:
        """Return the share of slots that online requests may need soon."""
        peak = self._peak_by_service.get(worker.service)
        peak_share = peak.share(now_ms) if peak is not None else None
        if peak_share is None:
            return LARGE_FLEET_RESERVE_SHARE
        return PEAK_MARGIN * peak_share

    def _cost(self, worker: Worker) -> tuple[float, bool, float]:
        load = self._loads.total(worker.worker_id)
        is_far = worker.zone != self._view.zone
        return (
            load.total / worker.slots,
            is_far,
            self._neighbourhood.tie_break(worker),
        )
