"""Assignment of endpoints to suspect requests, agreed on with the other VMs."""

import dataclasses

import anyio
import msgspec

from foxtailbank import peer_messages as pm
from foxtailbank.backend import Backend
from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.endpoint_directory import EndpointDirectory
from foxtailbank.exceptions import NoEndpoint, Ran
from foxtailbank.isolation import Isolation
from foxtailbank.peering import Peering
from foxtailbank.quarantine import Quarantine
from foxtailbank.routing import Router, RouteRequest
from foxtailbank.sentinels import Missing
from foxtailbank.suspect_reservations import (
    Acknowledgement,
    Reservation,
    SuspectReservations,
)
from foxtailbank.work import Work

RESERVED = "suspect-reserved"
ACKNOWLEDGED = "suspect-acknowledged"
RELEASED = "suspect-released"
POLL_INTERVAL_MS = 20
AGREEMENT_TIMEOUT_MS = 500
MAX_RESUMED_WAIT_MS = 30_000
MAX_INITIAL_WAIT_MS = 3_000
RETRY_AFTER_MS = 1_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Assignment:
    """Endpoint on which a suspect request may run.

    Attributes
    ----------
    backend : Backend
        The endpoint.
    reservation : Reservation or None
        Reservation that the other VMs acknowledged; None if the request is not
        suspect.
    """

    backend: Backend
    reservation: Reservation | None

    @property
    def exclusive(self) -> bool:
        """Whether the endpoint runs nothing else."""
        return self.reservation is not None and self.reservation.exclusive


