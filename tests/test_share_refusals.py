"""A customer's excess is refused at once, and returns after those under their share."""

import random

import pytest

from foxtailbank.customers.customer import Customer, Identity
from foxtailbank.customers.share_counts import (
    MAX_REPORTED,
    CustomerLoad,
    CustomerLoads,
    customer_key,
)
from foxtailbank.fleet import load_report
from foxtailbank.fleet.load_table import LoadKind, PeerLoad, WorkerLoad
from foxtailbank.forward import wait_limits
from foxtailbank.forward.route import RouteKind
from foxtailbank.forward.wait_limits import MAX_RETRY_AFTER_MS
from serving_fakes import (
    FakeResponse,
    ServingWorld,
    make_report,
    make_route,
    make_routes,
)

STREAM = make_route(kind=RouteKind.STREAM, timeout_ms=6_000, max_attempts=1)
HOT, OTHER = Customer(name="hot"), Customer(name="other")
SLOTS = 12  # of each of three workers


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_world(*, hot, other, customers=(HOT, OTHER)):
    """Return a VM whose peer reports what two customers have on three workers."""
    answer = FakeResponse(parts=(b"id: 1\n\n",))
    world = ServingWorld(answer, worker_count=3, slots=SLOTS)
    world.routes.apply(make_routes(STREAM, customers=customers))
    total = hot + other
    loads = {f"w{n}": WorkerLoad(online=(total + n) // 3) for n in range(3)}
    report = PeerLoad(vm_id="vm2", incarnation=1, load_by_worker=loads)
    now_ms = world.clock.now_ms()
    world.fleet.loads.on_report(report, now_ms)
    counts = tuple(
        CustomerLoad(key=customer_key(service="s", name=name), online=count)
        for name, count in (("hot", hot), ("other", other))
    )
    world.fleet.customer_loads.on_report("vm2", counts, now_ms)
    return world


async def serve(world, customer):
    identity = Identity(customer=customer, key_hash="k") if customer else None
    return await world.serve(STREAM, identity=identity, max_wait_ms=6_000)


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("hot", "other", "customer", "status"),
    [
        pytest.param(34, 4, HOT, 503, id="excess-on-busy-workers"),
        pytest.param(34, 4, OTHER, 200, id="under-its-share"),
        pytest.param(24, 0, HOT, 200, id="workers-not-busy"),
        pytest.param(34, 4, None, 200, id="request-without-a-key"),
    ],
)
async def test_only_excess_is_refused_and_only_on_busy_workers(
    hot, other, customer, status
):
    world = make_world(hot=hot, other=other)
    seen = await serve(world, customer)
    assert seen.status == status
    if status == 503:
        assert world.client.sent == []
        assert float(dict(seen.headers)["Retry-After"]) > MAX_RETRY_AFTER_MS / 1_000


@pytest.mark.anyio
async def test_requests_are_counted_until_they_end():
    world = make_world(hot=0, other=0)
    assert (await serve(world, HOT)).complete
    assert world.fleet.customer_loads.reports() == ()


# Guards against refused callers of a hot customer who return before the others.
def test_excess_returns_after_all_others():
    rng = random.Random(1)
    for _ in range(50):
        other_ms = wait_limits.retry_after_ms(wait_ms=0, remaining_ms=6_000, rng=rng)
        excess_ms = wait_limits.excess_wait_ms(rng)
        assert other_ms <= MAX_RETRY_AFTER_MS <= excess_ms


# Guards against counts that stay when reports stop.
def test_a_silent_vm_and_an_idle_one_count_no_more():
    loads = CustomerLoads()
    loads.on_report("a", (CustomerLoad(key=1, online=2, batch=1),), 0)
    loads.on_report("b", (CustomerLoad(key=1, online=3),), 10)
    loads.start(1, LoadKind.ONLINE)
    assert (loads.online(1), loads.batch(1), loads.vm_count(1)) == (6, 1, 3)
    assert loads.age_ms(30) == 30
    loads.on_report("b", (), 20)
    loads.forget_vm("a")
    assert (loads.online(1), loads.batch(1), loads.vm_count(1)) == (1, 0, 1)


def make_loads(count):
    return tuple(
        CustomerLoad(key=2**32 - 1 - n, online=900, batch=9) for n in range(count)
    )


def test_a_report_bears_the_largest_customers():
    loads = CustomerLoads()
    for key in range(MAX_REPORTED + 4):
        for _ in range(key + 1):
            loads.start(key, LoadKind.BATCH)
    reported = loads.reports()
    assert [load.key for load in reported] == list(range(MAX_REPORTED + 3, 3, -1))
    report = make_report("vm", customers=reported)
    assert load_report.decode(load_report.encode(report)) == report


# Guards against customers that make a datagram of two pieces.
def test_customers_that_do_not_fit_are_left_out():
    workers = {f"i-{n:010x}": WorkerLoad(online=900, batch=900) for n in range(52)}
    whole = make_report("vm", load_by_worker=workers, customers=make_loads(16))
    datagram = load_report.encode(whole)
    assert len(datagram) <= load_report.MAX_DATAGRAM_BYTES
    seen = load_report.decode(datagram)
    assert seen.load_by_worker == workers
    assert 0 < len(seen.customers) < 16


def test_a_report_with_too_many_customers_is_refused():
    datagram = load_report.encode(make_report("vm", customers=make_loads(17)))
    with pytest.raises(load_report.FrameInvalid):
        load_report.decode(datagram)
