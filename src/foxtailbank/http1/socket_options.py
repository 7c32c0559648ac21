"""Socket options for the detection of unresponsive peers."""

import contextlib
import select
import socket
import struct

import anyio.abc

USER_TIMEOUT_MS = 1500  # allows a few retransmissions within one zone
# Clients may pause their reading; what they wait for ends at its own deadline.
CLIENT_TIMEOUT_MS = 15_000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
_LINGER_ZERO = struct.pack("ii", 1, 0)


def raw_socket(stream: anyio.abc.ByteStream) -> socket.socket:
    """Return the socket of a stream."""
    return stream.extra(anyio.abc.SocketAttribute.raw_socket)


def enable_dead_peer_detection(
    stream: anyio.abc.ByteStream, *, user_timeout_ms: int = USER_TIMEOUT_MS
) -> None:
    """Make the kernel close the connection when its peer stops acknowledging data.

    Parameters
    ----------
    stream : anyio.abc.ByteStream
        Connected TCP stream.
    user_timeout_ms : int
        How long sent data may stay unacknowledged, in milliseconds. A peer that lives
        and does not read counts as well.
    """
    sock = raw_socket(stream)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)


def reset_on_close(stream: anyio.abc.ByteStream) -> None:
    """Make closing the connection reset it, so that its peer sees no regular end.

    Parameters
    ----------
    stream : anyio.abc.ByteStream
        TCP stream; one that the peer has closed stays as it is.
    """
    with contextlib.suppress(OSError):
        raw_socket(stream).setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)


def has_pending_input(stream: anyio.abc.ByteStream) -> bool:
    """Return whether data, end of stream or an error is ready to be read.

    Parameters
    ----------
    stream : anyio.abc.ByteStream
        Stream that no task is reading from.
    """
    poller = select.poll()
    poller.register(raw_socket(stream).fileno(), select.POLLIN)
    return bool(poller.poll(0))
