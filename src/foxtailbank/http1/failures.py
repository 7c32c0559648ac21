"""Failures of an HTTP exchange, by whether the server may have run the request."""

from foxtailbank.exceptions import FoxtailbankError, Ran


class ExchangeFailed(FoxtailbankError):
    """Base of all failures that end an exchange without a complete response."""

    code = "exchange_failed"
    status = 502


class NotConnected(ExchangeFailed):
    """No connection was established, so no byte of the request was sent."""

    code = "not_connected"


class ProcessReplaced(ExchangeFailed):
    """Another process than the one that was chosen may have answered."""

    code = "process_replaced"

    def __init__(self, *, detail: str = "") -> None:
        super().__init__(detail=detail, ran=Ran.UNKNOWN)


class StreamNotContinued(ExchangeFailed):
    """The response does not go on with the stream of which the rest was requested."""

    code = "stream_not_continued"

    def __init__(self, *, detail: str = "") -> None:
        super().__init__(detail=detail, ran=Ran.UNKNOWN)


class RequestUnsendable(ExchangeFailed):
    """The request can't be written as HTTP, so no byte of it was sent."""

    code = "request_unsendable"


class ConnectionBroken(ExchangeFailed):
    """The connection ended after the request was sent."""

    code = "connection_broken"

    def __init__(self, *, detail: str = "") -> None:
        super().__init__(detail=detail, ran=Ran.UNKNOWN)


class MalformedResponse(ExchangeFailed):
    """The received bytes are not a valid response to this request."""

    code = "answer_garbled"

    def __init__(self, *, detail: str = "") -> None:
        super().__init__(detail=detail, ran=Ran.UNKNOWN)


class ResponseTooLarge(ExchangeFailed):
    """The response exceeds what is accepted of one; the rest was not read."""

    code = "answer_too_large"

    def __init__(self, *, detail: str = "") -> None:
        super().__init__(detail=detail, ran=Ran.UNKNOWN)


class ResponseTimeout(ExchangeFailed):
    """The server sent nothing within the time allowed."""

    code = "server_silent"
    status = 504

    def __init__(self, *, detail: str = "") -> None:
        super().__init__(detail=detail, ran=Ran.UNKNOWN)


# Failures that tell of a faulty server which is up.
SERVER_ERRORS = (
    ConnectionBroken,
    MalformedResponse,
    ResponseTooLarge,
    StreamNotContinued,
)
