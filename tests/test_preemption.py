import pytest

from foxtailbank.preemption import (
    BatchStream,
    LatestDeadline,
    LeastProgress,
    LeastWaste,
    MostRemaining,
)

STREAMS = [
    BatchStream(
        stream_id="new",
        deadline_ms=5000,
        prompt_tokens=100,
        generated_tokens=0,
        expected_tokens=50,
    ),
    BatchStream(
        stream_id="far",
        deadline_ms=9000,
        prompt_tokens=100,
        generated_tokens=90,
        expected_tokens=100,
    ),
    BatchStream(
        stream_id="long",
        deadline_ms=5000,
        prompt_tokens=100,
        generated_tokens=50,
        expected_tokens=900,
    ),
]


@pytest.mark.parametrize(
    ("policy", "order"),
    [
        (LeastProgress(), ["new", "long", "far"]),
        (LatestDeadline(), ["far", "new", "long"]),
        (MostRemaining(), ["long", "new", "far"]),
        (LeastWaste(), ["long", "new", "far"]),
    ],
)
def test_order_of_cancellation(policy, order):
    assert [stream.stream_id for stream in policy.choose(STREAMS, 3)] == order
    assert len(policy.choose(STREAMS, 1)) == 1
    assert policy.choose([], 2) == ()
