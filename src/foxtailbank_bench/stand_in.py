"""Base class of the stand-ins."""

import abc
import contextlib
import typing as t

from foxtailbank.asgi import Receive, Scope, Send
from foxtailbank.exceptions import BodyTooLarge, CallerDisconnected
from foxtailbank_bench import asgi
from foxtailbank_bench.exchange import Exchange

BAD_REQUEST = 400
NOT_FOUND = 404
UNAVAILABLE = 503
NOT_ADMITTED = ((b"x-not-admitted", b"1"),)


class StandIn(abc.ABC):
    """ASGI application that reads each request completely before it responds."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI request or the lifespan."""
        if scope["type"] == "lifespan":
            return await asgi.run_lifespan(receive, send)
        exchange = Exchange(scope=scope, receive=receive, send=send)
        with contextlib.suppress(CallerDisconnected):
            try:
                await exchange.read_body()
                await self.handle(exchange)
            except BodyTooLarge as error:
                await self.send_error(exchange, error.status, error.detail)
            except asgi.MalformedRequest as error:
                await self.send_error(exchange, BAD_REQUEST, str(error))

    @abc.abstractmethod
    async def handle(self, exchange: Exchange) -> None:
        """Respond to a request.

        Parameters
        ----------
        exchange : Exchange
            The request.

        Raises
        ------
        MalformedRequest
            The request is invalid; the client gets status 400.
        """

    async def send_error(
        self,
        exchange: Exchange,
        status: int,
        message: str,
        headers: t.Iterable[tuple[bytes, bytes]] = (),
    ) -> None:
        """Send an error response in the OpenAI API's format."""
        error_type = (
            "invalid_request_error" if status < UNAVAILABLE else "overloaded_error"
        )
        content = {
            "error": {"type": error_type, "message": message, "code": error_type}
        }
        await exchange.send_json(content, status=status, headers=headers)
