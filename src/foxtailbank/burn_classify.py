"""Classification of calls and batch items as good or bad events of an objective."""

import dataclasses
import enum

from foxtailbank.entry import Objective
from foxtailbank.exceptions import (
    EndpointFailed,
    FoxtailbankError,
    OutcomeUnknown,
    Quarantined,
)

_FIRST_CLIENT_ERROR_STATUS = 400
_FIRST_SERVER_ERROR_STATUS = 500


class EventClass(enum.Enum):
    """Whether an event counts as good, as bad or not at all."""

    GOOD = "good"
    BAD = "bad"
    CALLER_ERROR = "callers_fault"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Verdict:
    """Classification of one event.

    Attributes
    ----------
    event_class : EventClass
        Good, bad, or excluded because the caller caused the error.
    reason : str
        Stable error code; empty for a good event.
    """

    event_class: EventClass
    reason: str = ""


GOOD = Verdict(event_class=EventClass.GOOD)


def classify_answer(
    objective: Objective, *, first_token_ms: float, gap_ms: float = 0.0
) -> Verdict:
    """Classify a call with a complete answer.

    Parameters
    ----------
    objective : Objective
        Objective of the entry.
    first_token_ms : float
        Time to the first token, or to the answer of a service, in milliseconds.
    gap_ms : float
        Mean time between tokens in milliseconds; 0 for an answer of one token.

    Returns
    -------
    Verdict
        Bad if either time exceeds the objective.
    """
    if first_token_ms > objective.ttft_ms:
        return Verdict(event_class=EventClass.BAD, reason="slow_first_token")
    if gap_ms > objective.gap_ms:
        return Verdict(event_class=EventClass.BAD, reason="slow_tokens")
    return GOOD


def classify_failure(error: FoxtailbankError) -> Verdict:
    """Classify a call that was refused or failed.

    Parameters
    ----------
    error : FoxtailbankError
        Error that was returned to the caller.

    Returns
    -------
    Verdict
        Bad for server errors, failed endpoints and unknown outcomes; client errors,
        rate limits and quarantined requests are excluded.
    """
    is_caller_error = (
        _FIRST_CLIENT_ERROR_STATUS <= error.status < _FIRST_SERVER_ERROR_STATUS
    )
    if isinstance(error, EndpointFailed | OutcomeUnknown):
        is_caller_error = False
    if isinstance(error, Quarantined):
        is_caller_error = True
    event_class = EventClass.CALLER_ERROR if is_caller_error else EventClass.BAD
    return Verdict(event_class=event_class, reason=error.code)


def classify_batch_item(
    *, finished_ms: int, deadline_ms: int, failure: str = ""
) -> Verdict:
    """Classify a finished or failed batch item.

    Parameters
    ----------
    finished_ms : int
        Wall time at which the item ended, in milliseconds.
    deadline_ms : int
        Wall time by which the job is due, in milliseconds.
    failure : str
        Stable error code if the item failed; empty if it succeeded.

    Returns
    -------
    Verdict
        Bad if the item failed or finished after the deadline.
    """
    if failure:
        return Verdict(event_class=EventClass.BAD, reason=failure)
    if finished_ms > deadline_ms:
        return Verdict(event_class=EventClass.BAD, reason="after_deadline")
    return GOOD
