"""Divides slots among customers: by priority, fairly by weight, and none starves.

Meant for workers that are nearly full while one customer sends many times its usual.
What a customer leaves of its part goes to the others.
"""

import dataclasses
import itertools
import math
import typing as t

# Of a customer's part by weight; it is kept for it whatever its priority. Twice what
# counts as starved, a quarter of what others get.
FLOOR_SHARE = 0.5
VARIATION_FACTOR = 1.5  # times the square root of a share; ordinary arrivals vary so
MIN_EXCESS_IN_FLIGHT = 3  # so few requests of a customer are no excess


@dataclasses.dataclass(frozen=True, kw_only=True)
class Demand:
    """Slots that a customer uses.

    Attributes
    ----------
    name : str
        The customer.
    priority : int
        Its priority; 0 is the highest.
    weight : float
        Its part relative to the others; above 0.
    in_flight : int
        Its requests in flight.
    """

    name: str
    priority: int
    weight: float
    in_flight: int


def allot(slots: float, demands: t.Sequence[Demand]) -> dict[str, float]:
    """Return the share of each customer, at most what it uses.

    Parameters
    ----------
    slots : float
        Slots to divide.
    demands : sequence of Demand
        Customers that use slots.

    Returns
    -------
    dict of str to float
        Slots by customer. Each has `FLOOR_SHARE` of its part by weight; the rest goes
        to the highest priority first, and within one by weighted max-min fairness.
    """
    total_weight = sum(demand.weight for demand in demands)
    floor_by_name = {
        demand.name: min(
            demand.in_flight, FLOOR_SHARE * slots * demand.weight / total_weight
        )
        for demand in demands
    }
    rest = slots - sum(floor_by_name.values())
    share_by_name: dict[str, float] = {}
    in_order = sorted(demands, key=lambda demand: demand.priority)
    for _, group in itertools.groupby(in_order, key=lambda demand: demand.priority):
        members = list(group)
        floor = sum(floor_by_name[demand.name] for demand in members)
        shares = _fill(rest + floor, members)
        rest -= sum(shares.values()) - floor
        share_by_name |= shares
    return share_by_name


def is_excess(in_flight: int, share: float) -> bool:
    """Return whether one more request would be excess, beyond ordinary variation."""
    allowed = share + VARIATION_FACTOR * math.sqrt(share)
    return in_flight >= max(MIN_EXCESS_IN_FLIGHT, allowed)


def _fill(slots: float, demands: t.Sequence[Demand]) -> dict[str, float]:
    """Divide slots by weighted max-min fairness: the smallest demands are met first."""
    weight = sum(demand.weight for demand in demands)
    shares = {}
    for demand in sorted(demands, key=lambda one: one.in_flight / one.weight):
        share = min(demand.in_flight, slots * demand.weight / weight)
        shares[demand.name] = share
        slots -= share
        weight -= demand.weight
    return shares
