"""Finds a worker with a free slot for an online request.

Designed for a burst of requests that fills the workers of a large fleet. Its VMs learn
late of each other's choices, so several VMs send to the worker that appears the least
loaded, and requests queue there while slots elsewhere are free. A reservation asks the
worker itself; a worker that refuses is skipped, and an item of this VM makes way if one
runs anywhere.
"""

import dataclasses

import anyio

from foxtailbank.clock import MS_PER_S
from foxtailbank.customers.share_gate import ShareExcess
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.fleet.placement import Choice, Refusal, RefusalReason
from foxtailbank.fleet.stream_origin import StreamOrigin
from foxtailbank.fleet.worker import Worker
from foxtailbank.forward import wait_limits
from foxtailbank.forward.call import Call
from foxtailbank.forward.call_recorder import CallRecorder
from foxtailbank.forward.fleet_state import FleetState
from foxtailbank.forward.forward_context import ForwardContext
from foxtailbank.forward.route import Route
from foxtailbank.forward.worker_client import ReservationRefused
from foxtailbank.http1.failures import ConnectionBroken, ExchangeFailed

TRIES_PER_ROUND = 4  # a reservation takes a few milliseconds
ROUND_PAUSE_MS = 30  # the workers of a large fleet free several slots in this time
SEARCH_SHARE = 0.3  # of the route's target; the rest is for the run
RESERVATION_LIFETIME_MS = 500  # the request is sent immediately afterwards
RESERVE_TIMEOUT_MS = 250
# Share of a worker's slots. Below it, enough slots are free for requests that this VM
# does not know of yet, so no reservation is needed.
RESERVATION_LOAD_SHARE = 0.4
CELL_RESERVATION_LOAD_SHARE = 0.6  # of workers whose load is known better


@dataclasses.dataclass(frozen=True, kw_only=True)
class Assignment:
    """Worker that a request is sent to.

    Attributes
    ----------
    choice : Choice
        The worker and the expected wait there.
    reservation : str
        Id of the slot reservation; empty without one.
    """

    choice: Choice
    reservation: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Foresight:
    """What the search for a slot would begin with.

    Attributes
    ----------
    service : str
        Service that was drawn; empty if a stream's service is not the route's any more.
    result : Choice or Refusal
        First worker, or why there is none.
    excess : ShareExcess or None
        Excess of the customer, if it is refused for that.
    reserves : bool
        Whether the worker would be asked for a slot before the request is sent.
    """

    service: str
    result: Choice | Refusal
    excess: ShareExcess | None = None
    reserves: bool = False


