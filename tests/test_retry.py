import pytest

from foxtailbank.exceptions import (
    DeadlineExceeded,
    EndpointFailed,
    OutcomeUnknown,
    Overloaded,
    Ran,
)
from foxtailbank.retry import (
    AttemptEnd,
    FailedAttempt,
    GiveUp,
    Resume,
    Retry,
    RetryPolicy,
)
from foxtailbank.retry_budget import RetryBudget


def decide(budget=None, **fields):
    policy = RetryPolicy(budget=budget or RetryBudget())
    return policy.decide(FailedAttempt(**fields), 1000)


@pytest.mark.parametrize(
    ("fields", "action"),
    [
        ({"end": AttemptEnd.NOT_ADMITTED, "idempotent": True}, Retry(after_ms=0)),
        ({"end": AttemptEnd.NOT_ADMITTED, "idempotent": False}, Retry(after_ms=0)),
        ({"end": AttemptEnd.NOT_CONNECTED, "idempotent": False}, Retry(after_ms=0)),
        ({"end": AttemptEnd.BROKEN, "idempotent": True}, Retry(after_ms=0)),
        (
            {"end": AttemptEnd.BROKEN, "idempotent": True, "attempts": 2},
            Retry(after_ms=25),
        ),
        (
            {"end": AttemptEnd.STALLED, "idempotent": True, "tokens_seen": 7},
            Resume(at_token=7),
        ),
    ],
)
def test_retries(fields, action):
    assert decide(**fields) == action


@pytest.mark.parametrize(
    ("fields", "error", "ran"),
    [
        ({"end": AttemptEnd.BROKEN, "idempotent": False}, OutcomeUnknown, Ran.UNKNOWN),
        (
            {"end": AttemptEnd.STALLED, "idempotent": False, "tokens_seen": 3},
            OutcomeUnknown,
            Ran.UNKNOWN,
        ),
        (
            {"end": AttemptEnd.NOT_ADMITTED, "idempotent": True, "attempts": 3},
            EndpointFailed,
            Ran.NO,
        ),
        (
            {"end": AttemptEnd.BROKEN, "idempotent": True, "deadline_ms": 900},
            DeadlineExceeded,
            Ran.UNKNOWN,
        ),
        (
            {"end": AttemptEnd.NOT_CONNECTED, "idempotent": True, "deadline_ms": 1000},
            DeadlineExceeded,
            Ran.NO,
        ),
        (
            {"end": AttemptEnd.BROKEN, "idempotent": True, "streamed_bytes": 10},
            EndpointFailed,
            Ran.UNKNOWN,
        ),
        (
            {"end": AttemptEnd.NOT_CONNECTED, "idempotent": True, "cancelled": True},
            EndpointFailed,
            Ran.NO,
        ),
    ],
)
def test_final_answers(fields, error, ran):
    action = decide(**fields)
    assert isinstance(action, GiveUp)
    assert type(action.error) is error
    assert action.error.ran is ran


@pytest.mark.parametrize(
    ("end", "error", "ran"),
    [
        (AttemptEnd.NOT_ADMITTED, Overloaded, Ran.NO),
        (AttemptEnd.BROKEN, EndpointFailed, Ran.UNKNOWN),
    ],
)
def test_used_up_budget_gives_a_final_answer_with_a_time(end, error, ran):
    budget = RetryBudget(floor_retries=0)
    action = decide(budget, end=end, idempotent=True)
    assert type(action.error) is error
    assert action.error.ran is ran
    assert action.error.retry_after_ms > 0
