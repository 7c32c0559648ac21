"""A stream that stays registered with the event loop loses nothing and never spins."""

import contextlib
import socket

import anyio
import anyio.lowlevel
import pytest

from foxtailbank.http1.socket_stream import BufferlessStream, InputWatcher

pytestmark = pytest.mark.anyio
PAUSE_S = 0.05


class Watcher(InputWatcher):
    def __init__(self, room_bytes):
        self._room_bytes = room_bytes
        self.asked = 0
        self.events = []

    def room_bytes(self):
        self.asked += 1
        return self._room_bytes - sum(map(len, self.events))

    def on_data(self, data):
        self.events.append(data)

    def on_end(self):
        self.events.append(b"")


@contextlib.asynccontextmanager
async def connected():
    near, far = socket.socketpair()
    near.setblocking(False)
    stream = BufferlessStream(sock=near)
    with far:
        yield stream, far
    await stream.aclose()


# Guards against a loop that calls a full watcher over and over.
async def test_a_full_watcher_is_left_alone_and_the_rest_is_received_later():
    async with connected() as (stream, far):
        watcher = Watcher(4)
        stream.watch(watcher)
        far.send(b"abcdef")
        await anyio.sleep(PAUSE_S)
        assert (watcher.events, watcher.asked) == ([b"abcd"], 2)
        stream.unwatch()
        assert await stream.receive() == b"ef"


async def test_the_end_is_told_once_and_received_later():
    async with connected() as (stream, far):
        watcher = Watcher(4)
        stream.watch(watcher)
        far.shutdown(socket.SHUT_WR)
        await anyio.sleep(PAUSE_S)
        assert (watcher.events, watcher.asked) == ([b""], 1)
        with pytest.raises(anyio.EndOfStream):
            await stream.receive()


# Guards against bytes that are lost when their wait ends in the turn they arrive in.
@pytest.mark.parametrize("turns", range(4))
async def test_bytes_that_arrive_as_a_wait_is_cancelled_are_kept(turns):
    async with connected() as (stream, far):
        received = []
        async with anyio.create_task_group() as group:
            group.start_soon(_receive_into, stream, received)
            await anyio.wait_all_tasks_blocked()
            far.send(b"late")
            for _ in range(turns):
                await anyio.lowlevel.checkpoint()
            group.cancel_scope.cancel()
        if not received:
            received.append(await stream.receive())
        assert received == [b"late"]


async def _receive_into(stream, received):
    received.append(await stream.receive())


async def test_a_closed_stream_says_so():
    async with connected() as (stream, _):
        await stream.aclose()
        with pytest.raises(anyio.ClosedResourceError):
            await stream.receive()
