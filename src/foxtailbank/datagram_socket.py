"""UDP socket for many small datagrams whose loss does no harm."""

import dataclasses
import socket
import typing as t

import anyio

from foxtailbank.address import Address

MAX_DATAGRAM_BYTES = 65_535
MAX_READ = 64  # datagrams taken before other tasks get a turn


@dataclasses.dataclass(frozen=True, kw_only=True)
class Datagram:
    """A datagram that came.

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
    """Sends without waiting, and reads all that has come at once.

    Parameters
    ----------
    address : Address
        Where it is bound.
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
            It was not sent; a full buffer is one cause.
        """
        self._socket.sendto(data, (to.ip, to.port))

    async def receive(self) -> tuple[Datagram, ...]:
        """Wait for datagrams and return those that have come.

        Raises
        ------
        OSError
            The socket can't be read.
        """
        await anyio.wait_readable(self._socket)
        taken: list[Datagram] = []
        while len(taken) < MAX_READ:
            try:
                data, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                break
            except ConnectionRefusedError:
                continue  # an earlier datagram met a closed port
            source = Address(ip=sender[0], port=sender[1])
            taken.append(Datagram(data=data, source=source))
        return tuple(taken)


def _family(address: Address) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in address.ip else socket.AF_INET
