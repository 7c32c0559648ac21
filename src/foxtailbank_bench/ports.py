"""Free ports of this machine."""

import contextlib
import os
import socket

from foxtailbank_bench.deployment import HOST

# Below the ports that the system gives to outgoing connections.
FIRST_PORT = 12_000
BLOCK_PORTS = 32
BLOCKS = 240


class NoFreePorts(Exception):
    """No run of ports is free."""


def free_ports(count: int) -> int:
    """Return the first of consecutive ports that are free for TCP and UDP.

    Parameters
    ----------
    count : int
        How many are needed; at most 32.

    Raises
    ------
    NoFreePorts
        None are free.
    """
    # Each process begins in a range of its own, so that two runs don't collide.
    for attempt in range(BLOCKS):
        block = (os.getpid() + attempt) % BLOCKS
        first = FIRST_PORT + block * BLOCK_PORTS
        if _are_free(range(first, first + count)):
            return first
    raise NoFreePorts(f"{count} consecutive ports")


def _are_free(ports: range) -> bool:
    with contextlib.ExitStack() as stack:
        try:
            for port in ports:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sock = stack.enter_context(socket.socket(type=kind))
                    sock.bind((HOST, port))
        except OSError:
            return False
    return True
