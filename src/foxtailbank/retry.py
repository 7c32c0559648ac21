"""What to do after an attempt failed."""

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
FIRST_BACKOFF_MS = 25
GIVE_UP_RETRY_MS = 1000


class AttemptEnd(enum.Enum):
    """How an attempt failed.

    Attributes
    ----------
    NOT_ADMITTED
        The endpoint said that it did not admit the request.
    NOT_CONNECTED
        No byte of the request reached the endpoint.
    BROKEN
        The connection broke after the request was sent.
    STALLED
        The stream stalled.
    """

    NOT_ADMITTED = "not_admitted"
    NOT_CONNECTED = "not_connected"
    BROKEN = "broken"
    STALLED = "stalled"


@dataclasses.dataclass(frozen=True, kw_only=True)
class FailedAttempt:
    """A failed attempt and the request that it belongs to.

    Attributes
    ----------
    end : AttemptEnd
        How it failed.
    idempotent : bool
        Whether the request may run more than once.
    tokens_seen : int
        Tokens of the answer that reached this VM.
    streamed_bytes : int
        Bytes of an answer without token indices that were passed to the caller.
    attempts : int
        Attempts so far, this one included.
    deadline_ms : int or None
        When the whole answer is due, on the scale of ``now_ms``.
    cancelled : bool
        Whether the caller has gone.
    """

    end: AttemptEnd
    idempotent: bool
    tokens_seen: int = 0
    streamed_bytes: int = 0
    attempts: int = 1
    deadline_ms: int | None = None
    cancelled: bool = False

    @property
    def ran(self) -> Ran:
        """Whether the request may have run."""
        if self.end in (AttemptEnd.NOT_ADMITTED, AttemptEnd.NOT_CONNECTED):
            return Ran.NO
        return Ran.UNKNOWN


@dataclasses.dataclass(frozen=True, kw_only=True)
class Retry:
    """Send the request to another endpoint.

    Attributes
    ----------
    after_ms : int
        Pause before it, in milliseconds.
    """

    after_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Resume:
    """Continue the stream on another endpoint or a new connection.

    Attributes
    ----------
    at_token : int
        Index of the first token wanted.
    """

    at_token: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class GiveUp:
    """Answer the caller now.

    Attributes
    ----------
    error : FoxtailbankError
        The final answer.
    """

    error: FoxtailbankError


RetryAction = Retry | Resume | GiveUp


class RetryPolicy:
    """Decides on retries within a budget.

    Parameters
    ----------
    budget : RetryBudget
        Bound on retries as a share of traffic.
    max_attempts : int
        Attempts that one request may have.
    backoff_ms : int
        Pause before the second retry, in milliseconds; it doubles with each one. The
        first retry goes out at once, to another endpoint.
    """

    def __init__(
        self,
        *,
        budget: RetryBudget,
        max_attempts: int = MAX_ATTEMPTS,
        backoff_ms: int = FIRST_BACKOFF_MS,
    ) -> None:
        self._budget = budget
        self._max_attempts = max_attempts
        self._backoff_ms = backoff_ms

    def decide(self, attempt: FailedAttempt, now_ms: int) -> RetryAction:
        """Return what to do about a failed attempt.

        Parameters
        ----------
        attempt : FailedAttempt
            The attempt.
        now_ms : int
            Present time in milliseconds.
        """
        error = self._final_error(attempt, now_ms)
        if error is not None:
            return GiveUp(error=error)
        if not self._budget.try_retry(now_ms):
            return GiveUp(error=self._no_budget(attempt, now_ms))
        if attempt.tokens_seen:
            return Resume(at_token=attempt.tokens_seen)
        return Retry(after_ms=self._pause_ms(attempt.attempts))

    def _final_error(
        self, attempt: FailedAttempt, now_ms: int
    ) -> FoxtailbankError | None:
        if not attempt.idempotent and attempt.ran is Ran.UNKNOWN:
            return OutcomeUnknown(detail="the request may have run; it is not repeated")
        if attempt.cancelled:
            return EndpointFailed(detail="the caller has gone", ran=attempt.ran)
        if attempt.streamed_bytes and not attempt.tokens_seen:
            return EndpointFailed(detail="the answer broke off", ran=attempt.ran)
        if attempt.attempts >= self._max_attempts:
            return EndpointFailed(
                detail=f"{attempt.attempts} attempts failed",
                retry_after_ms=GIVE_UP_RETRY_MS,
                ran=attempt.ran,
            )
        due_ms = now_ms + self._pause_ms(attempt.attempts)
        if attempt.deadline_ms is not None and due_ms >= attempt.deadline_ms:
            return DeadlineExceeded(ran=attempt.ran)
        return None

    def _no_budget(self, attempt: FailedAttempt, now_ms: int) -> FoxtailbankError:
        wait_ms = max(1, self._budget.wait_ms(now_ms))
        if attempt.ran is Ran.NO:
            return Overloaded(detail="no retry is left", retry_after_ms=wait_ms)
        return EndpointFailed(detail="no retry is left", retry_after_ms=wait_ms)

    def _pause_ms(self, attempts: int) -> int:
        if attempts <= 1:
            return 0
        return self._backoff_ms * 2 ** (attempts - 2)
