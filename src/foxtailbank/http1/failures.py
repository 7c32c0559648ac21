"""Failures of one HTTP exchange with a server, by what they say about its run."""

from foxtailbank.exceptions import FoxtailbankError, Ran


class ExchangeFailed(FoxtailbankError):
    """Base of the ways in which an exchange ends without a whole answer."""

    code = "exchange_failed"
    status = 502


class NotConnected(ExchangeFailed):
    """No connection was made, so no byte of the request was sent."""

    code = "not_connected"


class ConnectionBroken(ExchangeFailed):
    """The connection ended after the request was sent."""

    code = "connection_broken"

    def __init__(self, *, detail: str = "") -> None:
        super().__init__(detail=detail, ran=Ran.UNKNOWN)


class AnswerGarbled(ExchangeFailed):
    """The bytes that came back are no answer to this request."""

    code = "answer_garbled"

    def __init__(self, *, detail: str = "") -> None:
        super().__init__(detail=detail, ran=Ran.UNKNOWN)


class ServerSilent(ExchangeFailed):
    """No byte of the answer came in time."""

    code = "server_silent"
    status = 504

    def __init__(self, *, detail: str = "") -> None:
        super().__init__(detail=detail, ran=Ran.UNKNOWN)
