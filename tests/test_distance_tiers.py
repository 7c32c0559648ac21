"""Distance tiers with many entry VMs, many workers and stale load reports."""

import collections
import random

import pytest

from foxtailbank.fleet.distance_tiers import DistanceTiers
from foxtailbank.fleet.report_intervals import SMALL_GROUP, PeerGroup
from serving_fakes import make_worker

ZONES = ("z1", "z2", "z3")
WORKERS = tuple(
    make_worker(f"w{number}", zone=ZONES[number % 3], slots=7) for number in range(57)
)
VMS_PER_ZONE = 24


def make_tiers(vm_id, *, zone="z1", near=VMS_PER_ZONE - 1, far=47):
    tiers = DistanceTiers(vm_id=vm_id, zone=zone, rng=random.Random(1))
    tiers.set_peer_count(PeerGroup.NEAR, near)
    tiers.set_peer_count(PeerGroup.FAR, far)
    return tiers


def test_small_fleet_has_one_tier():
    tiers = make_tiers("vm", near=SMALL_GROUP // 2, far=SMALL_GROUP)
    assert tiers.for_workers(WORKERS) == (WORKERS,)


@pytest.mark.parametrize("zone", [*ZONES, "without-workers"])
def test_tiers_hold_each_worker_once_and_same_zone_first(zone):
    result = make_tiers("vm", zone=zone).for_workers(WORKERS)
    assert sorted(w.worker_id for tier in result for w in tier) == sorted(
        worker.worker_id for worker in WORKERS
    )
    assert {w.zone for tier in result[:-1] for w in tier} <= {zone}
    assert all(result)


def test_each_worker_is_in_the_first_tier_of_some_vms_only():
    users = collections.Counter()
    for zone in ZONES:
        for number in range(VMS_PER_ZONE):
            tiers = make_tiers(f"vm-{zone}-{number}", zone=zone)
            users.update(worker.worker_id for worker in tiers.for_workers(WORKERS)[0])
    assert len(users) >= 0.95 * len(WORKERS)
    assert max(users.values()) <= VMS_PER_ZONE / 2


def test_tiers_follow_changes_of_workers_and_peers():
    tiers = make_tiers("vm")
    before = tiers.for_workers(WORKERS)
    assert tiers.for_workers(WORKERS) is before
    fewer = WORKERS[1:]
    assert sum(len(tier) for tier in tiers.for_workers(fewer)) == len(fewer)
    tiers.set_peer_count(PeerGroup.FAR, 0)
    tiers.set_peer_count(PeerGroup.NEAR, 0)
    assert tiers.for_workers(fewer) == (fewer,)
    assert tiers.for_workers(()) == ()


def test_vms_with_stale_loads_do_not_all_choose_the_least_loaded_worker():
    chosen = collections.Counter()
    for number in range(200):
        tiers = DistanceTiers(vm_id=f"vm{number}", zone="z1", rng=random.Random(number))
        sample = tiers.sample(WORKERS, 1)
        chosen[min(sample, key=lambda w: w.worker_id).worker_id] += 1
        assert tiers.sample(WORKERS, 0) == WORKERS
    assert max(chosen.values()) <= 20
