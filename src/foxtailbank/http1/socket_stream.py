"""Stream over a socket that holds no bytes of its own.

The transports of asyncio read ahead and keep what is not yet written; what a connection
takes could then not be bounded.
"""

import contextlib
import socket
import typing as t

import anyio
import anyio.abc
import anyio.lowlevel


class BufferlessStream(anyio.abc.ByteStream):
    """Bytes of a connected socket that does not block.

    Parameters
    ----------
    sock : socket.socket
        Connected socket; closed with the stream.
    """

    def __init__(self, *, sock: socket.socket) -> None:
        self._socket = sock

    @property
    def extra_attributes(self) -> t.Mapping[t.Any, t.Callable[[], t.Any]]:
        """Return the socket as an extra attribute."""
        return {anyio.abc.SocketAttribute.raw_socket: lambda: self._socket}

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Wait for bytes and return them.

        Raises
        ------
        anyio.EndOfStream
            The peer sends no more.
        anyio.BrokenResourceError
            The connection was reset.
        """
        while True:
            await anyio.wait_readable(self._socket)
            try:
                data = self._socket.recv(max_bytes)
            except (BlockingIOError, InterruptedError):
                continue
            except OSError as error:
                raise anyio.BrokenResourceError from error
            if not data:
                raise anyio.EndOfStream
            return data

    async def send(self, item: bytes) -> None:
        """Send all bytes.

        Raises
        ------
        anyio.BrokenResourceError
            The connection was reset.
        """
        await anyio.lowlevel.checkpoint_if_cancelled()
        unsent = memoryview(item)
        while unsent:
            try:
                unsent = unsent[self._socket.send(unsent) :]
            except (BlockingIOError, InterruptedError):
                await anyio.wait_writable(self._socket)
            except OSError as error:
                raise anyio.BrokenResourceError from error
        await anyio.lowlevel.cancel_shielded_checkpoint()

    async def send_eof(self) -> None:
        """Tell the peer that nothing more is sent."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_WR)

    async def aclose(self) -> None:
        """Close the socket."""
        self._socket.close()
        await anyio.lowlevel.checkpoint()
