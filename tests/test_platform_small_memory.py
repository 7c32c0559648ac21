"""Small VMs are not killed for memory when batch comes in volume."""

import anyio
import pytest

from foxtailbank.clock import SystemClock
from foxtailbank.http1.body_memory import UNCOUNTED_BYTES, BodyMemory, BodyReservation
from foxtailbank.http1.client_channel import ClientChannel
from foxtailbank.http1.server import Server
from foxtailbank.http1.server_limits import ServerLimits
from foxtailbank.keyed_log import LogSlice
from foxtailbank.memory_limits import MemoryLimits
from foxtailbank.submissions.failures import ItemUnknown
from foxtailbank.submissions.records import Ended, Item, ItemEnded, Submitted, encode
from foxtailbank.submissions.submission_table import SubmissionTable
from platform_deployment import call, read_all, running_deployment, submit
from serving_fakes import make_logs

pytestmark = pytest.mark.anyio
CLOCK = SystemClock()
NET = "127.0.64"
ADDRESS = "127.0.0.66:18466"
CAPACITY = 1_000_000
BODY = b"x" * (CAPACITY // 2 + UNCOUNTED_BYTES + 1)  # two don't fit
HOLD_S = 0.2
RELEASE_MS = 500
REFUSED_AFTER_MS = 20


async def test_bodies_wait_for_memory_in_order():
    memory = BodyMemory(capacity_bytes=CAPACITY)
    order = []

    async def hold(name, size):
        reservation = BodyReservation(memory=memory)
        assert await reservation.reserve(size, RELEASE_MS)
        order.append(name)
        await anyio.sleep(0.02)
        reservation.release()

    async with anyio.create_task_group() as group:
        for name, size in (("a", len(BODY)), ("b", 10 * CAPACITY), ("c", len(BODY))):
            group.start_soon(hold, name, size)
            await anyio.sleep(0)
    assert order == ["a", "b", "c"]
    assert memory.reserve_now(10 * CAPACITY)


async def test_a_body_that_waits_too_long_gets_no_memory():
    memory = BodyMemory(capacity_bytes=CAPACITY)
    first, second, small = (BodyReservation(memory=memory) for _ in range(3))
    assert await first.reserve(len(BODY), RELEASE_MS)
    assert not await second.reserve(len(BODY), REFUSED_AFTER_MS)
    assert await small.reserve(UNCOUNTED_BYTES, RELEASE_MS)
    assert not second.grow(len(BODY))
    first.release()
    assert second.grow(len(BODY))
    second.release()
    assert await first.reserve(10 * CAPACITY, RELEASE_MS)


# Guards against a VM that holds the bodies of all large requests at once.
async def test_large_requests_are_handled_one_after_the_other():
    held = 0
    most_held = 0

    async def handle(request, responder):
        nonlocal held, most_held
        held += 1
        most_held = max(held, most_held)
        await anyio.sleep(HOLD_S)
        held -= 1
        await responder.respond(status=200)

    server = Server(
        address=ADDRESS,
        handler=handle,
        limits=ServerLimits,
        clock=CLOCK,
        on_handler_error=lambda error: None,
        body_memory=BodyMemory(capacity_bytes=CAPACITY),
    )
    statuses = []

    async def send(body):
        channel = await ClientChannel.connect(
            address=ADDRESS, clock=CLOCK, timeout_ms=1_000
        )
        headers = (("Host", "h"),)
        await channel.send(method="POST", target="/", headers=headers, body=body)
        statuses.append((await channel.receive_head(5_000)).status)
        await channel.aclose()

    async with anyio.create_task_group() as group:
        group.start_soon(server.run)
        await anyio.sleep(0.1)
        async with anyio.create_task_group() as clients:
            for _ in range(4):
                clients.start_soon(send, BODY)
        assert (statuses, most_held) == ([200] * 4, 1)
        async with anyio.create_task_group() as clients:
            for _ in range(4):
                clients.start_soon(send, b"small")
        assert most_held == 4
        group.cancel_scope.cancel()


def item(item_id):
    return Item(item_id=item_id, target="/", headers=(("a", "b"),), body=b"b", tokens=1)


# Guards against bodies that are held for minutes after nobody needs them.
def test_items_that_are_not_run_any_more_hold_no_body():
    submitted = Submitted(
        submission_id="s",
        attempt="1",
        route="r",
        host="h",
        target="/",
        arrived_wall_ms=0,
        waiting_limit=0,
        owner="vm/1",
        items=(item("a"), item("b")),
    )
    ended = ItemEnded(submission_id="s", item_id="a", completed=True, text="t")
    records = (
        encode(submitted, key_suffix="1"),
        encode(ended, key_suffix="a"),
        encode(Ended(submission_id="s"), key_suffix="e"),
    )
    table = SubmissionTable(logs=make_logs())
    table.apply_records(LogSlice(records=records[:2], end=2))
    items_by_id = table.ledger.get("s").items_by_id
    assert [one.body for one in items_by_id.values()] == [b"", b"b"]
    assert table.ledger.waiting_tokens("r") == 1
    table.apply_records(LogSlice(records=records[2:], end=3))
    assert not any(one.body for one in table.ledger.get("s").items_by_id.values())
    assert table.stored_bytes == sum(record.size_bytes for record in records)
    table.restore(LogSlice(records=(), end=3))
    assert table.stored_bytes == 0


# The body of an item that is listed is gone; nothing else may come in its place.
async def test_a_listed_item_has_no_body_to_read():
    async with running_deployment(net=NET) as deployment:
        deployment.publish()
        deployment.start_vm()
        await deployment.until_ready()
        assert await submit("j1", net=NET, count=1) == 202
        await read_all(deployment, "j1", 1)
        head, _ = await call("GET", "/foxtailbank/items/j1?id=i0", net=NET)
    assert head.status == ItemUnknown.status


# Guards against submissions that together take more memory than a VM has.
async def test_submissions_beyond_the_memory_are_refused():
    async with running_deployment(net=NET) as deployment:
        deployment.publish(body_bytes=4_000_000)
        deployment.start_vm()
        await deployment.until_ready()
        process = deployment.process_by_number[1]
        process._vm.batch._max_stored_bytes = 1_000
        assert await submit("j1", net=NET, count=1) == 202
        assert await submit("j2", net=NET, count=9) == 503
        assert await submit("j1", net=NET, count=1) == 202
        page = await read_all(deployment, "j1", 1)
    assert page["results"][0]["state"] == "completed"


@pytest.mark.parametrize("memory_mb", [160, 170, 200, 552])
def test_all_uses_together_leave_room_for_the_program(memory_mb):
    limits = MemoryLimits(memory_mb=memory_mb)
    # See `memory_limits`: stored records count twice at a start, bodies three times.
    always = limits.waiting_bytes + limits.connection_bytes
    always += limits.waiting_text_bytes + limits.held_text_bytes
    peak = 2 * limits.stored_bytes + always
    running = limits.stored_bytes + always + 3 * limits.body_bytes
    program = 45 << 20
    assert max(peak, running) + program < memory_mb << 20
