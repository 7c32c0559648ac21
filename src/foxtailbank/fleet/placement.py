"""Chooses a worker for an online request, or refuses the request.

Meant for short bursts of online requests over long batch items on engines without
priorities. The order of preference is a free slot, a slot from which a batch item can
be preempted, a short queue, and otherwise an immediate refusal. Slots are searched
tier by tier, nearest workers first. Entry VMs that see the same loads prefer
different ones among equally loaded workers, since they do not know each other's
latest choices.
"""

import dataclasses
import enum
import random
import typing as t

from foxtailbank.fleet.even_choice import EvenChoice, rendezvous_worker_id
from foxtailbank.fleet.load_table import LoadKind
from foxtailbank.fleet.stream_origin import StreamOrigin
from foxtailbank.fleet.worker import Worker
from foxtailbank.fleet.worker_speed import WorkerSpeeds
from foxtailbank.fleet.worker_view import WorkerView

SAME_ZONE_BONUS = 0.15  # of a worker's slots; traffic between zones has a cost
AFFINITY_BONUS = 0.2  # of a worker's slots; a cached prefix needs no prefill
TIE_BREAK_WEIGHT = 0.05  # of a worker's slots; below one slot of any engine

CandidateTiers: t.TypeAlias = tuple[t.Sequence[Worker], ...]


class RefusalReason(enum.Enum):
    """Why a request is refused."""

    NO_WORKERS = "no_workers"
    OVERLOADED = "overloaded"
    LIMITED = "limited"
    NO_SAME_VERSION = "no_same_version"
    ORIGIN_UNKNOWN = "origin_unknown"
    SHARE_EXCEEDED = "share_exceeded"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """The request cannot be served in time.

    Attributes
    ----------
    reason : RefusalReason
        Cause.
    wait_ms : float
        Expected wait for a slot, in milliseconds.
    """

    reason: RefusalReason
    wait_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Choice:
    """The worker chosen for the request.

    Attributes
    ----------
    worker : Worker
        The worker.
    wait_ms : float
        Expected wait for a slot there, in milliseconds.
    """

    worker: Worker
    wait_ms: float = 0.0


