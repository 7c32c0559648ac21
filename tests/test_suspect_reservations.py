import itertools

import pytest

from foxtailbank.quarantine import Fingerprint
from foxtailbank.suspect_reservations import (
    HOLDER_TTL_MS,
    RESERVATION_TTL_MS,
    SuspectReservations,
)

BAD = Fingerprint(owner="x", digest="bad")
GOOD = Fingerprint(owner="y", digest="good")


def announce(
    reservations, fingerprint, endpoint_id, *, exclusive=True, peers=(), now_ms=0
):
    return reservations.announce(
        fingerprint=fingerprint,
        endpoint_id=endpoint_id,
        exclusive=exclusive,
        peers=peers,
        now_ms=now_ms,
    )


@pytest.mark.parametrize(
    ("first", "second"),
    [((BAD, "e0"), (BAD, "e1")), ((BAD, "e0"), (GOOD, "e0"))],
    ids=["same request", "same endpoint"],
)
@pytest.mark.parametrize("order", list(itertools.permutations(range(4))))
def test_conflicting_reservations_are_never_held_together(first, second, order):
    """Deliver two announcements and their acknowledgements in every order."""
    one, two = SuspectReservations(vm_id="vm1"), SuspectReservations(vm_id="vm2")
    mine = announce(one, *first, peers=["vm2"])
    theirs = announce(two, *second, peers=["vm1"])

    def acknowledge(source, target):
        for acknowledgement in source.acknowledgements({}, 0):
            target.on_acknowledged(acknowledgement)

    def withdraw(reservations, peer):
        for reservation in reservations:
            peer.release(reservation)

    steps = [
        lambda: withdraw(two.on_announced(mine, 0), one),
        lambda: withdraw(one.on_announced(theirs, 0), two),
        lambda: acknowledge(one, two),
        lambda: acknowledge(two, one),
    ]
    for step in [*order, *range(4)]:
        steps[step]()
        assert not (one.is_held(mine, 0) and two.is_held(theirs, 0))
    assert one.is_held(mine, 0)


def test_independent_suspects_run_together():
    one, two = SuspectReservations(vm_id="vm1"), SuspectReservations(vm_id="vm2")
    mine = announce(one, BAD, "e0", peers=["vm2"])
    theirs = announce(two, GOOD, "e1", peers=["vm1"])
    one.on_announced(theirs, 0)
    two.on_announced(mine, 0)
    for source, target in ((one, two), (two, one)):
        for acknowledgement in source.acknowledgements({}, 0):
            target.on_acknowledged(acknowledgement)
    assert one.is_held(mine, 0)
    assert two.is_held(theirs, 0)


@pytest.mark.parametrize(
    ("exclusive", "in_flight", "acknowledgement_count"),
    [(True, 1, 0), (True, 0, 1), (False, 1, 1)],
)
def test_exclusive_run_waits_for_requests_in_flight(
    exclusive, in_flight, acknowledgement_count
):
    one, two = SuspectReservations(vm_id="vm1"), SuspectReservations(vm_id="vm2")
    two.on_announced(announce(one, BAD, "e0", exclusive=exclusive, peers=["vm2"]), 0)
    assert len(two.acknowledgements({"e0": in_flight}, 0)) == acknowledgement_count
    assert two.is_reserved("e0", 0) == exclusive
    assert two.has_suspect("e0", 0)


def test_reservation_of_a_lost_vm_expires_after_its_holder_stopped():
    one, two = SuspectReservations(vm_id="vm1"), SuspectReservations(vm_id="vm2")
    reservation = announce(one, BAD, "e0", peers=["vm2"])
    two.on_announced(reservation, 0)
    one.on_acknowledged(two.acknowledgements({}, 0)[0])
    assert one.is_held(reservation, HOLDER_TTL_MS - 1)
    assert not one.is_held(reservation, HOLDER_TTL_MS)
    assert announce(two, BAD, "e1", now_ms=RESERVATION_TTL_MS - 1) is None
    assert announce(two, BAD, "e1", now_ms=RESERVATION_TTL_MS) is not None
