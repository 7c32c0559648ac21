"""Answers to the run that goes on with a stream which broke off."""

import contextlib
import dataclasses

import pytest

from foxtailbank.fleet.load_table import LoadKind
from foxtailbank.fleet.peer_table import Peer
from foxtailbank.fleet.stream_origin import StreamOrigin
from foxtailbank.forward.route import RouteKind
from foxtailbank.http1.failures import ConnectionBroken, StreamNotContinued
from foxtailbank.relay import relay_messages
from foxtailbank.relay.relay_client import RelayClient
from foxtailbank.relay.relay_messages import RelayedAttempt, RelayOutcome, RelayResult
from foxtailbank_platform.headers import NOT_EXECUTED
from foxtailbank_platform.worker_client import HttpWorkerClient
from item_vm import ItemVm
from raw_worker import (
    CLOCK,
    HEADERS,
    End,
    RawAnswer,
    RawServer,
    RawWorkerVm,
    ask,
    running_servers,
    worker_at,
)
from serving_fakes import (
    FakeResponse,
    FakeWorkerClient,
    ServingWorld,
    make_call,
    make_route,
)

pytestmark = pytest.mark.anyio
ORIGIN = StreamOrigin(service="s", software_version="v1")
RESULT = RelayResult(outcome=RelayOutcome.ANSWERED, worker_id="w9", origin=ORIGIN)
RESULT_LINE = (
    f"{relay_messages.RESULT_HEADER}: {relay_messages.encode(RESULT)}\r\n".encode()
)
TYPE = b"Content-Type: text/event-stream\r\n"
TEXT = b"Content-Type: text/plain\r\n"
ERROR = b"worker failed\n\nstack\n\n"


def event(event_id):
    return b"id: %b\ndata: e%b\n\n" % (event_id, event_id)


FIRST, SECOND, THIRD, FOURTH = (event(b"%d" % number) for number in range(1, 5))
WHOLE = FIRST + SECOND + THIRD + FOURTH
BEGUN = FIRST + SECOND
HALF_EVENT = b"id: 3\nda"


def answer(body, *, status=200, lines=TYPE, end=End.KEEP):
    head = b"HTTP/1.1 %d x\r\n" % status + HEADERS + RESULT_LINE + lines
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    return RawAnswer(data=head + length + body, end=end)


def chunked(body, *, status=200, lines=TYPE, last=b"0\r\n\r\n", end=End.KEEP):
    head = b"HTTP/1.1 %d x\r\n" % status + HEADERS + RESULT_LINE + lines
    head += b"Transfer-Encoding: chunked\r\n\r\n"
    return RawAnswer(data=head + b"%x\r\n%b\r\n" % (len(body), body) + last, end=end)


BROKEN = chunked(BEGUN + HALF_EVENT, last=b"", end=End.RESET)
NOT_RUN = f"{NOT_EXECUTED}: 1\r\n".encode()
OK_HEAD = b"HTTP/1.1 200 OK\r\n" + HEADERS + RESULT_LINE + TYPE
WRONG = {
    "500": answer(ERROR, status=500, lines=TEXT),
    "500-event-stream": answer(THIRD + FOURTH, status=500),
    "chunked-500": chunked(ERROR, status=500, lines=TEXT),
    "503": answer(ERROR, status=503, lines=TEXT),
    "503-not-run": answer(ERROR, status=503, lines=TEXT + NOT_RUN),
    "404": answer(ERROR, status=404, lines=TEXT),
    "204": RawAnswer(data=b"HTTP/1.1 204 x\r\n" + HEADERS + RESULT_LINE + b"\r\n"),
    "206": answer(THIRD + FOURTH, status=206),
    "no-answer": RawAnswer(data=ERROR),
    "half-head": RawAnswer(data=OK_HEAD),
    "two-heads": RawAnswer(data=OK_HEAD + b"\r\n" + OK_HEAD + b"\r\n" + THIRD + FOURTH),
    "text": answer(ERROR, lines=TEXT),
    "text-like-events": answer(THIRD + FOURTH, lines=TEXT),
    "empty-text": answer(b"", lines=TEXT),
    "untyped-text": answer(ERROR, lines=b""),
    "untyped-empty": answer(b"", lines=b""),
    "from-the-start": chunked(WHOLE),
    "the-last-event-again": chunked(SECOND + THIRD + FOURTH),
    "from-a-gap": chunked(FOURTH),
    "without-ids": chunked(b"data: e3\n\ndata: e4\n\n"),
    "other-ids": chunked(event(b"c") + event(b"d")),
    "text-as-an-event": chunked(ERROR + THIRD + FOURTH),
}
RIGHT = {
    "right": chunked(THIRD + FOURTH),
    "right-with-a-length": answer(THIRD + FOURTH),
    "right-type-with-a-parameter": chunked(
        THIRD + FOURTH, lines=b"content-type: Text/Event-Stream; charset=utf-8\r\n"
    ),
    "right-without-a-type": chunked(THIRD + FOURTH, lines=b""),
    "right-with-a-version-line": chunked(b"x-weight-versions: 3\n" + THIRD + FOURTH),
}
ANSWERS = [pytest.param(name, id=name) for name in {**WRONG, **RIGHT}]


