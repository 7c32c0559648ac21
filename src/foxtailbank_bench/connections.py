"""Tracks a stand-in's server connections, to inject faults on open ones."""

import typing as t
import weakref

from hypercorn.protocol.events import StreamClosed

from foxtailbank.asgi import Send


class Connections:
    """Open connections that served a request, and which of them are stalled."""

    def __init__(self) -> None:
        self._used: weakref.WeakSet[t.Any] = weakref.WeakSet()
        self._stalled: weakref.WeakSet[t.Any] = weakref.WeakSet()

    def mark_used(self, send: Send) -> None:
        """Record that a connection serves a request."""
        self._used.add(_connection(send))

    def stall_all(self) -> None:
        """Stall every connection used so far: nothing more is sent on it."""
        self._stalled.update(self._used)

    def is_stalled(self, send: Send) -> bool:
        """Return whether a request's connection is stalled."""
        return _connection(send) in self._stalled


async def abort_connection(send: Send) -> None:
    """Close a request's connection without sending anything more."""
    # ASGI has no event for this, so it uses hypercorn's stream object, which the
    # `send` method is bound to.
    stream = t.cast(t.Any, send).__self__
    stream.closed = True
    await stream.send(StreamClosed(stream_id=stream.stream_id))


def _connection(send: Send) -> t.Any:
    # hypercorn's stream object lasts for one request, but its `send` is bound to the
    # protocol object, which lasts as long as the connection.
    stream = t.cast(t.Any, send).__self__
    return stream.send.__self__
