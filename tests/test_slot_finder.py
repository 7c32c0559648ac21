"""Slot reservation when a burst fills a large fleet whose known loads are stale."""

import pytest

from foxtailbank.fleet.load_table import PeerLoad, WorkerLoad
from foxtailbank.fleet.report_intervals import SMALL_GROUP, PeerGroup
from foxtailbank.forward.route import RouteKind
from foxtailbank.forward.slot_finder import (
    RESERVATION_LIFETIME_MS,
    ROUND_PAUSE_MS,
    TRIES_PER_ROUND,
)
from foxtailbank.http1.failures import ConnectionBroken, NotConnected, ResponseTimeout
from serving_fakes import FakeResponse, ServingWorld, make_route, make_routes

pytestmark = pytest.mark.anyio
WORKERS = 6
SLOTS = 7
STREAM = make_route(kind=RouteKind.STREAM, max_attempts=1)


def make_world(*, far=SMALL_GROUP + 1, load=4, lifetime_ms=2_000):
    """Return a VM that knows of `load` requests on each worker."""
    answer = FakeResponse(parts=(b"id: 1\n\n",))
    world = ServingWorld(answer, worker_count=WORKERS, slots=SLOTS)
    world.fleet.tiers.set_peer_count(PeerGroup.FAR, far)
    world.routes.apply(
        make_routes(STREAM, reservation_ms_by_service={"s": lifetime_ms})
    )
    loads = {f"w{n}": WorkerLoad(online=load) for n in range(WORKERS)}
    report = PeerLoad(vm_id="vm2", incarnation=1, load_by_worker=loads)
    world.fleet.loads.on_report(report, 0)
    return world


async def test_request_goes_to_worker_with_reserved_slot():
    world = make_world()
    world.client.full = {f"w{n}" for n in range(TRIES_PER_ROUND - 1)}
    seen = await world.serve(STREAM, tokens=450)
    assert seen.complete
    (sent,) = world.client.sent
    assert sent[0] == world.client.asked_worker_ids[-1] not in world.client.full
    assert world.client.reservations == [f"place-at-{sent[0]}"]
    assert len(set(world.client.asked_worker_ids)) == len(world.client.asked_worker_ids)


@pytest.mark.parametrize(
    "changes",
    [
        pytest.param({"far": 3}, id="small-fleet"),
        pytest.param({"load": 1}, id="idle-workers"),
        pytest.param({"lifetime_ms": 0}, id="no-reservation-support"),
    ],
)
async def test_no_reservation_when_not_needed(changes):
    world = make_world(**changes)
    seen = await world.serve(STREAM, tokens=450)
    assert seen.complete
    assert world.client.asked_worker_ids == []
    assert world.client.reservations == [""]


async def test_request_of_unknown_size_is_sent_without_reservation():
    world = make_world()
    assert (await world.serve(STREAM)).complete
    assert world.client.asked_worker_ids == []


async def test_request_queues_when_all_workers_refuse_reservation():
    world = make_world(load=SLOTS - 1)
    world.client.full = {f"w{n}" for n in range(WORKERS)}
    seen = await world.serve(STREAM, tokens=450)
    assert seen.complete
    assert world.client.reservations == [""]
    rounds = 1 + STREAM.target_ms / 2 / ROUND_PAUSE_MS
    assert (
        TRIES_PER_ROUND
        <= len(world.client.asked_worker_ids)
        <= rounds * TRIES_PER_ROUND
    )


async def test_slot_freed_during_search_is_reserved():
    world = make_world(load=SLOTS - 1)
    workers = {f"w{n}" for n in range(WORKERS)}
    world.client.full = set(workers)
    ask = world.client.reserve

    async def reserve(worker, **size):
        if len(world.client.asked_worker_ids) >= TRIES_PER_ROUND:
            world.client.full.clear()
        return await ask(worker, **size)

    world.client.reserve = reserve
    assert (await world.serve(STREAM, tokens=450)).complete
    assert world.client.reservations != [""]


async def test_request_is_refused_immediately_without_workers():
    world = make_world()
    for number in range(WORKERS):
        world.fleet.workers.remove(f"w{number}", world.clock.now_ms())
    seen = await world.serve(STREAM, tokens=450)
    assert seen.status == 503
    assert world.client.asked_worker_ids == world.client.sent == []


@pytest.mark.parametrize(
    ("failure", "avoided"),
    [
        pytest.param(ResponseTimeout, True, id="silent"),
        pytest.param(NotConnected, True, id="unreachable"),
        pytest.param(ConnectionBroken, False, id="idle-connection-closed"),
    ],
)
async def test_worker_whose_reservation_fails_is_skipped(monkeypatch, failure, avoided):
    world = make_world()
    asked = []

    async def reserve(worker, **_):
        asked.append(worker.worker_id)
        if len(asked) == 1:
            raise failure(detail="x")
        return "place"

    monkeypatch.setattr(world.client, "reserve", reserve)
    assert (await world.serve(STREAM, tokens=450)).complete
    assert world.client.sent[0][0] == asked[1] != asked[0]
    now_ms = world.clock.now_ms()
    assert world.fleet.health.is_avoided(asked[0], now_ms) is avoided


@pytest.mark.parametrize("lifetime_ms", [200, 2_000])
async def test_reservation_lifetime_is_limited_by_engine(lifetime_ms):
    world = make_world(lifetime_ms=lifetime_ms)
    assert (await world.serve(STREAM, tokens=450)).complete
    assert world.client.lifetimes_ms == [min(lifetime_ms, RESERVATION_LIFETIME_MS)]
