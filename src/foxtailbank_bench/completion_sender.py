"""Sends the output of the engine stand-in to the client."""

import contextlib
import typing as t

import anyio

from foxtailbank_bench.connections import Connections
from foxtailbank_bench.engine_stream import EngineStream
from foxtailbank_bench.exchange import Exchange

OK = 200
EVENT_STREAM = [(b"content-type", b"text/event-stream; charset=utf-8")]


class CompletionSender:
    """Sends the response to one completion request.

    Parameters
    ----------
    stream : EngineStream
        The output; it is cancelled when the client disconnects.
    exchange : Exchange
        The HTTP request.
    connections : Connections
        Knows which connections are stalled by fault injection.
    """

    def __init__(
        self, *, stream: EngineStream, exchange: Exchange, connections: Connections
    ) -> None:
        self._stream = stream
        self._exchange = exchange
        self._connections = connections
        self._disconnected = anyio.Event()

    async def run(self) -> bool:
        """Send the response; return whether it was sent completely."""
        async with self._cancel_on_disconnect():
            if self._stream.request.stream:
                return await self._send_events()
            return await self._send_full()
        return False

    async def _send_events(self) -> bool:
        send = self._exchange.send
        start = {"type": "http.response.start", "status": OK, "headers": EVENT_STREAM}
        await send(start)
        ended = False
        while not ended:
            output = await self._stream.next_output()
            if await self._is_disconnected():
                return False
            ended = self._stream.ended and not self._stream.has_output
            message = {"type": "http.response.body", "body": output}
            await send({**message, "more_body": not ended})
        return True

    async def _send_full(self) -> bool:
        body = await self._stream.full_response()
        if await self._is_disconnected():
            return False
        await self._exchange.send_body(body)
        return True

    async def _is_disconnected(self) -> bool:
        # Nothing may be sent on a stalled connection: wait until the client closes it.
        if self._connections.is_stalled(self._exchange.send):
            await self._disconnected.wait()
        return self._disconnected.is_set()

    @contextlib.asynccontextmanager
    async def _cancel_on_disconnect(self) -> t.AsyncIterator[None]:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._wait_for_disconnect)
            yield
            tasks.cancel_scope.cancel()

    async def _wait_for_disconnect(self) -> None:
        await self._exchange.wait_for_disconnect()
        self._disconnected.set()
        self._stream.cancel()
