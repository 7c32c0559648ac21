"""Batch items fill free slots and are preempted when a burst of requests lasts."""

import random

import pytest

from foxtailbank.fleet.distance_tiers import DistanceTiers
from foxtailbank.fleet.load_table import LoadKind, LoadTable, PeerLoad, WorkerLoad
from foxtailbank.fleet.report_intervals import SMALL_GROUP, PeerGroup
from foxtailbank.fleet.worker_health import WorkerHealth
from foxtailbank.fleet.worker_limits import WorkerLimits
from foxtailbank.fleet.worker_view import WorkerView
from foxtailbank.fleet.zone_reachability import ZoneReachability
from foxtailbank.submissions.batch_capacity import (
    EXCESS_GRACE_MS,
    TIER_WAIT_MS,
    BatchCapacity,
)
from serving_fakes import make_logs, make_worker

WORKER = make_worker("w", slots=4)


class Vm:
    def __init__(self, vm_id):
        self.vm_id = vm_id
        self.loads = LoadTable()
        self.tiers = DistanceTiers(vm_id=vm_id, zone="z1", rng=random.Random(1))
        view = WorkerView(
            zone="z1",
            tiers=self.tiers,
            loads=self.loads,
            health=WorkerHealth(),
            reachability=ZoneReachability(own_zone="z1"),
            limits=WorkerLimits(logs=make_logs()),
        )
        self.capacity = BatchCapacity(vm_id=vm_id, view=view)

    def set_burst(self, share):
        """Let a burst be on that needs a share of all slots; none for None."""
        self.tiers.set_peer_count(PeerGroup.FAR, SMALL_GROUP + 1)
        self.capacity._reserve._burst_share = lambda service: share

    def choose(self, *workers):
        return self.capacity.choose_worker(workers, avoid=(), waited_ms=0, now_ms=0)

    def add_load(self, *, online=0, batch=0):
        for _ in range(online):
            self.loads.start("w", LoadKind.ONLINE)
        for _ in range(batch):
            self.loads.start("w", LoadKind.BATCH)

    def receive_report(self, other):
        report = PeerLoad(
            vm_id=other.vm_id,
            incarnation=1,
            load_by_worker=other.loads.own_by_worker(),
        )
        self.loads.on_report(report, 0)


def exchange_reports(*vms):
    for vm in vms:
        for other in vms:
            if other is not vm:
                vm.receive_report(other)


def share_after_grace(vm):
    vm.capacity.items_to_preempt(WORKER, 0)
    return vm.capacity.items_to_preempt(WORKER, EXCESS_GRACE_MS)


@pytest.mark.parametrize(
    ("online", "batches", "expected"),
    [
        pytest.param(1, (1, 2), 0, id="slots-for-all"),
        pytest.param(2, (1, 2), 1, id="one-too-many"),
        pytest.param(4, (2, 2), 4, id="a-burst-that-fills-the-worker"),
        pytest.param(9, (1, 1), 2, id="no-more-than-are-running"),
        pytest.param(0, (4, 4), 0, id="no-preemption-without-online-requests"),
    ],
)
def test_all_vms_together_preempt_the_excess(online, batches, expected):
    front = Vm("front")
    front.add_load(online=online)
    holders = [Vm(f"vm-{number}") for number in range(len(batches))]
    for holder, batch in zip(holders, batches, strict=True):
        holder.add_load(batch=batch)
    exchange_reports(front, *holders)
    assert sum(share_after_grace(holder) for holder in holders) == expected


def test_a_short_excess_preempts_nothing():
    vm = Vm("a")
    vm.add_load(online=2, batch=3)
    assert vm.capacity.items_to_preempt(WORKER, 0) == 0
    vm.loads.end("w", LoadKind.ONLINE)
    assert vm.capacity.items_to_preempt(WORKER, EXCESS_GRACE_MS) == 0
    vm.add_load(online=1)
    assert vm.capacity.items_to_preempt(WORKER, EXCESS_GRACE_MS + 1) == 0
    assert vm.capacity.items_to_preempt(WORKER, 2 * EXCESS_GRACE_MS + 1) == 1


def test_items_leave_a_slot_for_the_next_online_request():
    vm = Vm("a")
    started = 0
    while (
        vm.capacity.choose_worker((WORKER,), avoid=(), waited_ms=0, now_ms=0)
        is not None
    ):
        vm.add_load(batch=1)
        started += 1
    assert started == WORKER.slots - 1


def test_in_a_large_fleet_a_burst_finds_free_slots_before_preemption():
    vm = Vm("a")
    vm.tiers.set_peer_count(PeerGroup.FAR, SMALL_GROUP + 1)
    worker = make_worker("w", slots=7)
    started = 0
    while (
        vm.capacity.choose_worker((worker,), avoid=(), waited_ms=0, now_ms=0)
        is not None
    ):
        vm.add_load(batch=1)
        started += 1
    assert 1 <= started <= worker.slots / 2