@pytest.fixture
def anyio_backend():
    return "asyncio"


def resumable(max_attempts):
    return make_route(kind=RouteKind.STREAM, resumable=True, max_attempts=max_attempts)


class OtherVms:
    """Other VMs of which the next one carries out the next attempt."""

    def __init__(self, servers):
        self.vm_id = "vm1"
        self.client = RelayClient(clock=CLOCK)
        self._servers = list(enumerate(servers))

    def choose(self, services, asked):
        if not self._servers:
            return None
        number, server = self._servers.pop(0)
        return Peer(vm_id=f"p{number}", address=server.address, last_update_ms=0)

    def sending(self, peer):
        return contextlib.nullcontext()


async def ask_workers(route, *servers):
    async with running_servers(*servers) as group:
        vm = RawWorkerVm(*servers, route=route)
        for number in range(len(servers)):  # they are asked in order
            for _ in range(number):
                vm.fleet.add_in_flight(f"w{number}", LoadKind.ONLINE)
        return await ask(await group.start(vm.serve_connections))


async def ask_through_other_vms(route, *servers):
    async with running_servers(*servers):
        world = ServingWorld(worker_count=0)
        world.fleet.reach.is_lost = lambda service: True
        context = dataclasses.replace(world.forwarder.context, relay=OtherVms(servers))
        world.forwarder._context = context
        return await world.serve(route)


# Guards against a stream into which an error, or another run, was joined after it had
# broken off, or that ends as if it were complete.
@pytest.mark.parametrize("name", ANSWERS)
@pytest.mark.parametrize("ask_vm", [ask_workers, ask_through_other_vms])
async def test_broken_stream_goes_on_only_with_its_next_event(ask_vm, name):
    second = {**WRONG, **RIGHT}[name]
    seen = await ask_vm(resumable(2), RawServer(BROKEN), RawServer(second))
    is_right = name in RIGHT
    sent = WHOLE.replace(THIRD, b"x-weight-versions: 3\n" + THIRD)
    whole = sent if "version-line" in name else WHOLE
    assert (seen.status, seen.complete) == (200, is_right)
    assert seen.body == (whole if is_right else BEGUN)


# Guards against a stream that is broken off though another worker goes on with it.
@pytest.mark.parametrize("name", WRONG)
async def test_stream_goes_on_at_the_next_worker_after_a_wrong_answer(name):
    script = (BROKEN, WRONG[name], RIGHT["right"])
    seen = await ask_workers(resumable(3), *map(RawServer, script))
    assert (seen.status, seen.body, seen.complete) == (200, WHOLE, True)


# Guards against another run, or no stream, for a client or a VM that asked for the rest
# of a stream.
@pytest.mark.parametrize("name", ANSWERS)
@pytest.mark.parametrize("is_relayed", [False, True], ids=["client", "vm"])
async def test_rest_of_a_stream_begins_with_its_next_event(name, is_relayed):
    attempt = RelayedAttempt(
        vm_id="vm2", remaining_ms=2_000, resume_after="2", origin=ORIGIN
    )
    server = RawServer({**WRONG, **RIGHT}[name])
    async with running_servers(server):
        world = ServingWorld(worker_count=0, client=HttpWorkerClient(clock=CLOCK))
        world.fleet.workers.put(worker_at(server))
        call = make_call(world.clock, resume_after="" if is_relayed else "2")
        world.fleet.origins.record(call.stream_key, ORIGIN)
        seen = world.responder
        relayed = attempt if is_relayed else None
        await world.forwarder.serve(call, resumable(1), seen, relayed=relayed)
    assert (seen.status == 200) is (name in RIGHT)
    if name in RIGHT:
        assert seen.complete
        assert seen.body.endswith(THIRD + FOURTH)
    else:
        assert seen.status >= 400


def fake(*parts, content_type="text/event-stream", **changes):
    return FakeResponse(parts=parts, content_type=content_type, **changes)


