"""Relay of one TCP connection."""

import contextlib
import math
import socket
import struct
import typing as t

import anyio
import anyio.abc

from foxtailbank.clock import MS_PER_S
from foxtailbank_bench.relay_faults import LinkFaults

MAX_QUEUED_CHUNKS = 64
# Linger on with a time of 0 s: close() sends RST and drops unsent data.
LINGER_ZERO = struct.pack("ii", 1, 0)
STREAM_END_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)

# Due time on the event loop clock, in seconds, and data.
TimedChunk: t.TypeAlias = tuple[float, bytes]


class RelayConnection:
    """Forwards bytes between a client and the target in both directions.

    Parameters
    ----------
    client, target : anyio.abc.SocketStream
        The two sockets; `run` closes them.
    faults : LinkFaults
        Faults of the link; the owner changes this object in place.
    """

    def __init__(
        self,
        *,
        client: anyio.abc.SocketStream,
        target: anyio.abc.SocketStream,
        faults: LinkFaults,
    ) -> None:
        self._client = client
        self._target = target
        self._faults = faults
        self._muted_streams: set[anyio.abc.SocketStream] = set()
        self._scope = anyio.CancelScope()

    def stall(self) -> None:
        """Discard all further data, and keep both sockets open."""
        self._muted_streams = {self._client, self._target}

    def mute(self) -> None:
        """Discard all further data to the client, and keep both sockets open."""
        self._muted_streams.add(self._client)

    def reset(self) -> None:
        """Close both sockets with a TCP reset."""
        self._scope.cancel()

    async def run(self) -> None:
        """Forward bytes until both directions have ended."""
        try:
            with self._scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._forward, self._client, self._target)
                    tasks.start_soon(self._forward, self._target, self._client)
        finally:
            for stream in (self._client, self._target):
                await close(stream, reset=self._scope.cancel_called)

    async def _forward(
        self, source: anyio.abc.SocketStream, sink: anyio.abc.SocketStream
    ) -> None:
        chunks, received = anyio.create_memory_object_stream[TimedChunk](
            MAX_QUEUED_CHUNKS
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_chunks, received, sink)
            with contextlib.suppress(anyio.BrokenResourceError):
                async with chunks:
                    await self._receive_chunks(source, chunks)

    async def _receive_chunks(
        self,
        source: anyio.abc.SocketStream,
        chunks: anyio.abc.ObjectSendStream[TimedChunk],
    ) -> None:
        with contextlib.suppress(*STREAM_END_ERRORS):
            while True:
                data = await source.receive()
                delay_s = (self._faults.delay_ms or 0) / MS_PER_S
                await chunks.send((anyio.current_time() + delay_s, data))

    async def _send_chunks(
        self,
        chunks: anyio.abc.ObjectReceiveStream[TimedChunk],
        sink: anyio.abc.SocketStream,
    ) -> None:
        async with chunks:
            with contextlib.suppress(*STREAM_END_ERRORS):
                async for due_s, data in chunks:
                    if due_s > anyio.current_time():
                        await anyio.sleep_until(due_s)
                    if sink not in self._muted_streams:
                        await sink.send(data)
                if sink in self._muted_streams:
                    # A muted peer must not see that the other side has closed.
                    await anyio.sleep(math.inf)
                await sink.send_eof()


async def close(stream: anyio.abc.SocketStream, *, reset: bool) -> None:
    """Close a stream, optionally with a TCP reset."""
    with anyio.CancelScope(shield=True):
        if reset:
            with contextlib.suppress(*STREAM_END_ERRORS):
                raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
            await anyio.aclose_forcefully(stream)
        else:
            await stream.aclose()
