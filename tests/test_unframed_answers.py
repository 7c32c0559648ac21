"""Answers with neither a length nor chunks, which end with their connection."""

import pytest

from foxtailbank.forward.route import RouteKind
from raw_worker import End, RawServer, ask_through_vm, chunked, sized, unframed
from serving_fakes import make_route

pytestmark = pytest.mark.anyio
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
CUT = EVENTS[:-8]
SAFE = make_route(max_attempts=1)
UNSAFE = make_route(kind=RouteKind.UNSAFE, max_attempts=1)
STREAM = make_route(kind=RouteKind.STREAM, max_attempts=1)
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


@pytest.mark.parametrize("route", [STREAM, RESUMABLE_ONCE])
async def test_unframed_stream_with_whole_events_is_complete(route):
    seen = await ask_through_vm(route, RawServer(unframed(EVENTS)))
    assert (seen.status, seen.body, seen.complete) == (200, EVENTS, True)


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
