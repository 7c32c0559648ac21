"""Slots that batch items leave free for online requests.

In a small fleet it is one slot of each worker. In a large one, where a burst is noticed
late, items leave free what arrives before its first sign, at most
`CALM_RESERVE_SHARE`, and are preempted at that sign down to what the burst needs. A VM
that does not know the load leaves `UNKNOWN_RESERVE_SHARE`.
"""

import collections
import math
import typing as t

from foxtailbank.fleet.worker import Worker
from foxtailbank.fleet.worker_view import WorkerView
from foxtailbank.submissions.cell_scale import CellScale
from foxtailbank.submissions.online_bursts import OnlineBursts
from foxtailbank.submissions.online_peak import OnlinePeak

ONLINE_RESERVE_SLOTS = 1  # kept free on a worker for the next online request
# Shares of a worker's slots.
UNKNOWN_RESERVE_SHARE = 0.55  # a burst doubles the mean online load
CALM_RESERVE_SHARE = 0.28  # arrivals in a burst until it is noticed, 0.3 s
PEAK_MARGIN = 1.5  # slots left free per slot at the peak; workers differ in their load
# Kept free by preemption in calm times; online requests reserve them.
HEADROOM_SHARE = 0.25


class OnlineReserve:
    """Decides how many slots of a worker items leave free.

    Parameters
    ----------
    view : WorkerView
        Load and health of the workers as this VM knows them.
    """

    def __init__(self, *, view: WorkerView) -> None:
        self._view = view
        self._peak_by_service: dict[str, OnlinePeak] = collections.defaultdict(
            OnlinePeak
        )
        self._bursts_by_service: dict[str, OnlineBursts] = collections.defaultdict(
            OnlineBursts
        )
        self._cell_scale_by_service: dict[str, CellScale] = collections.defaultdict(
            CellScale
        )

    def observe(
        self, workers_by_service: t.Mapping[str, tuple[Worker, ...]], now_ms: int
    ) -> None:
        """Sample the online load; see `BatchCapacity.observe_online_load`."""
        if not self._view.tiers.is_large_fleet:
            return
        if not self._view.hears_peers:
            self._peak_by_service.clear()
            self._bursts_by_service.clear()
            self._cell_scale_by_service.clear()
            return
        for service, workers in workers_by_service.items():
            peak = self._peak_by_service[service]
            if peak.is_due(now_ms):
                share = self._view.online_share(workers, now_ms)
                if share is not None:
                    peak.add(share, now_ms)
            bursts = self._bursts_by_service[service]
            if bursts.is_due(now_ms):
                share = self._burst_sample(service, workers, now_ms)
                if share is not None:
                    bursts.add(share, now_ms)

    def _burst_sample(
        self, service: str, workers: tuple[Worker, ...], now_ms: int
    ) -> float | None:
        """Return the online load by which bursts are recognized."""
        if not self._view.tiers.is_split:
            return self._view.zone_online_share(workers, now_ms)
        share = self._view.cell_online_share(workers, now_ms)
        if share is None:
            return None
        scale = self._cell_scale_by_service[service]
        if scale.is_due(now_ms):
            zone_share = self._view.zone_online_share(workers, now_ms)
            if zone_share is not None:
                scale.add(share, zone_share, now_ms)
        return scale.scale(share)

    def is_burst_on(self, service: str) -> bool:
        """Return whether a burst has begun and is not over."""
        return self._burst_share(service) is not None

    def reserved_slots(self, worker: Worker, now_ms: int) -> int:
        """Return how many slots must be free beside those of an item that starts."""
        if not self._view.tiers.is_large_fleet:
            return ONLINE_RESERVE_SLOTS
        burst_share = self._burst_share(worker.service)
        if burst_share is not None:
            online = self._view.loads.online(worker.worker_id)
            slots = math.ceil(burst_share * worker.slots) - online
        else:
            slots = math.ceil(self._calm_share(worker, now_ms) * worker.slots)
        return max(ONLINE_RESERVE_SLOTS, slots)

    def headroom_slots(self, worker: Worker, now_ms: int) -> int:
        """Return the slots that preemption keeps free.

        In calm times they are fewer than those that items leave free, or a single
        online request would preempt items that were just started.
        """
        if not self._view.tiers.is_large_fleet:
            return 0
        reserved_slots = self.reserved_slots(worker, now_ms)
        if self.is_burst_on(worker.service):
            return reserved_slots
        headroom = math.ceil(HEADROOM_SHARE * worker.slots)
        return min(headroom, reserved_slots - 1)

    def _burst_share(self, service: str) -> float | None:
        bursts = self._bursts_by_service.get(service)
        return bursts.burst_share if bursts is not None else None

    def _calm_share(self, worker: Worker, now_ms: int) -> float:
        """Return the share of slots that online requests may need at once."""
        peak = self._peak_by_service.get(worker.service)
        peak_share = peak.share(now_ms) if peak is not None else None
        if peak_share is None:
            return UNKNOWN_RESERVE_SHARE
        return min(CALM_RESERVE_SHARE, PEAK_MARGIN * peak_share)
