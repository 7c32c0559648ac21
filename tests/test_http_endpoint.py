import contextlib

import anyio
import msgspec
import pytest

from foxtailbank import exceptions
from foxtailbank.endpoint import EndpointCall
from foxtailbank.headers import strip_hop_by_hop
from foxtailbank.http_endpoint import HttpEndpoint
from foxtailbank_bench.control import StandInControl
from foxtailbank_bench.records_app import RecordsApp
from foxtailbank_bench.serving import address_of, listen, running

pytestmark = pytest.mark.anyio
TEST_TIMEOUT_S = 30
CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
SIZED = b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\n"
NOT_ADMITTED = (
    b"HTTP/1.1 503 Unavailable\r\nx-not-admitted: 1\r\ncontent-length: 2\r\n\r\n{}"
)
CALL = EndpointCall(request_id="r1", method="POST", path="/v1/completions", body=b"{}")


class ScriptedServer:
    """Answers each request with fixed bytes, then closes or keeps the connection."""

    def __init__(self, *, script, after_send):
        self.script = script
        self.after_send = after_send
        self.connections = 0

    async def handle(self, stream):
        self.connections += 1
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            async with stream:
                while True:
                    await stream.receive()
                    await stream.send(self.script) if self.script else None
                    if self.after_send == "close":
                        return


@contextlib.asynccontextmanager
async def scripted_server(*, script, after_send):
    server = ScriptedServer(script=script, after_send=after_send)
    async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(listener.serve, server.handle)
            yield server, f"127.0.0.1:{port}"
            task_group.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def endpoint_at(address, **bounds):
    endpoint = HttpEndpoint(address=address, **bounds)
    try:
        yield endpoint
    finally:
        await endpoint.aclose()


BROKEN = exceptions.EndpointFailed
STALLED = exceptions.EndpointStalled


@pytest.mark.parametrize(
    ("script", "after_send", "expected_body", "failure"),
    [
        (b"", "close", b"", BROKEN),
        (b"HTTP/1.1 200", "close", b"", BROKEN),
        (b"garbage\r\n\r\n", "stay", b"", BROKEN),
        (CHUNKED, "close", b"", BROKEN),
        (CHUNKED + b"3\r\nabc\r\n", "close", b"abc", BROKEN),
        (CHUNKED + b"5\r\nab", "close", b"ab", BROKEN),
        (CHUNKED + b"zz\r\nab", "stay", b"", BROKEN),
        (SIZED + b"abc", "close", b"abc", BROKEN),
        (b"", "stay", b"", STALLED),
        (CHUNKED, "stay", b"", STALLED),
        (CHUNKED + b"3\r\nabc\r\n", "stay", b"abc", STALLED),
        (SIZED + b"abc", "stay", b"abc", STALLED),
    ],
)
@pytest.mark.parametrize("fresh", [False, True])
async def test_incomplete_responses_are_failures(
    script, after_send, expected_body, failure, fresh
):
    bounds = {"head_ms": 300, "first_chunk_ms": 300, "stall_ms": 300}
    received = bytearray()
    call = EndpointCall(request_id="r", method="GET", path="/", fresh_connection=fresh)
    async with (
        scripted_server(script=script, after_send=after_send) as (_, address),
        endpoint_at(address, **bounds) as endpoint,
    ):
        with anyio.fail_after(TEST_TIMEOUT_S), pytest.raises(failure) as caught:
            async with endpoint.open(call) as response:
                async for chunk in response.chunks():
                    received += chunk
    assert type(caught.value) is failure
    assert caught.value.ran is exceptions.Ran.UNKNOWN
    assert bytes(received) == expected_body


async def test_refused_connection_did_not_run():
    sock = listen(host="127.0.0.1", port=0)
    address = address_of(sock)
    sock.close()
    async with endpoint_at(address) as endpoint:
        with pytest.raises(exceptions.EndpointRefused) as caught:
            await endpoint.call(CALL)
    assert caught.value.ran is exceptions.Ran.NO


async def test_not_admitted_did_not_run_and_keeps_the_connection():
    async with (
        scripted_server(script=NOT_ADMITTED, after_send="stay") as (server, address),
        endpoint_at(address) as endpoint,
    ):
        for _ in range(3):
            with pytest.raises(exceptions.EndpointRefused) as caught:
                await endpoint.call(CALL)
            assert caught.value.ran is exceptions.Ran.NO
        assert server.connections == 1


