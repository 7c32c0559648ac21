"""Authentication of operators."""

import hmac
import typing as t

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from foxtailbank.asgi import read_body
from foxtailbank.caller import bearer_key
from foxtailbank.exceptions import Forbidden

MAX_BODY_BYTES = 1 << 20

Handler: t.TypeAlias = t.Callable[[Request, bytes], t.Awaitable[Response]]


class AdminGuard:
    """Rejects requests without the operators' key.

    Parameters
    ----------
    key : str
        The operators' key.
    """

    def __init__(self, *, key: str) -> None:
        self._key = key.encode()

    def route(self, path: str, handler: Handler, *, method: str = "GET") -> Route:
        """Return a route that calls a handler if the request has the key.

        Parameters
        ----------
        path : str
            Path template with parameters in braces.
        handler : callable
            Coroutine function that takes the request and its body.
        method : str
            HTTP method.
        """

        async def guarded(request: Request) -> Response:
            body = await read_body(request.receive, max_bytes=MAX_BODY_BYTES)
            given = bearer_key(request.scope).encode()
            if not hmac.compare_digest(given, self._key):
                raise Forbidden(detail="not the operators' key")
            return await handler(request, body)

        return Route(path, guarded, methods=[method])
