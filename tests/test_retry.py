import pytest

from foxtailbank.exceptions import (
    DeadlineExceeded,
    EndpointFailed,
    OutcomeUnknown,
    Overloaded,
    Ran,
)
from foxtailbank.retry import (
    FailedAttempt,
    FailureKind,
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
        ({"kind": FailureKind.NOT_ADMITTED, "idempotent": True}, Retry(after_ms=0)),
        ({"kind": FailureKind.NOT_ADMITTED, "idempotent": False}, Retry(after_ms=0)),
        ({"kind": FailureKind.NOT_CONNECTED, "idempotent": False}, Retry(after_ms=0)),
        ({"kind": FailureKind.BROKEN, "idempotent": True}, Retry(after_ms=0)),
        (
            {"kind": FailureKind.BROKEN, "idempotent": True, "attempts": 2},
            Retry(after_ms=25),
        ),
        (
            {"kind": FailureKind.STALLED, "idempotent": True, "tokens_seen": 7},
            Resume(at_token=7),
        ),
    ],
)
def test_retries(fields, action):
    assert decide(**fields) == action


@pytest.mark.parametrize(
    ("fields", "error", "ran"),
    [
        (
            {"kind": FailureKind.BROKEN, "idempotent": False},
            OutcomeUnknown,
            Ran.UNKNOWN,
        ),
        (
            {"kind": FailureKind.STALLED, "idempotent": False, "tokens_seen": 3},
            OutcomeUnknown,
            Ran.UNKNOWN,
        ),
        (
            {"kind": FailureKind.NOT_ADMITTED, "idempotent": True, "attempts": 3},
            EndpointFailed,
            Ran.NO,
        ),
        (
            {"kind": FailureKind.BROKEN, "idempotent": True, "deadline_ms": 900},
            DeadlineExceeded,
            Ran.UNKNOWN,
        ),
        (
            {
                "kind": FailureKind.NOT_CONNECTED,
                "idempotent": True,
                "deadline_ms": 1000,
            },
            DeadlineExceeded,
            Ran.NO,
        ),
        (
            {"kind": FailureKind.BROKEN, "idempotent": True, "streamed_bytes": 10},
            EndpointFailed,
            Ran.UNKNOWN,
        ),
        (
            {"kind": FailureKind.NOT_CONNECTED, "idempotent": True, "cancelled": True},
            EndpointFailed,
            Ran.NO,
        ),
    ],
)
def test_final_errors(fields, error, ran):
    action = decide(**fields)
    assert isinstance(action, GiveUp)
    assert type(action.error) is error
    assert action.error.ran is ran


@pytest.mark.parametrize(
    ("kind", "error", "ran"),
    [
        (FailureKind.NOT_ADMITTED, Overloaded, Ran.NO),
        (FailureKind.BROKEN, EndpointFailed, Ran.UNKNOWN),
    ],
)
def test_exhausted_budget_gives_a_final_error_with_a_retry_time(kind, error, ran):
    budget = RetryBudget(min_retries=0)
    action = decide(budget, kind=kind, idempotent=True)
    assert type(action.error) is error
    assert action.error.ran is ran
    assert action.error.retry_after_ms > 0
