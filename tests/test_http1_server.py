"""Client connections: reuse, early ends, graceful shutdown and invalid requests."""

import contextlib

import anyio
import pytest

from foxtailbank.clock import SystemClock
from foxtailbank.http1.client_channel import ClientChannel
from foxtailbank.http1.connection_budget import ConnectionBudget
from foxtailbank.http1.failures import ConnectionBroken
from foxtailbank.http1.server import Server
from foxtailbank.http1.server_connection import READ_BYTES
from foxtailbank.http1.server_limits import ServerLimits
from foxtailbank.http1.socket_options import reset_on_close

pytestmark = pytest.mark.anyio
ADDRESS = "127.0.0.41:18200"
CLOCK = SystemClock()
LIMITS = ServerLimits(
    header_bytes=2_000, body_bytes=5_000, header_timeout_ms=200, idle_timeout_ms=400
)


class ServerFixture:
    def __init__(self):
        self.handler_errors = []
        self.cancelled = 0
        self.refused = []
        self.budget = ConnectionBudget(
            max_connections=100,
            capacity_bytes=100_000_000,
            clock=CLOCK,
            on_refuse=self.refused.append,
        )
        self.server = Server(
            address=ADDRESS,
            handler=self.handle,
            limits=lambda: LIMITS,
            clock=CLOCK,
            on_handler_error=self.handler_errors.append,
            budget=self.budget,
        )

    async def handle(self, request, responder):
        if request.path == "/early-end":
            await responder.start(status=200, headers=())
            await responder.send(b"part")
            return
        if request.path == "/error":
            raise ValueError("unexpected")
        if request.path == "/slow":
            try:
                await anyio.sleep(60)
            except anyio.get_cancelled_exc_class():
                self.cancelled += 1
                raise
        if request.path == "/too-long":
            await responder.start(status=200, headers=(), length=1)
            await responder.send(b"ab")
        if request.path == "/endless":
            await responder.start(status=200, headers=())
            while True:
                await responder.send(b"x" * 65_536)
        await responder.respond(status=200, body=request.body or b"ok")

    async def connect(self):
        with anyio.fail_after(10):
            while True:
                with contextlib.suppress(Exception):
                    return await ClientChannel.connect(
                        address=ADDRESS, clock=CLOCK, timeout_ms=500
                    )
                await anyio.sleep(0.02)


@contextlib.asynccontextmanager
async def running_server():
    fixture = ServerFixture()
    async with anyio.create_task_group() as group:
        group.start_soon(fixture.server.run)
        yield fixture
        group.cancel_scope.cancel()


async def exchange(channel, target, body=b""):
    headers = (("Host", "h"),)
    await channel.send(method="POST", target=target, headers=headers, body=body)
    head = await channel.receive_head(5_000)
    return head, await channel.read_all(5_000)


async def test_connection_serves_many_requests():
    async with running_server() as fixture:
        channel = await fixture.connect()
        for number in range(50):
            _, body = await exchange(channel, "/x", b"%d" % number)
            assert body == b"%d" % number
            assert channel.is_reusable()
            channel.start_idle()


async def test_truncated_response_is_detected():
    async with running_server() as fixture:
        with pytest.raises(ConnectionBroken):
            await exchange(await fixture.connect(), "/early-end")


# Guards against a cut response that its client takes as complete: one of HTTP/1.0 is
# sent without a length, so that only a reset tells.
@pytest.mark.parametrize(
    ("target", "is_reset"),
    [
        pytest.param("/early-end", True, id="cut"),
        pytest.param("/x", False, id="whole"),
    ],
)
async def test_cut_response_is_reset_for_a_client_without_chunks(target, is_reset):
    async with running_server() as fixture:
        await (await fixture.connect()).aclose()
        host, _, port = ADDRESS.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(f"GET {target} HTTP/1.0\r\n\r\n".encode())
            ended = anyio.BrokenResourceError if is_reset else anyio.EndOfStream
            with pytest.raises(ended), anyio.fail_after(10):
                while True:
                    await stream.receive()


@pytest.mark.parametrize("target", ["/error", "/too-long"])
async def test_handler_error_closes_only_its_connection(target):
    async with running_server() as fixture:
        with pytest.raises(ConnectionBroken):
            await exchange(await fixture.connect(), target)
        head, _ = await exchange(await fixture.connect(), "/x")
        assert head.status == 200
        assert len(fixture.handler_errors) == 1


async def test_client_disconnect_cancels_the_handler():
    async with running_server() as fixture:
        channel = await fixture.connect()
        await channel.send(
            method="GET", target="/slow", headers=(("Host", "h"),), body=b""
        )
        await anyio.sleep(0.1)
        await channel.aclose()
        with anyio.fail_after(10):
            while not fixture.cancelled:
                await anyio.sleep(0.02)


