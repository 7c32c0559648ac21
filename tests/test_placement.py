"""Pattern: waves of online requests over long batch items on engines of one size."""

import collections
import random

import pytest

from foxtailbank.fleet.load_table import LoadKind, LoadTable, PeerLoad, WorkerLoad
from foxtailbank.fleet.neighbourhood import Neighbourhood
from foxtailbank.fleet.placement import Choice, Placement, Refusal, RefusalReason
from foxtailbank.fleet.report_pace import PeerGroup
from foxtailbank.fleet.worker_health import WorkerHealth
from foxtailbank.fleet.worker_view import WorkerView
from foxtailbank.fleet.zone_reach import DOUBT_MS, SILENT_MS, ZoneReach
from serving_fakes import make_worker

WORKERS = (
    make_worker("near", zone="z1", slots=4),
    make_worker("far", zone="z2", slots=4),
)


class World:
    def __init__(self, vm_id="vm1", **loads):
        self.loads = LoadTable()
        self.health = WorkerHealth()
        self.reach = ZoneReach(own_zone="z1")
        self.neighbourhood = Neighbourhood(vm_id=vm_id, zone="z1", rng=random.Random(1))
        view = WorkerView(
            zone="z1",
            neighbourhood=self.neighbourhood,
            loads=self.loads,
            health=self.health,
            reach=self.reach,
        )
        self.placement = Placement(view=view)
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
        self, *, patience_ms=150.0, tried=(), affinity="", now_ms=0, workers=WORKERS
    ):
        return self.placement.choose(
            workers=workers,
            tried=tried,
            affinity=affinity,
            mean_ms=400.0,
            patience_ms=patience_ms,
            now_ms=now_ms,
        )


@pytest.mark.parametrize(
    ("loads", "expected"),
    [
        pytest.param({}, "near", id="own-zone-first"),
        pytest.param({"near": (2, 0)}, "far", id="free-places-before-zone"),
        pytest.param({"near": (0, 4), "far": (3, 0)}, "far", id="free-before-yielding"),
        pytest.param({"near": (3, 1), "far": (4, 0)}, "near", id="an-item-gives-way"),
        pytest.param({"near": (5, 0), "far": (4, 0)}, "far", id="shortest-queue"),
    ],
)
def test_choice(loads, expected):
    chosen = World(**loads).choose()
    assert isinstance(chosen, Choice)
    assert chosen.worker.worker_id == expected


def test_a_wave_beyond_all_places_is_refused_while_some_wait_a_little():
    world = World(near=(4, 0), far=(4, 0))
    admitted = 0
    while isinstance(chosen := world.choose(), Choice):
        world.loads.start(chosen.worker.worker_id, LoadKind.ONLINE)
        admitted += 1
    # A wait of 150 ms is one place of 400 ms shared by four on each worker.
    assert admitted == 2
    assert chosen.reason is RefusalReason.OVERLOADED
    assert chosen.wait_ms > 150


def test_who_returns_after_a_refusal_may_wait_longer():
    world = World(near=(6, 0), far=(6, 0))
    assert isinstance(world.choose(patience_ms=150), Refusal)
    assert isinstance(world.choose(patience_ms=1_000), Choice)


def test_workers_that_failed_are_avoided_until_nothing_else_is_left():
    world = World()
    world.health.on_failure("near", 0)
    assert world.choose().worker.worker_id == "far"
    assert world.choose(tried=("far",)).worker.worker_id == "near"
    refusal = world.choose(tried=("far", "near"))
    assert refusal.reason is RefusalReason.NO_WORKERS


def test_one_prefix_keeps_to_one_worker_while_it_has_places():
    world = World()
    workers = {world.choose(affinity="a,b").worker.worker_id for _ in range(5)}
    assert len(workers) == 1


def test_no_vm_is_refused_while_a_place_is_free():
    world = World(near=(3, 0), far=(4, 0))
    assert world.choose(patience_ms=0).worker.worker_id == "near"


@pytest.mark.parametrize(
    ("silence_ms", "others_heard", "expected"),
    [
        pytest.param(SILENT_MS, True, "far", id="not-yet-silent"),
        pytest.param(SILENT_MS + 1, True, "near", id="cut-off"),
        pytest.param(SILENT_MS + 1, False, "far", id="nobody-is-heard"),
        pytest.param(DOUBT_MS, True, "far", id="workers-may-live-on"),
    ],
)
def test_a_zone_that_fell_silent_gets_no_requests_for_a_while(
    silence_ms, others_heard, expected
):
    world = World(near=(2, 0))
    world.reach.on_heard("z2", 0)
    if others_heard:
        world.reach.on_heard("z1", silence_ms)
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


def test_a_vm_of_a_large_fleet_takes_its_own_workers_first_and_others_at_once():
    workers = tuple(make_worker(f"w{n}", zone="z1", slots=4) for n in range(30))
    neighbourhood = Neighbourhood(vm_id="vm1", zone="z1", rng=random.Random(1))
    neighbourhood.count_peers(PeerGroup.NEAR, 30)
    home, others = neighbourhood.rings(workers)
    for load, ring in (((3, 0), home), ((4, 0), others)):
        world = World(**{worker.worker_id: load for worker in home})
        world.neighbourhood.count_peers(PeerGroup.NEAR, 30)
        assert world.choose(workers=workers).worker in ring
