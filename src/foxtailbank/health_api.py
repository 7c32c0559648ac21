"""Health and readiness of an entry VM."""

import typing as t

from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

OK = 200
UNAVAILABLE = 503


class HealthApi:
    """Tells the platform's balancer whether to send callers here.

    Parameters
    ----------
    is_ready : callable
        Whether the VM has what it needs to serve.

    Attributes
    ----------
    stopping : bool
        Whether a planned stop has begun.
    """

    def __init__(self, *, is_ready: t.Callable[[], bool]) -> None:
        self._is_ready = is_ready
        self.stopping = False

    def routes(self) -> list[Route]:
        """Return the paths with their handlers."""
        return [
            Route("/healthz", self._healthz, methods=["GET"]),
            Route("/readyz", self._readyz, methods=["GET"]),
        ]

    async def _healthz(self, request: Request) -> Response:
        return PlainTextResponse("ok\n")

    async def _readyz(self, request: Request) -> Response:
        if self.stopping:
            return PlainTextResponse("stopping\n", status_code=UNAVAILABLE)
        if not self._is_ready():
            return PlainTextResponse("no state yet\n", status_code=UNAVAILABLE)
        return PlainTextResponse("ready\n")