# Guards against a reset by a client that is taken for a defect of the handler. After
# this much pipelined data nothing but the next write notices the reset.
async def test_reset_while_a_response_is_sent_is_no_handler_error():
    async with running_server() as fixture:
        await (await fixture.connect()).aclose()
        host, _, port = ADDRESS.rpartition(":")
        stream = await anyio.connect_tcp(host, int(port))
        await stream.send(b"GET /endless HTTP/1.1\r\nHost: h\r\n\r\n")
        await stream.send(b"x" * (READ_BYTES + 1))
        await stream.receive()
        await anyio.sleep(0.2)
        reset_on_close(stream)
        await stream.aclose()
        with anyio.fail_after(10):
            while fixture.server.active_request_count:
                await anyio.sleep(0.02)
        assert fixture.handler_errors == []


# Guards against requests sent ahead that are lost or answered out of turn.
async def test_requests_sent_ahead_are_answered_in_order():
    async with running_server() as fixture:
        await (await fixture.connect()).aclose()
        host, _, port = ADDRESS.rpartition(":")
        bodies = [b"%04d" % number + b"x" * 1_000 for number in range(40)]
        head = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1004\r\n\r\n"
        received = b""
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(b"".join(head + body for body in bodies))
            with anyio.fail_after(10):
                while received.count(b"x" * 1_000) < len(bodies):
                    received += await stream.receive()
        answers = received.split(b"HTTP/1.1 200 ")[1:]
        assert [answer.rpartition(b"\r\n")[2] for answer in answers] == bodies


async def test_draining_server_answers_with_connection_close():
    async with running_server() as fixture:
        channel = await fixture.connect()
        await exchange(channel, "/x")
        channel.start_idle()
        fixture.server.draining = True
        head, body = await exchange(channel, "/x")
        assert (head.get("connection"), body) == ("close", b"ok")
        assert not channel.is_reusable()


async def test_close_idle_keeps_busy_connections():
    async with running_server() as fixture:
        idle = await fixture.connect()
        busy = await fixture.connect()
        await busy.send(
            method="GET", target="/slow", headers=(("Host", "h"),), body=b""
        )
        await anyio.sleep(0.1)
        assert fixture.server.active_request_count == 1
        fixture.server.close_idle()
        await anyio.sleep(0.1)
        assert not idle.is_still_idle()
        assert busy.is_still_idle()


@pytest.mark.parametrize(
    ("data", "status"),
    [
        pytest.param(b"nonsense\r\n\r\n", b"400", id="malformed"),
        pytest.param(
            b"GET / HTTP/1.1\r\nX: " + b"y" * 3_000, b"431", id="header-too-large"
        ),
        pytest.param(b"GET / HTTP/1.1\r\nHost:", b"408", id="header-stalls"),
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6000\r\n\r\n"
            + b"x" * 6_000,
            b"413",
            id="body-too-large",
        ),
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx",
            b"408",
            id="body-stalls",
        ),
    ],
)
async def test_invalid_requests_are_refused(data, status):
    async with running_server() as fixture:
        await (await fixture.connect()).aclose()
        stream = await anyio.connect_tcp("127.0.0.41", 18200)
        await stream.send(data)
        with anyio.fail_after(10):
            response = await stream.receive()
        assert response.startswith(b"HTTP/1.1 " + status)
        assert fixture.refused == [int(status)]
        await stream.aclose()
        head, _ = await exchange(await fixture.connect(), "/x")
        assert head.status == 200


SLOW_ADDRESS = "127.0.0.67:18467"
ANSWER_PARTS = 64
ANSWER_PART = b"x" * 65_536
PAUSE_S = 2.5  # longer than a dead connection is kept


# Guards against a client that pauses its reading and gets a reset.
async def test_a_client_that_pauses_its_reading_gets_the_whole_answer():
    async def handle(request, responder):
        await responder.start(status=200, headers=())
        for _ in range(ANSWER_PARTS):
            await responder.send(ANSWER_PART)
        await responder.finish()

    server = Server(
        address=SLOW_ADDRESS,
        handler=handle,
        limits=ServerLimits,
        clock=SystemClock(),
        on_handler_error=lambda error: None,
    )
    async with anyio.create_task_group() as group:
        group.start_soon(server.run)
        await anyio.sleep(0.1)
        channel = await ClientChannel.connect(
            address=SLOW_ADDRESS, clock=SystemClock(), timeout_ms=1_000
        )
        await channel.send(method="GET", target="/", headers=(("Host", "h"),), body=b"")
        await channel.receive_head(5_000)
        await anyio.sleep(PAUSE_S)
        body = await channel.read_all(5_000, max_bytes=8 << 20)
        await channel.aclose()
        group.cancel_scope.cancel()
    assert len(body) == ANSWER_PARTS * len(ANSWER_PART)