class SlotFinder:
    """Finds a slot for each attempt of one request.

    Parameters
    ----------
    call : Call
        The request.
    route : Route
        Route that it matched.
    recorder : CallRecorder
        Notified of each refused reservation.
    context : ForwardContext
        Components shared by all requests.
    """

    def __init__(
        self,
        *,
        call: Call,
        route: Route,
        recorder: CallRecorder,
        context: ForwardContext,
    ) -> None:
        self._call = call
        self._route = route
        self._recorder = recorder
        self._client = context.client
        self._fleet = context.fleet
        self._clock = context.clock
        self._rng = context.rng
        self._own_slots = context.own_slots
        self._origin: StreamOrigin | None = None

    async def find(
        self,
        *,
        tried: set[str],
        remaining_ms: float,
        origin: StreamOrigin | None = None,
    ) -> Assignment | Refusal:
        """Return an assignment, or the reason why there is none.

        Parameters
        ----------
        tried : set of str
            Ids of workers that the request must not be sent to again.
        remaining_ms : float
            Remaining time of the caller.
        origin : StreamOrigin, optional
            Software that began the stream which the request continues.
        """
        self._origin = origin
        service = self._choose_service(origin)
        if not service:
            return Refusal(reason=RefusalReason.NO_SAME_VERSION, wait_ms=0)
        with self._fleet.customer_loads.counting(service, self._call.customer_name):
            return await self._search(service, tried, remaining_ms)

    def foresee(
        self, *, tried: set[str], remaining_ms: float, origin: StreamOrigin | None
    ) -> Foresight:
        """Return what `find` begins with; asks no worker and writes no line.

        Only for a context from `forward_fork`, since it draws and counts as `find`.
        """
        self._origin = origin
        service = self._choose_service(origin)
        if not service:
            refusal = Refusal(reason=RefusalReason.NO_SAME_VERSION, wait_ms=0)
            return Foresight(service="", result=refusal)
        with self._fleet.customer_loads.counting(service, self._call.customer_name):
            excess = None if tried else self._find_excess(service, is_silent=True)
            if excess is not None:
                return Foresight(
                    service=service, result=self._refuse_excess(), excess=excess
                )
            result = self._choose(service, tried, remaining_ms)
        reserves = False
        if isinstance(result, Choice):
            reserves = self._needs_reservation(result.worker)
        return Foresight(service=service, result=result, reserves=reserves)

    async def _search(
        self, service: str, tried: set[str], remaining_ms: float
    ) -> Assignment | Refusal:
        search_until_ms = self._clock.now_ms() + SEARCH_SHARE * self._route.target_ms
        while True:
            if not tried and self._find_excess(service) is not None:
                return self._refuse_excess()
            assignment = await self._search_round(service, tried, remaining_ms)
            if assignment is not None:
                return assignment
            if self._clock.now_ms() + ROUND_PAUSE_MS > search_until_ms:
                break
            await anyio.sleep(ROUND_PAUSE_MS / MS_PER_S)
        # No slot was free in time: queue at the least loaded worker.
        choice = self._choose(service, tried, remaining_ms)
        return choice if isinstance(choice, Refusal) else Assignment(choice=choice)

    def _choose_service(self, origin: StreamOrigin | None) -> str:
        """Return the service to use; empty if the route has moved from a stream's."""
        if origin is None:
            return self._route.choose_service(self._rng)
        return origin.service if origin.service in self._route.services else ""

    def _find_excess(
        self, service: str, *, is_silent: bool = False
    ) -> ShareExcess | None:
        """Return what its customer has beyond its share of a busy service.

        A stream that continues is not refused for that.
        """
        if self._origin is not None:
            return None
        now_ms = self._clock.now_ms()
        name = self._call.customer_name
        return self._fleet.find_excess(service, name, now_ms, is_silent=is_silent)

    def _refuse_excess(self) -> Refusal:
        wait_ms = wait_limits.excess_wait_ms(self._rng)
        return Refusal(reason=RefusalReason.SHARE_EXCEEDED, wait_ms=wait_ms)

    async def _search_round(
        self, service: str, tried: set[str], remaining_ms: float
    ) -> Assignment | Refusal | None:
        """Ask a few workers; None if none of them has a free slot."""
        excluded = set(tried)
        for _ in range(TRIES_PER_ROUND):
            choice = self._choose(service, excluded, remaining_ms)
            if isinstance(choice, Refusal):
                return choice if excluded == tried else None
            worker = choice.worker
            if not self._needs_reservation(worker):
                return Assignment(choice=choice)
            if self._fleet.health.is_full(worker.worker_id, self._clock.now_ms()):
                return self._take_own_slot(service, tried)
            reservation = await self._reserve(worker)
            if reservation:
                return Assignment(choice=Choice(worker=worker), reservation=reservation)
            excluded.add(worker.worker_id)
            if assignment := self._take_own_slot(service, tried):
                return assignment
        return None

    def _take_own_slot(self, service: str, tried: set[str]) -> Assignment | None:
        """Return the worker where an item of this VM makes way, if there is one."""
        worker = self._own_slots.take(
            service, excluded=tried, now_ms=self._clock.now_ms(), origin=self._origin
        )
        return Assignment(choice=Choice(worker=worker)) if worker is not None else None

    def _choose(
        self, service: str, tried: set[str], remaining_ms: float
    ) -> Choice | Refusal:
        max_wait_ms = wait_limits.max_wait_ms(
            target_ms=self._route.target_ms,
            timeout_ms=self._route.timeout_ms,
            remaining_ms=remaining_ms,
            is_repeat=self._origin is not None,
        )
        return self._fleet.choose(
            service=service,
            tried=tried,
            affinity=self._call.affinity,
            max_wait_ms=max_wait_ms,
            now_ms=self._clock.now_ms(),
            origin=self._origin,
        )

    def _needs_reservation(self, worker: Worker) -> bool:
        """Return whether the worker may be full although it appears to have slots."""
        if not self._call.tokens or not self._fleet.tiers.is_large_fleet:
            return False
        if not self._fleet.reservation_ms(worker.service):
            return False
        if self._fleet.limits.is_limited(worker.worker_id):
            return False  # its limit keeps it from being full
        return may_be_full(self._fleet, worker)

    async def _reserve(self, worker: Worker) -> str:
        """Return the id of a reservation; empty if the worker gave none."""
        try:
            return await self._client.reserve(
                worker,
                tokens=self._call.tokens,
                lifetime_ms=min(
                    RESERVATION_LIFETIME_MS, self._fleet.reservation_ms(worker.service)
                ),
                timeout_ms=RESERVE_TIMEOUT_MS,
            )
        except ReservationRefused as failure:
            if failure.draining:
                self._fleet.on_draining(worker)
            self._fleet.health.on_full(worker.worker_id, self._clock.now_ms())
            self._record_refusal(worker, failure)
        except ConnectionBroken as failure:
            # Workers close idle connections without notice; this is no sign of failure.
            self._record_refusal(worker, failure)
        except ExchangeFailed as failure:
            self._fleet.on_worker_failure(worker, failure, self._clock.now_ms())
            self._record_refusal(worker, failure)
        return ""

    def _record_refusal(self, worker: Worker, failure: FoxtailbankError) -> None:
        self._recorder.on_reservation_refused(
            worker, f"{failure.code}: {failure.detail}"
        )


def may_be_full(fleet: FleetState, worker: Worker) -> bool:
    """Return whether a worker may be full although it appears to have free slots."""
    share = RESERVATION_LOAD_SHARE
    if fleet.tiers.is_in_cell(worker):
        share = CELL_RESERVATION_LOAD_SHARE
    return fleet.loads.count(worker.worker_id) >= share * worker.slots
