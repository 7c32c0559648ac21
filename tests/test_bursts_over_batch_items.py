"""Bursts of five times the online load over a backlog of long batch items.

79 VMs and 30 workers with 210 slots. For three seconds of five, online requests use a
fifth of the slots; then a burst needs nearly all. Fifteen items a second, of five
seconds each, have 18 s. Neither kind may wait while slots are held for the other.
"""

import pytest

from burst_fleet import BurstFleet

TROUGH_MS = 3_000
WAVE_MS = 5_200
WAVES = 4
CALM_PER_S, BURST_PER_S = 50, 225
ONLINE_RUN_MS = 800
ITEM_RUN_MS = 5_000
ITEMS_PER_S = 15
ITEM_DUE_MS = 18_000
MAX_ONLINE_WAIT_MS = 150  # half of the target


def online_rate(at_ms):
    return CALM_PER_S if at_ms % WAVE_MS < TROUGH_MS else BURST_PER_S


def play(*, seed):
    fleet = BurstFleet(seed=seed)
    end_ms = WAVES * WAVE_MS
    at_ms = 0.0
    while at_ms < end_ms:
        at_ms += fleet.rng.expovariate(online_rate(at_ms)) * 1_000
        fleet.add_online(at_ms, ONLINE_RUN_MS * fleet.rng.uniform(0.7, 1.3))
    for second in range(0, end_ms // 1_000, 1):
        run_ms = ITEM_RUN_MS * fleet.rng.uniform(0.8, 1.2)
        fleet.add_items(second * 1_000.0, ITEMS_PER_S, run_ms)
    fleet.play(until_ms=end_ms + ITEM_DUE_MS)
    return fleet


def share_in_time(items):
    done = [item for item in items if item.done_ms is not None]
    in_time = [item for item in done if item.done_ms - item.arrived_ms <= ITEM_DUE_MS]
    return len(in_time) / len(items)


def share_served_late(online):
    waits_ms = [one.first_wait_ms for one in online]
    late = [wait is None or wait > MAX_ONLINE_WAIT_MS for wait in waits_ms]
    return sum(late) / len(online)


# Guards against items that wait beside idle slots between two bursts, and against
# online requests that wait in a burst for items to end.
@pytest.mark.parametrize("seed", [1, 2])
def test_items_end_in_time_and_online_requests_find_slots(seed):
    fleet = play(seed=seed)
    assert share_in_time(fleet.items) >= 0.9
    assert share_served_late(fleet.online) <= 0.02
