"""Search for free ports on this machine."""

import contextlib
import os
import socket

from foxtailbank_bench.deployment import HOST

# All blocks are below the kernel's ephemeral port range, from which outgoing
# connections take their ports.
FIRST_PORT = 12_000
PORTS_PER_BLOCK = 32
PORT_BLOCKS = 240


class NoFreePorts(Exception):
    """No block has enough consecutive free ports."""


def free_ports(count: int) -> int:
    """Return the first of consecutive ports that are free for TCP and UDP.

    Parameters
    ----------
    count : int
        Number of ports; at most `PORTS_PER_BLOCK`.

    Raises
    ------
    NoFreePorts
        No block has this many free ports.
    """
    # The process id selects the first block to try, so that concurrent runs don't
    # collide.
    for attempt in range(PORT_BLOCKS):
        block = (os.getpid() + attempt) % PORT_BLOCKS
        first = FIRST_PORT + block * PORTS_PER_BLOCK
        if _are_free(range(first, first + count)):
            return first
    raise NoFreePorts(f"no {count} consecutive ports are free")


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
