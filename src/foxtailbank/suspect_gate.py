"""Finds an endpoint for a suspect request and agrees on it with the other VMs."""

import dataclasses

import anyio
import msgspec

from foxtailbank import peer_messages as pm
from foxtailbank.backend import Backend
from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.directory import Directory
from foxtailbank.exceptions import NoEndpoint, Ran
from foxtailbank.isolation import Isolation
from foxtailbank.peering import Peering
from foxtailbank.quarantine import Quarantine
from foxtailbank.routing import Router, RouteRequest
from foxtailbank.sentinels import Missing
from foxtailbank.suspect_run import Acknowledgement, Reservation, SuspectRuns
from foxtailbank.work import Work

RESERVED = "suspect-reserved"
ACKNOWLEDGED = "suspect-acknowledged"
RELEASED = "suspect-released"
POLL_MS = 20
AGREE_MS = 500
MAX_BEGUN_WAIT_MS = 30_000
MAX_FRESH_WAIT_MS = 3_000
RETRY_AFTER_MS = 1_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Place:
    """Where a suspect request may run now.

    Attributes
    ----------
    backend : Backend
        The endpoint.
    reservation : Reservation or None
        What the other VMs agreed to; None if the request is no suspect any more.
    """

    backend: Backend
    reservation: Reservation | None

    @property
    def exclusive(self) -> bool:
        """Whether nothing else runs on the endpoint."""
        return self.reservation is not None and self.reservation.exclusive


