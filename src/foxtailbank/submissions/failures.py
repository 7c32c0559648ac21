"""Errors that callers of batch submissions get."""

import contextlib
import typing as t

from foxtailbank.exceptions import FoxtailbankError, Ran

RETRY_AFTER_MS = 700


class StateUnknown(FoxtailbankError):
    """The store is unavailable, so the state is unknown and nothing can be accepted."""

    code = "state_unknown"
    status = 503


class StoreFull(FoxtailbankError):
    """The submissions take as much memory as the VMs have for them."""

    code = "store_full"
    status = 503


class OutcomeUnknown(FoxtailbankError):
    """The store did not answer in time; the operation may still take effect."""

    code = "outcome_unknown"
    status = 504

    def __init__(self, *, detail: str = "") -> None:
        super().__init__(detail=detail, ran=Ran.UNKNOWN)


class SubmissionTooLarge(FoxtailbankError):
    """The submission would exceed the entry's limit on waiting tokens."""

    code = "too_many_waiting_tokens"
    status = 429


class SubmissionUnknown(FoxtailbankError):
    """No submission of that id was accepted, or its retention time has passed."""

    code = "submission_unknown"
    status = 404


class ItemUnknown(FoxtailbankError):
    """The submission has ended or has no such item."""

    code = "item_unknown"
    status = 404


@contextlib.contextmanager
def unknown_on_failure() -> t.Iterator[None]:
    """Raise `StateUnknown` for a failed read of the log."""
    try:
        yield
    except FoxtailbankError as failure:
        raise StateUnknown(
            detail=failure.detail, retry_after_ms=RETRY_AFTER_MS
        ) from failure
