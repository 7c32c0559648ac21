"""UDP between two sockets on loopback."""

import anyio
import pytest

from foxtailbank.address import parse_address
from foxtailbank.datagram_socket import MAX_DATAGRAMS_PER_READ, DatagramSocket

pytestmark = pytest.mark.anyio
FIRST = parse_address("127.0.0.42:18471")
SECOND = parse_address("127.0.0.42:18472")
WAIT_S = 10


async def test_receive_returns_bounded_batches_with_sources():
    with DatagramSocket(address=FIRST) as one, DatagramSocket(address=SECOND) as other:
        for number in range(MAX_DATAGRAMS_PER_READ + 1):
            one.send(b"%d" % number, SECOND)
        received = []
        with anyio.fail_after(WAIT_S):
            while len(received) < MAX_DATAGRAMS_PER_READ + 1:
                batch = await other.receive()
                assert len(batch) <= MAX_DATAGRAMS_PER_READ
                received += batch
        assert [int(datagram.data) for datagram in received] == list(
            range(MAX_DATAGRAMS_PER_READ + 1)
        )
        assert {datagram.source for datagram in received} == {FIRST}


async def test_closed_peer_does_not_stop_reception():
    with DatagramSocket(address=FIRST) as one:
        for _ in range(3):
            one.send(b"lost", SECOND)
        with DatagramSocket(address=SECOND) as other, anyio.fail_after(WAIT_S):
            other.send(b"here", FIRST)
            (datagram,) = await one.receive()
            assert datagram.data == b"here"
