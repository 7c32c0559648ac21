"""Decides how to proceed after a failed attempt."""

import dataclasses
import enum

from foxtailbank.exceptions import (
    DeadlineExceeded,
    EndpointFailed,
    FoxtailbankError,
    OutcomeUnknown,
    Overloaded,
    Ran,
)
from foxtailbank.retry_budget import RetryBudget

MAX_ATTEMPTS = 3
INITIAL_BACKOFF_MS = 25
GIVE_UP_RETRY_MS = 1000


class FailureKind(enum.Enum):
    """How an attempt failed.

    Attributes
    ----------
    NOT_ADMITTED
        The endpoint reported that it did not admit the request.
    NOT_CONNECTED
        No byte of the request reached the endpoint.
    BROKEN
        The connection broke after the request was sent.
    STALLED
        The response stream stalled.
    """

    NOT_ADMITTED = "not_admitted"
    NOT_CONNECTED = "not_connected"
    BROKEN = "broken"
    STALLED = "stalled"


@dataclasses.dataclass(frozen=True, kw_only=True)
class FailedAttempt:
    """A failed attempt and the state of its request.

    Attributes
    ----------
    kind : FailureKind
        How the attempt failed.
    idempotent : bool
        Whether the request may safely run more than once.
    tokens_seen : int
        Number of response tokens received by this VM.
    streamed_bytes : int
        Bytes sent to the caller of a response without token indices, which cannot
        be resumed.
    attempts : int
        Number of attempts so far, including this one.
    deadline_ms : int or None
        Deadline for the complete response, on the same clock as ``now_ms``.
    cancelled : bool
        Whether the caller has disconnected.
    """

    kind: FailureKind
    idempotent: bool
    tokens_seen: int = 0
    streamed_bytes: int = 0
    attempts: int = 1
    deadline_ms: int | None = None
    cancelled: bool = False

    @property
    def ran(self) -> Ran:
        """Whether the request may have run."""
        if self.kind in (FailureKind.NOT_ADMITTED, FailureKind.NOT_CONNECTED):
            return Ran.NO
        return Ran.UNKNOWN


@dataclasses.dataclass(frozen=True, kw_only=True)
class Retry:
    """Send the request to another endpoint.

    Attributes
    ----------
    after_ms : int
        Delay before the retry, in milliseconds.
    """

    after_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Resume:
    """Resume the stream on another endpoint or a new connection.

    Attributes
    ----------
    at_token : int
        Index of the first token to request.
    """

    at_token: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class GiveUp:
    """Stop retrying and return an error to the caller.

    Attributes
    ----------
    error : FoxtailbankError
        Error to return.
    """

    error: FoxtailbankError


RetryAction = Retry | Resume | GiveUp


class RetryPolicy:
    """Decides on retries within a retry budget.

    Parameters
    ----------
    budget : RetryBudget
        Limit on retries as a percentage of requests.
    max_attempts : int
        Maximum number of attempts per request.
    backoff_ms : int
        Delay before the second retry, in milliseconds; it doubles with each further
        one. The first retry is sent immediately, to another endpoint.
    """

    def __init__(
        self,
        *,
        budget: RetryBudget,
        max_attempts: int = MAX_ATTEMPTS,
        backoff_ms: int = INITIAL_BACKOFF_MS,
    ) -> None:
        self._budget = budget
        self._max_attempts = max_attempts
        self._backoff_ms = backoff_ms

    def decide(self, attempt: FailedAttempt, now_ms: int) -> RetryAction:
        """Return the action to take after a failed attempt.

        Parameters
        ----------
        attempt : FailedAttempt
            The failed attempt.
        now_ms : int
            Current time in milliseconds.
        """
        error = self._final_error(attempt, now_ms)
        if error is not None:
            return GiveUp(error=error)
        if not self._budget.try_retry(now_ms):
            return GiveUp(error=self._budget_error(attempt, now_ms))
        if attempt.tokens_seen:
            return Resume(at_token=attempt.tokens_seen)
        return Retry(after_ms=self._delay_ms(attempt.attempts))

    def _final_error(
        self, attempt: FailedAttempt, now_ms: int
    ) -> FoxtailbankError | None:
        if not attempt.idempotent and attempt.ran is Ran.UNKNOWN:
            return OutcomeUnknown(
                detail="the request may have run and is not idempotent"
            )
        if attempt.cancelled:
            return EndpointFailed(detail="the caller disconnected", ran=attempt.ran)
        if attempt.streamed_bytes and not attempt.tokens_seen:
            return EndpointFailed(
                detail="the response was interrupted after part of it was sent",
                ran=attempt.ran,
            )
        if attempt.attempts >= self._max_attempts:
            return EndpointFailed(
                detail=f"{attempt.attempts} attempts failed",
                retry_after_ms=GIVE_UP_RETRY_MS,
                ran=attempt.ran,
            )
        due_ms = now_ms + self._delay_ms(attempt.attempts)
        if attempt.deadline_ms is not None and due_ms >= attempt.deadline_ms:
            return DeadlineExceeded(ran=attempt.ran)
        return None

    def _budget_error(self, attempt: FailedAttempt, now_ms: int) -> FoxtailbankError:
        wait_ms = max(1, self._budget.wait_ms(now_ms))
        if attempt.ran is Ran.NO:
            return Overloaded(detail="retry budget exhausted", retry_after_ms=wait_ms)
        return EndpointFailed(detail="retry budget exhausted", retry_after_ms=wait_ms)

    def _delay_ms(self, attempts: int) -> int:
        if attempts <= 1:
            return 0
        return self._backoff_ms * 2 ** (attempts - 2)
