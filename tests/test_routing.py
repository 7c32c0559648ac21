import random

import pytest

from foxtailbank.breaker import BreakerState
from foxtailbank.endpoint_view import EndpointView
from foxtailbank.isolation import Isolation
from foxtailbank.routing import (
    LeastLoadedRouter,
    PrefixAffinityRouter,
    RoundRobinRouter,
    RouteRequest,
)
from foxtailbank.sentinels import Missing


def least_loaded(**kwargs):
    return LeastLoadedRouter(rng=random.Random(1), **kwargs)


def prefix_affinity(**kwargs):
    return PrefixAffinityRouter(fallback=least_loaded(), **kwargs)


@pytest.mark.parametrize("make", [least_loaded, prefix_affinity, RoundRobinRouter])
@pytest.mark.parametrize(
    ("view_fields", "request_fields"),
    [
        ({"draining": True}, {}),
        ({"reserved": True}, {}),
        ({"health": BreakerState.OPEN}, {}),
        ({}, {"tried": frozenset({"a"})}),
        ({"suspect": True}, {"isolation": Isolation.SOLE_SUSPECT}),
        ({"online_in_flight": 1}, {"isolation": Isolation.EXCLUSIVE}),
        ({"batch_in_flight": 1}, {"isolation": Isolation.EXCLUSIVE}),
        ({}, {"isolation": Isolation.REFUSED}),
    ],
)
def test_ineligible_endpoint_is_never_chosen(make, view_fields, request_fields):
    request = RouteRequest(prefix_digest=7, **request_fields)
    view = EndpointView(endpoint_id="a", **view_fields)
    chosen = make().choose(request, [view], 0)
    assert isinstance(chosen, Missing)


@pytest.mark.parametrize(
    ("local_load", "chosen_zone"), [(0, "a"), (4, "a"), (5, "b"), (50, "b")]
)
def test_local_zone_is_preferred_up_to_a_load_excess(local_load, chosen_zone):
    views = [
        EndpointView(endpoint_id="1", zone="a", online_in_flight=local_load),
        EndpointView(endpoint_id="2", zone="b"),
    ]
    router = least_loaded(zone_excess_streams=4)
    chosen = router.choose(RouteRequest(zone="a"), views, 0)
    assert chosen.zone == chosen_zone


def test_equal_prefixes_share_an_endpoint_up_to_the_load_bound():
    views = [EndpointView(endpoint_id=str(n), online_in_flight=4) for n in range(5)]
    router = prefix_affinity()
    request = RouteRequest(prefix_digest=12345)
    preferred = router.choose(request, views, 0)
    assert router.choose(request, views, 0) == preferred
    busy = [
        EndpointView(endpoint_id=view.endpoint_id, online_in_flight=40)
        if view == preferred
        else view
        for view in views
    ]
    assert router.choose(request, busy, 0).endpoint_id != preferred.endpoint_id


def test_half_open_endpoint_is_probed_when_no_other_is_eligible():
    view = EndpointView(endpoint_id="a", health=BreakerState.HALF_OPEN)
    assert least_loaded().choose(RouteRequest(), [view], 0) == view


@pytest.mark.parametrize("make", [least_loaded, prefix_affinity, RoundRobinRouter])
def test_only_eligible_endpoint_of_a_large_pool_is_found(make):
    views = [EndpointView(endpoint_id=str(n), draining=n != 1234) for n in range(2000)]
    chosen = make().choose(RouteRequest(prefix_digest=9), views, 0)
    assert chosen.endpoint_id == "1234"


def test_equal_prefixes_share_an_endpoint_when_a_large_pool_changes():
    views = [EndpointView(endpoint_id=str(n)) for n in range(2000)]
    request = RouteRequest(prefix_digest=77)
    chosen = prefix_affinity().choose(request, views, 0)
    others = [view for view in views[100:] if view != chosen]
    assert prefix_affinity().choose(request, [*others, chosen], 0) == chosen


def test_sampled_choices_keep_a_large_pool_balanced():
    router = least_loaded()
    loads = [0] * 500
    views = [EndpointView(endpoint_id=str(n)) for n in range(500)]
    for _ in range(2500):
        chosen = router.choose(RouteRequest(), views, 0)
        number = int(chosen.endpoint_id)
        loads[number] += 1
        views[number] = EndpointView(
            endpoint_id=chosen.endpoint_id, online_in_flight=loads[number]
        )
    assert max(loads) <= 6
