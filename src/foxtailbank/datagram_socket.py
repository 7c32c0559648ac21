"""Non-blocking UDP socket for many small datagrams whose loss is harmless."""

import dataclasses
import socket
import typing as t

import anyio

from foxtailbank.address import Address

MAX_DATAGRAM_BYTES = 65_535
MAX_DATAGRAMS_PER_READ = 64  # then other tasks get to run


@dataclasses.dataclass(frozen=True, kw_only=True)
class Datagram:
    """A received datagram.

    Attributes
    ----------
    data : bytes
        Content.
    source : Address
        The sender.
    """

    data: bytes
    source: Address


class DatagramSocket:
    """Sends without waiting and receives in batches.

    Parameters
    ----------
    address : Address
        Local address to bind.
    """

    def __init__(self, *, address: Address) -> None:
        self._socket = socket.socket(_family(address), socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((address.ip, address.port))

    def __enter__(self) -> t.Self:
        return self

    def __exit__(self, *failure: object) -> None:
        self._socket.close()

    def send(self, data: bytes, to: Address) -> None:
        """Send a datagram.

        Raises
        ------
        OSError
            The datagram was not sent, for instance because the buffer was full.
        """
        self._socket.sendto(data, (to.ip, to.port))

    async def receive(self) -> tuple[Datagram, ...]:
        """Wait for datagrams and return those that have arrived.

        Raises
        ------
        OSError
            The socket cannot be read.
        """
        await anyio.wait_readable(self._socket)
        datagrams: list[Datagram] = []
        while len(datagrams) < MAX_DATAGRAMS_PER_READ:
            try:
                data, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                break
            except ConnectionRefusedError:
                continue  # an earlier datagram was sent to a closed port
            source = Address(ip=sender[0], port=sender[1])
            datagrams.append(Datagram(data=data, source=source))
        return tuple(datagrams)


def _family(address: Address) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in address.ip else socket.AF_INET
