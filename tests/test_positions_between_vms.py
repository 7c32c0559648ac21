"""Results that were read at one VM, asked for at all VMs while faults happen to them.

All VMs run the product's follower, ledger, append queue and service over one store,
which is linearizable and late. Loops of processes stand still on their own: see
`simulated_processes`.
"""

import functools
import os

import pytest

from platform_hostile_store import PathState
from position_fleet import FaultPlan, PositionFleet

LONG = os.environ.get("FUZZ_LONG") == "1"
SEEDS = range(250 if LONG else 2)
# Pauses end most reads as too late, so that denials soon after a reading are rare.
JUDGED_SEEDS = {"paused": range(8)}
DURATION_S = 40.0
FAULT_PLANS = {
    "mixed": FaultPlan(),
    "slow-store": FaultPlan(
        per_s=4.0,
        paths=4.0,
        path_states=(PathState.SLOW,),
        pauses=0.3,
        restarts=0.0,
        truncations=0.0,
    ),
    "paused": FaultPlan(
        per_s=5.0,
        pauses=4.0,
        path_states=(PathState.SLOW, PathState.CALM),
        clock_pauses=0.003,
    ),
    "restored": FaultPlan(
        per_s=4.0,
        restarts=1.0,
        truncations=3.0,
        path_states=(PathState.SLOW, PathState.LOSSY),
    ),
}


@functools.cache
def play(plan, seed):
    """Play one fleet and return what its callers were told."""
    fleet = PositionFleet(seed, FAULT_PLANS[plan])
    try:
        fleet.run(DURATION_S)
    finally:
        fleet.close()
    return fleet.oracle


# Guards against a result that was read at one VM and that another VM, asked a second
# later or more, said was not there; also against positions that differ between VMs.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("plan", FAULT_PLANS)
def test_no_vm_denies_later_what_was_read_at_another(plan, seed):
    oracle = play(plan, seed)
    assert oracle.broken() == []


# Guards against faults that leave the test above nothing to judge.
@pytest.mark.parametrize("plan", FAULT_PLANS)
def test_vms_deny_what_was_read_at_another_just_before(plan):
    oracles = [play(plan, seed) for seed in JUDGED_SEEDS.get(plan, SEEDS)]
    assert min(len(oracle.first_read_s) for oracle in oracles) > 50
    assert min(len(oracle.absences) for oracle in oracles) > 50
    assert max(oracle.greatest_lateness_s() for oracle in oracles) > 0.1
