"""Answers whose bytes never end, in the head or the body: read up to a bound."""

import dataclasses

import anyio
import pytest

from foxtailbank.forward.event_stream import (
    EventBuffer,
    EventSource,
)
from foxtailbank.forward.route import RouteKind
from foxtailbank.http1.failures import ExchangeFailed, ResponseTimeout, ResponseTooLarge
from foxtailbank.keyed_log import StoreResponseLost
from foxtailbank.response_limits import (
    MAX_BODY_BYTES,
    MAX_EVENT_BYTES,
    MAX_HEAD_BYTES,
    MAX_REFUSAL_BYTES,
    MAX_STREAM_BYTES,
)
from foxtailbank_platform.headers import NOT_EXECUTED
from foxtailbank_platform.store import MAX_RESPONSE_BYTES, KeyedTopic, StoreClient
from foxtailbank_platform.worker_client import HttpWorkerClient
from item_vm import ItemVm
from raw_worker import (
    CHUNKED_HEAD,
    CLOCK,
    HEADERS,
    REQUEST_ID,
    TIMEOUT_MS,
    UNFRAMED_HEAD,
    RawAnswer,
    RawServer,
    RawWorkerVm,
    ask,
    ask_through_vm,
    chunked,
    running_servers,
    sized,
    worker_at,
)
from serving_fakes import (
    FakeResponder,
    FakeResponse,
    ServingWorld,
    make_call,
    make_route,
)

pytestmark = pytest.mark.anyio
# Sent and not read: a receive of the reader and what the kernel buffers meanwhile.
UNREAD_BYTES = 1 << 20
PIECE = b"x" * 16_384
ANSWER_MS = 1_500  # a second before the deadline of a request
SAFE = make_route()
SAFE_ONCE = make_route(max_attempts=1)
UNSAFE = make_route(kind=RouteKind.UNSAFE)
RESUMABLE_ONCE = make_route(kind=RouteKind.STREAM, resumable=True, max_attempts=1)
STREAM = make_route(kind=RouteKind.STREAM, max_attempts=1)
RESUMABLE = make_route(kind=RouteKind.STREAM, resumable=True)
REFUSED_HEAD = b"HTTP/1.1 503 x\r\n%s: 1\r\n%s" % (NOT_EXECUTED.encode(), HEADERS)
EVENT = b"id: 1\ndata: a\n\n"
HEADS = [
    pytest.param(RawAnswer(endless=PIECE), id="no-answer"),
    pytest.param(
        RawAnswer(data=b"HTTP/1.1 200 OK\r\nX: ", endless=PIECE), id="header-value"
    ),
    pytest.param(
        RawAnswer(data=b"HTTP/1.1 200 OK\r\n", endless=b"X: a\r\n" * 2_000),
        id="header-lines",
    ),
    pytest.param(
        RawAnswer(endless=b"HTTP/1.1 103 Early Hints\r\n\r\n" * 500), id="interim"
    ),
]
BODIES = [
    pytest.param(RawAnswer(data=UNFRAMED_HEAD, endless=PIECE), id="unframed"),
    pytest.param(
        RawAnswer(data=CHUNKED_HEAD, endless=b"4000\r\n" + PIECE + b"\r\n"),
        id="chunks",
    ),
    pytest.param(
        RawAnswer(data=CHUNKED_HEAD + b"1;a=", endless=PIECE), id="chunk-header"
    ),
    pytest.param(
        RawAnswer(data=CHUNKED_HEAD + b"0\r\n", endless=b"X: a\r\n" * 2_000),
        id="trailers",
    ),
    pytest.param(
        RawAnswer(
            data=b"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n"
            + HEADERS
            + b"\r\n",
            endless=PIECE,
        ),
        id="huge-length",
    ),
]


@pytest.fixture
def anyio_backend():
    return "asyncio"


def assert_bounded(server, max_bytes):
    assert server.endless_bytes <= max_bytes + UNREAD_BYTES


async def ask_in_time(route, *servers, first=None):
    with anyio.fail_after(ANSWER_MS / 1_000):
        return await ask_through_vm(route, *servers, first=first)


# Guards against a VM that reads a head without end until its memory is used up.
@pytest.mark.parametrize("answer", HEADS)
@pytest.mark.parametrize("route", [SAFE_ONCE, STREAM])
async def test_head_without_end_fails_before_the_deadline(route, answer):
    server = RawServer(answer)
    seen = await ask_in_time(route, server)
    assert (seen.status, seen.body) == (502, b"")
    assert_bounded(server, 2 * MAX_HEAD_BYTES)


# Guards against a VM that reads a body without end until its memory is used up.
@pytest.mark.parametrize("answer", BODIES)
@pytest.mark.parametrize("route", [SAFE_ONCE, STREAM])
async def test_body_without_end_fails_before_the_deadline(route, answer):
    server = RawServer(answer)
    seen = await ask_in_time(route, server)
    assert seen.status == 502 or not seen.complete
    is_stream = route.kind is RouteKind.STREAM
    assert_bounded(server, MAX_EVENT_BYTES if is_stream else MAX_BODY_BYTES)


