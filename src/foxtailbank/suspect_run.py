"""Agreement between VMs on who runs a suspect request, and where."""

import dataclasses
import typing as t

from foxtailbank.quarantine import Fingerprint

RESERVATION_TTL_MS = 15_000
HOLDER_TTL_MS = 12_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reservation:
    """Claim of a VM to run a suspect request on an endpoint.

    Attributes
    ----------
    vm_id : str
        The VM.
    number : int
        Number of the reservation, rising on each VM.
    fingerprint : Fingerprint
        The request; no other copy of it runs meanwhile.
    endpoint_id : str
        The endpoint; no other suspect runs there meanwhile.
    exclusive : bool
        Whether nothing else at all may run there.
    """

    vm_id: str
    number: int
    fingerprint: Fingerprint
    endpoint_id: str
    exclusive: bool

    def is_rival(self, other: "Reservation") -> bool:
        """Return whether two reservations can't be held together."""
        return (
            self.endpoint_id == other.endpoint_id
            or self.fingerprint == other.fingerprint
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Acknowledgement:
    """A VM will respect a reservation until it is released or lapses.

    Attributes
    ----------
    vm_id : str
        The VM that acknowledges.
    reservation : Reservation
        The reservation.
    """

    vm_id: str
    reservation: Reservation


@dataclasses.dataclass(kw_only=True)
class _Own:
    reservation: Reservation
    peers: frozenset[str]
    announced_ms: int
    acknowledged: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(kw_only=True)
class _Foreign:
    reservation: Reservation
    expires_ms: int
    acknowledged: bool = False


class SuspectRuns:
    """Reservations of one VM and what it knows of those of its peers.

    A VM announces a reservation to all peers and runs the request once all have
    acknowledged it. A peer with a rival of its own that it holds, or that comes first
    by VM id, does not acknowledge; the VM whose rival comes later withdraws. A peer
    acknowledges an exclusive reservation only when it has nothing in flight on the
    endpoint.

    Parameters
    ----------
    vm_id : str
        This VM.
    """

    def __init__(self, *, vm_id: str) -> None:
        self._vm_id = vm_id
        self._number = 0
        self._own_by_fingerprint: dict[Fingerprint, _Own] = {}
        self._foreign_by_key: dict[tuple[str, int], _Foreign] = {}

    @property
    def is_idle(self) -> bool:
        """Whether no reservation is known."""
        return not self._own_by_fingerprint and not self._foreign_by_key

    def announce(
        self,
        *,
        fingerprint: Fingerprint,
        endpoint_id: str,
        exclusive: bool,
        peers: t.Iterable[str],
        now_ms: int,
    ) -> Reservation | None:
        """Make a reservation that is to be sent to all peers.

        Parameters
        ----------
        fingerprint : Fingerprint
            The request.
        endpoint_id : str
            The endpoint.
        exclusive : bool
            Whether nothing else may run there.
        peers : iterable of str
            Live VMs beside this one.
        now_ms : int
            Present time in milliseconds.

        Returns
        -------
        Reservation or None
            None if a rival is known; try again later.
        """
        self._forget_lapsed(now_ms)
        self._number += 1
        reservation = Reservation(
            vm_id=self._vm_id,
            number=self._number,
            fingerprint=fingerprint,
            endpoint_id=endpoint_id,
            exclusive=exclusive,
        )
        if any(known.is_rival(reservation) for known in self._known()):
            return None
        self._own_by_fingerprint[fingerprint] = _Own(
            reservation=reservation, peers=frozenset(peers), announced_ms=now_ms
        )
        return reservation

    def on_announced(
        self, reservation: Reservation, now_ms: int
    ) -> tuple[Reservation, ...]:
        """Take in a peer's reservation.

        Parameters
        ----------
        reservation : Reservation
            The peer's.
        now_ms : int
            Present time in milliseconds.

        Returns
        -------
        tuple of Reservation
            Own reservations that were withdrawn for it; peers are to be told.
        """
        self._forget_lapsed(now_ms)
        key = (reservation.vm_id, reservation.number)
        self._foreign_by_key[key] = _Foreign(
            reservation=reservation, expires_ms=now_ms + RESERVATION_TTL_MS
        )
        withdrawn = tuple(
            own.reservation
            for own in self._own_by_fingerprint.values()
            if own.reservation.is_rival(reservation) and self._yields(own, reservation)
        )
        for own_reservation in withdrawn:
            del self._own_by_fingerprint[own_reservation.fingerprint]
        return withdrawn

    def acknowledgements(
        self, in_flight_by_id: t.Mapping[str, int], now_ms: int
    ) -> tuple[Acknowledgement, ...]:
        """Return what can be acknowledged now; called after each change.

        Parameters
        ----------
        in_flight_by_id : mapping of str to int
            Requests of this VM on each endpoint, batch streams included.
        now_ms : int
            Present time in milliseconds.
        """
        self._forget_lapsed(now_ms)
        ready = [
            foreign
            for foreign in self._foreign_by_key.values()
            if not foreign.acknowledged
            and self._can_acknowledge(foreign.reservation, in_flight_by_id)
        ]
        for foreign in ready:
            foreign.acknowledged = True
        return tuple(
            Acknowledgement(vm_id=self._vm_id, reservation=foreign.reservation)
            for foreign in ready
        )

    def on_acknowledged(self, acknowledgement: Acknowledgement) -> None:
        """Take in a peer's acknowledgement."""
        reservation = acknowledgement.reservation
        own = self._own_by_fingerprint.get(reservation.fingerprint)
        if own is not None and own.reservation == reservation:
            own.acknowledged.add(acknowledgement.vm_id)

    def is_held(self, reservation: Reservation, now_ms: int) -> bool:
        """Return whether the request may run under a reservation of this VM.

        An exclusive run asks besides that this VM itself has nothing in flight on
        the endpoint and that a load report taken since shows it empty.

        Parameters
        ----------
        reservation : Reservation
            What `announce` returned.
        now_ms : int
            Present time in milliseconds.
        """
        own = self._own_by_fingerprint.get(reservation.fingerprint)
        if own is None or own.reservation != reservation:
            return False
        if now_ms - own.announced_ms >= HOLDER_TTL_MS:
            return False
        return own.peers <= own.acknowledged

    def release(self, reservation: Reservation) -> None:
        """End a reservation, an own one or a peer's."""
        self._foreign_by_key.pop((reservation.vm_id, reservation.number), None)
        own = self._own_by_fingerprint.get(reservation.fingerprint)
        if own is not None and own.reservation == reservation:
            del self._own_by_fingerprint[reservation.fingerprint]

    def is_reserved(self, endpoint_id: str, now_ms: int) -> bool:
        """Return whether an endpoint is kept for an exclusive run."""
        self._forget_lapsed(now_ms)
        return any(
            known.endpoint_id == endpoint_id and known.exclusive
            for known in self._known()
        )

    def has_suspect(self, endpoint_id: str, now_ms: int) -> bool:
        """Return whether a suspect runs or is about to run on an endpoint."""
        self._forget_lapsed(now_ms)
        return any(known.endpoint_id == endpoint_id for known in self._known())

    def _known(self) -> t.Iterator[Reservation]:
        for own in self._own_by_fingerprint.values():
            yield own.reservation
        for foreign in self._foreign_by_key.values():
            yield foreign.reservation

    def _yields(self, own: _Own, rival: Reservation) -> bool:
        held = own.peers <= own.acknowledged
        return not held and rival.vm_id < self._vm_id

    def _can_acknowledge(
        self, reservation: Reservation, in_flight_by_id: t.Mapping[str, int]
    ) -> bool:
        if reservation.exclusive and in_flight_by_id.get(reservation.endpoint_id, 0):
            return False
        return not any(
            own.reservation.is_rival(reservation)
            for own in self._own_by_fingerprint.values()
        )

    def _forget_lapsed(self, now_ms: int) -> None:
        for key, foreign in list(self._foreign_by_key.items()):
            if foreign.expires_ms <= now_ms:
                del self._foreign_by_key[key]
