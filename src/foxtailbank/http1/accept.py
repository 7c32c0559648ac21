"""Accepts connections so that a cancellation at any moment does no harm.

asyncio's ``sock_accept`` sets the result of a future that was cancelled in the same
turn of the loop, and so raises an error that nobody can catch.
"""

import socket

import anyio
import anyio.lowlevel

from foxtailbank.http1.socket_stream import BufferlessStream


async def accept(listener: socket.socket) -> BufferlessStream:
    """Wait for a connection and return it.

    Parameters
    ----------
    listener : socket.socket
        Listening socket that does not block.

    Raises
    ------
    OSError
        No connection can be accepted, for instance for lack of descriptors.
    """
    while True:
        connection = _accept_now(listener)
        if connection is None:
            await anyio.wait_readable(listener)
            continue
        try:
            connection.setblocking(False)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:  # its client has left already
            connection.close()
            continue
        try:
            await anyio.lowlevel.checkpoint()
        except BaseException:
            connection.close()
            raise
        return BufferlessStream(sock=connection)


def _accept_now(listener: socket.socket) -> socket.socket | None:
    """Return a connection; None if none waits or it was given up meanwhile."""
    try:
        return listener.accept()[0]
    except (BlockingIOError, ConnectionAbortedError):
        return None
