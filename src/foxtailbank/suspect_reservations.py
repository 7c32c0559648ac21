"""Reservations by which VMs agree on who runs a suspect request, and where."""

import dataclasses
import typing as t

from foxtailbank.quarantine import Fingerprint

RESERVATION_TTL_MS = 15_000
# Shorter, so that the holder stops before its peers drop the reservation.
HOLDER_TTL_MS = 12_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reservation:
    """Reservation of an endpoint by a VM for a suspect request.

    Attributes
    ----------
    vm_id : str
        The VM.
    number : int
        Sequence number of the reservation on that VM.
    fingerprint : Fingerprint
        The request; no other copy of it may run at the same time.
    endpoint_id : str
        The endpoint; no other suspect may run there at the same time.
    exclusive : bool
        Whether no other request of any kind may run there.
    """

    vm_id: str
    number: int
    fingerprint: Fingerprint
    endpoint_id: str
    exclusive: bool

    def conflicts_with(self, other: "Reservation") -> bool:
        """Return whether the two reservations may not be held at the same time."""
        return (
            self.endpoint_id == other.endpoint_id
            or self.fingerprint == other.fingerprint
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Acknowledgement:
    """Promise of a VM to respect a reservation until its release or expiry.

    Attributes
    ----------
    vm_id : str
        The acknowledging VM.
    reservation : Reservation
        The reservation.
    """

    vm_id: str
    reservation: Reservation


@dataclasses.dataclass(kw_only=True)
class _OwnReservation:
    reservation: Reservation
    peers: frozenset[str]
    announced_ms: int
    acknowledged: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(kw_only=True)
class _PeerReservation:
    reservation: Reservation
    expires_ms: int
    acknowledged: bool = False


class SuspectReservations:
    """Reservations of one VM, and those of its peers that it knows of.

    A VM announces a reservation to all peers and runs the request once all have
    acknowledged it. Of two conflicting reservations, one that is already held wins,
    otherwise that of the VM with the lower id; the winner does not acknowledge the
    other, and the loser withdraws its own. A peer acknowledges an exclusive reservation
    only while it has nothing in flight on the endpoint.

    Parameters
    ----------
    vm_id : str
        Identifier of this VM.
    """

    def __init__(self, *, vm_id: str) -> None:
        self._vm_id = vm_id
        self._number = 0
        self._own_by_fingerprint: dict[Fingerprint, _OwnReservation] = {}
        self._peer_reservations_by_key: dict[tuple[str, int], _PeerReservation] = {}

    @property
    def is_idle(self) -> bool:
        """Whether there are no known reservations."""
        return not self._own_by_fingerprint and not self._peer_reservations_by_key

    def announce(
        self,
        *,
        fingerprint: Fingerprint,
        endpoint_id: str,
        exclusive: bool,
        peers: t.Iterable[str],
        now_ms: int,
    ) -> Reservation | None:
        """Create a reservation, which the caller must send to all peers.

        Parameters
        ----------
        fingerprint : Fingerprint
            The request.
        endpoint_id : str
            The endpoint.
        exclusive : bool
            Whether no other request may run there.
        peers : iterable of str
            The other live VMs.
        now_ms : int
            Current time in milliseconds.

        Returns
        -------
        Reservation or None
            None if a conflicting reservation is known; try again later.
        """
        self._drop_expired(now_ms)
        self._number += 1
        reservation = Reservation(
            vm_id=self._vm_id,
            number=self._number,
            fingerprint=fingerprint,
            endpoint_id=endpoint_id,
            exclusive=exclusive,
        )
        if any(known.conflicts_with(reservation) for known in self._known()):
            return None
        self._own_by_fingerprint[fingerprint] = _OwnReservation(
            reservation=reservation, peers=frozenset(peers), announced_ms=now_ms
        )
        return reservation

    def on_announced(
        self, reservation: Reservation, now_ms: int
    ) -> tuple[Reservation, ...]:
        """Record a peer's reservation.

        Parameters
        ----------
        reservation : Reservation
            The peer's reservation.
        now_ms : int
            Current time in milliseconds.

        Returns
        -------
        tuple of Reservation
            Own reservations withdrawn in favour of it; the caller must notify the
            peers.
        """
        self._drop_expired(now_ms)
        key = (reservation.vm_id, reservation.number)
        self._peer_reservations_by_key[key] = _PeerReservation(
            reservation=reservation, expires_ms=now_ms + RESERVATION_TTL_MS
        )
        withdrawn = tuple(
            own.reservation
            for own in self._own_by_fingerprint.values()
            if own.reservation.conflicts_with(reservation)
            and self._must_withdraw(own, reservation)
        )
        for own_reservation in withdrawn:
            del self._own_by_fingerprint[own_reservation.fingerprint]
        return withdrawn

    def acknowledgements(
        self, in_flight_by_id: t.Mapping[str, int], now_ms: int
    ) -> tuple[Acknowledgement, ...]:
        """Return due acknowledgements; to be called after each change.

        Parameters
        ----------
        in_flight_by_id : mapping of str to int
            Requests of this VM on each endpoint, including batch streams.
        now_ms : int
            Current time in milliseconds.
        """
        self._drop_expired(now_ms)
        ready = [
            peer
            for peer in self._peer_reservations_by_key.values()
            if not peer.acknowledged
            and self._can_acknowledge(peer.reservation, in_flight_by_id)
        ]
        for peer in ready:
            peer.acknowledged = True
        return tuple(
            Acknowledgement(vm_id=self._vm_id, reservation=peer.reservation)
            for peer in ready
        )

    def on_acknowledged(self, acknowledgement: Acknowledgement) -> None:
        """Record a peer's acknowledgement."""
        reservation = acknowledgement.reservation
        own = self._own_by_fingerprint.get(reservation.fingerprint)
        if own is not None and own.reservation == reservation:
            own.acknowledged.add(acknowledgement.vm_id)

    def is_held(self, reservation: Reservation, now_ms: int) -> bool:
        """Return whether the request may run under a reservation of this VM.

        For an exclusive run the caller must also check that this VM has nothing in
        flight on the endpoint and that a later load report shows the endpoint idle.

        Parameters
        ----------
        reservation : Reservation
            Result of `announce`.
        now_ms : int
            Current time in milliseconds.
        """
        own = self._own_by_fingerprint.get(reservation.fingerprint)
        if own is None or own.reservation != reservation:
            return False
        if now_ms - own.announced_ms >= HOLDER_TTL_MS:
            return False
        return own.peers <= own.acknowledged

    def release(self, reservation: Reservation) -> None:
        """Remove a reservation of this VM or of a peer."""
        self._peer_reservations_by_key.pop(
            (reservation.vm_id, reservation.number), None
        )
        own = self._own_by_fingerprint.get(reservation.fingerprint)
        if own is not None and own.reservation == reservation:
            del self._own_by_fingerprint[reservation.fingerprint]

    def is_reserved(self, endpoint_id: str, now_ms: int) -> bool:
        """Return whether an endpoint is reserved for an exclusive run."""
        self._drop_expired(now_ms)
        return any(
            known.endpoint_id == endpoint_id and known.exclusive
            for known in self._known()
        )

    def has_suspect(self, endpoint_id: str, now_ms: int) -> bool:
        """Return whether a suspect runs, or is about to run, on an endpoint."""
        self._drop_expired(now_ms)
        return any(known.endpoint_id == endpoint_id for known in self._known())

    def _known(self) -> t.Iterator[Reservation]:
        for own in self._own_by_fingerprint.values():
            yield own.reservation
        for peer in self._peer_reservations_by_key.values():
            yield peer.reservation

    def _must_withdraw(self, own: _OwnReservation, other: Reservation) -> bool:
        held = own.peers <= own.acknowledged
        return not held and other.vm_id < self._vm_id

    def _can_acknowledge(
        self, reservation: Reservation, in_flight_by_id: t.Mapping[str, int]
    ) -> bool:
        if reservation.exclusive and in_flight_by_id.get(reservation.endpoint_id, 0):
            return False
        return not any(
            own.reservation.conflicts_with(reservation)
            for own in self._own_by_fingerprint.values()
        )

    def _drop_expired(self, now_ms: int) -> None:
        for key, peer in list(self._peer_reservations_by_key.items()):
            if peer.expires_ms <= now_ms:
                del self._peer_reservations_by_key[key]
