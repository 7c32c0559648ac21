import heapq
import random

import pytest

from foxtailbank.overload import OverloadControl, PoolLoad

SERVICE_MS = 1000
SLOTS = 10


def check(control, in_flight, *, first_token_ms=500, deadline_ms=None, now_ms=0):
    return control.check(
        PoolLoad(slots=SLOTS, in_flight=in_flight),
        first_token_ms=first_token_ms,
        deadline_ms=deadline_ms,
        now_ms=now_ms,
    )


@pytest.mark.parametrize(
    ("in_flight", "deadline_ms", "refused"),
    [
        (0, None, False),
        (9, None, False),
        (14, None, False),
        (15, None, True),
        (0, 900, True),
        (0, 1001, False),
        (12, 1200, True),
        (0, -1, True),
    ],
)
def test_refusal_by_expected_wait(in_flight, deadline_ms, refused):
    refusal = check(OverloadControl(), in_flight, deadline_ms=deadline_ms)
    assert (refusal is not None) == refused
    if refusal is not None:
        assert refusal.error().retry_after_ms > 0


def goodput(load_factor, control, service):
    """Return the requests per second that a pool with a queue starts in time."""
    rng = random.Random(7)
    rate_per_ms = load_factor * SLOTS / SERVICE_MS
    ends, now_ms, good, queue_free_ms = [], 0.0, 0, [0.0] * SLOTS
    while now_ms < 120_000:
        now_ms += rng.expovariate(rate_per_ms)
        while ends and ends[0] <= now_ms:
            heapq.heappop(ends)
        load = PoolLoad(slots=SLOTS, in_flight=len(ends))
        if control and check(control, len(ends), now_ms=int(now_ms)):
            continue
        starts_ms = max(now_ms, heapq.heappop(queue_free_ms))
        service_ms = service(rng)
        heapq.heappush(queue_free_ms, starts_ms + service_ms)
        heapq.heappush(ends, starts_ms + service_ms)
        if control:
            expected_ms = control.expected_wait_ms(load)
            wait_ms = starts_ms - now_ms
            control.on_first_token(expected_wait_ms=expected_ms, wait_ms=wait_ms)
            control.on_end(service_ms)
        good += starts_ms - now_ms <= 500
    return good / 120


@pytest.mark.parametrize(
    "service",
    [lambda rng: SERVICE_MS, lambda rng: rng.expovariate(1 / SERVICE_MS)],
    ids=["clustered", "exponential"],
)
def test_goodput_at_three_times_capacity_stays_near_the_peak(service):
    loads = (0.8, 1.0, 1.2, 1.5)
    peak = max(goodput(load, OverloadControl(), service) for load in loads)
    assert goodput(3.0, OverloadControl(), service) >= 0.9 * peak
    assert goodput(3.0, None, service) < 0.5 * peak
