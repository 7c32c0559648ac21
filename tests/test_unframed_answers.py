"""Answers with neither a length nor chunks, which end with their connection."""

import pytest

from foxtailbank.fleet.crash_reports import CRASHED_WORKERS_LIMIT
from foxtailbank.forward.route import RouteKind
from foxtailbank.forward.stream_event import parse_events
from foxtailbank.http1.body_source import BodyFraming
from foxtailbank.keyed_log import AppendId, KeyedRecord, StoreResponseLost
from foxtailbank_platform.framing import encode_records
from foxtailbank_platform.store import KeyedTopic, StoreClient
from item_vm import ItemVm
from raw_worker import (
    CLOCK,
    End,
    RawServer,
    ask_through_vm,
    chunked,
    running_servers,
    sized,
    unframed,
)
from serving_fakes import (
    FakeResponder,
    FakeResponse,
    ServingWorld,
    make_call,
    make_route,
)

pytestmark = pytest.mark.anyio
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
CUT = EVENTS[:-8]
SENDS = 30  # enough to reach each of a few workers
RECORD = KeyedRecord(key="k", value=b"v")
SAFE = make_route(max_attempts=1)
UNSAFE = make_route(kind=RouteKind.UNSAFE, max_attempts=1)
STREAM = make_route(kind=RouteKind.STREAM, max_attempts=1)
RESUMABLE = make_route(kind=RouteKind.STREAM, resumable=True)
RESUMABLE_ONCE = make_route(kind=RouteKind.STREAM, resumable=True, max_attempts=1)


@pytest.fixture
def anyio_backend():
    return "asyncio"


# Guards against a broken-off stream that reaches its client framed as complete.
@pytest.mark.parametrize(
    "route",
    [
        pytest.param(STREAM, id="not-resumable"),
        pytest.param(RESUMABLE_ONCE, id="resumable"),
    ],
)
@pytest.mark.parametrize(
    "answer",
    [
        pytest.param(unframed(CUT), id="neither-length-nor-chunks"),
        pytest.param(unframed(CUT, end=End.RESET), id="unframed-and-reset"),
        pytest.param(chunked(CUT), id="chunked-and-ended-within-an-event"),
        pytest.param(chunked(CUT, last=b"", end=End.CLOSE), id="chunked-and-closed"),
        pytest.param(
            sized(CUT, length=len(EVENTS), end=End.CLOSE), id="shorter-than-its-length"
        ),
    ],
)
async def test_stream_that_ends_within_an_event_is_not_complete_for_its_client(
    route, answer
):
    seen = await ask_through_vm(route, RawServer(answer))
    assert (seen.status, seen.complete) == (200, False)
    assert EVENTS.startswith(seen.body)


# Guards against a stream that is refused for its framing or its line ends.
@pytest.mark.parametrize("route", [STREAM, RESUMABLE_ONCE])
@pytest.mark.parametrize(
    "body",
    [
        pytest.param(EVENTS, id="line-feeds"),
        pytest.param(EVENTS.replace(b"\n", b"\r\n"), id="carriage-returns-too"),
        pytest.param(EVENTS.replace(b"\n", b"\r"), id="only-carriage-returns"),
    ],
)
async def test_unframed_stream_with_whole_events_is_complete(route, body):
    seen = await ask_through_vm(route, RawServer(unframed(body)))
    assert (seen.status, seen.body, seen.complete) == (200, body, True)


# Guards against an empty stream that is complete for its client after a crash.
@pytest.mark.parametrize("route", [STREAM, RESUMABLE_ONCE])
async def test_unframed_stream_without_an_event_fails(route):
    seen = await ask_through_vm(route, RawServer(unframed(b"")))
    assert (seen.status, seen.body) == (502, b"")