@pytest.mark.parametrize(
    ("peers", "online", "batch", "expected"),
    [
        pytest.param(SMALL_GROUP + 1, 3, 3, 1, id="large-fleet-keeps-two-free"),
        pytest.param(SMALL_GROUP + 1, 2, 3, 0, id="two-are-free"),
        pytest.param(SMALL_GROUP + 1, 0, 6, 0, id="no-online-requests"),
        pytest.param(SMALL_GROUP, 3, 3, 0, id="small-fleet-uses-the-last-slot"),
    ],
)
def test_in_a_large_fleet_items_are_preempted_before_the_last_slot_is_used(
    peers, online, batch, expected
):
    vm = Vm("a")
    vm.tiers.set_peer_count(PeerGroup.FAR, peers)
    vm.add_load(online=online, batch=batch)
    worker = make_worker("w", slots=7)
    vm.capacity.items_to_preempt(worker, 0)
    assert vm.capacity.items_to_preempt(worker, EXCESS_GRACE_MS) == expected


def test_an_item_goes_elsewhere_after_a_failure_if_it_can():
    vm = Vm("a")
    other = make_worker("other", slots=4)
    vm.loads.on_report(
        PeerLoad(
            vm_id="b", incarnation=1, load_by_worker={"other": WorkerLoad(batch=2)}
        ),
        0,
    )
    chosen = vm.capacity.choose_worker(
        (WORKER, other), avoid=("w",), waited_ms=0, now_ms=0
    )
    assert chosen is other
    assert (
        vm.capacity.choose_worker((WORKER,), avoid=("w",), waited_ms=0, now_ms=0)
        is WORKER
    )


def test_in_a_large_fleet_a_vm_waits_for_near_workers_before_trying_others():
    vm = Vm("a")
    vm.tiers.set_peer_count(PeerGroup.NEAR, 30)
    workers = tuple(make_worker(f"w{n}", zone="z1", slots=4) for n in range(30))
    near, others = vm.tiers.for_workers(workers)
    full = {worker.worker_id: WorkerLoad(online=4) for worker in near}
    vm.loads.on_report(PeerLoad(vm_id="b", incarnation=1, load_by_worker=full), 0)
    assert vm.capacity.choose_worker(workers, avoid=(), waited_ms=0, now_ms=0) is None
    chosen = vm.capacity.choose_worker(
        workers, avoid=(), waited_ms=TIER_WAIT_MS, now_ms=0
    )
    assert chosen in others


# Guards against items that are started and cut again by turns, each run losing its last
# output, at a worker that the burst needs whole and that has no online request yet.
@pytest.mark.parametrize("burst_share", [None, 0.5, 1.0, 1.3])
@pytest.mark.parametrize("slots", [1, 2, 4, 7, 8])
def test_an_item_that_starts_is_not_preempted_by_the_same_load(burst_share, slots):
    worker = make_worker("w", slots=slots)
    for online in range(slots + 1):
        vm = Vm("a")
        vm.set_burst(burst_share)
        vm.add_load(online=online)
        while vm.choose(worker) is not None:
            vm.add_load(batch=1)
            vm.capacity.items_to_preempt(worker, 0)
            assert vm.capacity.items_to_preempt(worker, EXCESS_GRACE_MS) == 0, online


# Guards against an online request that waits behind others for a slot that its VM's
# item has left, or that takes a far one needlessly.
@pytest.mark.parametrize(
    ("online", "stopping", "expected"),
    [
        pytest.param({"near": 2, "far": 2}, {}, "near", id="own-zone-first"),
        pytest.param(
            {"near": 4, "far": 2}, {}, "far", id="others-wait-at-the-near-one"
        ),
        pytest.param({"near": 4, "far": 4}, {}, None, id="others-wait-everywhere"),
        pytest.param({"near": 3}, {"near": 1}, "near", id="an-item-is-leaving"),
    ],
)
def test_an_item_makes_way_where_no_other_request_waits(online, stopping, expected):
    vm = Vm("a")
    workers = [make_worker("far", zone="z2", slots=4), make_worker("near", slots=4)]
    for worker in workers:
        for _ in range(online.get(worker.worker_id, 4)):
            vm.loads.start(worker.worker_id, LoadKind.ONLINE)
        for _ in range(2):
            vm.loads.start(worker.worker_id, LoadKind.BATCH)
    counts = {w.worker_id: 2 - stopping.get(w.worker_id, 0) for w in workers}
    chosen = vm.capacity.choose_swap(workers, running_counts=counts, now_ms=0)
    assert (chosen and chosen.worker_id) == expected
