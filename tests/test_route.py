"""Choice of a route's service by weight."""

import collections
import random

import pytest

from foxtailbank.forward.route import Backend
from serving_fakes import make_route

DRAWS = 400


@pytest.mark.parametrize(
    ("weights", "expected"),
    [
        ((1,), {"s0"}),
        ((0,), {"s0"}),
        ((1, 0), {"s0"}),
        ((0, 0), {"s0", "s1"}),
        ((0.5, 0.5), {"s0", "s1"}),
        ((3, 1, 0), {"s0", "s1"}),
    ],
)
def test_services_are_drawn_by_weight(weights, expected):
    backends = tuple(
        Backend(service=f"s{number}", weight=weight)
        for number, weight in enumerate(weights)
    )
    route = make_route(backends=backends)
    rng = random.Random(7)
    drawn = collections.Counter(route.choose_service(rng) for _ in range(DRAWS))
    assert drawn.keys() == expected
