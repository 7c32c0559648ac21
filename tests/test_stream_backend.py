import contextlib
import socket
import time

import anyio
import httpcore
import pytest

from foxtailbank.stream_backend import StreamBackend
from foxtailbank_bench.serving import listen

pytestmark = pytest.mark.anyio
GIVE_UP_S = 30
SHORT_S = 0.2
PAUSE_S = 1.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


@contextlib.asynccontextmanager
async def connected():
    """Give a connection and the blocking socket at its other end."""
    with listen(host="127.0.0.1", port=0) as listener:
        host, port = listener.getsockname()
        stream = await StreamBackend().connect_tcp(host, port, timeout=GIVE_UP_S)
        peer, _ = listener.accept()
    with peer, anyio.fail_after(GIVE_UP_S):
        try:
            yield stream, peer
        finally:
            await stream.aclose()


async def until_readable(stream):
    while not stream.get_extra_info("is_readable"):
        await anyio.sleep(0.01)


async def test_bytes_pass_both_ways():
    async with connected() as (stream, peer):
        await stream.write(b"ping", timeout=GIVE_UP_S)
        await stream.write(b"")
        assert peer.recv(10) == b"ping"
        peer.sendall(b"pong")
        assert await stream.read(2) == b"po"
        assert await stream.read(10) == b"ng"
        assert not stream.get_extra_info("is_readable")


@pytest.mark.parametrize("own_bound", [False, True])
async def test_silence_is_a_timeout(own_bound):
    async with connected() as (stream, _):
        if own_bound:
            stream.bound_reads(SHORT_S)
        with pytest.raises(httpcore.ReadTimeout):
            await stream.read(10, timeout=GIVE_UP_S * 2 if own_bound else SHORT_S)


async def test_bound_holds_for_each_read_alone():
    async with connected() as (stream, peer):
        stream.bound_reads(GIVE_UP_S * 2)
        peer.sendall(b"1")
        assert await stream.read(10) == b"1"
        stream.bound_reads(SHORT_S)
        for _ in range(3):
            peer.sendall(b"2")
            assert await stream.read(10) == b"2"
            await anyio.sleep(SHORT_S * 0.6)
        with pytest.raises(httpcore.ReadTimeout):
            await stream.read(10)


async def test_time_between_reads_does_not_count():
    async with connected() as (stream, peer):
        stream.bound_reads(SHORT_S)
        peer.sendall(b"1")
        assert await stream.read(10) == b"1"
        await anyio.sleep(SHORT_S * 2)
        peer.sendall(b"2")
        assert await stream.read(10) == b"2"


async def test_bytes_that_arrived_during_a_pause_precede_the_timeout():
    async with connected() as (stream, peer):
        results = []

        async def read():
            results.append(await stream.read(10, timeout=PAUSE_S))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read)
            await anyio.wait_all_tasks_blocked()
            peer.sendall(b"late")
            time.sleep(PAUSE_S * 1.5)
        assert results == [b"late"]


@pytest.mark.parametrize("left", [b"", b"HTTP/1.1 408 Request Timeout\r\n\r\n"])
async def test_idle_connection_closed_by_the_peer_can_be_told(left):
    async with connected() as (stream, peer):
        assert not stream.get_extra_info("is_readable")
        peer.sendall(left)
        peer.close()
        await until_readable(stream)


async def test_reset_is_a_read_error():
    async with connected() as (stream, peer):
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        peer.close()
        with pytest.raises(httpcore.ReadError):
            await stream.read(10)


async def test_peer_that_reads_nothing_is_a_write_timeout():
    async with connected() as (stream, _):
        with pytest.raises(httpcore.WriteTimeout):
            while True:
                await stream.write(b"x" * 1_000_000, timeout=SHORT_S)


async def test_no_listener_is_a_connect_error():
    with listen(host="127.0.0.1", port=0) as listener:
        host, port = listener.getsockname()
    with pytest.raises(httpcore.ConnectError):
        await StreamBackend().connect_tcp(host, port, timeout=GIVE_UP_S)
