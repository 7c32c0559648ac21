import contextlib
import socket
import time

import anyio
import httpcore
import pytest

from foxtailbank.stream_backend import StreamBackend
from foxtailbank_bench.serving import listen

pytestmark = pytest.mark.anyio
TEST_TIMEOUT_S = 30
SHORT_TIMEOUT_S = 0.2
READ_TIMEOUT_S = 1.0


@contextlib.asynccontextmanager
async def connected():
    """Yield a connection and the blocking socket of its peer."""
    with listen(host="127.0.0.1", port=0) as listener:
        host, port = listener.getsockname()
        stream = await StreamBackend().connect_tcp(host, port, timeout=TEST_TIMEOUT_S)
        peer, _ = listener.accept()
    with peer, anyio.fail_after(TEST_TIMEOUT_S):
        try:
            yield stream, peer
        finally:
            await stream.aclose()


async def until_readable(stream):
    while not stream.get_extra_info("is_readable"):
        await anyio.sleep(0.01)


async def test_bytes_pass_both_ways():
    async with connected() as (stream, peer):
        await stream.write(b"ping", timeout=TEST_TIMEOUT_S)
        await stream.write(b"")
        assert peer.recv(10) == b"ping"
        peer.sendall(b"pong")
        assert await stream.read(2) == b"po"
        assert await stream.read(10) == b"ng"
        assert not stream.get_extra_info("is_readable")


@pytest.mark.parametrize("has_own_timeout", [False, True])
async def test_silent_peer_times_out(has_own_timeout):
    async with connected() as (stream, _):
        if has_own_timeout:
            stream.set_read_timeout(SHORT_TIMEOUT_S)
        with pytest.raises(httpcore.ReadTimeout):
            await stream.read(
                10, timeout=TEST_TIMEOUT_S * 2 if has_own_timeout else SHORT_TIMEOUT_S
            )


async def test_timeout_applies_to_each_read_separately():
    async with connected() as (stream, peer):
        stream.set_read_timeout(TEST_TIMEOUT_S * 2)
        peer.sendall(b"1")
        assert await stream.read(10) == b"1"
        stream.set_read_timeout(SHORT_TIMEOUT_S)
        for _ in range(3):
            peer.sendall(b"2")
            assert await stream.read(10) == b"2"
            await anyio.sleep(SHORT_TIMEOUT_S * 0.6)
        with pytest.raises(httpcore.ReadTimeout):
            await stream.read(10)


async def test_time_between_reads_does_not_count():
    async with connected() as (stream, peer):
        stream.set_read_timeout(SHORT_TIMEOUT_S)
        peer.sendall(b"1")
        assert await stream.read(10) == b"1"
        await anyio.sleep(SHORT_TIMEOUT_S * 2)
        peer.sendall(b"2")
        assert await stream.read(10) == b"2"


async def test_bytes_that_arrived_during_a_pause_precede_the_timeout():
    async with connected() as (stream, peer):
        results = []

        async def read():
            results.append(await stream.read(10, timeout=READ_TIMEOUT_S))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read)
            await anyio.wait_all_tasks_blocked()
            peer.sendall(b"late")
            time.sleep(READ_TIMEOUT_S * 1.5)
        assert results == [b"late"]


@pytest.mark.parametrize("unread", [b"", b"HTTP/1.1 408 Request Timeout\r\n\r\n"])
async def test_idle_connection_closed_by_the_peer_is_detected(unread):
    async with connected() as (stream, peer):
        assert not stream.get_extra_info("is_readable")
        peer.sendall(unread)
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
                await stream.write(b"x" * 1_000_000, timeout=SHORT_TIMEOUT_S)


async def test_no_listener_is_a_connect_error():
    with listen(host="127.0.0.1", port=0) as listener:
        host, port = listener.getsockname()
    with pytest.raises(httpcore.ConnectError):
        await StreamBackend().connect_tcp(host, port, timeout=TEST_TIMEOUT_S)