class SuspectGate:
    """Admits suspect requests one at a time, isolated from other requests.

    Parameters
    ----------
    clock : Clock
        Source of time.
    vm_id, zone : str
        Identifier of this VM, and its availability zone.
    directory : EndpointDirectory
        Known endpoints.
    router : Router
        Chooses an endpoint.
    quarantine : Quarantine
        Decides on the isolation of a request.
    peering : Peering
        The other entry VMs.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        vm_id: str,
        zone: str,
        directory: EndpointDirectory,
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
        self._reservations = SuspectReservations(vm_id=vm_id)
        self._was_busy = False

    async def acquire(self, work: Work, tried: frozenset[str], ran: Ran) -> Assignment:
        """Wait, for a bounded time, until a suspect request may run.

        Parameters
        ----------
        work : Work
            The request.
        tried : frozenset of str
            Endpoints that already attempted it.
        ran : Ran
            Whether it may have run already.

        Returns
        -------
        Assignment
            The endpoint, to be released after the run.

        Raises
        ------
        Quarantined
            The request crashed endpoints in earlier attempts.
        NoEndpoint
            No endpoint could be reserved for it in time.
        """
        started_ms = self._clock.now_ms()
        # The caller may already hold part of the response, which a refusal would waste.
        is_resumed = ran is Ran.UNKNOWN
        max_wait_ms = MAX_RESUMED_WAIT_MS if is_resumed else MAX_INITIAL_WAIT_MS
        while True:
            waited_ms = self._clock.now_ms() - started_ms
            if waited_ms > max_wait_ms:
                raise NoEndpoint(
                    detail=f"no endpoint of {work.entry.pool} can be reserved",
                    retry_after_ms=RETRY_AFTER_MS,
                    ran=ran,
                )
            assignment = await self._try_acquire(work, tried, ran, waited_ms)
            if assignment is not None:
                return assignment
            await anyio.sleep(POLL_INTERVAL_MS / MS_PER_S)

    def release(self, assignment: Assignment) -> None:
        """Release the reservation of an endpoint, if there is one."""
        if assignment.reservation is not None:
            self._reservations.release(assignment.reservation)
            self._broadcast(RELEASED, assignment.reservation)

    def on_report(self, report: pm.Report) -> bool:
        """Handle a message of another VM; return whether it concerns reservations.

        Parameters
        ----------
        report : Report
            The message.
        """
        now_ms = self._clock.now_ms()
        if report.name == RESERVED:
            for own in self._reservations.on_announced(
                _decode_reservation(report), now_ms
            ):
                self._broadcast(RELEASED, own)
        elif report.name == ACKNOWLEDGED:
            self._reservations.on_acknowledged(
                msgspec.json.decode(report.content, type=Acknowledgement)
            )
        elif report.name == RELEASED:
            self._reservations.release(_decode_reservation(report))
        else:
            return False
        self.acknowledge()
        return True

    def acknowledge(self) -> None:
        """Update the reservation flags of endpoints and send due acknowledgements."""
        if self._reservations.is_idle and not self._was_busy:
            return
        self._was_busy = not self._reservations.is_idle
        now_ms = self._clock.now_ms()
        in_flight_by_id = {}
        for backend in self._directory.backends_by_id.values():
            endpoint_id = backend.endpoint_id
            backend.reserved = self._reservations.is_reserved(endpoint_id, now_ms)
            backend.has_suspect_reservation = self._reservations.has_suspect(
                endpoint_id, now_ms
            )
            in_flight = backend.online_in_flight + backend.batch_in_flight
            in_flight_by_id[endpoint_id] = in_flight
        for acknowledgement in self._reservations.acknowledgements(
            in_flight_by_id, now_ms
        ):
            content = msgspec.json.encode(acknowledgement)
            message = pm.Report(name=ACKNOWLEDGED, content=content)
            self._peering.notify(acknowledgement.reservation.vm_id, message)

    async def _try_acquire(
        self, work: Work, tried: frozenset[str], ran: Ran, waited_ms: int
    ) -> Assignment | None:
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
            return Assignment(backend=backend, reservation=None)
        exclusive = verdict.isolation is Isolation.EXCLUSIVE
        return await self._reserve(work, backend, exclusive)

    def _choose(
        self, work: Work, tried: frozenset[str], isolation: Isolation
    ) -> Backend | None:
        now_ms = self._clock.now_ms()
        request = RouteRequest(zone=self._zone, tried=tried, isolation=isolation)
        views = [
            b.view(now_ms) for b in self._directory.backends_in_pool(work.entry.pool)
        ]
        chosen = self._router.choose(request, views, now_ms)
        if isinstance(chosen, Missing):
            return None
        return self._directory.backends_by_id[chosen.endpoint_id]

    async def _reserve(
        self, work: Work, backend: Backend, exclusive: bool
    ) -> Assignment | None:
        peers = [peer.vm_id for peer in self._peering.live_peers()]
        reservation = self._reservations.announce(
            fingerprint=work.fingerprint,
            endpoint_id=backend.endpoint_id,
            exclusive=exclusive,
            peers=peers,
            now_ms=self._clock.now_ms(),
        )
        if reservation is None:
            return None
        assignment = Assignment(backend=backend, reservation=reservation)
        self._broadcast(RESERVED, reservation)
        self.acknowledge()
        with anyio.move_on_after(AGREEMENT_TIMEOUT_MS / MS_PER_S):
            while not self._is_ready(assignment):
                await anyio.sleep(POLL_INTERVAL_MS / MS_PER_S)
            return assignment
        self.release(assignment)
        return None

    def _is_ready(self, assignment: Assignment) -> bool:
        assert assignment.reservation is not None
        now_ms = self._clock.now_ms()
        if not self._reservations.is_held(assignment.reservation, now_ms):
            return False
        backend = assignment.backend
        own = backend.online_in_flight + backend.batch_in_flight
        return not assignment.exclusive or own == 0

    def _broadcast(self, name: str, reservation: Reservation) -> None:
        content = msgspec.json.encode(reservation)
        self._peering.notify_all(pm.Report(name=name, content=content))


def _decode_reservation(report: pm.Report) -> Reservation:
    return msgspec.json.decode(report.content, type=Reservation)
