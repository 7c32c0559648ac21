"""Engine answers that are cut short or never end, on the product's own interface."""

import contextlib

import anyio
import msgspec
import pytest

from foxtailbank.completion_collector import CompletionCollector
from foxtailbank.exceptions import (
    EndpointFailed,
    EndpointRefused,
    LogUnavailable,
    NoEndpoint,
)
from foxtailbank.http_endpoint import HttpEndpoint
from foxtailbank.http_log import FRAME_HEADER, HttpLogService
from foxtailbank.response_limits import (
    MAX_BODY_BYTES,
    MAX_EVENT_BYTES,
    MAX_HEAD_BYTES,
    MAX_RECORDS_BYTES,
    MAX_STREAM_BYTES,
)
from foxtailbank.sse import DONE_EVENT
from odd_answers import ODD_ANSWERS
from raw_worker import (
    CHUNKED_HEAD,
    UNFRAMED_HEAD,
    End,
    RawAnswer,
    RawServer,
    chunked,
    running_servers,
    sized,
    unframed,
)
from test_crashed_batch_items import Fleet, make_work
from test_unbounded_answers import BODIES, HEADS, assert_bounded

pytestmark = pytest.mark.anyio
TEST_TIMEOUT_S = 20
EVENT = b'data: {"token_index": 0, "choices": [{"text": "t"}]}\n\n'
JSON = b'{"choices": [{"text": "t"}]}'
CUT_JSON = JSON[:-5]
FRAME = FRAME_HEADER.pack(0, 1) + b"v"
BUFFERED = {"streamed": False}
STREAMED = {"streamed": True}


@pytest.fixture
def anyio_backend():
    return "asyncio"


@contextlib.asynccontextmanager
async def endpoint_of(server):
    async with running_servers(server):
        endpoint = HttpEndpoint(address=server.address, control_ms=500)
        try:
            with anyio.fail_after(TEST_TIMEOUT_S):
                yield endpoint
        finally:
            await endpoint.aclose()


async def run_work(server, **changes):
    """Run work on an engine; return its answer as JSON, or the failure."""
    collector = CompletionCollector(path="/v1/completions")
    async with endpoint_of(server) as endpoint:
        fleet = Fleet(engines_by_id={"e0": endpoint})
        try:
            await fleet.dispatcher.run(make_work(**changes), collector, may_retry=False)
        except (EndpointFailed, EndpointRefused) as failure:
            return failure
    return msgspec.json.decode(msgspec.json.encode(collector.body()))


@pytest.mark.parametrize(
    ("changes", "answer"),
    [
        pytest.param(BUFFERED, unframed(JSON), id="json"),
        pytest.param(STREAMED, unframed(EVENT + DONE_EVENT), id="stream"),
    ],
)
async def test_whole_answer_without_a_length_is_passed_on(changes, answer):
    answered = await run_work(RawServer(answer), **changes)
    assert answered["choices"][0]["text"] == "t"


# Guards against an engine's answer that was cut short and is passed on as complete.
@pytest.mark.parametrize(
    ("changes", "answer"),
    [
        pytest.param(BUFFERED, unframed(CUT_JSON), id="json"),
        pytest.param(BUFFERED, unframed(b""), id="nothing"),
        pytest.param(STREAMED, unframed(EVENT), id="stream-after-an-event"),
        pytest.param(STREAMED, unframed(EVENT + EVENT[:9]), id="stream-in-an-event"),
        pytest.param(STREAMED, chunked(EVENT), id="chunked-stream"),
    ],
)
async def test_answer_that_was_cut_short_fails(changes, answer):
    assert isinstance(await run_work(RawServer(answer), **changes), EndpointFailed)


# Guards against an engine's answer that is none, or broke off, and is passed on.
@pytest.mark.parametrize("changes", [BUFFERED, STREAMED])
@pytest.mark.parametrize("answer", ODD_ANSWERS)
async def test_an_odd_answer_fails(changes, answer):
    assert isinstance(await run_work(RawServer(answer), **changes), EndpointFailed)


