"""Copies of what decides on online requests, to be asked without an effect.

A decision draws from generators of random numbers, counts its request, and brings
levels up to the present time. On a copy the same code does so without an effect on the
decisions on real requests.
"""

import copy
import dataclasses
import random

from foxtailbank.fleet.placement import Placement
from foxtailbank.forward.fleet_state import FleetState
from foxtailbank.forward.forward_context import ForwardContext


def fork_context(context: ForwardContext, rng: random.Random) -> ForwardContext:
    """Return a copy that draws from another generator; nothing may be sent with it."""
    relay = context.relay.fork(rng) if context.relay is not None else None
    fleet = fork_fleet(context.fleet, rng)
    return dataclasses.replace(context, fleet=fleet, relay=relay, rng=rng)


def fork_fleet(fleet: FleetState, rng: random.Random) -> FleetState:
    """Return a copy whose `placement`, `shares` and `crashes` may be asked.

    Workers, loads, health and speeds are those of the original.
    """
    fork = copy.copy(fleet)
    fork.tiers = fleet.tiers.fork(rng)
    fork.limits = fleet.limits.fork()
    fork.view = fleet.view.fork(tiers=fork.tiers, limits=fork.limits)
    fork.crashes = fleet.crashes.fork()
    fork.customer_loads = fleet.customer_loads.fork()
    fork.shares = fleet.shares.fork(loads=fork.customer_loads, view=fork.view)
    fork.placement = Placement(view=fork.view, speeds=fleet.speeds, rng=rng)
    return fork
