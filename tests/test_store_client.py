"""Client of the platform's store on slow, silent and failing connections."""

import base64
import contextlib
import json

import anyio
import pytest

from foxtailbank.clock import SystemClock
from foxtailbank.keyed_log import (
    AppendId,
    KeyedRecord,
    StoreRefused,
    StoreResponseLost,
)
from foxtailbank.read_share import ReadShare
from foxtailbank_platform import store
from foxtailbank_platform.store import KeyedTopic, StoreClient

pytestmark = pytest.mark.anyio
HOST = "127.0.0.43"
PIECE_COUNT = 6
PIECE_GAP_S = 0.3  # below the time-out of a silent connection
TEST_TIMEOUT_S = 20
SLACK_MS = 900  # of a busy machine
APPEND_ID = AppendId(producer="p", epoch=1, sequence=1)
RECORD = KeyedRecord(key="k", value=b"v")
EMPTY_SLICE = bytes(16)


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_head(length, status=200):
    return f"HTTP/1.1 {status} x\r\nContent-Length: {length}\r\n\r\n".encode()


def make_page(*keys, has_more=False, end=10, first_offset=0):
    items = [
        {
            "key": key,
            "value": base64.b64encode(b"v").decode(),
            "offset": first_offset + number,
        }
        for number, key in enumerate(keys)
    ]
    return json.dumps({"items": items, "has_more": has_more, "end": end}).encode()


class ScriptedStore:
    """Answers each request by the next step of a script.

    A step is a body, a number for a status without a body, or a function that
    sends an answer itself. Without steps it answers nothing.
    """

    def __init__(self, *script):
        self.script = list(script)
        self.targets = []

    @contextlib.asynccontextmanager
    async def topic(self, share=None):
        listener = await anyio.create_tcp_listener(local_host=HOST)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        client = StoreClient(address=f"{HOST}:{port}", clock=SystemClock())
        with anyio.fail_after(TEST_TIMEOUT_S):
            async with listener, anyio.create_task_group() as group:
                group.start_soon(listener.serve, self.serve)
                yield KeyedTopic(store=client, topic="keyed.t", share=share)
                group.cancel_scope.cancel()

    async def serve(self, stream):
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            async with stream:
                while True:
                    request = await stream.receive()
                    self.targets.append(request.split(b" ")[1].decode())
                    await self.answer(stream)

    async def answer(self, stream):
        step = self.script.pop(0) if self.script else send_nothing
        if isinstance(step, bytes):
            await stream.send(make_head(len(step)) + step)
        elif isinstance(step, int):
            await stream.send(make_head(0, status=step))
        else:
            await step(stream)


async def send_nothing(stream):
    await anyio.sleep_forever()


def in_pieces(body):
    """Send a body in pieces that together take longer than a small call may."""

    async def send(stream):
        await stream.send(make_head(len(body)))
        step = len(body) // PIECE_COUNT + 1
        for start in range(0, len(body), step):
            await anyio.sleep(PIECE_GAP_S)
            await stream.send(body[start : start + step])

    return send


def silent_after(body):
    """Send the head and a part of a body and then nothing."""

    async def send(stream):
        await stream.send(make_head(2 * len(body)) + body)
        await anyio.sleep_forever()

    return send


# Guards against answers that are thrown away, and asked for again, on a slow link.
@pytest.mark.parametrize(
    ("call", "body"),
    [
        pytest.param(lambda topic: topic.read_newest(), make_page("a"), id="newest"),
        pytest.param(
            lambda topic: topic.read(start=0, wait_ms=0), EMPTY_SLICE, id="read"
        ),
    ],
)
async def test_an_answer_that_keeps_arriving_is_read_to_its_end(call, body):
    scripted = ScriptedStore(in_pieces(body))
    async with scripted.topic() as topic:
        await call(topic)
    assert len(scripted.targets) == 1


