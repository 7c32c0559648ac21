import random

import pytest

from foxtailbank.breaker import BreakerState
from foxtailbank.endpoint_view import EndpointView
from foxtailbank.isolation import Isolation
from foxtailbank.routing import (
    FifoRouter,
    LeastLoadedRouter,
    PrefixAffinityRouter,
    RouteRequest,
)
from foxtailbank.sentinels import Missing


def least_loaded(**kwargs):
    return LeastLoadedRouter(rng=random.Random(1), **kwargs)


def affinity(**kwargs):
    return PrefixAffinityRouter(fallback=least_loaded(), **kwargs)


@pytest.mark.parametrize("make", [least_loaded, affinity, FifoRouter])
@pytest.mark.parametrize(
    ("unfit", "request_fields"),
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
def test_unfit_endpoint_is_never_chosen(make, unfit, request_fields):
    request = RouteRequest(prefix_digest=7, **request_fields)
    view = EndpointView(endpoint_id="a", **unfit)
    chosen = make().choose(request, [view], 0)
    assert isinstance(chosen, Missing)


@pytest.mark.parametrize(
    ("own_load", "chosen_zone"), [(0, "a"), (4, "a"), (5, "b"), (50, "b")]
)
def test_own_zone_first_up_to_a_bound(own_load, chosen_zone):
    views = [
        EndpointView(endpoint_id="1", zone="a", online_in_flight=own_load),
        EndpointView(endpoint_id="2", zone="b"),
    ]
    router = least_loaded(zone_excess_streams=4)
    chosen = router.choose(RouteRequest(zone="a"), views, 0)
    assert chosen.zone == chosen_zone


def test_equal_prefixes_meet_until_the_load_bound():
    views = [EndpointView(endpoint_id=str(n), online_in_flight=4) for n in range(5)]
    router = affinity()
    request = RouteRequest(prefix_digest=12345)
    affine = router.choose(request, views, 0)
    assert router.choose(request, views, 0) == affine
    busy = [
        EndpointView(endpoint_id=view.endpoint_id, online_in_flight=40)
        if view == affine
        else view
        for view in views
    ]
    assert router.choose(request, busy, 0).endpoint_id != affine.endpoint_id


def test_half_open_endpoint_gets_a_probe_when_no_other_is_left():
    view = EndpointView(endpoint_id="a", health=BreakerState.HALF_OPEN)
    assert least_loaded().choose(RouteRequest(), [view], 0) == view


@pytest.mark.parametrize("make", [least_loaded, affinity, FifoRouter])
def test_the_only_fit_endpoint_of_a_large_pool_is_found(make):
    views = [EndpointView(endpoint_id=str(n), draining=n != 1234) for n in range(2000)]
    chosen = make().choose(RouteRequest(prefix_digest=9), views, 0)
    assert chosen.endpoint_id == "1234"


def test_equal_prefixes_meet_in_a_large_pool_though_others_come_and_go():
    views = [EndpointView(endpoint_id=str(n)) for n in range(2000)]
    request = RouteRequest(prefix_digest=77)
    chosen = affinity().choose(request, views, 0)
    others = [view for view in views[100:] if view != chosen]
    assert affinity().choose(request, [*others, chosen], 0) == chosen


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
