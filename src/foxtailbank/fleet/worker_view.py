"""View of the workers that online and batch scheduling share."""

from foxtailbank.fleet.load_table import LoadTable
from foxtailbank.fleet.neighbourhood import Neighbourhood
from foxtailbank.fleet.worker import Worker
from foxtailbank.fleet.worker_health import WorkerHealth
from foxtailbank.fleet.zone_reach import ZoneReach


class WorkerView:
    """Combines load, health and reachability of the workers.

    Parameters
    ----------
    zone : str
        Availability zone of this VM.
    neighbourhood : Neighbourhood
        Distance tiers of the workers.
    loads : LoadTable
        Requests in flight.
    health : WorkerHealth
        Health of the workers.
    reach : ZoneReach
        Reachability of the zones.

    Attributes
    ----------
    zone, neighbourhood, loads
        The parameters of the same names.
    """

    def __init__(
        self,
        *,
        zone: str,
        neighbourhood: Neighbourhood,
        loads: LoadTable,
        health: WorkerHealth,
        reach: ZoneReach,
    ) -> None:
        self.zone = zone
        self.neighbourhood = neighbourhood
        self.loads = loads
        self._health = health
        self._reachability = reach

    def is_sound(self, worker: Worker, now_ms: int) -> bool:
        """Return whether a worker is neither avoided nor in an unreachable zone."""
        if self._reachability.is_unreachable(worker.zone, now_ms):
            return False
        return not self._health.avoided(worker.worker_id, now_ms)

    def has_place(self, worker: Worker, now_ms: int, *, reserve: int = 0) -> bool:
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
        if self._health.full(worker.worker_id, now_ms):
            return False
        usable_slots = max(1, worker.slots - reserve)
        return self.loads.total(worker.worker_id).total < usable_slots
