"""Avoidance of workers that fail some requests but report themselves healthy."""

import random

import pytest

from foxtailbank.fleet.worker_health import (
    ERROR_PAUSE_MS,
    FIRST_PAUSE_MS,
    WorkerHealth,
)

STEP_MS = 50  # between two requests to one worker
SPAN_MS = 20_000


def share_of_time_used(error_share, seed=3):
    """Return the share of time in which a worker with an error share is used."""
    health = WorkerHealth()
    rng = random.Random(seed)
    used = 0
    for now_ms in range(0, SPAN_MS, STEP_MS):
        if health.is_avoided("w", now_ms):
            continue
        used += 1
        if rng.random() < error_share:
            health.on_error("w", now_ms)
        else:
            health.on_success("w")
    return used / (SPAN_MS / STEP_MS)


@pytest.mark.parametrize(
    ("error_share", "least", "most"),
    [
        pytest.param(0.0, 1.0, 1.0, id="healthy"),
        pytest.param(0.02, 0.9, 1.0, id="rare-errors"),
        pytest.param(0.45, 0.0, 0.35, id="fails-often"),
        pytest.param(1.0, 0.0, 0.1, id="fails-always"),
    ],
)
def test_a_worker_is_used_less_the_more_it_fails(error_share, least, most):
    assert least <= share_of_time_used(error_share) <= most


def test_worker_is_avoided_after_two_consecutive_errors():
    health = WorkerHealth()
    assert not health.on_error("w", 0)
    assert not health.is_avoided("w", 0)
    assert health.on_error("w", 0)
    assert health.is_avoided("w", ERROR_PAUSE_MS - 1)
    assert not health.is_avoided("w", ERROR_PAUSE_MS)
    assert not health.is_avoided("other", 0)


def test_pause_grows_with_lost_connections_until_a_success():
    health = WorkerHealth()
    assert health.on_failure("w", 0) == FIRST_PAUSE_MS
    assert health.on_failure("w", FIRST_PAUSE_MS) == 2 * FIRST_PAUSE_MS
    assert health.on_success("w")
    assert health.on_failure("w", 10_000) == FIRST_PAUSE_MS
    health.forget("w")
    assert not health.is_avoided("w", 10_000)
