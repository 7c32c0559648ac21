"""Sends the engine stand-in's output while it is made."""

import contextlib
import typing as t

import anyio

from foxtailbank_bench.connections import Connections
from foxtailbank_bench.engine_stream import EngineStream
from foxtailbank_bench.exchange import Exchange

OK = 200
EVENT_STREAM = [(b"content-type", b"text/event-stream; charset=utf-8")]


class CompletionSender:
    """Answers one completion request.

    Parameters
    ----------
    stream : EngineStream
        The output; it is cancelled when the client goes away.
    exchange : Exchange
        The request.
    connections : Connections
        Tells whether the connection stalled.
    """

    def __init__(
        self, *, stream: EngineStream, exchange: Exchange, connections: Connections
    ) -> None:
        self._stream = stream
        self._exchange = exchange
        self._connections = connections
        self._gone = anyio.Event()

    async def run(self) -> bool:
        """Answer the request; tell whether the answer was sent whole."""
        async with self._watch():
            if self._stream.request.stream:
                return await self._send_events()
            return await self._send_whole()
        return False

    async def _send_events(self) -> bool:
        send = self._exchange.send
        start = {"type": "http.response.start", "status": OK, "headers": EVENT_STREAM}
        await send(start)
        ended = False
        while not ended:
            part = await self._stream.take()
            if await self._is_lost():
                return False
            ended = self._stream.ended and not self._stream.has_output
            message = {"type": "http.response.body", "body": part}
            await send({**message, "more_body": not ended})
        return True

    async def _send_whole(self) -> bool:
        body = await self._stream.whole()
        if await self._is_lost():
            return False
        await self._exchange.send_body(body)
        return True

    async def _is_lost(self) -> bool:
        if self._connections.is_stalled(self._exchange.send):
            await self._gone.wait()
        return self._gone.is_set()

    @contextlib.asynccontextmanager
    async def _watch(self) -> t.AsyncIterator[None]:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._wait_for_disconnect)
            yield
            tasks.cancel_scope.cancel()

    async def _wait_for_disconnect(self) -> None:
        await self._exchange.wait_for_disconnect()
        self._gone.set()
        self._stream.cancel()
