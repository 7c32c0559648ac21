"""Model engines over HTTP."""

import typing as t
import urllib.parse

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
from foxtailbank.http_channel import WholeAnswer
from foxtailbank.http_service import HttpPlainService

CONFLICT = 409
NOT_FOUND = 404
FIRST_ERROR = 400

T = t.TypeVar("T")


class HttpEndpoint(HttpPlainService, Endpoint):
    """A model engine that is reached over HTTP.

    Parameters
    ----------
    control_ms : int
        Bound on a whole control exchange, in milliseconds.
    **bounds
        As for `HttpPlainService`.
    """

    def __init__(self, *, control_ms: int = 2_000, **bounds: t.Any) -> None:
        super().__init__(**bounds)
        self._control_ms = control_ms

    async def cancel(self, *, request_id: str) -> None:
        """Stop a stream.

        Parameters
        ----------
        request_id : str
            Identifier of the call that opened it.

        Raises
        ------
        EndpointFailed
            The engine gave no answer.
        """
        await self._control("POST", f"/v1/requests/{_quote(request_id)}/cancel")

    async def load(self) -> LoadReport:
        """Return the latest load report.

        Raises
        ------
        EndpointFailed
            The engine gave no answer.
        """
        answer = await self._control("GET", "/load")
        return _decode(answer.body, LoadReport)

    async def cache_events(self, *, since: int) -> tuple[CacheEvent, ...]:
        """Return cache events after a sequence number.

        Parameters
        ----------
        since : int
            Highest sequence number known already.

        Raises
        ------
        EndpointFailed
            The engine gave no answer.
        """
        answer = await self._control("GET", f"/cache-events?since={since}")
        return _decode(answer.body, tuple[CacheEvent, ...])

    async def order(self, order: Order) -> None:
        """Give an order.

        Parameters
        ----------
        order : Order
            The order; it is carried out after this returns.

        Raises
        ------
        EndpointRefused
            The engine refused the fencing number, or is busy.
        EndpointFailed
            No answer came; the order may be carried out.
        """
        await self._control("POST", "/orders", content=msgspec.json.encode(order))

    async def state(self) -> EngineState:
        """Return what the engine holds.

        Raises
        ------
        EndpointFailed
            The engine gave no answer.
        """
        answer = await self._control("GET", "/orders/state")
        return _decode(answer.body, EngineState)

    async def export_kv(self, *, prefix: str) -> bytes:
        """Return the KV cache of a prefix; empty if it is not held.

        Parameters
        ----------
        prefix : str
            Digest of the prompt prefix.

        Raises
        ------
        EndpointFailed
            The engine gave no answer.
        """
        answer = await self._control("GET", f"/kv/{_quote(prefix)}", absent_ok=True)
        return b"" if answer.status == NOT_FOUND else answer.body

    async def import_kv(self, *, prefix: str, content: bytes) -> None:
        """Store the KV cache of a prefix.

        Parameters
        ----------
        prefix : str
            Digest of the prompt prefix.
        content : bytes
            What another engine exported.

        Raises
        ------
        EndpointFailed
            The engine gave no answer.
        """
        await self._control("POST", f"/kv/{_quote(prefix)}", content=content)

    async def call(self, call: EndpointCall) -> WholeAnswer:
        """Send a call and wait for its whole answer; for tests and tools."""
        async with self.open(call) as answer:
            body = b"".join([part async for part in answer.chunks()])
            return WholeAnswer(status=answer.status, headers=answer.headers, body=body)

    async def _control(
        self, method: str, path: str, *, content: bytes = b"", absent_ok: bool = False
    ) -> WholeAnswer:
        try:
            answer = await self._channel.request(
                method, path, content=content, timeout_ms=self._control_ms
            )
        except exceptions.EndpointStalled:
            self._channel.drop_connections()
            raise
        if answer.status == CONFLICT:
            raise exceptions.EndpointRefused(
                detail=answer.body.decode(errors="replace")
            )
        if answer.status >= FIRST_ERROR and not (
            absent_ok and answer.status == NOT_FOUND
        ):
            raise exceptions.EndpointFailed(detail=f"status {answer.status} of {path}")
        return answer


def _decode(body: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise exceptions.EndpointFailed(detail=f"malformed answer: {error}") from error


def _quote(part: str) -> str:
    return urllib.parse.quote(part, safe="")
