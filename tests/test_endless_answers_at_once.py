"""Memory of a VM while many faulty workers send it bytes without end."""

import dataclasses
import tracemalloc

import anyio
import pytest

from foxtailbank.forward.route import RouteKind
from foxtailbank.http1.body_memory import UNCOUNTED_BYTES, BodyMemory
from foxtailbank.memory_limits import BYTES_PER_MB
from foxtailbank.response_limits import MAX_BODY_BYTES, MAX_EVENT_BYTES
from item_vm import ItemVm
from serving_fakes import (
    FakeResponder,
    FakeResponse,
    FakeWorkerClient,
    ServingWorld,
    make_call,
    make_route,
)

pytestmark = pytest.mark.anyio
REQUESTS = 64
CAPACITY = 2 * MAX_BODY_BYTES
PIECE_BYTES = 16_384
SAFE = make_route()
UNSAFE = make_route(kind=RouteKind.UNSAFE)
STREAM = make_route(kind=RouteKind.STREAM, max_attempts=1)
# Of one request, besides what is bounded for all: its parts, joined once.
OWN_BYTES = 2 * (UNCOUNTED_BYTES + 2 * PIECE_BYTES)
PLAIN_BYTES = 2 * CAPACITY + REQUESTS * OWN_BYTES
STREAM_BYTES = REQUESTS * 2 * (MAX_EVENT_BYTES + 2 * PIECE_BYTES)


@pytest.fixture
def anyio_backend():
    return "asyncio"


class EndlessResponse(FakeResponse):
    """Response without end that stalls once it has nearly reached a bound."""

    def __init__(self, *, stalls_at_bytes, **options):
        super().__init__(**options)
        self._left_bytes = stalls_at_bytes

    async def next_chunk(self, timeout_ms):
        await anyio.sleep(0)
        if self._left_bytes < PIECE_BYTES:
            await anyio.sleep_forever()
        self._left_bytes -= PIECE_BYTES
        return bytes(PIECE_BYTES)


class EndlessWorkers(FakeWorkerClient):
    """Workers that all answer without end."""

    def __init__(self, **options):
        super().__init__()
        self._options = options

    def exchange(self, worker, call, **options):
        self.script = [EndlessResponse(**self._options)]
        return super().exchange(worker, call, **options)


async def peak_bytes(work):
    tracemalloc.start()
    try:
        with anyio.move_on_after(2):
            await work()
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


# Guards against a VM that ends since many workers at once send it bodies without end,
# each of them below the bound of one body.
@pytest.mark.parametrize(
    ("route", "content_type", "stalls_at_bytes", "max_bytes"),
    [
        pytest.param(SAFE, "", MAX_BODY_BYTES, PLAIN_BYTES, id="safe"),
        pytest.param(UNSAFE, "", MAX_BODY_BYTES, PLAIN_BYTES, id="unsafe"),
        pytest.param(SAFE, "", UNCOUNTED_BYTES, PLAIN_BYTES, id="small"),
        pytest.param(
            UNSAFE, "text/event-stream", MAX_BODY_BYTES, PLAIN_BYTES, id="events-plain"
        ),
        pytest.param(
            STREAM, "text/event-stream", MAX_EVENT_BYTES, STREAM_BYTES, id="events"
        ),
        pytest.param(STREAM, "text/plain", MAX_BODY_BYTES, PLAIN_BYTES, id="text"),
    ],
)
async def test_answers_without_end_take_bounded_memory(
    route, content_type, stalls_at_bytes, max_bytes
):
    client = EndlessWorkers(content_type=content_type, stalls_at_bytes=stalls_at_bytes)
    world = ServingWorld(worker_count=8, slots=REQUESTS, client=client)
    context = dataclasses.replace(
        world.forwarder.context, answer_memory=BodyMemory(capacity_bytes=CAPACITY)
    )
    world.forwarder._context = context

    async def serve_all():
        async with anyio.create_task_group() as group:
            for number in range(REQUESTS):
                call = make_call(world.clock, request_id=f"q{number}")
                responder = FakeResponder()
                group.start_soon(world.forwarder.serve, call, route, responder)

    assert await peak_bytes(serve_all) < max_bytes + BYTES_PER_MB


async def test_items_whose_answers_never_end_take_bounded_memory():
    client = EndlessWorkers(stalls_at_bytes=MAX_EVENT_BYTES)
    vm = ItemVm(client=client)
    for number in range(REQUESTS):
        vm.submit(f"s{number}")

    async def run_items():
        async with vm.running():
            await vm.pass_time(2_000)

    assert await peak_bytes(run_items) < STREAM_BYTES + 8 * BYTES_PER_MB


# Guards against a sound large body that is refused although memory is free soon.
async def test_large_bodies_wait_for_each_other():
    body = bytes(MAX_BODY_BYTES)
    world = ServingWorld(*(FakeResponse(parts=(body,)) for _ in range(8)), slots=8)
    memory = BodyMemory(capacity_bytes=MAX_BODY_BYTES)
    world.forwarder._context = dataclasses.replace(
        world.forwarder.context, answer_memory=memory
    )
    seen = [FakeResponder() for _ in range(8)]
    async with anyio.create_task_group() as group:
        for responder in seen:
            call = make_call(world.clock)
            group.start_soon(world.forwarder.serve, call, SAFE, responder)
    assert [responder.body for responder in seen] == [body] * len(seen)
    assert memory.reserve_now(MAX_BODY_BYTES)
