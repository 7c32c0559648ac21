"""Ends of a client's connection before its request is handled."""

from foxtailbank.exceptions import FoxtailbankError

RETRY_AFTER_MS = 500


class RequestRefused(FoxtailbankError):
    """The client sent an invalid or oversized request, or sent it too slowly.

    Parameters
    ----------
    status : int
        HTTP status of the response.
    detail : str
        Reason of the refusal.
    retry_after_ms : int
        When the client may retry; 0 if it should not.
    """

    code = "request_refused"

    def __init__(self, *, status: int, detail: str, retry_after_ms: int = 0) -> None:
        super().__init__(detail=detail, retry_after_ms=retry_after_ms)
        self.status = status


class ClientDisconnected(FoxtailbankError):
    """The client closed its connection."""

    code = "client_gone"


def no_memory() -> RequestRefused:
    """Return the refusal of a request that would take too much memory now."""
    return RequestRefused(
        status=503, detail="no memory for the request", retry_after_ms=RETRY_AFTER_MS
    )