async def test_cut_stream_is_resumed_after_its_last_whole_event():
    cut, resumed = RawServer(unframed(CUT)), RawServer(unframed(EVENTS[15:]))
    seen = await ask_through_vm(RESUMABLE, cut, resumed, first=cut)
    assert (seen.status, seen.body, seen.complete) == (200, EVENTS, True)
    assert b"last-event-id: 1\r\n" in resumed.requests[0].lower()


# Guards against a request that is sent to ever more workers, each of which crashes and
# cuts its stream by a regular close.
async def test_request_whose_workers_cut_its_stream_is_refused():
    framing = BodyFraming.CONNECTION_END
    script = [FakeResponse(parts=(CUT,), framing=framing) for _ in range(SENDS)]
    world = ServingWorld(*script, worker_count=CRASHED_WORKERS_LIMIT)
    reports = world.fleet.crashes.reports
    call = make_call(CLOCK)
    while world.client.script and not reports.is_refused(call.fingerprint):
        world.responder = FakeResponder()
        await world.serve(STREAM)
    assert reports.is_refused(call.fingerprint)


# Guards against a batch result that lacks the end of its item's output.
@pytest.mark.parametrize(
    "cut",
    [
        pytest.param(b"id: 1\ndata: a\n\nid: 2\nda", id="within-an-event"),
        pytest.param(b"", id="before-the-first-event"),
    ],
)
async def test_batch_item_cut_without_a_length_runs_on(cut):
    rest = EVENTS[15:] if cut else EVENTS
    framing = BodyFraming.CONNECTION_END
    vm = ItemVm(
        FakeResponse(parts=(cut,) if cut else (), framing=framing),
        FakeResponse(parts=(rest,), framing=framing),
    )
    vm.submit()
    async with vm.running():
        await vm.send_all()
        await vm.finish_items()
    (result,) = vm.results()
    assert (result.completed, result.text) == (True, "a\nb")
    assert [sent[3] for sent in vm.client.sent] == ["", "1" if cut else ""]


@pytest.mark.parametrize("line_end", ["\n", "\r\n", "\r"])
def test_events_are_parsed_with_any_line_end(line_end):
    events = parse_events(EVENTS.replace(b"\n", line_end.encode()))
    assert [(event.event_id, event.data) for event in events] == [
        ("1", "a"),
        ("2", "b"),
    ]


# Guards against an answer without a length that is dropped, or passed on after a reset.
@pytest.mark.parametrize("route", [SAFE, UNSAFE])
@pytest.mark.parametrize(
    ("answer", "status", "body"),
    [
        pytest.param(unframed(b"whole"), 200, b"whole", id="closed"),
        pytest.param(unframed(b"who", end=End.RESET), 502, b"", id="reset"),
    ],
)
async def test_unframed_plain_answer(route, answer, status, body):
    seen = await ask_through_vm(route, RawServer(answer))
    assert (seen.status, seen.body, seen.complete) == (status, body, True)


def store_read(topic):
    return topic.read(start=0, wait_ms=0)


def store_page(topic):
    return topic.read_newest()


def store_append(topic):
    append_id = AppendId(producer="p", epoch=1, sequence=1)
    return topic.append((RECORD,), append_id=append_id)


# Guards against a store's response that was cut and is taken for the whole one.
@pytest.mark.parametrize(
    ("call", "whole"),
    [
        pytest.param(
            store_read,
            bytes(7) + b"\x01" + bytes(8) + encode_records((RECORD,)),
            id="read",
        ),
        pytest.param(
            store_page, b'{"items": [], "has_more": false, "end": 0}', id="page"
        ),
        pytest.param(store_append, b'{"offset": 0, "end": 1}', id="append"),
    ],
)
async def test_store_response_without_a_length(call, whole):
    for body in (whole, whole[:-1], whole[:5], b""):
        server = RawServer(unframed(body))
        async with running_servers(server):
            store = StoreClient(address=server.address, clock=CLOCK)
            topic = KeyedTopic(store=store, topic="keyed.t")
            if body == whole:
                await call(topic)
                continue
            with pytest.raises(StoreResponseLost):
                await call(topic)
