"""ASGI application of an entry VM: which handler serves which path."""

import typing as t

from starlette.routing import Mount, Route, Router

from foxtailbank.asgi import Receive, Scope, Send, drain_body
from foxtailbank.error_answer import send_error
from foxtailbank.exceptions import CallerGone, FoxtailbankError, NotFound
from foxtailbank.online import request_id_of

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
        path = scope["path"]
        if _is_online(scope["method"], path):
            await self._online(scope, receive, send)
            return
        try:
            await self._router(scope, receive, send)
        except FoxtailbankError as failure:
            if not isinstance(failure, CallerGone):
                await send_error(send, failure, request_id=request_id_of(scope))


def _is_online(method: str, path: str) -> bool:
    if path.startswith("/v1/services/"):
        return True
    return method == "POST" and path in ("/v1/completions", "/v1/chat/completions")


async def _not_found(scope: Scope, receive: Receive, send: Send) -> None:
    await drain_body(receive)
    failure = NotFound(detail=f"nothing at {scope['method']} {scope['path']}")
    await send_error(send, failure, request_id=request_id_of(scope))
