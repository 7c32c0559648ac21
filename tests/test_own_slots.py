"""An online request that finds workers full takes the slot of an item of its VM."""

import anyio
import pytest

from foxtailbank.fleet.report_intervals import SMALL_GROUP, PeerGroup
from foxtailbank.forward.own_slots import SlotGiver
from item_vm import ItemVm, success
from serving_fakes import make_worker
from test_slot_finder import SLOTS, STREAM, WORKERS, make_world

pytestmark = pytest.mark.anyio
WAIT_S = 10


class Giver(SlotGiver):
    """Has one item at a worker."""

    def __init__(self, worker):
        self.worker = worker
        self.asked = 0

    def give(self, service, *, excluded, now_ms, origin=None):
        self.asked += 1
        is_possible = self.worker is not None and self.worker.worker_id not in excluded
        return self.worker if is_possible else None


# Guards against requests that ask full workers by turns while an item of the same VM
# holds a slot.
@pytest.mark.parametrize(
    ("is_full", "has_item", "asked_first"),
    [
        pytest.param(True, True, 1, id="takes-the-slot-after-one-refusal"),
        pytest.param(False, True, 0, id="a-free-slot-comes-first"),
    ],
)
async def test_request_takes_the_slot_of_an_own_item(is_full, has_item, asked_first):
    world = make_world(load=SLOTS - 1)
    giver = Giver(world.fleet.workers.get("w3") if has_item else None)
    world.forwarder.context.own_slots.set_giver(giver)
    if is_full:
        world.client.full = {f"w{n}" for n in range(WORKERS)}
    assert (await world.serve(STREAM, tokens=450)).complete
    assert giver.asked == asked_first
    assert len(world.client.asked_worker_ids) == 1
    (sent,) = world.client.sent
    if is_full:
        assert (sent[0], world.client.reservations) == ("w3", [""])


async def test_request_without_an_own_item_searches_on():
    world = make_world(load=SLOTS - 1)
    giver = Giver(None)
    world.forwarder.context.own_slots.set_giver(giver)
    world.client.full = {f"w{n}" for n in range(WORKERS)}
    assert (await world.serve(STREAM, tokens=450)).complete
    assert giver.asked >= len(world.client.asked_worker_ids) > 1


# Guards against an item that is lost, or run twice, when its slot is taken.
@pytest.mark.parametrize(
    ("service", "excluded", "gives"),
    [
        pytest.param("s", set(), True, id="its-service"),
        pytest.param("other", set(), False, id="another-service"),
        pytest.param("s", {"w0"}, False, id="worker-that-must-not-get-it"),
    ],
)
async def test_an_item_makes_way_and_runs_later(service, excluded, gives):
    worker = make_worker("w0", slots=3)
    vm = ItemVm(None, success(), workers=(worker,))
    vm.fleet.tiers.set_peer_count(PeerGroup.FAR, SMALL_GROUP + 1)
    vm.submit()
    async with vm.running():
        with anyio.fail_after(WAIT_S):
            while not vm.client.sent:
                await vm.pass_time(100)
        given = vm.own_slots.take(service, excluded=excluded, now_ms=vm.clock.now_ms())
        assert given == (worker if gives else None)
        again = vm.own_slots.take(service, excluded=excluded, now_ms=vm.clock.now_ms())
        assert again is None
        if gives:
            await vm.finish_items()
            await vm.send_all()
            await vm.finish_items()
    assert len(vm.client.sent) == 1 + gives
    assert [result.completed for result in vm.results()] == [True] * gives
