"""Connections of the server under a stand-in, for faults on open ones."""

import typing as t
import weakref

from hypercorn.protocol.events import StreamClosed

from foxtailbank.asgi import Send


class Connections:
    """Open connections that were used, and those of them that stalled."""

    def __init__(self) -> None:
        self._used: weakref.WeakSet[t.Any] = weakref.WeakSet()
        self._stalled: weakref.WeakSet[t.Any] = weakref.WeakSet()

    def note(self, send: Send) -> None:
        """Note that a connection carries a request."""
        self._used.add(_connection(send))

    def stall_all(self) -> None:
        """Let every connection noted so far send nothing any more."""
        self._stalled.update(self._used)

    def is_stalled(self, send: Send) -> bool:
        """Return whether a request's connection stalled."""
        return _connection(send) in self._stalled


async def abort(send: Send) -> None:
    """Close a request's connection without another byte."""
    # ASGI has no such event, so this reaches for the server's stream object.
    stream = t.cast(t.Any, send).__self__
    stream.closed = True
    await stream.send(StreamClosed(stream_id=stream.stream_id))


def _connection(send: Send) -> t.Any:
    # The server's stream lives for one request, the protocol for the connection.
    stream = t.cast(t.Any, send).__self__
    return stream.send.__self__
