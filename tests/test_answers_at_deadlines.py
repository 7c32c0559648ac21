"""Answers whose deadline passes while they are sent."""

import contextlib

import anyio
import pytest

from foxtailbank.clock import SystemClock
from foxtailbank.forward.route import RouteKind
from foxtailbank.http1.client_channel import ClientChannel
from foxtailbank.http1.server import Server
from foxtailbank.http1.server_limits import ServerLimits
from foxtailbank.http1.socket_options import raw_socket
from raw_worker import (
    CHUNKED_HEAD,
    RawAnswer,
    RawServer,
    RawWorkerVm,
    ask,
    running_servers,
)
from serving_fakes import make_route

pytestmark = pytest.mark.anyio
ADDRESS = "127.0.0.47:18247"
CLOCK = SystemClock()
LARGE = b"x" * 65_536
REQUESTS = 100
DEADLINE_MS = 60


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def answer_cancelled(responder):
    with anyio.CancelScope() as scope:
        scope.cancel()
        await responder.respond(status=504, body=b"late")


async def start_then_cancelled(responder):
    await responder.start(status=200, headers=())
    with anyio.CancelScope() as scope:
        scope.cancel()
        await responder.send(b"late")
        await responder.finish()


async def cut_end_of_answer(responder):
    await responder.start(status=200, headers=())
    connected = raw_socket(responder._stream)
    for piece in (LARGE, b"x"):
        with contextlib.suppress(BlockingIOError):
            while True:
                connected.send(piece)
    with anyio.move_on_after(0.05):
        await responder.finish()


@contextlib.asynccontextmanager
async def running_server(answer):
    async def handle(request, responder):
        await answer(responder)

    server = Server(
        address=ADDRESS,
        handler=handle,
        limits=ServerLimits,
        clock=CLOCK,
        on_handler_error=lambda error: None,
    )
    async with anyio.create_task_group() as group:
        group.start_soon(server.run)
        yield
        group.cancel_scope.cancel()


async def connect():
    with anyio.fail_after(10):
        while True:
            with contextlib.suppress(Exception):
                return await ClientChannel.connect(
                    address=ADDRESS, clock=CLOCK, timeout_ms=500
                )
            await anyio.sleep(0.02)


async def send(channel):
    headers = (("Host", "h"),)
    await channel.send(method="POST", target="/", headers=headers, body=b"")


# Guards against an answer that is framed as sent, and never reaches its client, since
# its deadline passed in that moment: the client waits on, on a kept channel.
@pytest.mark.parametrize("answer", [answer_cancelled, start_then_cancelled])
async def test_answer_whose_deadline_passes_reaches_its_client(answer):
    async with running_server(answer):
        channel = await connect()
        for _ in range(3):
            await send(channel)
            await channel.receive_head(1_000)
            assert await channel.read_all(1_000) == b"late"
            channel.start_idle()


# Guards against a channel that is kept though the end of its answer was not sent: the
# next answer would be read as the rest of it.
async def test_channel_is_closed_after_a_part_of_an_answer():
    async with running_server(cut_end_of_answer):
        channel = await connect()
        await send(channel)
        await anyio.sleep(0.3)
        with anyio.fail_after(2), contextlib.suppress(anyio.EndOfStream):
            while await channel._stream.receive():
                pass


# Guards against requests that get no answer at all at their deadline, once in twenty,
# since their worker sent bytes until then.
@pytest.mark.parametrize("kind", [RouteKind.SAFE, RouteKind.STREAM])
async def test_each_request_is_answered_at_its_deadline(kind):
    route = make_route(kind=kind, max_attempts=1, timeout_ms=DEADLINE_MS)
    trickle = RawAnswer(data=CHUNKED_HEAD, endless=b"1\r\nx\r\n")
    server = RawServer(*[trickle] * REQUESTS)
    server.endless_pause_s = 0.005
    statuses = []
    async with running_servers(server) as group:
        vm = RawWorkerVm(server, route=route)
        address = await group.start(vm.serve_connections)
        for _ in range(REQUESTS):
            vm.fleet.health.forget("w0")
            with anyio.move_on_after(1):
                statuses.append((await ask(address)).status)
    assert statuses == [504] * REQUESTS