@pytest.mark.parametrize("answer", [*HEADS, *BODIES])
@pytest.mark.parametrize(
    ("route", "sound", "body"),
    [
        pytest.param(SAFE, sized(b"ok"), b"ok", id="safe"),
        pytest.param(RESUMABLE, chunked(EVENT), EVENT, id="resumable"),
    ],
)
async def test_next_worker_is_tried_after_bytes_without_end(route, sound, body, answer):
    first = RawServer(answer)
    seen = await ask_in_time(route, first, RawServer(sound), first=first)
    assert (seen.status, seen.body, seen.complete) == (200, body, True)


# Guards against a stream that is passed on until its deadline, whatever it sends.
async def test_events_without_end_are_cut_off():
    part = EVENT * 4_000
    response = FakeResponse(parts=[part] * (MAX_STREAM_BYTES // len(part) + 1))
    source = EventSource(response=response, buffer=EventBuffer(), clock=CLOCK)
    passed_on = 0
    with pytest.raises(ResponseTooLarge):
        while events := await source.next_chunk(TIMEOUT_MS):
            passed_on += len(events)
    assert MAX_STREAM_BYTES - len(part) <= passed_on <= MAX_STREAM_BYTES


# Guards against events that are counted as received and reach nobody: the stream would
# be resumed after them.
async def test_stream_that_is_too_long_is_resumed_after_the_last_event_passed_on():
    size = 1 << 18
    count = MAX_STREAM_BYTES // size + 1
    events = [b"id: %d\ndata: %s\n\n" % (n, b"x" * size) for n in range(1, count + 1)]
    passed_on = MAX_STREAM_BYTES // len(events[-1])
    rest = FakeResponse(parts=events[passed_on : passed_on + 1])
    world = ServingWorld(FakeResponse(parts=events), rest)
    seen = await world.serve(RESUMABLE)
    assert world.client.sent[1][3] == str(passed_on)
    assert seen.body == b"".join(events[: passed_on + 1])


# Guards against a worker that is chosen again and again although each answer of it
# takes the time and the link of a body without end.
async def test_worker_is_avoided_after_answers_without_end():
    script = [ResponseTooLarge(detail="x"), ResponseTooLarge(detail="x")]
    world = ServingWorld(*script, worker_count=1)
    for _ in script:
        assert not world.fleet.health.is_avoided("w0", CLOCK.now_ms())
        world.responder = FakeResponder()
        await world.serve(SAFE_ONCE)
    assert world.fleet.health.is_avoided("w0", CLOCK.now_ms())


EVENT_HEAD = CHUNKED_HEAD[:-2] + b"Content-Type: text/event-stream\r\n\r\n"
FEW_BYTES = b"10\r\n" + b"x" * 16 + b"\r\n"
SLOW_HEAD = RawAnswer(data=b"HTTP/1.1 200 x\r\n", endless=b"X: a\r\n")
SLOW_BODY = RawAnswer(data=CHUNKED_HEAD, endless=FEW_BYTES)
SLOW_EVENT = RawAnswer(data=EVENT_HEAD, endless=FEW_BYTES)


# Guards against a worker that keeps its share of the requests although its bytes, fast
# or slow, never become an answer.
@pytest.mark.parametrize(
    ("answer", "pause_s"),
    [
        *(pytest.param(*one.values, 0.0, id=one.id) for one in HEADS + BODIES),
        pytest.param(SLOW_EVENT, 0.0, id="event"),
        pytest.param(SLOW_HEAD, 0.02, id="slow-head"),
        pytest.param(SLOW_BODY, 0.02, id="slow-body"),
        pytest.param(SLOW_EVENT, 0.02, id="slow-event"),
    ],
)
@pytest.mark.parametrize(
    "route",
    [
        pytest.param(SAFE_ONCE, id="safe"),
        pytest.param(UNSAFE, id="unsafe"),
        pytest.param(STREAM, id="stream"),
        pytest.param(RESUMABLE_ONCE, id="resumable"),
    ],
)
async def test_worker_whose_bytes_become_no_answer_is_avoided(route, answer, pause_s):
    route = dataclasses.replace(route, timeout_ms=1_200)
    server = RawServer(answer, answer)
    server.endless_pause_s = pause_s
    async with running_servers(server) as group:
        vm = RawWorkerVm(server, route=route)
        address = await group.start(vm.serve_connections)
        seen = [await ask(address) for _ in range(2)]
        assert vm.fleet.health.is_avoided("w0", CLOCK.now_ms())
    assert not any(answer.status == 200 and answer.complete for answer in seen)


# Guards against an unbounded read of the body of a refusal, or of an error.
@pytest.mark.parametrize(
    ("head", "status", "max_bytes"),
    [
        pytest.param(REFUSED_HEAD, 502, MAX_REFUSAL_BYTES, id="refusal"),
        pytest.param(
            b"HTTP/1.1 500 x\r\n" + HEADERS, 502, MAX_BODY_BYTES, id="failure"
        ),
    ],
)
async def test_error_body_without_end_is_cut_off(head, status, max_bytes):
    server = RawServer(RawAnswer(data=head + b"\r\n", endless=PIECE))
    seen = await ask_in_time(SAFE_ONCE, server)
    assert seen.status == status
    assert_bounded(server, max_bytes)


# Guards against a connection that is used again although bytes follow its answer.
async def test_bytes_without_end_after_an_answer_close_its_connection():
    whole = sized(b"ok")
    server = RawServer(RawAnswer(data=whole.data + PIECE, endless=PIECE))
    seen = await ask_in_time(SAFE_ONCE, server)
    assert (seen.status, seen.body, seen.complete) == (200, b"ok", True)
    assert_bounded(server, 0)


@pytest.mark.parametrize("answer", [*HEADS, *BODIES])
async def test_reservation_without_end_is_cut_off(answer):
    server = RawServer(answer)
    async with running_servers(server):
        client = HttpWorkerClient(clock=CLOCK)
        with pytest.raises(ExchangeFailed):
            await client.reserve(
                worker_at(server), tokens=1, lifetime_ms=500, timeout_ms=1_000
            )
    assert_bounded(server, MAX_REFUSAL_BYTES + MAX_HEAD_BYTES)


COPY_HEAD = CHUNKED_HEAD.replace(b": q1", b": q0")
REFUSED_CHUNKS = REFUSED_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


# Guards against a request that waits out its time for the small answers before its own:
# a refusal, a copy of another answer, a reservation, of a few bytes at a time each.
@pytest.mark.parametrize(
    "head",
    [
        pytest.param(REFUSED_CHUNKS, id="refusal"),
        pytest.param(COPY_HEAD, id="copy-of-another"),
    ],
)
async def test_small_answer_in_small_pieces_is_given_up_in_time(head):
    server = RawServer(RawAnswer(data=head, endless=FEW_BYTES))
    server.endless_pause_s = 0.02
    sound = RawServer(sized(b"ok"))
    seen = await ask_in_time(SAFE, server, sound, first=server)
    assert (seen.status, seen.body) == (200, b"ok")


async def test_reservation_in_small_pieces_is_given_up_in_time():
    server = RawServer(RawAnswer(data=CHUNKED_HEAD, endless=FEW_BYTES))
    server.endless_pause_s = 0.02
    async with running_servers(server):
        client = HttpWorkerClient(clock=CLOCK)
        with anyio.fail_after(ANSWER_MS / 1_000), pytest.raises(ResponseTimeout):
            await client.reserve(
                worker_at(server), tokens=1, lifetime_ms=500, timeout_ms=250
            )


@pytest.mark.parametrize("answer", [*HEADS, *BODIES])
async def test_store_response_without_end_is_cut_off(answer):
    server = RawServer(answer)
    async with running_servers(server):
        topic = KeyedTopic(
            store=StoreClient(address=server.address, clock=CLOCK), topic="keyed.t"
        )
        with pytest.raises(StoreResponseLost):
            await topic.read(start=0, wait_ms=0)
    assert_bounded(server, MAX_RESPONSE_BYTES)


# Guards against a head that keeps a request by a few bytes at a time.
async def test_head_in_small_pieces_is_given_up_in_time():
    server = RawServer(RawAnswer(data=b"HTTP/1.1 200 OK\r\nX: ", endless=b"x"))
    server.endless_pause_s = 0.1
    async with running_servers(server):
        client = HttpWorkerClient(clock=CLOCK)
        with pytest.raises(ExchangeFailed), anyio.fail_after(ANSWER_MS / 1_000):
            async with client.exchange(
                worker_at(server),
                make_call(CLOCK, request_id=REQUEST_ID),
                remaining_ms=1_000,
                head_timeout_ms=300,
                resume_after="",
            ):
                pass


# Guards against a batch item that collects a stream without end, or an output that no
# record of the log can hold.
@pytest.mark.parametrize(
    "parts",
    [
        pytest.param([EVENT * 4_000] * 100, id="without-end"),
        pytest.param([f"data: {'é' * 6_000}\n\n".encode()], id="too-many-bytes"),
    ],
)
async def test_batch_item_with_too_much_output_runs_elsewhere(parts):
    vm = ItemVm(FakeResponse(parts=parts), FakeResponse(parts=(EVENT,)))
    vm.submit()
    async with vm.running():
        await vm.send_all()
        await vm.finish_items()
    (result,) = vm.results()
    assert (result.completed, result.text) == (True, "a")
    assert vm.client.sent[1][3] == ""