# Guards against a batch result that joins two runs of its item, or an error's text.
@pytest.mark.parametrize(
    "second",
    [
        pytest.param(fake(ERROR, status=500), id="500"),
        pytest.param(fake(ERROR, status=503), id="503"),
        pytest.param(fake(ERROR, status=503, not_run=True), id="503-not-run"),
        pytest.param(fake(ERROR, status=404), id="404"),
        pytest.param(fake(status=204), id="204"),
        pytest.param(fake(ERROR, content_type="text/plain"), id="text"),
        pytest.param(fake(content_type="text/plain"), id="empty-text"),
        pytest.param(fake(THIRD + FOURTH, content_type="a/b"), id="text-like-events"),
        pytest.param(fake(ERROR, content_type=""), id="untyped-text"),
        pytest.param(fake(content_type=""), id="untyped-empty"),
        pytest.param(fake(WHOLE), id="from-the-start"),
        pytest.param(fake(SECOND + THIRD + FOURTH), id="the-last-event-again"),
        pytest.param(fake(FOURTH), id="from-a-gap"),
        pytest.param(fake(b"data: e3\n\ndata: e4\n\n"), id="without-ids"),
        pytest.param(fake(ERROR + THIRD + FOURTH), id="text-as-an-event"),
        pytest.param(fake(THIRD, FOURTH), id="right"),
        pytest.param(fake(THIRD, FOURTH, content_type=""), id="right-without-a-type"),
    ],
)
async def test_broken_item_goes_on_only_with_its_next_event(second):
    class Script(FakeWorkerClient):
        """Runs a request from its first event, or goes on, after the script."""

        def exchange(self, worker, call, *, resume_after, **options):
            if not self.script:
                self.script.append(fake(THIRD, FOURTH) if resume_after else fake(WHOLE))
            return super().exchange(worker, call, resume_after=resume_after, **options)

    begun = fake(FIRST, SECOND, ConnectionBroken())
    vm = ItemVm(client=Script(begun, second))
    vm.submit()
    async with vm.running():
        await vm.pass_time(20_000, until=vm.results)
    (result,) = vm.results()
    assert (result.completed, result.text) == (True, "e1\ne2\ne3\ne4")
    assert vm.client.sent[1][3] == "2"


# Guards against a stream that is begun anew behind events without ids.
async def test_stream_without_ids_is_not_begun_anew():
    first = b"data: a\n\n"
    world = ServingWorld(fake(first, ConnectionBroken()), fake(first, first))
    seen = await world.serve(resumable(2))
    assert (seen.body, seen.complete) == (first, False)


# Guards against an item's text that stands twice since its events have no ids.
async def test_item_without_ids_runs_from_the_start():
    first, second = b"data: a\n\n", b"data: b\n\n"
    vm = ItemVm(fake(first, ConnectionBroken()), fake(first, second))
    vm.submit()
    async with vm.running():
        await vm.send_all()
        await vm.finish_items()
    (result,) = vm.results()
    assert (result.completed, result.text) == (True, "a\nb")


# Guards against streams that are broken off since their ids count tokens, or are no
# numbers, and against repeated events of such streams.
@pytest.mark.parametrize(
    ("begun", "rest", "is_joined"),
    [
        pytest.param((b"2", b"5"), (b"9", b"11"), True, id="several-tokens-an-event"),
        pytest.param((b"2", b"5"), (b"5", b"9"), False, id="several-tokens-again"),
        pytest.param((b"0", b"1"), (b"2", b"3"), True, id="from-zero"),
        pytest.param((b"0", b"1"), (b"3",), False, id="gap-after-zero"),
        pytest.param((b"a", b"b"), (b"c",), True, id="no-numbers"),
        pytest.param((b"a", b"b"), (b"a", b"b"), False, id="no-numbers-from-the-start"),
        pytest.param((b"a", b"b"), (b"b", b"c"), False, id="no-numbers-again"),
        pytest.param((b"1", b"2"), ("\u0663".encode(),), False, id="odd-digits"),
        pytest.param((b"1", b"2"), (b"3" * 5_000,), False, id="huge-number"),
    ],
)
async def test_ids_tell_what_continues_a_stream(begun, rest, is_joined):
    first, second = ([event(event_id) for event_id in ids] for ids in (begun, rest))
    world = ServingWorld(fake(*first, ConnectionBroken()), fake(*second))
    seen = await world.serve(resumable(2))
    assert seen.complete is is_joined
    assert seen.body == b"".join(first + second if is_joined else first)


# Guards against an answer of another type that loses its end as a stream, or looks like
# a whole stream.
@pytest.mark.parametrize("kind", [RouteKind.STREAM, RouteKind.SAFE])
@pytest.mark.parametrize("body", [b"sorry", b"sorry\n\nbye", b""])
async def test_first_answer_of_another_type_is_forwarded_unchanged(kind, body):
    route = make_route(kind=kind, max_attempts=1)
    seen = await ask_workers(route, RawServer(answer(body, lines=TEXT)))
    assert (seen.status, seen.body, seen.complete) == (200, body, True)


# Guards against a worker that is chosen again and again although it goes on with no
# stream.
async def test_worker_that_goes_on_with_another_run_is_avoided():
    world = ServingWorld(worker_count=1)
    worker = world.fleet.workers.get("w0")
    for _ in range(2):
        assert not world.fleet.health.is_avoided("w0", CLOCK.now_ms())
        world.fleet.on_exchange_failure(worker, StreamNotContinued(detail="x"))
    assert world.fleet.health.is_avoided("w0", CLOCK.now_ms())
