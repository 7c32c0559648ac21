"""ASGI application of an entry VM: which handler serves which path."""

import logging
import typing as t

from starlette.routing import Mount, Route, Router

from foxtailbank.asgi import Message, Receive, Scope, Send, drain_body
from foxtailbank.error_answer import send_error
from foxtailbank.exceptions import CallerGone, FoxtailbankError, NotFound, Ran
from foxtailbank.online import request_id_of

_log = logging.getLogger(__name__)

Application = t.Callable[[Scope, Receive, Send], t.Awaitable[None]]


class App:
    """Leads each request to its handler; unknown paths get a typed answer.

    Parameters
    ----------
    online : callable
        ASGI application of completions and plain services.
    routes : sequence of Route or Mount
        All other paths.
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
        guarded = _StartedSend(send=send)
        try:
            await self._lead(scope, receive, guarded)
        except CallerGone:
            return
        except FoxtailbankError as failure:
            await self._tell(scope, guarded, failure)
        except Exception:
            _log.exception("internal_error", extra={"path": scope["path"]})
            await self._tell(scope, guarded, FoxtailbankError(ran=Ran.UNKNOWN))

    async def _lead(self, scope: Scope, receive: Receive, send: Send) -> None:
        if _is_online(scope["method"], scope["path"]):
            await self._online(scope, receive, send)
        else:
            await self._router(scope, receive, send)

    async def _tell(
        self, scope: Scope, send: "_StartedSend", failure: FoxtailbankError
    ) -> None:
        if send.started:
            # An unfinished body tells the caller that the answer is not whole.
            raise failure
        await send_error(send, failure, request_id=request_id_of(scope))


class _StartedSend:
    """Passes messages on and remembers whether the answer has begun."""

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
    failure = NotFound(detail=f"nothing at {scope['method']} {scope['path']}")
    await send_error(send, failure, request_id=request_id_of(scope))
