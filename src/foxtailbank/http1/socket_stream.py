"""Stream over a socket that holds at most one read of its own.

The transports of asyncio read ahead and keep what is not yet written; what a connection
takes could then not be bounded.
"""

import abc
import asyncio
import contextlib
import socket
import typing as t

import anyio
import anyio.abc
import anyio.lowlevel

SENDS_PER_TURN = 8  # that need no wait, before other tasks run


class InputWatcher(abc.ABC):
    """Takes what a stream receives while nothing waits for it."""

    @abc.abstractmethod
    def room_bytes(self) -> int:
        """Return how many bytes may be read now; 0 if no more is taken."""

    @abc.abstractmethod
    def on_data(self, data: bytes) -> None:
        """Take received bytes."""

    @abc.abstractmethod
    def on_end(self) -> None:
        """Note that the peer sends no more, or that the connection was reset."""


class BufferlessStream(anyio.abc.ByteStream):
    """Bytes of a connected socket that does not block.

    The socket stays registered with the event loop from one wait to the next, since
    each registration is a system call and a request needs two waits. What arrives is
    read only for a `receive` that waits or for a watcher; if there is neither, the
    registration ends.

    Parameters
    ----------
    sock : socket.socket
        Connected socket; closed with the stream.
    """

    def __init__(self, *, sock: socket.socket) -> None:
        self._socket = sock
        self._loop = asyncio.get_running_loop()
        self._is_registered = False
        self._watcher: InputWatcher | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._max_bytes = 0
        # Read for a wait; left over only if that was cancelled in the same turn.
        self._received: bytes | OSError | None = None
        self._send_count = 0

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
        anyio.ClosedResourceError
            The stream was closed.
        """
        if self._received is None:
            await self._wait(max_bytes)
        received, self._received = self._received, None
        if isinstance(received, OSError):
            raise anyio.BrokenResourceError from received
        if not received:
            raise anyio.EndOfStream
        return received

    def watch(self, watcher: InputWatcher) -> None:
        """Give what arrives to a watcher, until `unwatch` or until it has no room.

        The watcher is called by the event loop, and not from within this call.
        """
        self._watcher = watcher
        self._register()

    def unwatch(self) -> None:
        """Leave what arrives for `receive`."""
        self._watcher = None

    async def send(self, item: bytes) -> None:
        """Send all bytes.

        A send that needs no wait is not cancelled, so that an answer which ends as its
        deadline passes reaches its client.

        Raises
        ------
        anyio.BrokenResourceError
            The connection was reset.
        """
        unsent = self._send_now(memoryview(item))
        while unsent:
            await anyio.wait_writable(self._socket)
            unsent = self._send_now(unsent)
        self._send_count += 1
        if not self._send_count % SENDS_PER_TURN:
            await anyio.lowlevel.cancel_shielded_checkpoint()

    def _send_now(self, data: memoryview) -> memoryview:
        """Send what needs no wait; return the rest."""
        while data:
            try:
                data = data[self._socket.send(data) :]
            except (BlockingIOError, InterruptedError):
                break
            except OSError as error:
                raise anyio.BrokenResourceError from error
        return data

    async def send_eof(self) -> None:
        """Tell the peer that nothing more is sent."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_WR)

    async def aclose(self) -> None:
        """Close the socket."""
        self._unregister()
        self._socket.close()
        await anyio.lowlevel.checkpoint()

    async def _wait(self, max_bytes: int) -> None:
        self._register()
        self._max_bytes = max_bytes
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _register(self) -> None:
        if self._is_registered:
            return
        if self._socket.fileno() < 0:
            raise anyio.ClosedResourceError
        self._loop.add_reader(self._socket, self._on_readable)
        self._is_registered = True

    def _unregister(self) -> None:
        if self._is_registered:
            self._loop.remove_reader(self._socket)
            self._is_registered = False

    def _on_readable(self) -> None:
        """Read once for who waits."""
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            self._received = self._read(self._max_bytes)
            if self._received is not None:
                waiter.set_result(None)
            return
        watcher = self._watcher
        room_bytes = 0 if watcher is None else watcher.room_bytes()
        if watcher is None or not room_bytes:
            self._unregister()
            return
        data = self._read(room_bytes)
        if isinstance(data, bytes) and data:
            watcher.on_data(data)
        elif data is not None:
            self._unregister()
            watcher.on_end()

    def _read(self, max_bytes: int) -> bytes | OSError | None:
        """Return bytes, none of them at the end, an error; None if nothing is there."""
        try:
            return self._socket.recv(max_bytes)
        except (BlockingIOError, InterruptedError):
            return None
        except OSError as error:
            return error
