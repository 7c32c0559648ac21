"""Chooses among free workers in a large fleet, where load reports are old.

If each VM took the worker that looks the least loaded, those that look free would be
overrun between two reports and avoided after the next. A VM knows the workers of its
cell well and takes the least loaded of them. Where the cell has more load than its
zone, and beyond the zone, it draws among all workers in proportion to their room, by
the load that is to be expected after the age of the reports.
"""

import math
import random
import typing as t

from foxtailbank import rendezvous
from foxtailbank.fleet.worker import Worker
from foxtailbank.fleet.worker_speed import WorkerSpeeds
from foxtailbank.fleet.worker_view import WorkerView

MAX_CELL_EXCESS = 0.12  # of the slots; beyond it a cell sends to the rest of its zone
AFFINITY_BONUS = 0.15  # of a worker's slots; a cached prefix needs no prefill
TIE_BREAK_WEIGHT = 0.1  # of a worker's slots; below one slot of any engine
MIN_ROOM = 0.05  # slots; a worker that looks full may have become free
MIN_RUN_MS = 1.0  # answers may come within the same millisecond
UNCERTAIN_ROOM = 1.0  # slots; what others may have taken since they reported


class EvenChoice:
    """Chooses a free worker for an online request.

    Parameters
    ----------
    view : WorkerView
        Load and health of the workers.
    speeds : WorkerSpeeds
        Speed of the workers.
    rng : random.Random
        Draws among workers.
    """

    def __init__(
        self, *, view: WorkerView, speeds: WorkerSpeeds, rng: random.Random
    ) -> None:
        self._view = view
        self._loads = view.loads
        self._speeds = speeds
        self._rng = rng

    def choose(
        self,
        *,
        tiers: t.Sequence[t.Sequence[Worker]],
        affinity: str,
        mean_ms: float,
        now_ms: int,
    ) -> Worker | None:
        """Return a worker, or None if none has a free slot.

        Parameters
        ----------
        tiers : sequence of sequence of Worker
            Candidates by distance; the first ones may be those of the cell.
        affinity : str
            Key of the prompt's shared prefix; empty without one.
        mean_ms : float
            Mean run time of a request, in milliseconds.
        now_ms : int
            Present time.
        """
        all_workers = [worker for tier in tiers for worker in tier]
        near = [worker for worker in all_workers if worker.zone == self._view.zone]
        if near:
            first = [worker for worker in tiers[0] if worker.zone == self._view.zone]
            chosen = self._choose_in_cell(first, near, affinity, now_ms)
            chosen = chosen or self._draw(near, mean_ms, now_ms)
            if chosen is not None:
                return chosen
        far = [worker for worker in all_workers if worker.zone != self._view.zone]
        return self._draw(far, mean_ms, now_ms)

    def _choose_in_cell(
        self,
        cell: t.Sequence[Worker],
        zone: t.Sequence[Worker],
        affinity: str,
        now_ms: int,
    ) -> Worker | None:
        """Return the least loaded worker, or None if the cell has too much load.

        One slot of each worker counts as taken by a VM that has not reported it yet.
        """
        free = [w for w in cell if self._view.has_free_slot(w, now_ms, reserve=1)]
        if not free or self._share(free) > self._share(zone) + MAX_CELL_EXCESS:
            return None
        affinity_id = rendezvous_worker_id(free, affinity)
        return min(free, key=lambda worker: self._cost(worker, affinity_id))

    def _draw(
        self, workers: t.Sequence[Worker], mean_ms: float, now_ms: int
    ) -> Worker | None:
        """Draw a free worker in proportion to its room and speed."""
        free = [w for w in workers if self._view.has_free_slot(w, now_ms)]
        if len(free) <= 1:
            return free[0] if free else None
        weights = self._weights(free, mean_ms, now_ms)
        return self._rng.choices(free, weights)[0]

    def _weights(
        self, workers: t.Sequence[Worker], mean_ms: float, now_ms: int
    ) -> list[float]:
        """Return the expected room of each worker, times its speed.

        Of the requests that peers reported, some have ended since, and others were
        sent; the latter are spread over the workers by their slots.
        """
        own = self._loads.own_count
        reported = [self._loads.peer_count(w.worker_id) for w in workers]
        age_ms = self._loads.mean_report_age_ms(now_ms)
        kept = math.exp(-age_ms / max(MIN_RUN_MS, mean_ms))
        slots = sum(worker.slots for worker in workers)
        sent_per_slot = (1 - kept) * sum(reported) / slots
        weights = []
        for worker, count in zip(workers, reported, strict=True):
            expected = own(worker.worker_id) + kept * count
            expected += sent_per_slot * worker.slots
            room = max(MIN_ROOM, worker.slots - UNCERTAIN_ROOM - expected)
            weights.append(room * self._speeds.speed(worker.worker_id))
        return weights

    def _share(self, workers: t.Sequence[Worker]) -> float:
        """Return the requests in flight for each slot."""
        slots = sum(worker.slots for worker in workers)
        return sum(self._loads.count(w.worker_id) for w in workers) / slots

    def _cost(self, worker: Worker, affinity_id: str) -> float:
        load = self._loads.total(worker.worker_id)
        cost = (load.online + 0.5 * load.batch) / worker.slots
        cost += TIE_BREAK_WEIGHT * self._view.tiers.tie_break(worker)
        if worker.worker_id == affinity_id:
            cost -= AFFINITY_BONUS
        return cost


def rendezvous_worker_id(workers: t.Sequence[Worker], affinity: str) -> str:
    """Return the id of the worker for a prefix, by rendezvous hashing; may be empty."""
    if not affinity:
        return ""
    return max(
        (worker.worker_id for worker in workers),
        key=lambda worker_id: rendezvous.score(affinity, worker_id),
    )
