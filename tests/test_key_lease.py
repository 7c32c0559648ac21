"""For how long keys count, whose they are, and the checks before each attempt."""

import contextlib
import dataclasses

import anyio
import pytest

from customer_samples import LEASE_MS, GateWorld, make_customer
from foxtailbank.customers.customer_gate import ConfigurationsDiffer, KeyUnknown
from foxtailbank.customers.key_lease import (
    NEW_KEY_AGE_MS,
    KeyLeaseLapsed,
    KeysOutdated,
)
from foxtailbank.entry import key_hash
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.forward.route import RouteKind
from foxtailbank.http1.failures import ConnectionBroken
from serving_fakes import FakeResponse, ServingWorld, make_route, manual_clock

pytestmark = pytest.mark.anyio
KEYED = make_route()
PUBLIC = make_route(is_public=True)
NONE = None
TEST_TIMEOUT_S = 10


@pytest.fixture
def anyio_backend():
    return "asyncio"


@contextlib.asynccontextmanager
async def gate_world(**options):
    world = GateWorld(manual_clock(), **options)
    async with anyio.create_task_group() as group:
        group.start_soon(world.serve_reads)
        yield world
        group.cancel_scope.cancel()


async def outcome(asked):
    """Return the name of the customer, None for none, or the type of the error."""
    try:
        identity = await asked
    except FoxtailbankError as failure:
        return type(failure)
    return identity.customer.name if identity is not None else None


# Guards against requests that run with a key that was taken away while the VM was cut
# off, frozen or suspended, and against refusals while what it knows is recent.
@pytest.mark.parametrize(
    ("age_ms", "failing", "up", "expected", "reads"),
    [
        pytest.param(0, False, True, "acme", 0, id="fresh"),
        pytest.param(LEASE_MS, True, False, "acme", 0, id="cut-off-not-lapsed"),
        pytest.param(LEASE_MS + 1, True, False, KeyLeaseLapsed, 0, id="cut-off"),
        pytest.param(LEASE_MS + 1, False, False, KeyLeaseLapsed, 1, id="not-noticed"),
        pytest.param(60_000, False, True, "acme", 1, id="frozen-then-read"),
    ],
)
async def test_requests_with_keys_need_a_recent_configuration(
    age_ms, failing, up, expected, reads
):
    async with gate_world() as world:
        world.clock.advance(age_ms)
        world.log.up = up
        if failing:
            world.set_failing()
        assert await outcome(world.gate.admit("k1", KEYED)) == expected
        assert await outcome(world.gate.admit("", PUBLIC)) is NONE
        assert world.log.reads == reads


# Guards against a lease that is counted from the answer of a read, before which the VM
# was suspended.
async def test_a_read_counts_from_when_it_was_sent():
    async with gate_world() as world:
        world.clock.advance(LEASE_MS + 1)
        world.log.held_reads = anyio.Event()
        seen = []

        async def ask():
            seen.append(await outcome(world.gate.admit("k1", KEYED)))

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            with anyio.fail_after(5):
                while not world.log.reads:
                    await anyio.sleep(0.001)
            world.clock.advance(LEASE_MS + 1)
            world.log.held_reads.set()
        assert seen == [KeyLeaseLapsed]


async def test_without_a_bound_keys_count_at_any_age():
    async with gate_world(max_age_ms=0) as world:
        world.clock.advance(3_600_000)
        world.set_failing()
        assert await outcome(world.gate.admit("k1", KEYED)) == "acme"


# Guards against a 401, which clients don't repeat, for a key that this VM has not read,
# and against calls to the store for each unknown key.
@pytest.mark.parametrize(
    ("age_ms", "up", "expected", "reads"),
    [
        pytest.param(NEW_KEY_AGE_MS, True, KeyUnknown, 0, id="read-lately"),
        pytest.param(NEW_KEY_AGE_MS + 1, True, KeyUnknown, 1, id="read-again"),
        pytest.param(NEW_KEY_AGE_MS + 1, False, KeysOutdated, 1, id="out-of-touch"),
    ],
)
async def test_an_unknown_key_is_refused_by_a_recent_configuration(
    age_ms, up, expected, reads
):
    async with gate_world() as world:
        world.clock.advance(age_ms)
        world.log.up = up
        asked = [await outcome(world.gate.admit("other", KEYED)) for _ in range(3)]
        assert asked == [expected] * 3
        assert world.log.reads == reads
        assert await outcome(world.gate.admit("", KEYED)) is KeyUnknown


