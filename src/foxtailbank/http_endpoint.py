"""HTTP adapter for model engines."""

import typing as t

import msgspec

from foxtailbank import exceptions
from foxtailbank.endpoint import (
    CacheEvent,
    Endpoint,
    EndpointCall,
    EngineState,
    LoadReport,
    Order,
)
from foxtailbank.http_channel import CompleteResponse
from foxtailbank.http_service import HttpPlainService
from foxtailbank.response_body import read_body
from foxtailbank.response_limits import MAX_BODY_BYTES
from foxtailbank.urls import quote_segment

STATUS_CONFLICT = 409
STATUS_NOT_FOUND = 404
FIRST_ERROR_STATUS = 400

T = t.TypeVar("T")


class HttpEndpoint(HttpPlainService, Endpoint):
    """HTTP client of a model engine.

    Parameters
    ----------
    control_ms : int
        Bound on a control request and its response, in milliseconds.
    **bounds
        Further parameters of `HttpPlainService`.
    """

    def __init__(self, *, control_ms: int = 2_000, **bounds: t.Any) -> None:
        super().__init__(**bounds)
        self._control_ms = control_ms

    async def cancel(self, *, request_id: str) -> None:
        """Cancel a call.

        Parameters
        ----------
        request_id : str
            Identifier of the call.

        Raises
        ------
        EndpointFailed
            The engine did not respond, or responded with an error.
        """
        await self._send_control(
            "POST", f"/v1/requests/{quote_segment(request_id)}/cancel"
        )

    async def load(self) -> LoadReport:
        """Return the latest load report.

        Raises
        ------
        EndpointFailed
            The engine did not respond, or responded with an error.
        """
        response = await self._send_control("GET", "/load")
        return _decode(response.body, LoadReport)

    async def cache_events(self, *, since: int) -> tuple[CacheEvent, ...]:
        """Return cache events after a sequence number.

        Parameters
        ----------
        since : int
            Highest sequence number already received.

        Raises
        ------
        EndpointFailed
            The engine did not respond, or responded with an error.
        """
        response = await self._send_control("GET", f"/cache-events?since={since}")
        return _decode(response.body, tuple[CacheEvent, ...])

    async def order(self, order: Order) -> None:
        """Send a control order.

        Parameters
        ----------
        order : Order
            The order; the engine executes it after this method returns.

        Raises
        ------
        EndpointRefused
            The engine rejected the fencing number, or is busy.
        EndpointFailed
            The order was not acknowledged and may still be executed.
        """
        await self._send_control("POST", "/orders", content=msgspec.json.encode(order))

    async def state(self) -> EngineState:
        """Return the state of the engine.

        Raises
        ------
        EndpointFailed
            The engine did not respond, or responded with an error.
        """
        response = await self._send_control("GET", "/orders/state")
        return _decode(response.body, EngineState)

    async def export_kv(self, *, prefix: str) -> bytes:
        """Return the KV cache of a prefix; empty if the engine does not hold it.

        Parameters
        ----------
        prefix : str
            Digest of the prompt prefix.

        Raises
        ------
        EndpointFailed
            The engine did not respond, or responded with an error.
        """
        response = await self._send_control(
            "GET", f"/kv/{quote_segment(prefix)}", allow_not_found=True
        )
        return b"" if response.status == STATUS_NOT_FOUND else response.body

    async def import_kv(self, *, prefix: str, content: bytes) -> None:
        """Store the KV cache of a prefix.

        Parameters
        ----------
        prefix : str
            Digest of the prompt prefix.
        content : bytes
            KV cache that another engine exported.

        Raises
        ------
        EndpointFailed
            The engine did not respond, or responded with an error.
        """
        await self._send_control(
            "POST", f"/kv/{quote_segment(prefix)}", content=content
        )

    async def call(self, call: EndpointCall) -> CompleteResponse:
        """Send a call and wait for its complete response; for tests and tools."""
        async with self.open(call) as response:
            body = await read_body(response.chunks(), max_bytes=MAX_BODY_BYTES)
            return CompleteResponse(
                status=response.status, headers=response.headers, body=body
            )

    async def _send_control(
        self,
        method: str,
        path: str,
        *,
        content: bytes = b"",
        allow_not_found: bool = False,
    ) -> CompleteResponse:
        try:
            response = await self._channel.request(
                method, path, content=content, timeout_ms=self._control_ms
            )
        except exceptions.EndpointStalled:
            self._channel.drop_connections()
            raise
        if response.status == STATUS_CONFLICT:
            raise exceptions.EndpointRefused(
                detail=response.body.decode(errors="replace")
            )
        if response.status >= FIRST_ERROR_STATUS and not (
            allow_not_found and response.status == STATUS_NOT_FOUND
        ):
            raise exceptions.EndpointFailed(
                detail=f"status {response.status} from {path}"
            )
        return response


def _decode(body: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise exceptions.EndpointFailed(
            detail=f"malformed response: {error}"
        ) from error
