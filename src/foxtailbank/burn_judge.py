"""Which events count against a service-level objective."""

import dataclasses
import enum

from foxtailbank.entry import Objective
from foxtailbank.exceptions import (
    EndpointFailed,
    FoxtailbankError,
    OutcomeUnknown,
    Quarantined,
)

_CLIENT_ERROR = 400
_SERVER_ERROR = 500


class EventClass(enum.Enum):
    """How an event counts."""

    GOOD = "good"
    BAD = "bad"
    CALLERS_FAULT = "callers_fault"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Verdict:
    """How one event counts, and why.

    Attributes
    ----------
    event_class : EventClass
        Good, bad, or not counted since the caller is at fault.
    reason : str
        Stable code; empty for a good event.
    """

    event_class: EventClass
    reason: str = ""


GOOD = Verdict(event_class=EventClass.GOOD)


def judge_answer(
    objective: Objective, *, first_token_ms: float, gap_ms: float = 0.0
) -> Verdict:
    """Judge a call that was answered whole.

    Parameters
    ----------
    objective : Objective
        Of the entry.
    first_token_ms : float
        Time to the first token, or to a service's answer, in milliseconds.
    gap_ms : float
        Mean time between tokens in milliseconds; 0 if there was one token.

    Returns
    -------
    Verdict
        Bad if a time exceeds its objective.
    """
    if first_token_ms > objective.ttft_ms:
        return Verdict(event_class=EventClass.BAD, reason="slow_first_token")
    if gap_ms > objective.gap_ms:
        return Verdict(event_class=EventClass.BAD, reason="slow_tokens")
    return GOOD


def judge_failure(error: FoxtailbankError) -> Verdict:
    """Judge a call that was refused or failed.

    Parameters
    ----------
    error : FoxtailbankError
        What the caller was told.

    Returns
    -------
    Verdict
        Callers' faults, limits and quarantine do not count as bad.
    """
    is_callers = _CLIENT_ERROR <= error.status < _SERVER_ERROR
    if isinstance(error, EndpointFailed | OutcomeUnknown):
        is_callers = False
    if isinstance(error, Quarantined):
        is_callers = True
    event_class = EventClass.CALLERS_FAULT if is_callers else EventClass.BAD
    return Verdict(event_class=event_class, reason=error.code)


def judge_item(*, finished_ms: int, deadline_ms: int, failure: str = "") -> Verdict:
    """Judge a batch item that has ended.

    Parameters
    ----------
    finished_ms : int
        Wall time of its end in milliseconds.
    deadline_ms : int
        Wall time by which its job is due, in milliseconds.
    failure : str
        Stable code if it failed; empty if it succeeded.

    Returns
    -------
    Verdict
        Bad if it failed or came after the deadline.
    """
    if failure:
        return Verdict(event_class=EventClass.BAD, reason=failure)
    if finished_ms > deadline_ms:
        return Verdict(event_class=EventClass.BAD, reason="after_deadline")
    return GOOD
