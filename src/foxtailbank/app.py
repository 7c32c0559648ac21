"""ASGI application of an entry VM, which routes requests to handlers."""

import logging
import typing as t

from starlette.routing import Mount, Route, Router

from foxtailbank.asgi import Message, Receive, Scope, Send, drain_body
from foxtailbank.error_response import send_error
from foxtailbank.exceptions import CallerDisconnected, FoxtailbankError, NotFound, Ran
from foxtailbank.online import request_id_of

_log = logging.getLogger(__name__)

Application = t.Callable[[Scope, Receive, Send], t.Awaitable[None]]


class App:
    """Routes each request to its handler and turns failures into error responses.

    Parameters
    ----------
    online : callable
        ASGI application for completions and plain services.
    routes : sequence of Route or Mount
        Routes of all other paths.
    """

    def __init__(
        self, *, online: Application, routes: t.Sequence[Route | Mount]
    ) -> None:
        self._online = online
        self._router = Router(routes=routes, default=_not_found)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        tracked = _TrackedSend(send=send)
        try:
            await self._dispatch(scope, receive, tracked)
        except CallerDisconnected:
            return
        except FoxtailbankError as failure:
            await self._send_failure(scope, tracked, failure)
        except Exception:
            _log.exception("internal_error", extra={"path": scope["path"]})
            await self._send_failure(scope, tracked, FoxtailbankError(ran=Ran.UNKNOWN))

    async def _dispatch(self, scope: Scope, receive: Receive, send: Send) -> None:
        if _is_online(scope["method"], scope["path"]):
            await self._online(scope, receive, send)
        else:
            await self._router(scope, receive, send)

    async def _send_failure(
        self, scope: Scope, send: "_TrackedSend", failure: FoxtailbankError
    ) -> None:
        if send.started:
            # The truncated body shows the caller that the response is incomplete.
            raise failure
        await send_error(send, failure, request_id=request_id_of(scope))


class _TrackedSend:
    """Forwards messages and records whether the response has started."""

    def __init__(self, *, send: Send) -> None:
        self.started = False
        self._send = send

    async def __call__(self, message: Message) -> None:
        self.started = True
        await self._send(message)


def _is_online(method: str, path: str) -> bool:
    if path.startswith("/v1/services/"):
        return True
    return method == "POST" and path in ("/v1/completions", "/v1/chat/completions")


async def _not_found(scope: Scope, receive: Receive, send: Send) -> None:
    await drain_body(receive)
    failure = NotFound(detail=f"no route for {scope['method']} {scope['path']}")
    await send_error(send, failure, request_id=request_id_of(scope))