class Placement:
    """Chooses workers for online requests.

    Parameters
    ----------
    view : WorkerView
        Load, health and reachability of the workers.
    speeds : WorkerSpeeds
        Speed of the workers.
    rng : random.Random
        Draws among workers in a large fleet.
    """

    def __init__(
        self, *, view: WorkerView, speeds: WorkerSpeeds, rng: random.Random
    ) -> None:
        self._view = view
        self._speeds = speeds
        self._even = EvenChoice(view=view, speeds=speeds, rng=rng)
        self._loads = view.loads
        self._tiers = view.tiers

    def choose(
        self,
        *,
        workers: tuple[Worker, ...],
        tried: t.Container[str],
        affinity: str,
        mean_ms: float,
        max_wait_ms: float,
        now_ms: int,
        origin: StreamOrigin | None = None,
    ) -> Choice | Refusal:
        """Choose a worker.

        Parameters
        ----------
        workers : tuple of Worker
            Workers of the service.
        tried : container of str
            Ids of workers that must not get this request again.
        affinity : str
            Key of the prompt's shared prefix; empty without one.
        mean_ms : float
            Mean run time of a request, in milliseconds.
        max_wait_ms : float
            Longest acceptable wait for a slot, in milliseconds.
        now_ms : int
            Present time.
        origin : StreamOrigin, optional
            Software that began the stream which the request continues.
        """
        untried = [worker for worker in workers if worker.worker_id not in tried]
        if not untried:
            return Refusal(reason=RefusalReason.NO_WORKERS, wait_ms=mean_ms)
        if origin is not None:
            untried = [worker for worker in untried if origin.may_continue_at(worker)]
        if not untried:
            return Refusal(reason=RefusalReason.NO_SAME_VERSION, wait_ms=mean_ms)
        tiers = self._tiers.for_workers(workers)
        accepting = untried
        if self._view.has_limits:
            accepting = [w for w in untried if not self._limit_wait_ms(w, now_ms)]
        if not accepting:
            wait_ms = min(self._limit_wait_ms(w, now_ms) for w in untried)
            return Refusal(reason=RefusalReason.LIMITED, wait_ms=wait_ms)
        healthy = [w for w in accepting if self._view.is_healthy(w, now_ms)]
        # If all workers are avoided, they may still be up, so one is tried anyway.
        candidates = healthy or accepting
        candidate_tiers = _filter_tiers(tiers, candidates)
        if self._tiers.is_large_fleet:
            best = self._even.choose(
                tiers=candidate_tiers,
                affinity=affinity,
                mean_ms=mean_ms,
                now_ms=now_ms,
            )
        else:
            best = self._best_candidate(
                candidate_tiers,
                rendezvous_worker_id(candidates, affinity),
                lambda worker: self._view.has_free_slot(worker, now_ms),
            )
        if best is None:
            best = self._best_candidate(
                candidate_tiers,
                rendezvous_worker_id(candidates, affinity),
                self._has_preemptible_batch,
            )
        if best is not None:
            return Choice(worker=best)
        best = self._shortest_queue(candidate_tiers, mean_ms)
        wait_ms = self._queue_ms(best, mean_ms)
        if wait_ms > max_wait_ms:
            return Refusal(reason=RefusalReason.OVERLOADED, wait_ms=wait_ms)
        return Choice(worker=best, wait_ms=wait_ms)

    def _limit_wait_ms(self, worker: Worker, now_ms: int) -> float:
        return self._view.limit_wait_ms(worker, LoadKind.ONLINE, now_ms)

    def _best_candidate(
        self,
        tiers: CandidateTiers,
        affinity_id: str,
        is_eligible: t.Callable[[Worker], bool],
    ) -> Worker | None:
        """Return the cheapest eligible worker of the nearest tier that has one."""
        for number, tier in enumerate(tiers):
            eligible = [worker for worker in tier if is_eligible(worker)]
            if eligible:
                sample = self._tiers.sample(eligible, number)
                return min(sample, key=lambda worker: self._cost(worker, affinity_id))
        return None

    def _shortest_queue(self, tiers: CandidateTiers, mean_ms: float) -> Worker:
        sample = [
            worker
            for number, tier in enumerate(tiers)
            for worker in self._tiers.sample(tier, number)
        ]
        return min(sample, key=lambda worker: self._queue_cost(worker, mean_ms))

    def _has_preemptible_batch(self, worker: Worker) -> bool:
        load = self._loads.total(worker.worker_id)
        return load.batch > 0 and load.online < worker.slots

    def _cost(self, worker: Worker, affinity_id: str) -> float:
        load = self._loads.total(worker.worker_id)
        cost = load.online / worker.slots + 0.5 * load.batch / worker.slots
        cost += TIE_BREAK_WEIGHT * self._tiers.tie_break(worker)
        if worker.zone == self._view.zone:
            cost -= SAME_ZONE_BONUS
        if worker.worker_id == affinity_id:
            cost -= AFFINITY_BONUS
        return cost

    def _queue_ms(self, worker: Worker, mean_ms: float) -> float:
        load = self._loads.total(worker.worker_id)
        ahead = load.total - worker.slots + 1
        if self._tiers.is_large_fleet:
            mean_ms /= self._speeds.speed(worker.worker_id)
        return max(0.0, ahead * mean_ms / worker.slots)

    def _queue_cost(self, worker: Worker, mean_ms: float) -> tuple[float, float]:
        queue_ms = self._queue_ms(worker, mean_ms)
        return (queue_ms, self._tiers.tie_break(worker))


def _filter_tiers(
    tiers: CandidateTiers, candidates: t.Sequence[Worker]
) -> CandidateTiers:
    """Return the candidates in their tiers."""
    if len(tiers) <= 1:
        return (candidates,)
    candidate_ids = {worker.worker_id for worker in candidates}
    return tuple([w for w in tier if w.worker_id in candidate_ids] for tier in tiers)
