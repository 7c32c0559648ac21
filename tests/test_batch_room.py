"""Pattern: batch items fill the troughs and give way when a wave of requests lasts."""

import random

import pytest

from foxtailbank.fleet.load_table import LoadKind, LoadTable, PeerLoad, WorkerLoad
from foxtailbank.fleet.neighbourhood import Neighbourhood
from foxtailbank.fleet.report_pace import SMALL_GROUP, PeerGroup
from foxtailbank.fleet.worker_health import WorkerHealth
from foxtailbank.fleet.worker_view import WorkerView
from foxtailbank.fleet.zone_reach import ZoneReach
from foxtailbank.submissions.batch_room import EXCESS_MS, RING_WAIT_MS, BatchRoom
from serving_fakes import make_worker

WORKER = make_worker("w", slots=4)


class Vm:
    def __init__(self, vm_id):
        self.vm_id = vm_id
        self.loads = LoadTable()
        self.neighbourhood = Neighbourhood(vm_id=vm_id, zone="z1", rng=random.Random(1))
        view = WorkerView(
            zone="z1",
            neighbourhood=self.neighbourhood,
            loads=self.loads,
            health=WorkerHealth(),
            reach=ZoneReach(own_zone="z1"),
        )
        self.room = BatchRoom(vm_id=vm_id, view=view)

    def hold(self, *, online=0, batch=0):
        for _ in range(online):
            self.loads.start("w", LoadKind.ONLINE)
        for _ in range(batch):
            self.loads.start("w", LoadKind.BATCH)

    def hear(self, other):
        report = PeerLoad(
            vm_id=other.vm_id,
            incarnation=1,
            load_by_worker=other.loads.own_by_worker(),
        )
        self.loads.on_report(report, 0)


def meet(*vms):
    for vm in vms:
        for other in vms:
            if other is not vm:
                vm.hear(other)


def lasting_share(vm):
    vm.room.places_to_yield(WORKER, 0)
    return vm.room.places_to_yield(WORKER, EXCESS_MS)


@pytest.mark.parametrize(
    ("online", "batches", "expected"),
    [
        pytest.param(1, (1, 2), 0, id="room-for-all"),
        pytest.param(2, (1, 2), 1, id="one-too-many"),
        pytest.param(4, (2, 2), 4, id="a-full-wave"),
        pytest.param(9, (1, 1), 2, id="no-more-than-there-are"),
        pytest.param(0, (4, 4), 0, id="items-alone-wait-at-the-worker"),
    ],
)
def test_all_vms_together_yield_what_is_needed(online, batches, expected):
    front = Vm("front")
    front.hold(online=online)
    holders = [Vm(f"vm-{number}") for number in range(len(batches))]
    for holder, batch in zip(holders, batches, strict=True):
        holder.hold(batch=batch)
    meet(front, *holders)
    assert sum(lasting_share(holder) for holder in holders) == expected


def test_an_excess_that_passes_stops_nothing():
    vm = Vm("a")
    vm.hold(online=2, batch=3)
    assert vm.room.places_to_yield(WORKER, 0) == 0
    vm.loads.end("w", LoadKind.ONLINE)
    assert vm.room.places_to_yield(WORKER, EXCESS_MS) == 0
    vm.hold(online=1)
    assert vm.room.places_to_yield(WORKER, EXCESS_MS + 1) == 0
    assert vm.room.places_to_yield(WORKER, 2 * EXCESS_MS + 1) == 1


def test_items_leave_a_place_for_the_next_online_request():
    vm = Vm("a")
    taken = 0
    while vm.room.choose((WORKER,), avoid=(), waited_ms=0, now_ms=0) is not None:
        vm.hold(batch=1)
        taken += 1
    assert taken == WORKER.slots - 1


def test_in_a_large_fleet_a_wave_finds_places_before_items_have_yielded():
    vm = Vm("a")
    vm.neighbourhood.count_peers(PeerGroup.FAR, SMALL_GROUP + 1)
    worker = make_worker("w", slots=7)
    taken = 0
    while vm.room.choose((worker,), avoid=(), waited_ms=0, now_ms=0) is not None:
        vm.hold(batch=1)
        taken += 1
    assert 1 <= taken <= worker.slots / 2


@pytest.mark.parametrize(
    ("peers", "online", "batch", "expected"),
    [
        pytest.param(SMALL_GROUP + 1, 3, 3, 1, id="large-fleet-keeps-two-free"),
        pytest.param(SMALL_GROUP + 1, 2, 3, 0, id="two-are-free"),
        pytest.param(SMALL_GROUP + 1, 0, 6, 0, id="nobody-to-yield-to"),
        pytest.param(SMALL_GROUP, 3, 3, 0, id="small-fleet-fills-the-last-place"),
    ],
)
def test_in_a_large_fleet_items_yield_before_the_last_place_is_taken(
    peers, online, batch, expected
):
    vm = Vm("a")
    vm.neighbourhood.count_peers(PeerGroup.FAR, peers)
    vm.hold(online=online, batch=batch)
    worker = make_worker("w", slots=7)
    vm.room.places_to_yield(worker, 0)
    assert vm.room.places_to_yield(worker, EXCESS_MS) == expected


def test_an_item_goes_elsewhere_after_a_failure_if_it_can():
    vm = Vm("a")
    other = make_worker("other", slots=4)
    vm.loads.on_report(
        PeerLoad(
            vm_id="b", incarnation=1, load_by_worker={"other": WorkerLoad(batch=2)}
        ),
        0,
    )
    chosen = vm.room.choose((WORKER, other), avoid=("w",), waited_ms=0, now_ms=0)
    assert chosen is other
    assert vm.room.choose((WORKER,), avoid=("w",), waited_ms=0, now_ms=0) is WORKER


def test_a_vm_of_a_large_fleet_waits_for_its_own_workers_before_others():
    vm = Vm("a")
    vm.neighbourhood.count_peers(PeerGroup.NEAR, 30)
    workers = tuple(make_worker(f"w{n}", zone="z1", slots=4) for n in range(30))
    home, others = vm.neighbourhood.rings(workers)
    full = {worker.worker_id: WorkerLoad(online=4) for worker in home}
    vm.loads.on_report(PeerLoad(vm_id="b", incarnation=1, load_by_worker=full), 0)
    assert vm.room.choose(workers, avoid=(), waited_ms=0, now_ms=0) is None
    chosen = vm.room.choose(workers, avoid=(), waited_ms=RING_WAIT_MS, now_ms=0)
    assert chosen in others
