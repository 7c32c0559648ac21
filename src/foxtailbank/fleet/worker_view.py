"""View of the workers that online and batch scheduling share."""

import copy
import typing as t

from foxtailbank.fleet.distance_tiers import DistanceTiers
from foxtailbank.fleet.load_table import LoadKind, LoadTable
from foxtailbank.fleet.worker import Worker
from foxtailbank.fleet.worker_health import WorkerHealth
from foxtailbank.fleet.worker_limits import WorkerLimits
from foxtailbank.fleet.zone_reachability import ZoneReachability

# Of the known peers; a VM that hears only its own zone of several hears fewer.
MIN_REPORTING_SHARE = 0.5
MIN_QUIET_MS = 5_000  # of a limited worker, before other VMs than the nearest ask it
QUIET_SPREAD_MS = 30_000  # over these VMs, which hear of each other within a second


class WorkerView:
    """Combines load, health and reachability of the workers.

    Parameters
    ----------
    zone : str
        Availability zone of this VM.
    tiers : DistanceTiers
        Distance tiers of the workers.
    loads : LoadTable
        Requests in flight.
    health : WorkerHealth
        Health of the workers.
    reachability : ZoneReachability
        Reachability of the zones.
    limits : WorkerLimits
        Requests that workers take.

    Attributes
    ----------
    zone, tiers, loads
        The parameters of the same names.
    """

    def __init__(
        self,
        *,
        zone: str,
        tiers: DistanceTiers,
        loads: LoadTable,
        health: WorkerHealth,
        reachability: ZoneReachability,
        limits: WorkerLimits,
    ) -> None:
        self.zone = zone
        self.tiers = tiers
        self.loads = loads
        self._health = health
        self._limits = limits
        self._reachability = reachability

    def fork(self, *, tiers: DistanceTiers, limits: WorkerLimits) -> "WorkerView":
        """Return a copy with other tiers and limits."""
        fork = copy.copy(self)
        fork.tiers = tiers
        fork._limits = limits
        return fork

    def is_healthy(self, worker: Worker, now_ms: int) -> bool:
        """Return whether a worker is neither avoided nor in an unreachable zone."""
        if self._reachability.is_unreachable(worker.zone, now_ms):
            return False
        return not self._health.is_avoided(worker.worker_id, now_ms)

    @property
    def has_limits(self) -> bool:
        """Whether any worker is limited."""
        return self._limits.has_limits

    def limit_wait_ms(self, worker: Worker, kind: LoadKind, now_ms: int) -> float:
        """Return the time until a worker's limit lets another request pass.

        In a large fleet a limited worker is left to the few VMs that use it first: too
        many others would hear too late of each other's requests. They ask only a worker
        that has not been heard of for long, one after the other.
        """
        wait_ms = self._limits.wait_ms(worker.worker_id, kind, now_ms)
        if wait_ms or not self._limits.is_limited(worker.worker_id):
            return wait_ms
        if not self.tiers.is_large_fleet or self.tiers.is_nearest(worker):
            return 0.0
        quiet_ms = MIN_QUIET_MS + self.tiers.tie_break(worker) * QUIET_SPREAD_MS
        age_ms = self._limits.answer_age_ms(worker.worker_id, now_ms)
        return max(0.0, quiet_ms - age_ms)

    @property
    def heard_share(self) -> float:
        """Share of the known VMs, this one included, that it hears of."""
        reporting = min(self.loads.reporting_peer_count, self.tiers.total_peer_count)
        return (reporting + 1) / (self.tiers.total_peer_count + 1)

    @property
    def hears_peers(self) -> bool:
        """Whether enough peers report for the known load to be about complete."""
        peers = self.tiers.total_peer_count
        return self.loads.reporting_peer_count >= MIN_REPORTING_SHARE * peers

    def online_share(self, workers: t.Iterable[Worker], now_ms: int) -> float | None:
        """Return the online requests on healthy workers divided by their slots.

        Parameters
        ----------
        workers : iterable of Worker
            Workers of one service.
        now_ms : int
            Current time.

        Returns
        -------
        float or None
            Above 1 if requests wait at workers; None if no worker is healthy.
        """
        healthy = [worker for worker in workers if self.is_healthy(worker, now_ms)]
        slots = sum(worker.slots for worker in healthy)
        if not slots:
            return None
        return sum(self.loads.online(worker.worker_id) for worker in healthy) / slots

    def zone_online_share(
        self, workers: t.Sequence[Worker], now_ms: int
    ) -> float | None:
        """Return the online load of this VM's zone, of which reports are the freshest.

        It is what the workers of the zone run, or what its VMs have in flight anywhere
        in relation to their part of all slots, whichever is more: where batch items
        fill the workers of the zone, online requests are sent to other zones.

        Parameters
        ----------
        workers : sequence of Worker
            Workers of one service.
        now_ms : int
            Current time.

        Returns
        -------
        float or None
            Divided by slots, as in `online_share`.
        """
        near = [worker for worker in workers if worker.zone == self.zone]
        worker_ids = [worker.worker_id for worker in workers]
        sent = self.loads.online_from_zone(self.zone, worker_ids)
        vms = self.tiers.zone_peer_count + 1
        return self._group_online_share(workers, near, sent, vms, now_ms)

    def cell_online_share(
        self, workers: tuple[Worker, ...], now_ms: int
    ) -> float | None:
        """Return the online load of this VM's cell, which is known within 0.1 s.

        It is measured as that of the zone is by `zone_online_share`. VMs have unequal
        numbers of clients, so that it is above or below that of the zone.

        Parameters
        ----------
        workers : tuple of Worker
            Workers of one service.
        now_ms : int
            Current time.

        Returns
        -------
        float or None
            Divided by slots, as in `online_share`.
        """
        first = self.tiers.cell_workers(workers)
        worker_ids = {worker.worker_id for worker in workers}
        vm_ids = self.tiers.cell_vm_ids
        sent = self.loads.online_from_vms(vm_ids, worker_ids)
        return self._group_online_share(workers, first, sent, len(vm_ids), now_ms)

    def _group_online_share(
        self,
        workers: t.Sequence[Worker],
        used_first: t.Sequence[Worker],
        sent: int,
        vms: int,
        now_ms: int,
    ) -> float | None:
        """Return the online load of some VMs that use some of the workers first.

        Parameters
        ----------
        workers : sequence of Worker
            Workers of one service.
        used_first : sequence of Worker
            Those that the VMs use first.
        sent : int
            Online requests of the VMs in flight, on all workers.
        vms : int
            Number of the VMs.
        now_ms : int
            Current time.
        """
        share = self.online_share(used_first or workers, now_ms)
        slots = sum(
            worker.slots for worker in workers if self.is_healthy(worker, now_ms)
        )
        if share is None or not slots:
            return None
        all_vms = self.tiers.total_peer_count + 1
        return max(share, sent * all_vms / (slots * vms))

    def has_free_slot(self, worker: Worker, now_ms: int, *, reserve: int = 0) -> bool:
        """Return whether a worker has a free slot.

        Parameters
        ----------
        worker : Worker
            The worker.
        now_ms : int
            Present time.
        reserve : int
            Slots that stay free for other requests; at least one slot is usable.
        """
        if self._health.is_full(worker.worker_id, now_ms):
            return False
        usable_slots = max(1, worker.slots - reserve)
        return self.loads.count(worker.worker_id) < usable_slots
