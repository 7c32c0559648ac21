"""What connections hold is bounded, and the least finished one is closed first."""

import pytest

from foxtailbank.clock import ManualClock
from foxtailbank.exceptions import BodyTooLarge
from foxtailbank.http1.connection_budget import (
    CONNECTION_BYTES,
    STALLED_ANSWER_MS,
    ConnectionBudget,
    Door,
    Holding,
    MemoryShort,
    Phase,
)

PLACES = 4
SPARE_BYTES = 100_000
CAPACITY = PLACES * CONNECTION_BYTES + SPARE_BYTES


class World:
    def __init__(self, *, places=PLACES):
        self.clock = ManualClock(start_ms=1_000)
        self.closed = []
        self.reasons = []
        self.budget = ConnectionBudget(
            max_connections=places,
            capacity_bytes=CAPACITY,
            clock=self.clock,
            on_close=self.reasons.append,
        )
        self.door = Door(name="front")
        self.budget.add_door(self.door)

    def open(self, name, *, phase=Phase.RECEIVING, received_bytes=0, door=None):
        account = self.budget.open(door or self.door)
        if account is not None:
            account.close = lambda: self.closed.append(name)
            account.enter(phase)
            account.received_bytes = received_bytes
        return account


@pytest.mark.parametrize(
    ("phases", "closed"),
    [
        pytest.param(
            [Phase.IDLE, Phase.ANSWERING, Phase.RECEIVING, Phase.SERVED],
            2,
            id="unfinished-first",
        ),
        pytest.param(
            [Phase.IDLE, Phase.ANSWERING, Phase.SERVED, Phase.SERVED],
            1,
            id="then-unread-answers",
        ),
        pytest.param(
            [Phase.SERVED, Phase.IDLE, Phase.IDLE, Phase.SERVED], 1, id="then-idle"
        ),
        pytest.param([Phase.SERVED] * 4, None, id="none-that-is-served"),
    ],
)
def test_who_is_closed_for_a_newcomer(phases, closed):
    world = World()
    for number, phase in enumerate(phases):
        world.open(number, phase=phase)
        world.clock.advance(1)
    world.clock.advance(STALLED_ANSWER_MS)
    newcomer = world.open("new")
    assert world.closed == ([] if closed is None else [closed])
    assert (newcomer is None) == (closed is None)
    assert world.budget.connection_count == PLACES


# Guards against a caller that is closed for clients which wait short of their end.
def test_the_slowest_for_its_age_is_closed():
    world = World()
    world.open("stopped", received_bytes=65_000)
    world.clock.advance(3_000)
    world.open("large-and-fast", received_bytes=2_000_000)
    world.clock.advance(1_000)
    for name in ("new", "newer"):
        world.open(name)
    world.clock.advance(1)
    assert world.open("newest") is not None
    assert world.closed == ["stopped"]


def test_memory_is_made_by_closing_and_refused_beyond_the_whole():
    world = World()
    held = world.open("held")
    assert held.hold(Holding.BODY, SPARE_BYTES)
    world.clock.advance(1_000)
    other = world.open("other", phase=Phase.SERVED)
    assert other.hold(Holding.BODY, 4 * CONNECTION_BYTES)
    assert world.closed == ["held"]
    assert not held.hold(Holding.HEAD, 1)
    assert not other.hold(Holding.ANSWER, CAPACITY + 1)
    with pytest.raises(BodyTooLarge), world.budget.memory_for(CAPACITY + 1):
        pass
    with pytest.raises(MemoryShort), world.budget.memory_for(CAPACITY):
        pass
    world.budget.discard(other)
    assert world.budget.held_bytes == 0
    with world.budget.memory_for(CAPACITY):
        assert world.budget.held_bytes == CAPACITY
    assert world.budget.held_bytes == 0


# Guards against readiness that nobody answers while clients hold every connection.
def test_a_door_keeps_its_reserve():
    world = World()
    ready = Door(name="ready", reserved_count=1)
    world.budget.add_door(ready)
    served = [world.open(number, phase=Phase.SERVED) for number in range(PLACES)]
    assert served[-1] is None
    assert world.open("ready", door=ready) is not None
    assert world.closed == []
    assert world.reasons == ["refused"]
