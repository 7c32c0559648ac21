"""What a VM believes of the workers, for all that choose one."""

from foxtailbank.fleet.load_table import LoadTable
from foxtailbank.fleet.neighbourhood import Neighbourhood
from foxtailbank.fleet.worker import Worker
from foxtailbank.fleet.worker_health import WorkerHealth
from foxtailbank.fleet.zone_reach import ZoneReach


class WorkerView:
    """Tells which workers may be used.

    Parameters
    ----------
    zone : str
        Availability zone of this VM.
    neighbourhood : Neighbourhood
        Which workers come first.
    loads : LoadTable
        Requests in flight.
    health : WorkerHealth
        Workers to avoid.
    reach : ZoneReach
        Zones to avoid.

    Attributes
    ----------
    zone, neighbourhood, loads
        As given.
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
        self._reach = reach

    def is_sound(self, worker: Worker, now_ms: int) -> bool:
        """Return whether a worker seems up and within reach."""
        if self._reach.is_silent(worker.zone, now_ms):
            return False
        return not self._health.avoided(worker.worker_id, now_ms)

    def has_place(self, worker: Worker, now_ms: int, *, reserve: int = 0) -> bool:
        """Return whether a worker has a free place, with some kept for others."""
        if self._health.full(worker.worker_id, now_ms):
            return False
        places = max(1, worker.slots - reserve)
        return self.loads.total(worker.worker_id).total < places
