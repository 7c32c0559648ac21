"""The workers of a route as candidates, and why some are not taken."""

import collections
import dataclasses
import enum
import typing as t

from foxtailbank.explain.explanation import CandidateView
from foxtailbank.fleet.load_table import LoadKind
from foxtailbank.fleet.stream_origin import StreamOrigin
from foxtailbank.fleet.worker import Worker
from foxtailbank.forward.fleet_state import FleetState

MAX_CANDIDATES = 5  # unless all are asked for


class Exclusion(enum.Enum):
    """Why a worker does not get the request at once."""

    DRAINING = "draining"
    OTHER_VERSION = "other_version"
    LIMITED = "limited"
    AVOIDED = "avoided"
    ZONE_UNREACHABLE = "zone_unreachable"
    FULL_LATELY = "full_lately"
    NO_FREE_SLOT = "no_free_slot"
    RESERVED = "reserved_for_online"


class Reserve(t.Protocol):
    """Tells how many slots of a worker are left free."""

    def __call__(self, worker: Worker, now_ms: int) -> int:
        """Return the slots."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class CandidateLister:
    """Describes workers by the answers on which placement rests.

    Attributes
    ----------
    fleet : FleetState
        A copy from `forward_fork`.
    kind : LoadKind
        Class of the request.
    origin : StreamOrigin or None
        Software that began what the request continues.
    reserve : Reserve
        Slots that stay free for online requests.
    now_ms : int
        Present time.
    """

    fleet: FleetState
    kind: LoadKind
    origin: StreamOrigin | None
    reserve: Reserve
    now_ms: int

    def list_all(
        self, services: t.Collection[str], draws: collections.Counter[str]
    ) -> tuple[CandidateView, ...]:
        """Return all workers of the services, the likeliest first."""
        usable_ids: set[str] = set()
        unreached_ids: set[str] = set()
        for service in services:
            usable_ids |= _ids(self.fleet.workers.usable(service))
            unreached_ids |= _ids(self.fleet.reach.unreachable_workers(service))
        views = [
            self._describe(
                worker,
                draws=draws[worker.worker_id],
                is_usable=worker.worker_id in usable_ids,
                is_reached=worker.worker_id not in unreached_ids,
            )
            for worker in self.fleet.workers.all()
            if worker.service in services
        ]
        views.sort(key=lambda v: (-v.draws, len(v.excluded), -v.room, v.worker))
        return tuple(views)

    def _describe(
        self, worker: Worker, *, draws: int, is_usable: bool, is_reached: bool
    ) -> CandidateView:
        loads = self.fleet.loads
        reasons = self._exclusions(worker, is_usable=is_usable)
        count = loads.count(worker.worker_id)
        return CandidateView(
            worker=worker.worker_id,
            service=worker.service,
            zone=worker.zone,
            version=worker.software_version,
            slots=worker.slots,
            in_flight=count,
            own=loads.own_count(worker.worker_id),
            room=max(0, worker.slots - count),
            reserved=self.reserve(worker, self.now_ms),
            speed=round(self.fleet.speeds.speed(worker.worker_id), 2),
            answer_age_ms=self.fleet.speeds.answer_age_ms(
                worker.worker_id, self.now_ms
            ),
            is_reached=is_reached,
            limit_wait_ms=int(self._limit_wait_ms(worker)),
            excluded=tuple(reason.value for reason in reasons),
            draws=draws,
        )

    def _exclusions(self, worker: Worker, *, is_usable: bool) -> t.Iterator[Exclusion]:
        fleet, now_ms = self.fleet, self.now_ms
        if not is_usable:
            yield Exclusion.DRAINING
        if self.origin is not None and not self.origin.may_continue_at(worker):
            yield Exclusion.OTHER_VERSION
        if self._limit_wait_ms(worker):
            yield Exclusion.LIMITED
        if fleet.health.is_avoided(worker.worker_id, now_ms):
            yield Exclusion.AVOIDED
        elif not fleet.view.is_healthy(worker, now_ms):
            yield Exclusion.ZONE_UNREACHABLE
        if fleet.health.is_full(worker.worker_id, now_ms):
            yield Exclusion.FULL_LATELY
        elif not fleet.view.has_free_slot(worker, now_ms):
            yield Exclusion.NO_FREE_SLOT
        elif not fleet.view.has_free_slot(
            worker, now_ms, reserve=self.reserve(worker, now_ms)
        ):
            yield Exclusion.RESERVED

    def _limit_wait_ms(self, worker: Worker) -> float:
        return self.fleet.view.limit_wait_ms(worker, self.kind, self.now_ms)


def no_reserve(worker: Worker, now_ms: int) -> int:
    """Return 0: online requests leave no slot free."""
    return 0


def _ids(workers: t.Iterable[Worker]) -> set[str]:
    return {worker.worker_id for worker in workers}