class SuspectGate:
    """Lets suspect requests run one at a time, apart from others.

    Parameters
    ----------
    clock : Clock
        Source of time.
    vm_id, zone : str
        This VM and its availability zone.
    directory : Directory
        Known endpoints.
    router : Router
        Chooses among them.
    quarantine : Quarantine
        Says how far a request is kept apart.
    peering : Peering
        The other entry VMs.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        vm_id: str,
        zone: str,
        directory: Directory,
        router: Router,
        quarantine: Quarantine,
        peering: Peering,
    ) -> None:
        self._clock = clock
        self._zone = zone
        self._directory = directory
        self._router = router
        self._quarantine = quarantine
        self._peering = peering
        self._runs = SuspectRuns(vm_id=vm_id)
        self._was_busy = False

    async def enter(self, work: Work, tried: frozenset[str], ran: Ran) -> Place:
        """Wait until a suspect request may run, for a bounded time.

        Parameters
        ----------
        work : Work
            The request.
        tried : frozenset of str
            Endpoints that it has been to.
        ran : Ran
            Whether it may have run by now.

        Returns
        -------
        Place
            To be given back by `leave`.

        Raises
        ------
        Quarantined
            The request took down endpoints before.
        NoEndpoint
            No endpoint could be kept free for it in time.
        """
        started_ms = self._clock.now_ms()
        # A caller that has half an answer is worth a longer wait.
        has_begun = ran is Ran.UNKNOWN
        max_wait_ms = MAX_BEGUN_WAIT_MS if has_begun else MAX_FRESH_WAIT_MS
        while True:
            waited_ms = self._clock.now_ms() - started_ms
            if waited_ms > max_wait_ms:
                raise NoEndpoint(
                    detail=f"no endpoint of {work.entry.pool} can be kept free",
                    retry_after_ms=RETRY_AFTER_MS,
                    ran=ran,
                )
            place = await self._try(work, tried, ran, waited_ms)
            if place is not None:
                return place
            await anyio.sleep(POLL_MS / MS_PER_S)

    def leave(self, place: Place) -> None:
        """Give an endpoint back."""
        if place.reservation is not None:
            self._runs.release(place.reservation)
            self._tell(RELEASED, place.reservation)

    def take(self, report: pm.Report) -> bool:
        """Take in another VM's message; return whether it was meant for this.

        Parameters
        ----------
        report : Report
            The message.
        """
        now_ms = self._clock.now_ms()
        if report.name == RESERVED:
            for own in self._runs.on_announced(_reservation(report), now_ms):
                self._tell(RELEASED, own)
        elif report.name == ACKNOWLEDGED:
            self._runs.on_acknowledged(
                msgspec.json.decode(report.content, type=Acknowledgement)
            )
        elif report.name == RELEASED:
            self._runs.release(_reservation(report))
        else:
            return False
        self.acknowledge()
        return True

    def acknowledge(self) -> None:
        """Mark reserved endpoints and agree to what can be agreed to now."""
        if self._runs.is_idle and not self._was_busy:
            return
        self._was_busy = not self._runs.is_idle
        now_ms = self._clock.now_ms()
        in_flight_by_id = {}
        for backend in self._directory.backends_by_id.values():
            endpoint_id = backend.endpoint_id
            backend.reserved = self._runs.is_reserved(endpoint_id, now_ms)
            backend.suspect_elsewhere = self._runs.has_suspect(endpoint_id, now_ms)
            in_flight = backend.online_in_flight + backend.batch_in_flight
            in_flight_by_id[endpoint_id] = in_flight
        for one in self._runs.acknowledgements(in_flight_by_id, now_ms):
            content = msgspec.json.encode(one)
            message = pm.Report(name=ACKNOWLEDGED, content=content)
            self._peering.tell(one.reservation.vm_id, message)

    async def _try(
        self, work: Work, tried: frozenset[str], ran: Ran, waited_ms: int
    ) -> Place | None:
        verdict = self._quarantine.verdict(
            work.fingerprint, self._clock.wall_ms(), waited_ms=waited_ms
        )
        if verdict.isolation is Isolation.REFUSED:
            refusal = verdict.error()
            refusal.ran = ran
            raise refusal
        backend = self._choose(work, tried, verdict.isolation)
        if backend is None:
            return None
        if verdict.isolation is Isolation.NONE:
            return Place(backend=backend, reservation=None)
        exclusive = verdict.isolation is Isolation.EXCLUSIVE
        return await self._reserve(work, backend, exclusive)

    def _choose(
        self, work: Work, tried: frozenset[str], isolation: Isolation
    ) -> Backend | None:
        now_ms = self._clock.now_ms()
        request = RouteRequest(zone=self._zone, tried=tried, isolation=isolation)
        views = [b.view(now_ms) for b in self._directory.pool(work.entry.pool)]
        chosen = self._router.choose(request, views, now_ms)
        if isinstance(chosen, Missing):
            return None
        return self._directory.backends_by_id[chosen.endpoint_id]

    async def _reserve(
        self, work: Work, backend: Backend, exclusive: bool
    ) -> Place | None:
        peers = [one.vm_id for one in self._peering.others()]
        reservation = self._runs.announce(
            fingerprint=work.fingerprint,
            endpoint_id=backend.endpoint_id,
            exclusive=exclusive,
            peers=peers,
            now_ms=self._clock.now_ms(),
        )
        if reservation is None:
            return None
        place = Place(backend=backend, reservation=reservation)
        self._tell(RESERVED, reservation)
        self.acknowledge()
        with anyio.move_on_after(AGREE_MS / MS_PER_S):
            while not self._is_clear(place):
                await anyio.sleep(POLL_MS / MS_PER_S)
            return place
        self.leave(place)
        return None

    def _is_clear(self, place: Place) -> bool:
        assert place.reservation is not None
        now_ms = self._clock.now_ms()
        if not self._runs.is_held(place.reservation, now_ms):
            return False
        backend = place.backend
        own = backend.online_in_flight + backend.batch_in_flight
        return not place.exclusive or own == 0

    def _tell(self, name: str, reservation: Reservation) -> None:
        content = msgspec.json.encode(reservation)
        self._peering.tell_all(pm.Report(name=name, content=content))


def _reservation(report: pm.Report) -> Reservation:
    return msgspec.json.decode(report.content, type=Reservation)
