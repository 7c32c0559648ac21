import random

import pytest

from foxtailbank.adaptive_batch_limit import AdaptiveBatchLimit
from foxtailbank.batch_limit import StaticBatchLimit, UnlimitedBatchLimit
from foxtailbank.policies import make_batch_limit, make_router
from foxtailbank.routing import (
    LeastLoadedRouter,
    PrefixAffinityRouter,
    RoundRobinRouter,
)
from foxtailbank.settings_sections import (
    BatchLimitChoice,
    PolicySection,
    RouterChoice,
)


@pytest.mark.parametrize(
    ("fields", "router", "limit"),
    [
        ({}, PrefixAffinityRouter, AdaptiveBatchLimit),
        (
            {
                "router": RouterChoice.LEAST_LOADED,
                "batch_limit": BatchLimitChoice.STATIC,
            },
            LeastLoadedRouter,
            StaticBatchLimit,
        ),
        (
            {"router": RouterChoice.FIFO, "batch_limit": BatchLimitChoice.UNLIMITED},
            RoundRobinRouter,
            UnlimitedBatchLimit,
        ),
    ],
)
def test_settings_choose_policies(fields, router, limit):
    policy = PolicySection(**fields)
    assert isinstance(make_router(policy, rng=random.Random(1)), router)
    assert isinstance(make_batch_limit(policy), limit)


def test_static_limit_is_the_number_given():
    policy = PolicySection(batch_limit=BatchLimitChoice.STATIC, static_batch_streams=5)
    assert make_batch_limit(policy).limit(0) == 5
