"""Client connections: kept, ended early, at a stop, and bytes that are no request."""

import contextlib

import anyio
import pytest

from foxtailbank.clock import SystemClock
from foxtailbank.http1.client_channel import ClientChannel
from foxtailbank.http1.failures import ConnectionBroken
from foxtailbank.http1.server import Server
from foxtailbank.http1.server_limits import ServerLimits

pytestmark = pytest.mark.anyio
ADDRESS = "127.0.0.41:18200"
CLOCK = SystemClock()
LIMITS = ServerLimits(
    header_bytes=2_000, body_bytes=5_000, header_timeout_ms=200, idle_timeout_ms=400
)


@pytest.fixture
def anyio_backend():
    return "asyncio"


class World:
    def __init__(self):
        self.defects = []
        self.cancelled = 0
        self.server = Server(
            address=ADDRESS,
            handler=self.handle,
            limits=lambda: LIMITS,
            clock=CLOCK,
            on_defect=self.defects.append,
        )

    async def handle(self, request, responder):
        if request.path == "/early-end":
            await responder.start(status=200, headers=())
            await responder.send(b"part")
            return
        if request.path == "/defect":
            raise ValueError("unexpected")
        if request.path == "/slow":
            try:
                await anyio.sleep(60)
            except anyio.get_cancelled_exc_class():
                self.cancelled += 1
                raise
        await responder.answer(status=200, body=request.body or b"ok")

    async def connect(self):
        with anyio.fail_after(10):
            while True:
                with contextlib.suppress(Exception):
                    return await ClientChannel.connect(
                        address=ADDRESS, clock=CLOCK, timeout_ms=500
                    )
                await anyio.sleep(0.02)


@contextlib.asynccontextmanager
async def running():
    world = World()
    async with anyio.create_task_group() as group:
        group.start_soon(world.server.run)
        yield world
        group.cancel_scope.cancel()


async def ask(channel, target, body=b""):
    headers = (("Host", "h"),)
    await channel.send(method="POST", target=target, headers=headers, body=body)
    head = await channel.head(5_000)
    return head, await channel.rest(5_000)


async def test_a_connection_serves_many_requests():
    async with running() as world:
        channel = await world.connect()
        for number in range(50):
            _, body = await ask(channel, "/x", b"%d" % number)
            assert body == b"%d" % number
            assert channel.reusable()
            channel.start_idle()


async def test_an_answer_that_ends_early_does_not_look_complete():
    async with running() as world:
        with pytest.raises(ConnectionBroken):
            await ask(await world.connect(), "/early-end")


async def test_a_defect_costs_one_connection():
    async with running() as world:
        with pytest.raises(ConnectionBroken):
            await ask(await world.connect(), "/defect")
        head, _ = await ask(await world.connect(), "/x")
        assert head.status == 200
        assert len(world.defects) == 1


async def test_a_client_that_leaves_cancels_its_request():
    async with running() as world:
        channel = await world.connect()
        await channel.send(
            method="GET", target="/slow", headers=(("Host", "h"),), body=b""
        )
        await anyio.sleep(0.1)
        await channel.aclose()
        with anyio.fail_after(10):
            while not world.cancelled:
                await anyio.sleep(0.02)


async def test_a_stopping_vm_answers_and_asks_to_close():
    async with running() as world:
        channel = await world.connect()
        await ask(channel, "/x")
        channel.start_idle()
        world.server.draining = True
        head, body = await ask(channel, "/x")
        assert (head.get("connection"), body) == ("close", b"ok")
        assert not channel.reusable()


async def test_idle_connections_close_and_busy_ones_stay_at_a_stop():
    async with running() as world:
        idle = await world.connect()
        busy = await world.connect()
        await busy.send(
            method="GET", target="/slow", headers=(("Host", "h"),), body=b""
        )
        await anyio.sleep(0.1)
        assert world.server.busy_count == 1
        world.server.close_idle()
        await anyio.sleep(0.1)
        assert not idle.still_idle()
        assert busy.still_idle()


@pytest.mark.parametrize(
    ("data", "status"),
    [
        pytest.param(b"nonsense\r\n\r\n", b"400", id="no-request"),
        pytest.param(b"GET / HTTP/1.1\r\nX: " + b"y" * 3_000, b"431", id="header"),
        pytest.param(b"GET / HTTP/1.1\r\nHost:", b"408", id="header-stalls"),
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6000\r\n\r\n"
            + b"x" * 6_000,
            b"413",
            id="body",
        ),
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx",
            b"408",
            id="body-stalls",
        ),
    ],
)
async def test_bytes_that_are_refused(data, status):
    async with running() as world:
        await (await world.connect()).aclose()
        stream = await anyio.connect_tcp("127.0.0.41", 18200)
        await stream.send(data)
        with anyio.fail_after(10):
            answer = await stream.receive()
        assert answer.startswith(b"HTTP/1.1 " + status)
        await stream.aclose()
        head, _ = await ask(await world.connect(), "/x")
        assert head.status == 200
