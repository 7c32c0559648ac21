"""One relayed TCP connection."""

import contextlib
import math
import socket
import struct
import typing as t

import anyio
import anyio.abc

from foxtailbank.clock import MS_PER_S
from foxtailbank_bench.relay_faults import LinkFaults

MAX_QUEUED = 64
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
STREAM_ENDS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)

Piece: t.TypeAlias = tuple[float, bytes]


class RelayConnection:
    """Passes bytes between a client and the target, both ways.

    Parameters
    ----------
    client, target : anyio.abc.SocketStream
        The two ends; they are closed at the end.
    faults : LinkFaults
        Faults of the link, changed by others.
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
        self._silent_to: set[anyio.abc.SocketStream] = set()
        self._scope = anyio.CancelScope()

    def silence(self) -> None:
        """Pass nothing any more, and keep both ends open."""
        self._silent_to = {self._client, self._target}

    def mute(self) -> None:
        """Pass nothing more to the client, and keep both ends open."""
        self._silent_to.add(self._client)

    def reset(self) -> None:
        """Break both ends off."""
        self._scope.cancel()

    async def run(self) -> None:
        """Pass bytes until both directions have ended."""
        try:
            with self._scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._pass, self._client, self._target)
                    tasks.start_soon(self._pass, self._target, self._client)
        finally:
            for end in (self._client, self._target):
                await close(end, reset=self._scope.cancel_called)

    async def _pass(
        self, source: anyio.abc.SocketStream, sink: anyio.abc.SocketStream
    ) -> None:
        pieces, due_pieces = anyio.create_memory_object_stream[Piece](MAX_QUEUED)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._deliver, due_pieces, sink)
            with contextlib.suppress(anyio.BrokenResourceError):
                async with pieces:
                    await self._collect(source, pieces)

    async def _collect(
        self,
        source: anyio.abc.SocketStream,
        pieces: anyio.abc.ObjectSendStream[Piece],
    ) -> None:
        with contextlib.suppress(*STREAM_ENDS):
            while True:
                data = await source.receive()
                delay_s = (self._faults.delay_ms or 0) / MS_PER_S
                await pieces.send((anyio.current_time() + delay_s, data))

    async def _deliver(
        self,
        pieces: anyio.abc.ObjectReceiveStream[Piece],
        sink: anyio.abc.SocketStream,
    ) -> None:
        async with pieces:
            with contextlib.suppress(*STREAM_ENDS):
                async for due_s, data in pieces:
                    if due_s > anyio.current_time():
                        await anyio.sleep_until(due_s)
                    if sink not in self._silent_to:
                        await sink.send(data)
                if sink in self._silent_to:
                    # The other end must not learn of this one's close.
                    await anyio.sleep(math.inf)
                await sink.send_eof()


async def close(stream: anyio.abc.SocketStream, *, reset: bool) -> None:
    """Close a stream, with a reset if wanted."""
    with anyio.CancelScope(shield=True):
        if reset:
            with contextlib.suppress(*STREAM_ENDS):
                raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            await anyio.aclose_forcefully(stream)
        else:
            await stream.aclose()