# Guards against a relayed request that runs without its customer, or as another's,
# since the two VMs know different configurations or one is of an earlier release.
@pytest.mark.parametrize(
    ("key", "route", "customers", "expected"),
    [
        pytest.param("k1", KEYED, (make_customer(),), "acme", id="alike"),
        pytest.param("", PUBLIC, (make_customer(),), NONE, id="public"),
        pytest.param("", KEYED, (), NONE, id="no-customers"),
        pytest.param(
            "", KEYED, (make_customer(),), ConfigurationsDiffer, id="sent-without-hash"
        ),
        pytest.param("k1", KEYED, (), ConfigurationsDiffer, id="peer-knows-no-keys"),
        pytest.param(
            "k1", PUBLIC, (make_customer(),), ConfigurationsDiffer, id="public-at-peer"
        ),
        pytest.param(
            "k2", KEYED, (make_customer(),), KeyUnknown, id="unknown-at-the-peer"
        ),
    ],
)
async def test_a_relayed_request_runs_only_if_both_vms_agree(
    key, route, customers, expected
):
    async with gate_world(customers=customers) as world:
        hashed = key_hash(key) if key else ""
        assert await outcome(world.gate.admit_relayed(hashed, route)) == expected


async def test_a_peer_that_is_out_of_touch_makes_no_attempt():
    async with gate_world() as world:
        world.clock.advance(LEASE_MS + 1)
        world.set_failing()
        asked = world.gate.admit_relayed(key_hash("k1"), KEYED)
        assert await outcome(asked) is KeyLeaseLapsed


def take_away(world):
    world.put(make_customer(keys=("k2",)))


def give_to_another(world):
    world.put(make_customer("other", keys=("k1",)), make_customer(keys=("k2",)))


def cut_off(world):
    world.clock.advance(LEASE_MS + 1)
    world.set_failing()


def drop_all(world):
    world.put()


NOT_RUN = {"status": 503, "not_run": True}
WHOLE = {"parts": (b"whole",)}


# Guards against a key that was checked when the request came and taken away before the
# attempt, also that of a try after another.
@pytest.mark.parametrize("first", [None, NOT_RUN, ConnectionBroken])
@pytest.mark.parametrize(
    ("change", "status"),
    [
        pytest.param(take_away, 401, id="taken-away"),
        pytest.param(give_to_another, 401, id="given-to-another"),
        pytest.param(cut_off, 503, id="cut-off"),
        pytest.param(drop_all, 200, id="no-customers-any-more"),
    ],
)
async def test_the_key_is_checked_before_each_attempt(first, change, status):
    steps = [FakeResponse(**WHOLE)]
    if first is not None:
        steps.insert(0, first() if first is ConnectionBroken else FakeResponse(**first))
    serving = ServingWorld(*steps)
    gates = GateWorld(manual_clock())
    identity = await gates.gate.admit("k1", KEYED)
    context = serving.forwarder._context
    serving.forwarder._context = dataclasses.replace(context, customers=gates.gate)
    if first is None:
        change(gates)
    else:
        serving.client.on_send = lambda: change(gates)
    seen = await serving.serve(KEYED, identity=identity)
    has_run = first is ConnectionBroken
    assert seen.status == (502 if has_run and status != 200 else status)
    assert len(serving.client.sent) == (first is not None) + (status == 200)
    if seen.status == 503:
        assert float(dict(seen.headers)["Retry-After"]) > 0


# Streams that run go on when their key is taken away.
async def test_a_running_stream_goes_on():
    events = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")
    serving = ServingWorld(FakeResponse(parts=events))
    gates = GateWorld(manual_clock())
    identity = await gates.gate.admit("k1", KEYED)
    context = serving.forwarder._context
    serving.forwarder._context = dataclasses.replace(context, customers=gates.gate)
    serving.client.on_send = lambda: take_away(gates)
    route = make_route(kind=RouteKind.STREAM)
    seen = await serving.serve(route, identity=identity)
    assert (seen.status, seen.body) == (200, b"".join(events))


# Guards against a VM that stays out of touch for a poll after its cut has healed.
@pytest.mark.parametrize(
    ("age_ms", "reads"),
    [
        pytest.param(LEASE_MS // 2, 0, id="polls-are-enough"),
        pytest.param(LEASE_MS // 2 + 1, 1, id="late-poll"),
    ],
)
async def test_a_read_is_asked_for_before_the_lease_lapses(age_ms, reads):
    async with gate_world() as world:
        world.set_failing()
        world.clock.advance(age_ms)
        async with anyio.create_task_group() as group:
            group.start_soon(world.lease.run)
            await anyio.sleep(0.4)
            with anyio.fail_after(TEST_TIMEOUT_S):
                while reads and world.lease.age_ms:
                    await anyio.sleep(0.01)
            group.cancel_scope.cancel()
        assert world.log.reads == reads
        assert world.lease.age_ms == (0 if reads else age_ms)
