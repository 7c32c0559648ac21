"""Answers of a server that are none, or break off, never pass for whole ones."""

import contextlib
import dataclasses

import anyio
import pytest

from foxtailbank.forward.route import RouteKind
from foxtailbank.forward.worker_client import ReservationRefused
from foxtailbank.http1.failures import ExchangeFailed
from foxtailbank.keyed_log import StoreResponseLost
from foxtailbank_platform.store import KeyedTopic, StoreClient
from foxtailbank_platform.worker_client import HttpWorkerClient
from item_vm import BURST_MS, ItemVm
from odd_answers import CUT_HEADS, INTERIM, ODD_ANSWERS, ODD_STATUSES
from raw_worker import (
    CLOCK,
    REQUEST_ID,
    RawAnswer,
    RawServer,
    RawWorkerVm,
    ask_through_vm,
    chunked,
    running_servers,
    sized,
    unframed,
    worker_at,
)
from serving_fakes import make_route
from test_unframed_answers import store_append, store_page, store_read

pytestmark = pytest.mark.anyio
UPLOAD = b"u" * 3_000_000
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
FIRST_EVENT = EVENTS[:15]
ROUTES = [
    pytest.param(make_route(max_attempts=1), id="safe"),
    pytest.param(make_route(kind=RouteKind.UNSAFE, max_attempts=1), id="unsafe"),
    pytest.param(make_route(kind=RouteKind.STREAM, max_attempts=1), id="stream"),
    pytest.param(
        make_route(kind=RouteKind.STREAM, resumable=True, max_attempts=1),
        id="resumable",
    ),
]
RESUMABLE = make_route(kind=RouteKind.STREAM, resumable=True)
TIMEOUT_MS = 2_000
SECOND_ANSWER_S = 0.8
MORE_S = 0.02  # until what follows the second answer would come


@pytest.fixture
def anyio_backend():
    return "asyncio"


# Guards against a part of an answer, or bytes that are none, that reach the client as a
# whole answer; also where the worker answers while a long request is still being sent.
@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("body", [b"b", UPLOAD], ids=["small", "upload"])
@pytest.mark.parametrize("answer", ODD_ANSWERS)
async def test_an_odd_answer_is_no_success(route, body, answer):
    seen = await ask_through_vm(route, RawServer(answer), body=body)
    assert not seen.is_whole_success
    assert seen.status in (200, 502)


# Guards against a status that is none, or an answer whose head was cut, that the client
# gets as the worker's own.
@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("answer", [*ODD_STATUSES, *CUT_HEADS])
async def test_no_answer_bears_no_stamp(route, answer):
    seen = await ask_through_vm(route, RawServer(answer))
    assert (seen.status, seen.stamp, seen.complete) == (502, "", True)


# Guards against whole answers that are refused for their form.
@pytest.mark.parametrize(
    "answer",
    [
        pytest.param(RawAnswer(data=INTERIM + sized(b"ok").data), id="interim"),
        pytest.param(
            RawAnswer(data=unframed(b"ok").data.replace(b"/1.1", b"/1.0")), id="1.0"
        ),
        pytest.param(
            RawAnswer(data=sized(b"ok").data.replace(b"\r\n", b"\n")), id="line-feeds"
        ),
        pytest.param(sized(b"ok", status=599), id="status-599"),
    ],
)
async def test_a_whole_answer_of_an_odd_form_is_passed_on(answer):
    route = make_route(max_attempts=1)
    seen = await ask_through_vm(route, RawServer(answer))
    assert (seen.status in (200, 599), seen.body, seen.stamp) == (True, b"ok", "s")


# Guards against a stream that goes on with an answer that is none, or is complete
# after it.
@pytest.mark.parametrize("answer", ODD_ANSWERS)
async def test_a_stream_is_not_complete_after_an_odd_second_answer(answer):
    cut, second = RawServer(unframed(EVENTS[:-8])), RawServer(answer)
    seen = await ask_through_vm(RESUMABLE, cut, second, first=cut)
    assert (seen.status, seen.complete) == (200, False)
    assert seen.body == FIRST_EVENT
    assert second.requests


# Guards against a batch result that is made of an answer that is none, or broke off.
@pytest.mark.parametrize("answer", ODD_ANSWERS)
async def test_an_item_is_not_completed_by_an_odd_answer(answer):
    server = RawServer(answer, chunked(EVENTS))
    async with running_servers(server):
        client = HttpWorkerClient(clock=CLOCK)
        vm = ItemVm(workers=(worker_at(server),), client=client)
        vm.submit(item_id=REQUEST_ID)
        async with vm.running():
            await vm.pass_time(BURST_MS, until=vm.results)
    assert [(end.completed, end.text) for end in vm.results()] == [(True, "a\nb")]


# Guards against records, or the word that one is stored, from an answer that is none.
@pytest.mark.parametrize("call", [store_read, store_page, store_append])
@pytest.mark.parametrize("answer", ODD_ANSWERS)
async def test_the_store_says_nothing_by_an_odd_answer(call, answer):
    server = RawServer(answer)
    async with running_servers(server):
        topic = KeyedTopic(
            store=StoreClient(address=server.address, clock=CLOCK), topic="keyed.t"
        )
        with pytest.raises(StoreResponseLost):
            await call(topic)


# Guards against a slot that is taken for reserved by an answer that is none.
@pytest.mark.parametrize("answer", ODD_ANSWERS)
async def test_no_slot_is_reserved_by_an_odd_answer(answer):
    data = answer.data.replace(b"X-Request-Id", b"X-Other-Id")
    server = RawServer(dataclasses.replace(answer, data=data))
    async with running_servers(server):
        client = HttpWorkerClient(clock=CLOCK)
        with pytest.raises((ExchangeFailed, ReservationRefused)):
            await client.reserve(
                worker_at(server), tokens=1, lifetime_ms=1, timeout_ms=TIMEOUT_MS
            )


# Guards against an answer that a client takes for that of its next request.
@pytest.mark.parametrize("answer", ODD_ANSWERS)
async def test_a_request_sent_ahead_gets_its_own_answer_or_none(answer):
    server = RawServer(answer, sized(b"second"))
    async with running_servers(server) as group:
        vm = RawWorkerVm(server, route=make_route(max_attempts=1))
        address = await group.start(vm.serve_connections)
        received = await send_twice(address)
    first, separator, rest = received.partition(b"second")
    assert first.count(b"HTTP/1.1 ") == 1 + bool(separator)
    assert rest == b""
    assert not first.startswith(b"HTTP/1.1 2") or not separator


async def send_twice(address):
    """Send two requests ahead on one connection; return all that comes back."""
    host, _, port = address.rpartition(":")
    request = b"POST /p/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: q1\r\n"
    received = b""
    async with await anyio.connect_tcp(host, int(port)) as stream:
        await stream.send(2 * (request + b"Content-Length: 1\r\n\r\nb"))
        with contextlib.suppress(
            anyio.EndOfStream, anyio.BrokenResourceError, TimeoutError
        ):
            while True:
                is_last = b"second" in received
                with anyio.fail_after(MORE_S if is_last else SECOND_ANSWER_S):
                    received += await stream.receive()
    return received
