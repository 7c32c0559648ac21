"""Choice of workers for bursts of online requests over long batch items."""

import collections
import random

import pytest

from foxtailbank.fleet.distance_tiers import DistanceTiers
from foxtailbank.fleet.load_table import LoadKind, LoadTable, PeerLoad, WorkerLoad
from foxtailbank.fleet.placement import Choice, Placement, Refusal, RefusalReason
from foxtailbank.fleet.report_cells import find_cell, workers_of
from foxtailbank.fleet.report_intervals import SMALL_GROUP, PeerGroup
from foxtailbank.fleet.worker_health import WorkerHealth
from foxtailbank.fleet.worker_limits import WorkerLimits
from foxtailbank.fleet.worker_speed import WorkerSpeeds
from foxtailbank.fleet.worker_view import WorkerView
from foxtailbank.fleet.zone_reachability import (
    MAX_SILENCE_MS,
    MIN_SILENCE_MS,
    ZoneReachability,
)
from serving_fakes import make_logs, make_worker

WORKERS = (
    make_worker("near", zone="z1", slots=4),
    make_worker("far", zone="z2", slots=4),
)


class World:
    def __init__(self, vm_id="vm1", **loads):
        self.loads = LoadTable()
        self.health = WorkerHealth()
        self.reach = ZoneReachability(own_zone="z1")
        self.limits = WorkerLimits(logs=make_logs())
        self.tiers = DistanceTiers(vm_id=vm_id, zone="z1", rng=random.Random(1))
        view = WorkerView(
            zone="z1",
            tiers=self.tiers,
            loads=self.loads,
            health=self.health,
            reachability=self.reach,
            limits=self.limits,
        )
        self.placement = Placement(
            view=view, speeds=WorkerSpeeds(), rng=random.Random(1)
        )
        report = PeerLoad(
            vm_id="peer",
            incarnation=1,
            load_by_worker={
                name: WorkerLoad(online=online, batch=batch)
                for name, (online, batch) in loads.items()
            },
        )
        self.loads.on_report(report, 0)

    def choose(
        self,
        *,
        max_wait_ms=150.0,
        mean_ms=400.0,
        tried=(),
        affinity="",
        now_ms=0,
        workers=WORKERS,
    ):
        return self.placement.choose(
            workers=workers,
            tried=tried,
            affinity=affinity,
            mean_ms=mean_ms,
            max_wait_ms=max_wait_ms,
            now_ms=now_ms,
        )


@pytest.mark.parametrize(
    ("loads", "expected"),
    [
        pytest.param({}, "near", id="same-zone-first"),
        pytest.param({"near": (2, 0)}, "far", id="free-slot-before-same-zone"),
        pytest.param(
            {"near": (0, 4), "far": (3, 0)}, "far", id="free-slot-before-preemption"
        ),
        pytest.param(
            {"near": (3, 1), "far": (4, 0)}, "near", id="preemption-before-queue"
        ),
        pytest.param({"near": (5, 0), "far": (4, 0)}, "far", id="shortest-queue"),
    ],
)
def test_choice(loads, expected):
    chosen = World(**loads).choose()
    assert isinstance(chosen, Choice)
    assert chosen.worker.worker_id == expected


def test_burst_beyond_capacity_is_queued_briefly_then_refused():
    world = World(near=(4, 0), far=(4, 0))
    admitted = 0
    while isinstance(chosen := world.choose(), Choice):
        world.loads.start(chosen.worker.worker_id, LoadKind.ONLINE)
        admitted += 1
    # A worker with four slots and requests of 400 ms frees one slot per 100 ms, so a
    # maximum wait of 150 ms admits one queued request on each worker.
    assert admitted == 2
    assert chosen.reason is RefusalReason.OVERLOADED
    assert chosen.wait_ms > 150


def test_longer_max_wait_is_admitted_where_a_shorter_one_is_refused():
    world = World(near=(6, 0), far=(6, 0))
    assert isinstance(world.choose(max_wait_ms=150), Refusal)
    assert isinstance(world.choose(max_wait_ms=1_000), Choice)


def test_failed_workers_are_avoided_while_others_are_left():
    world = World()
    world.health.on_failure("near", 0)
    assert world.choose().worker.worker_id == "far"
    assert world.choose(tried=("far",)).worker.worker_id == "near"
    refusal = world.choose(tried=("far", "near"))
    assert refusal.reason is RefusalReason.NO_WORKERS


def test_one_prefix_stays_on_one_worker_while_it_has_free_slots():
    world = World()
    workers = {world.choose(affinity="a,b").worker.worker_id for _ in range(5)}
    assert len(workers) == 1


def test_no_request_is_refused_while_a_slot_is_free():
    world = World(near=(3, 0), far=(4, 0))
    assert world.choose(max_wait_ms=0).worker.worker_id == "near"