async def test_other_503_responses_are_returned():
    script = NOT_ADMITTED.replace(b"x-not-admitted", b"x-other")
    async with (
        scripted_server(script=script, after_send="stay") as (_, address),
        endpoint_at(address) as endpoint,
    ):
        assert (await endpoint.call(CALL)).status == 503


@pytest.mark.parametrize(
    ("path", "headers"),
    [
        ("/a b", ()),
        ("/\u0142", ()),
        ("/", (("x", "a\r\nb: c"),)),
        ("/", (("x", "\u0142"),)),
        ("/", (("x y", "a"),)),
    ],
)
async def test_malformed_request_is_not_sent(path, headers):
    call = EndpointCall(request_id="r", method="GET", path=path, headers=headers)
    async with running(RecordsApp()) as address, endpoint_at(address) as endpoint:
        with pytest.raises(exceptions.InvalidRequest) as caught:
            await endpoint.call(call)
        assert caught.value.ran is exceptions.Ran.NO
        control = StandInControl(address=address)
        assert await control.journal() == []
        await control.aclose()


@pytest.mark.parametrize(("fresh", "connections"), [(False, 1), (True, 3)])
async def test_fresh_calls_share_no_connection(fresh, connections):
    script = SIZED + b"abcdef"
    call = EndpointCall(request_id="r", method="GET", path="/", fresh_connection=fresh)
    async with (
        scripted_server(script=script, after_send="stay") as (server, address),
        endpoint_at(address) as endpoint,
    ):
        for _ in range(3):
            assert (await endpoint.call(call)).body == b"abcdef"
        assert server.connections == connections


async def test_fresh_call_avoids_an_idle_pooled_connection():
    script = SIZED + b"abcdef"
    async with (
        scripted_server(script=script, after_send="stay") as (server, address),
        endpoint_at(address) as endpoint,
    ):
        await endpoint.call(CALL)
        fresh = EndpointCall(
            request_id="r", method="GET", path="/", fresh_connection=True
        )
        await endpoint.call(fresh)
        await endpoint.call(CALL)
        assert server.connections == 2


async def test_headers_are_passed_without_hop_by_hop_ones():
    sent_headers = (
        ("Authorization", "Bearer k"),
        ("Connection", "close, X-Mine"),
        ("X-Mine", "1"),
        ("TE", "trailers"),
        ("Host", "example"),
        ("Content-Length", "99"),
        ("X-Twice", "1"),
        ("X-Twice", "2"),
    )
    call = EndpointCall(
        request_id="r7",
        method="PUT",
        path="/echo/a%2Fb?c=%20d",
        headers=sent_headers,
        body=b"body",
        resume_at=4,
    )
    async with running(RecordsApp()) as address, endpoint_at(address) as endpoint:
        echo = msgspec.json.decode((await endpoint.call(call)).body)
    headers = [(name, value) for name, value in echo["headers"] if name != "host"]
    assert headers == [
        ("authorization", "Bearer k"),
        ("x-twice", "1"),
        ("x-twice", "2"),
        ("x-request-id", "r7"),
        ("x-resume-at", "4"),
        ("content-length", "4"),
    ]
    assert (echo["method"], echo["path"]) == ("PUT", "/echo/a%2Fb")
    assert (echo["query"], echo["body"]) == ("c=%20d", "body")


@pytest.mark.parametrize(
    ("headers", "expected"),
    [
        ((("A", "1"), ("Keep-Alive", "x")), (("A", "1"),)),
        ((("Transfer-Encoding", "chunked"),), ()),
        ((("B", "2"), ("connection", "b , C"), ("c", "3")), ()),
        ((), ()),
    ],
)
def test_strip_hop_by_hop(headers, expected):
    assert strip_hop_by_hop(headers) == expected


async def test_calls_continue_on_dropped_connections():
    call = EndpointCall(request_id="r", method="GET", path="/")
    script = CHUNKED + b"3\r\nabc\r\n"
    async with (
        scripted_server(script=script, after_send="stay") as (_, address),
        endpoint_at(address, stall_ms=300) as endpoint,
    ):
        with pytest.raises(exceptions.EndpointStalled):
            async with endpoint.open(call) as response:
                chunks = response.chunks()
                endpoint.drop_connections()
                assert await anext(chunks) == b"abc"
                await anext(chunks)


@pytest.mark.parametrize("body", [b"[]", b"nonsense", b'{"age_ms":"x"}'])
async def test_malformed_reports_are_failures(body):
    script = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)
    async with (
        scripted_server(script=script, after_send="stay") as (_, address),
        endpoint_at(address) as endpoint,
    ):
        with pytest.raises(exceptions.EndpointFailed):
            await endpoint.load()
