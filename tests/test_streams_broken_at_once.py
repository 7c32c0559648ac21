"""Streams of several clients that break off at one moment."""

import contextlib

import anyio
import pytest

from foxtailbank.forward.route import RouteKind
from foxtailbank.http1.failures import ConnectionBroken
from serving_fakes import (
    FakeResponder,
    FakeResponse,
    FakeWorkerClient,
    ServingWorld,
    make_call,
    make_route,
)

pytestmark = pytest.mark.anyio
STREAMS = 12
WORKERS = ("w0", "w1", "w2")
EVENTS = [b"id: %d\ndata: e%d\n\n" % (number, number) for number in range(1, 6)]
RESUMABLE = make_route(kind=RouteKind.STREAM, resumable=True, max_attempts=2)


@pytest.fixture
def anyio_backend():
    return "asyncio"


class BreakingClient(FakeWorkerClient):
    """Breaks all streams of some workers within their fourth event, together."""

    def __init__(self, breaking):
        super().__init__()
        self.resumed = 0
        self._breaking = breaking
        self._begun = 0
        self._all_begun = anyio.Event()

    @contextlib.asynccontextmanager
    async def exchange(self, worker, call, *, resume_after, **options):
        if resume_after:
            self.resumed += 1
            yield FakeResponse(parts=EVENTS[int(resume_after) :])
            return
        self._begun += 1
        if self._begun == STREAMS:
            self._all_begun.set()
        is_broken = worker.worker_id in self._breaking
        rest = (b"id: 4\nda", ConnectionBroken()) if is_broken else EVENTS[3:]
        yield HeldResponse(self._all_begun, parts=(*EVENTS[:3], *rest))


class HeldResponse(FakeResponse):
    """Response that goes on past its third event once an event is set."""

    def __init__(self, go_on, *, parts):
        super().__init__(parts=parts)
        self._go_on = go_on
        self._held_count = len(parts) - 3

    async def next_chunk(self, timeout_ms):
        if len(self._parts) == self._held_count:
            await self._go_on.wait()
        return await super().next_chunk(timeout_ms)


# Guards against streams that are not resumed though other workers have room. Requests
# of one content that broke the connections of three workers look like one request that
# crashes workers, which may reach no fourth.
@pytest.mark.parametrize(
    ("breaking", "is_one_content", "is_resumed"),
    [
        pytest.param(WORKERS[:1], True, True, id="one-worker"),
        pytest.param(WORKERS, False, True, id="all-workers"),
        pytest.param(WORKERS[:2], True, True, id="two-workers-and-one-content"),
        pytest.param(WORKERS, True, False, id="three-workers-and-one-content"),
    ],
)
async def test_streams_that_break_at_once_are_resumed(
    breaking, is_one_content, is_resumed
):
    client = BreakingClient(breaking)
    world = ServingWorld(worker_count=len(WORKERS), slots=STREAMS, client=client)
    world.fleet.origins.set_list_sync(read_list)
    seen = [FakeResponder() for _ in range(STREAMS)]
    async with anyio.create_task_group() as group:
        for number, responder in enumerate(seen):
            fingerprint = 7 if is_one_content else number
            call = make_call(
                world.clock, request_id=f"q{number}", fingerprint=fingerprint
            )
            group.start_soon(world.forwarder.serve, call, RESUMABLE, responder)
    whole = [responder for responder in seen if responder.complete]
    assert {responder.body for responder in whole} <= {b"".join(EVENTS)}
    if is_resumed:
        assert len(whole) == STREAMS
    else:
        assert client.resumed == 0


async def read_list():
    """The list of workers takes a moment to read, and has not changed."""
    await anyio.sleep(0.01)