# Guards against an answer whose body is whole and whose status is none of HTTP's.
@pytest.mark.parametrize("status", [b"000", b"199", b"600", b"999"])
async def test_a_whole_body_with_an_odd_status_fails(status):
    answer = sized(JSON)
    data = answer.data.replace(b" 200 ", b" " + status + b" ", 1)
    answer = RawAnswer(data=data, end=End.CLOSE)
    assert isinstance(await run_work(RawServer(answer), **BUFFERED), EndpointFailed)


# Guards against tokens that are counted as received and reach nobody: the stream would
# be resumed after them.
async def test_stream_that_is_too_long_is_resumed_after_what_was_passed_on():
    text = "x" * 65_000
    events = [
        b"data: "
        + msgspec.json.encode({"token_index": n, "choices": [{"text": text}]})
        + b"\n\n"
        for n in range(MAX_STREAM_BYTES // len(text) + 1)
    ]
    too_long = chunked(b"".join(events))
    servers = [RawServer(too_long), RawServer(too_long)]
    collector = CompletionCollector(path="/v1/completions")
    async with endpoint_of(servers[0]) as first, endpoint_of(servers[1]) as second:
        fleet = Fleet(engines_by_id={"e0": first, "e1": second})
        with contextlib.suppress(EndpointFailed, EndpointRefused, NoEndpoint):
            await fleet.dispatcher.run(make_work(), collector)
    requests = [server.requests[0].lower() for server in servers]
    (resumed,) = [request for request in requests if b"x-resume-at" in request]
    assert 0 < collector.next_index < len(events)
    assert b"x-resume-at: %d\r\n" % collector.next_index in resumed


# Guards against a daemon that reads an engine's answer until its memory is used up.
@pytest.mark.parametrize("answer", [*HEADS, *BODIES])
@pytest.mark.parametrize("changes", [BUFFERED, STREAMED])
async def test_answer_without_end_is_cut_off(changes, answer):
    server = RawServer(answer)
    assert isinstance(await run_work(server, **changes), EndpointFailed)
    bounds = (MAX_EVENT_BYTES, MAX_BODY_BYTES)
    assert_bounded(server, bounds[changes is BUFFERED])


@pytest.mark.parametrize("answer", [*HEADS, *BODIES])
async def test_load_report_without_end_is_cut_off(answer):
    server = RawServer(answer)
    async with endpoint_of(server) as endpoint:
        with pytest.raises(EndpointFailed):
            await endpoint.load()
    assert_bounded(server, MAX_BODY_BYTES)


# Guards against a refusal whose body keeps the connection and the caller.
async def test_refusal_without_end_is_cut_off():
    head = b"HTTP/1.1 503 x\r\nx-not-admitted: 1\r\n\r\n"
    server = RawServer(RawAnswer(data=head, endless=b"x" * 16_384))
    assert isinstance(await run_work(server, **BUFFERED), EndpointRefused)
    assert_bounded(server, MAX_HEAD_BYTES)


# Guards against a read that was cut before its first record and says that there is
# none: the payload would be lost, and the replay would count as caught up.
@pytest.mark.parametrize(
    ("answer", "count"),
    [
        pytest.param(sized(b""), 0, id="none"),
        pytest.param(unframed(FRAME), 1, id="whole"),
        pytest.param(unframed(FRAME[:-1]), None, id="within-a-record"),
        pytest.param(unframed(b""), None, id="before-the-first-record"),
        pytest.param(unframed(FRAME, end=End.RESET), None, id="reset"),
    ],
)
async def test_log_read_that_was_cut_short(answer, count):
    server = RawServer(answer)
    async with running_servers(server):
        log = HttpLogService(address=server.address)
        try:
            records = await log.read(stream="s", offset=0, max_bytes=1)
        except LogUnavailable:
            assert count is None
        else:
            assert len(records) == count
        await log.aclose()


@pytest.mark.parametrize("head", [UNFRAMED_HEAD, CHUNKED_HEAD])
async def test_log_records_without_end_are_cut_off(head):
    piece = b"4000\r\n" + b"x" * 16_384 + b"\r\n"
    server = RawServer(RawAnswer(data=head, endless=piece))
    async with running_servers(server):
        log = HttpLogService(address=server.address)
        with pytest.raises(LogUnavailable), anyio.fail_after(TEST_TIMEOUT_S):
            await log.read(stream="s", offset=0, max_bytes=1)
        await log.aclose()
    assert_bounded(server, MAX_RECORDS_BYTES)
