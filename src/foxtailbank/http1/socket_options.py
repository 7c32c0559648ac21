"""Options that make the kernel notice a peer that fell silent."""

import select
import socket

import anyio.abc

USER_TIMEOUT_MS = 1500  # some round trips and retransmissions within one zone
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def raw_socket(stream: anyio.abc.SocketStream) -> socket.socket:
    """Return the socket below a stream."""
    return stream.extra(anyio.abc.SocketAttribute.raw_socket)


def detect_silence(stream: anyio.abc.SocketStream) -> None:
    """Let the connection break when its peer no longer acknowledges bytes.

    Parameters
    ----------
    stream : anyio.abc.SocketStream
        Connected TCP stream.
    """
    sock = raw_socket(stream)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def has_pending_input(stream: anyio.abc.SocketStream) -> bool:
    """Return whether bytes, an end or an error wait to be read.

    Parameters
    ----------
    stream : anyio.abc.SocketStream
        Stream that nothing reads from at present.
    """
    poller = select.poll()
    poller.register(raw_socket(stream).fileno(), select.POLLIN)
    return bool(poller.poll(0))
