"""HTTP API for liveness, readiness and metrics of an entry VM."""

import typing as t

from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from foxtailbank.metrics import CONTENT_TYPE, Metrics

UNAVAILABLE = 503


class HealthApi:
    """Handlers of `/healthz`, `/readyz` and `/metrics`.

    The platform's load balancer sends callers only to VMs that are ready.

    Parameters
    ----------
    is_ready : callable
        Returns whether the VM can serve requests.
    metrics : Metrics
        Metrics to expose.

    Attributes
    ----------
    is_stopping : bool
        Whether a planned stop has begun; the VM is not ready from then on.
    """

    def __init__(self, *, is_ready: t.Callable[[], bool], metrics: Metrics) -> None:
        self._is_ready = is_ready
        self._metrics = metrics
        self.is_stopping = False

    def routes(self) -> list[Route]:
        """Return the routes of the handlers."""
        return [
            Route("/healthz", self._healthz, methods=["GET"]),
            Route("/readyz", self._readyz, methods=["GET"]),
            Route("/metrics", self._metrics_text, methods=["GET"]),
        ]

    async def _healthz(self, request: Request) -> Response:
        return PlainTextResponse("ok\n")

    async def _metrics_text(self, request: Request) -> Response:
        return Response(self._metrics.exposition(), media_type=CONTENT_TYPE)

    async def _readyz(self, request: Request) -> Response:
        if self.is_stopping:
            return PlainTextResponse("stopping\n", status_code=UNAVAILABLE)
        if not self._is_ready():
            return PlainTextResponse("no state yet\n", status_code=UNAVAILABLE)
        return PlainTextResponse("ready\n")
