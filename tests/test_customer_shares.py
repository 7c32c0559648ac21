"""Customers share workers that are nearly full: excess is its sender's own cost.

Twenty customers of very different sizes use three quarters of 120 slots, over 60 VMs;
then one of them sends several times its usual, at three VMs only.
"""

import dataclasses

import pytest

from burst_fleet import BurstFleet
from foxtailbank.customers.customer import Customer
from foxtailbank.customers.share_allotment import Demand, allot, is_excess

VMS, WORKERS, SLOTS = 60, 15, 8
HOT_VMS = 3
RUN_MS = 800
USUAL_PER_S = 110.0  # 88 of 120 slots
SIZES = tuple(1 / rank**1.2 for rank in range(1, 21))
USUAL_BY_NAME = {
    f"c{number}": USUAL_PER_S * size / sum(SIZES) for number, size in enumerate(SIZES)
}
LARGEST, LARGE = "c0", "c1"  # 34% and 15% of all
SEEDS = (1, 2, 3)
LIMIT_FACTOR = 1.6  # a limit leaves room above the usual
FROM_MS, UNTIL_MS, END_MS = 2_000, 8_000, 10_000
MAX_WAIT_MS = 150


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pattern:
    """Factors on the usual load from `FROM_MS` to `UNTIL_MS`, and who sends it."""

    hot: str = LARGE
    hot_factor: float = 1.0
    other_factor: float = 1.0
    low_priority: tuple[str, ...] = ()
    report_loss: float = 0.0
    has_rates: bool = True


def make_customers(pattern):
    return tuple(
        Customer(
            name=name,
            priority=int(name in pattern.low_priority),
            rate_per_s=LIMIT_FACTOR * usual if pattern.has_rates else 0.0,
        )
        for name, usual in USUAL_BY_NAME.items()
    )


def play(pattern, *, seed=1):
    fleet = BurstFleet(
        vms=VMS,
        workers=WORKERS,
        slots=SLOTS,
        seed=seed,
        report_loss=pattern.report_loss,
        customers=make_customers(pattern),
    )
    for name, usual in USUAL_BY_NAME.items():
        at_ms = 0.0
        while at_ms < END_MS:
            factor = pattern.hot_factor if name == pattern.hot else pattern.other_factor
            is_hot = FROM_MS <= at_ms < UNTIL_MS
            rate = usual * factor if is_hot else usual
            at_ms += fleet.rng.expovariate(rate) * 1_000
            run_ms = RUN_MS * fleet.rng.uniform(0.7, 1.3)
            is_at_few = name == pattern.hot and pattern.hot_factor > 1
            vms = fleet.vms[:HOT_VMS] if is_at_few else ()
            fleet.add_online(at_ms, run_ms, customer=name, vms=vms)
    fleet.play(until_ms=END_MS + 3_000)
    return fleet


def share_badly_served(online):
    """Return the share that waited for long, or was refused twice."""
    waits_ms = [one.first_wait_ms for one in online]
    return sum(wait is None or wait > MAX_WAIT_MS for wait in waits_ms) / len(waits_ms)


def served_share(online):
    return sum(one.done_ms is not None for one in online) / len(online)


def of(fleet, *names):
    return [one for one in fleet.online if one.customer in names]


def others(fleet, *names):
    return [one for one in fleet.online if one.customer not in names]


# Guards against a customer with 3 to 7 times its usual that takes the others' slots,
# also while reports get lost. Where no rates are known all weigh the same, and the
# largest customer is above its part too.
@pytest.mark.parametrize(
    ("pattern", "above"),
    [
        pytest.param(Pattern(hot=LARGEST, hot_factor=3), {LARGEST}, id="3-times"),
        pytest.param(Pattern(hot_factor=7), {LARGE}, id="7-times"),
        pytest.param(
            Pattern(hot_factor=7, report_loss=0.2),
            {LARGE},
            id="a-fifth-of-reports-lost",
        ),
        pytest.param(
            Pattern(hot_factor=7, has_rates=False), {LARGE, LARGEST}, id="no-rates"
        ),
    ],
)
def test_a_hot_customer_at_three_vms_pays_for_its_own_excess(pattern, above):
    fleets = [play(pattern, seed=seed) for seed in SEEDS]
    others = [one for f in fleets for one in f.online if one.customer not in above]
    assert share_badly_served(others) <= 0.02
    for fleet in fleets:
        hot = of(fleet, pattern.hot)
        usual = USUAL_BY_NAME[pattern.hot] * END_MS / 1_000
        assert served_share(hot) * len(hot) >= 0.9 * usual
        assert served_share(hot) >= served_share(fleet.online) / 4


# Guards against refusals while every customer is at its usual.
def test_nobody_is_refused_at_the_usual_load():
    online = [one for seed in SEEDS for one in play(Pattern(), seed=seed).online]
    assert sum(one.refusals > 0 for one in online) <= 0.005 * len(online)


# Guards against low priorities that take slots of high ones, or starve beside them.
def test_low_priority_yields_under_overload_and_is_not_starved():
    low = tuple(f"c{number}" for number in range(0, 20, 2))
    fleet = play(Pattern(hot_factor=1.5, other_factor=1.5, low_priority=low))
    high_bad = share_badly_served(others(fleet, *low))
    assert high_bad <= 0.1
    assert share_badly_served(of(fleet, *low)) >= 2 * high_bad
    for name in low:
        assert served_share(of(fleet, name)) >= served_share(fleet.online) / 4


def make_demands(*rows):
    return [
        Demand(name=name, priority=priority, weight=weight, in_flight=in_flight)
        for name, priority, weight, in_flight in rows
    ]


@pytest.mark.parametrize(
    ("rows", "expected"),
    [
        pytest.param([("a", 0, 1, 3), ("b", 0, 1, 4)], [3, 4], id="room-for-all"),
        pytest.param([("a", 0, 1, 30), ("b", 0, 1, 2)], [8, 2], id="one-leaves-room"),
        pytest.param([("a", 0, 1, 30), ("b", 0, 4, 30)], [2, 8], id="by-weight"),
        pytest.param([("a", 1, 1, 30), ("b", 0, 1, 30)], [2.5, 7.5], id="by-priority"),
        pytest.param(
            [("a", 2, 1, 30), ("b", 0, 1, 4)], [6, 4], id="low-takes-the-rest"
        ),
    ],
)
def test_ten_slots_are_divided(rows, expected):
    shares = allot(10, make_demands(*rows))
    assert [shares[row[0]] for row in rows] == pytest.approx(expected)


@pytest.mark.parametrize(
    ("in_flight", "share", "expected"),
    [
        pytest.param(2, 0.1, False, id="few-requests"),
        pytest.param(3, 0.1, True, id="many-for-its-share"),
        pytest.param(14, 10, False, id="ordinary-variation"),
        pytest.param(30, 10, True, id="3-times"),
    ],
)
def test_excess_is_more_than_variation(in_flight, share, expected):
    assert is_excess(in_flight, share) is expected
