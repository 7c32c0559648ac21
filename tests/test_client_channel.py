"""Response bodies in several chunks, and failures after valid chunks."""

import contextlib

import anyio
import pytest

from foxtailbank.clock import SystemClock
from foxtailbank.http1.client_channel import ClientChannel
from foxtailbank.http1.failures import ConnectionBroken, MalformedResponse

pytestmark = pytest.mark.anyio
CLOCK = SystemClock()
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
END = b"0\r\n\r\n"
TIMEOUT_MS = 5_000


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


@contextlib.asynccontextmanager
async def connected_channel(data, *, closes_after_response=False):
    """Yield a channel to a server that answers each request with the same bytes."""

    async def serve(stream):
        async with stream:
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                while True:
                    await stream.receive()
                    await stream.send(data)
                    if closes_after_response:
                        return

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    host, port = listener.extra(anyio.abc.SocketAttribute.local_address)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve)
        channel = await ClientChannel.connect(
            address=f"{host}:{port}", clock=CLOCK, timeout_ms=TIMEOUT_MS
        )
        yield channel
        await channel.aclose()
        group.cancel_scope.cancel()


async def request_head(channel):
    await channel.send(method="GET", target="/", headers=(("Host", "h"),), body=b"")
    await channel.receive_head(TIMEOUT_MS)


async def test_chunks_received_together_are_joined_and_the_connection_is_reusable():
    async with connected_channel(HEAD + chunk(b"a") + chunk(b"b") + END) as channel:
        for _ in range(2):
            await request_head(channel)
            assert await channel.next_chunk(TIMEOUT_MS) == b"ab"
            assert channel.is_complete
            assert await channel.next_chunk(TIMEOUT_MS) is None
            assert channel.is_reusable()
            channel.start_idle()


async def test_unread_end_of_body_does_not_end_the_next_response():
    async with connected_channel(HEAD + chunk(b"a") + END) as channel:
        await request_head(channel)
        assert await channel.next_chunk(TIMEOUT_MS) == b"a"
        assert channel.is_reusable()
        channel.start_idle()
        await request_head(channel)
        assert await channel.next_chunk(TIMEOUT_MS) == b"a"


@pytest.mark.parametrize(
    ("rest", "closes_after_response", "failure"),
    [
        pytest.param(b"zz\r\n", False, MalformedResponse, id="malformed"),
        pytest.param(b"", True, ConnectionBroken, id="truncated"),
    ],
)
async def test_valid_chunks_are_returned_before_the_failure(
    rest, closes_after_response, failure
):
    data = HEAD + chunk(b"a") + chunk(b"b") + rest
    async with connected_channel(
        data, closes_after_response=closes_after_response
    ) as channel:
        await request_head(channel)
        assert await channel.next_chunk(TIMEOUT_MS) == b"ab"
        assert not channel.is_complete
        with pytest.raises(failure):
            await channel.next_chunk(TIMEOUT_MS)
        assert not channel.is_reusable()
