"""UDP between two sockets on loopback."""

import anyio
import pytest

from foxtailbank.address import parse_address
from foxtailbank.datagram_socket import MAX_READ, DatagramSocket

pytestmark = pytest.mark.anyio
FIRST = parse_address("127.0.0.42:18471")
SECOND = parse_address("127.0.0.42:18472")
WAIT_S = 10


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def test_datagrams_come_with_their_source_and_in_parts_of_a_bounded_size():
    with DatagramSocket(address=FIRST) as one, DatagramSocket(address=SECOND) as other:
        for number in range(MAX_READ + 1):
            one.send(b"%d" % number, SECOND)
        found = []
        with anyio.fail_after(WAIT_S):
            while len(found) < MAX_READ + 1:
                part = await other.receive()
                assert len(part) <= MAX_READ
                found += part
        assert [int(datagram.data) for datagram in found] == list(range(MAX_READ + 1))
        assert {datagram.source for datagram in found} == {FIRST}


async def test_a_closed_peer_does_not_end_the_reading():
    with DatagramSocket(address=FIRST) as one:
        for _ in range(3):
            one.send(b"into the void", SECOND)
        with DatagramSocket(address=SECOND) as other, anyio.fail_after(WAIT_S):
            other.send(b"here", FIRST)
            (datagram,) = await one.receive()
            assert datagram.data == b"here"
