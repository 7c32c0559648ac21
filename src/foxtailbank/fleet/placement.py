"""Which worker gets an online request, or why none does.

Answers the pattern in which short waves of online requests meet long batch items on
engines without priorities: a free place first, then a place that a batch item gives
up, then a short queue, else a refusal at once, each at the nearest workers first.
Entry VMs that see the same loads prefer different ones of equal workers, for they do
not see each other's newest choices.
"""

import dataclasses
import enum
import typing as t

from foxtailbank import rendezvous
from foxtailbank.fleet.worker import Worker
from foxtailbank.fleet.worker_view import WorkerView

SAME_ZONE_BONUS = 0.15  # of a worker's places; bytes between zones cost
AFFINITY_BONUS = 0.2  # of a worker's places; a known prefix saves its prefill
TASTE_SPAN = 0.05  # of a worker's places; less than one place of any engine

Candidates: t.TypeAlias = tuple[t.Sequence[Worker], ...]


class RefusalReason(enum.Enum):
    """Why no worker gets the request."""

    NO_WORKERS = "no_workers"
    OVERLOADED = "overloaded"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """The request can't be served in time.

    Attributes
    ----------
    reason : RefusalReason
        Cause.
    wait_ms : float
        Expected wait for a place, in milliseconds.
    """

    reason: RefusalReason
    wait_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Choice:
    """The worker that gets the request.

    Attributes
    ----------
    worker : Worker
        The worker.
    wait_ms : float
        Expected wait for a place there, in milliseconds.
    """

    worker: Worker
    wait_ms: float = 0.0


class Placement:
    """Chooses workers for online requests.

    Parameters
    ----------
    view : WorkerView
        What is believed of the workers.
    """

    def __init__(self, *, view: WorkerView) -> None:
        self._view = view
        self._loads = view.loads
        self._neighbourhood = view.neighbourhood

    def choose(
        self,
        *,
        workers: tuple[Worker, ...],
        tried: t.Container[str],
        affinity: str,
        mean_ms: float,
        patience_ms: float,
        now_ms: int,
    ) -> Choice | Refusal:
        """Choose a worker.

        Parameters
        ----------
        workers : tuple of Worker
            Workers of the service.
        tried : container of str
            Ids that this request must not go to again.
        affinity : str
            Key of the prompt's shared prefix; empty without one.
        mean_ms : float
            Run time of a request, in milliseconds.
        patience_ms : float
            Longest wait for a place that is worth it, in milliseconds.
        now_ms : int
            Present time.
        """
        left = [worker for worker in workers if worker.worker_id not in tried]
        if not left:
            return Refusal(reason=RefusalReason.NO_WORKERS, wait_ms=mean_ms)
        sound = [w for w in left if self._view.is_sound(w, now_ms)]
        # When all are avoided, the guess that they are down is worth less than a try.
        candidates = sound or left
        home = _affinity_home(candidates, affinity)
        rings = self._rings_of(workers, candidates)
        best = self._best(
            rings, home, lambda worker: self._view.has_place(worker, now_ms)
        )
        if best is None:
            best = self._best(rings, home, self._batch_can_yield)
        if best is not None:
            return Choice(worker=best)
        best = self._shortest_queue(rings, mean_ms)
        wait_ms = self._queue_ms(best, mean_ms)
        if wait_ms > patience_ms:
            return Refusal(reason=RefusalReason.OVERLOADED, wait_ms=wait_ms)
        return Choice(worker=best, wait_ms=wait_ms)

    def _best(
        self, rings: Candidates, home: str, fits: t.Callable[[Worker], bool]
    ) -> Worker | None:
        """Return the cheapest worker that fits, from the nearest ring that has one."""
        for number, ring in enumerate(rings):
            fitting = [worker for worker in ring if fits(worker)]
            if fitting:
                compared = self._neighbourhood.compared(fitting, number)
                return min(compared, key=lambda worker: self._cost(worker, home))
        return None

    def _shortest_queue(self, rings: Candidates, mean_ms: float) -> Worker:
        compared = [
            worker
            for number, ring in enumerate(rings)
            for worker in self._neighbourhood.compared(ring, number)
        ]
        return min(compared, key=lambda worker: self._queue_cost(worker, mean_ms))

    def _rings_of(
        self, workers: tuple[Worker, ...], candidates: t.Sequence[Worker]
    ) -> Candidates:
        rings = self._neighbourhood.rings(workers)
        if len(rings) <= 1:
            return (candidates,)
        kept = {worker.worker_id for worker in candidates}
        return tuple([w for w in ring if w.worker_id in kept] for ring in rings)

    def _batch_can_yield(self, worker: Worker) -> bool:
        load = self._loads.total(worker.worker_id)
        return load.batch > 0 and load.online < worker.slots

    def _cost(self, worker: Worker, home: str) -> float:
        load = self._loads.total(worker.worker_id)
        cost = load.online / worker.slots + 0.5 * load.batch / worker.slots
        cost += TASTE_SPAN * self._neighbourhood.taste(worker)
        if worker.zone == self._view.zone:
            cost -= SAME_ZONE_BONUS
        if worker.worker_id == home:
            cost -= AFFINITY_BONUS
        return cost

    def _queue_ms(self, worker: Worker, mean_ms: float) -> float:
        load = self._loads.total(worker.worker_id)
        ahead = load.total - worker.slots + 1
        return max(0.0, ahead * mean_ms / worker.slots)

    def _queue_cost(self, worker: Worker, mean_ms: float) -> tuple[float, float]:
        queue_ms = self._queue_ms(worker, mean_ms)
        return (queue_ms, self._neighbourhood.taste(worker))


def _affinity_home(workers: t.Sequence[Worker], affinity: str) -> str:
    """Return the worker that a prefix belongs to, by rendezvous hashing."""
    if not affinity:
        return ""
    return max(
        (worker.worker_id for worker in workers),
        key=lambda worker_id: rendezvous.score(affinity, worker_id),
    )