@pytest.mark.parametrize(
    ("silence_ms", "others_report", "expected"),
    [
        pytest.param(MIN_SILENCE_MS, True, "far", id="not-yet-silent"),
        pytest.param(MIN_SILENCE_MS + 1, True, "near", id="cut-off"),
        pytest.param(MIN_SILENCE_MS + 1, False, "far", id="no-zone-reports"),
        pytest.param(MAX_SILENCE_MS, True, "far", id="silent-for-too-long"),
    ],
)
def test_silent_zone_gets_no_requests_for_a_limited_time(
    silence_ms, others_report, expected
):
    world = World(near=(2, 0))
    world.reach.on_report("z2", 0)
    if others_report:
        world.reach.on_report("z1", silence_ms)
    assert world.choose(now_ms=silence_ms).worker.worker_id == expected


@pytest.mark.parametrize("load", [(0, 0), (2, 0), (4, 0)])
def test_vms_that_see_equal_workers_spread_over_them(load):
    workers = tuple(make_worker(f"w{n}", zone="z1", slots=4) for n in range(6))
    chosen = collections.Counter()
    for number in range(120):
        world = World(vm_id=f"vm{number}", **{w.worker_id: load for w in workers})
        choice = world.choose(workers=workers)
        chosen[choice.worker.worker_id] += 1
    assert len(chosen) == len(workers)
    assert max(chosen.values()) < 2 * 120 / len(workers)


# Guards against workers that are filled by the few VMs that use them first, while the
# rest of the zone has room.
@pytest.mark.parametrize(
    ("in_cell", "elsewhere", "expected"),
    [
        pytest.param((0, 0), (0, 0), "cell", id="idle"),
        pytest.param((2, 0), (2, 0), "cell", id="equal"),
        pytest.param((2, 0), (3, 0), "cell", id="cell-has-less"),
        pytest.param((3, 0), (0, 0), "rest", id="cell-has-more"),
        pytest.param((4, 0), (0, 0), "rest", id="cell-full"),
        pytest.param((4, 0), (4, 0), "far", id="zone-full"),
    ],
)
def test_large_fleet_uses_its_cell_unless_that_has_more_load_than_its_zone(
    in_cell, elsewhere, expected
):
    near = tuple(make_worker(f"w{n}", zone="z1", slots=4) for n in range(30))
    workers = (*near, make_worker("far", zone="z2", slots=4))
    cell = find_cell("vm1", [f"vm{n}" for n in range(1, 31)])
    in_first = {worker.worker_id for worker in workers_of(cell, near)}
    loads = {
        w.worker_id: in_cell if w.worker_id in in_first else elsewhere for w in near
    }
    world = World(**loads)
    world.tiers.set_peer_count(PeerGroup.NEAR, 30)
    world.tiers.set_cell(cell)
    part_of = {w.worker_id: "cell" if w.worker_id in in_first else "rest" for w in near}
    parts = collections.Counter(
        part_of.get(world.choose(workers=workers).worker.worker_id, "far")
        for _ in range(100)
    )
    assert parts[expected] >= 90  # a worker that looks nearly full is drawn seldom


# Guards against a division by zero after answers within one millisecond.
def test_a_worker_is_drawn_though_runs_take_no_time():
    world = World(near=(4, 0))
    world.tiers.set_peer_count(PeerGroup.FAR, SMALL_GROUP + 1)
    workers = (*WORKERS, make_worker("other", zone="z2", slots=4))
    chosen = world.choose(workers=workers, mean_ms=0.0, now_ms=1)
    assert chosen.worker.zone == "z2"


# Guards against requests that queue at workers which take no more, or that are rejected
# with a time to come back at which no worker takes them.
@pytest.mark.parametrize(
    ("limited", "expected"),
    [
        pytest.param({}, "near", id="none"),
        pytest.param({"near": 4.0}, "far", id="one"),
        pytest.param({"near": 4.0, "far": 2.0}, 250.0, id="all"),
    ],
)
def test_what_a_limited_worker_does_not_take_goes_elsewhere(limited, expected):
    world = World()
    for worker_id, per_s in limited.items():
        world.limits.on_answer(worker_id, per_s, 0)
    choice = world.choose()
    if isinstance(expected, str):
        assert choice.worker.worker_id == expected
    else:
        assert choice == Refusal(reason=RefusalReason.LIMITED, wait_ms=expected)


# An avoided worker may still be up, and a limited one takes no more for sure.
def test_a_worker_that_is_avoided_is_tried_if_the_others_take_no_more():
    world = World()
    world.limits.on_answer("near", 4.0, 0)
    world.health.on_failure("far", 0)
    assert world.choose().worker.worker_id == "far"