# Guards against a log with a record above the bound on reads that is read no further.
async def test_a_read_without_the_first_record_is_followed_by_a_larger_one():
    end_only = (5).to_bytes(8, "big") + bytes(8)
    share = ReadShare(store_bytes_per_s=1e6)
    share.set_vm_count(lambda: 2)
    scripted = ScriptedStore(end_only, EMPTY_SLICE, EMPTY_SLICE)
    async with scripted.topic(share=share) as topic:
        for _ in range(3):
            await topic.read(start=0, wait_ms=0)
    assert [target.count("max_kb=73") for target in scripted.targets] == [1, 0, 1]


# Guards against a state that counts as complete by an answer which knows of no log.
@pytest.mark.parametrize(("start", "is_end"), [(0, True), (5, False)])
async def test_an_unknown_topic_is_the_end_of_an_empty_log_only(start, is_end):
    async with ScriptedStore(404).topic() as topic:
        expected = (
            contextlib.nullcontext() if is_end else pytest.raises(StoreResponseLost)
        )
        with expected:
            part = await topic.read(start=start, wait_ms=0)
            assert (part.records, part.end) == ((), 0)


# Guards against calls that wait long for a store that is gone.
@pytest.mark.parametrize(
    ("call", "step"),
    [
        pytest.param(lambda topic: topic.read_newest(), send_nothing, id="newest"),
        pytest.param(
            lambda topic: topic.read_newest(),
            silent_after(make_page("a")),
            id="newest-within-body",
        ),
        pytest.param(
            lambda topic: topic.read(start=0, wait_ms=0),
            silent_after(EMPTY_SLICE),
            id="read-within-body",
        ),
        pytest.param(
            lambda topic: topic.append((RECORD,), append_id=APPEND_ID),
            in_pieces(b'{"offset": 0, "end": 1}'),
            id="append-in-pieces",
        ),
    ],
)
async def test_silence_and_slow_small_answers_are_bounded(call, step):
    async with ScriptedStore(step).topic() as topic:
        clock = SystemClock()
        start_ms = clock.now_ms()
        with pytest.raises(StoreResponseLost):
            await call(topic)
        assert clock.now_ms() - start_ms < store.CALL_TIMEOUT_MS + SLACK_MS


# Guards against an answer that arrives for ever.
async def test_a_whole_answer_is_bounded(monkeypatch):
    monkeypatch.setattr(store, "MAX_TRANSFER_MS", 200)
    scripted = ScriptedStore(in_pieces(make_page("a")))
    async with scripted.topic() as topic:
        with pytest.raises(StoreResponseLost):
            await topic.read_newest()


# Guards against a start that begins anew, with all pages, after one lost answer.
@pytest.mark.parametrize("failure", [send_nothing, 429, 503])
async def test_a_page_that_failed_is_asked_for_again(monkeypatch, failure):
    monkeypatch.setattr(store, "CALL_TIMEOUT_MS", 300)
    scripted = ScriptedStore(
        make_page("a", "b", has_more=True, end=5),
        failure,
        make_page("c", has_more=True, end=7, first_offset=2),
        failure,
        # Both records were appended after the first page.
        make_page("d", "e", end=7, first_offset=5),
    )
    async with scripted.topic() as topic:
        newest = await topic.read_newest()
    assert [record.key for record in newest.records] == ["a", "b", "c"]
    assert newest.end == 5
    pages = [target.partition("after=")[2] for target in scripted.targets]
    assert pages == ["", "b", "b", "c", "c"]


# Guards against a failure that is not told, or told late, while the store is away.
@pytest.mark.parametrize(
    ("pages", "expected_calls"),
    [
        pytest.param((), 1, id="first-page"),
        pytest.param((make_page("a", has_more=True),), 1 + 3, id="later-page"),
    ],
)
async def test_a_store_that_stays_away_is_told(monkeypatch, pages, expected_calls):
    scripted = ScriptedStore(*pages, *[503] * 9)
    async with scripted.topic() as topic:
        with pytest.raises(StoreRefused):
            await topic.read_newest()
    assert len(scripted.targets) == expected_calls
