"""Pattern: a wave fills the workers of a large fleet, whose loads are known late."""

import pytest

from foxtailbank.fleet.load_table import PeerLoad, WorkerLoad
from foxtailbank.fleet.report_pace import SMALL_GROUP, PeerGroup
from foxtailbank.forward.place_finder import (
    RESERVE_LIFE_MS,
    ROUND_PAUSE_MS,
    TRIES_A_ROUND,
)
from foxtailbank.forward.route import RouteKind
from foxtailbank.http1.failures import ConnectionBroken, NotConnected, ServerSilent
from serving_fakes import FakeAnswer, ServingWorld, make_route, make_routes

pytestmark = pytest.mark.anyio
WORKERS = 6
SLOTS = 7
STREAM = make_route(kind=RouteKind.STREAM, max_attempts=1)


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_world(*, far=SMALL_GROUP + 1, seen=4, life_ms=2_000):
    """A VM that knows `seen` requests on each worker."""
    answer = FakeAnswer(parts=(b"id: 1\n\n",))
    world = ServingWorld(answer, worker_count=WORKERS, slots=SLOTS)
    world.fleet.neighbourhood.count_peers(PeerGroup.FAR, far)
    world.routes.apply(make_routes(STREAM, reservation_ms_by_service={"s": life_ms}))
    loads = {f"w{n}": WorkerLoad(online=seen) for n in range(WORKERS)}
    report = PeerLoad(vm_id="vm2", incarnation=1, load_by_worker=loads)
    world.fleet.loads.on_report(report, 0)
    return world


async def test_a_request_goes_where_a_place_is_reserved():
    world = make_world()
    world.client.full = {f"w{n}" for n in range(TRIES_A_ROUND - 1)}
    seen = await world.serve(STREAM, tokens=450)
    assert seen.complete
    (sent,) = world.client.sent
    assert sent[0] == world.client.asked[-1] not in world.client.full
    assert world.client.reservations == [f"place-at-{sent[0]}"]
    assert len(set(world.client.asked)) == len(world.client.asked)


@pytest.mark.parametrize(
    "changes",
    [
        pytest.param({"far": 3}, id="small-fleet-knows-the-loads"),
        pytest.param({"seen": 1}, id="idle-workers-have-room"),
        pytest.param({"life_ms": 0}, id="engines-reserve-nothing"),
    ],
)
async def test_nothing_is_reserved_without_need(changes):
    world = make_world(**changes)
    seen = await world.serve(STREAM, tokens=450)
    assert seen.complete
    assert world.client.asked == []
    assert world.client.reservations == [""]


async def test_a_request_of_unknown_size_is_sent_as_it_is():
    world = make_world()
    assert (await world.serve(STREAM)).complete
    assert world.client.asked == []


async def test_when_all_refuse_the_request_queues_at_a_worker_in_time():
    world = make_world(seen=SLOTS - 1)
    world.client.full = {f"w{n}" for n in range(WORKERS)}
    seen = await world.serve(STREAM, tokens=450)
    assert seen.complete
    assert world.client.reservations == [""]
    rounds = 1 + STREAM.target_ms / 2 / ROUND_PAUSE_MS
    assert TRIES_A_ROUND <= len(world.client.asked) <= rounds * TRIES_A_ROUND


async def test_a_place_that_falls_free_meanwhile_is_taken():
    world = make_world(seen=SLOTS - 1)
    workers = {f"w{n}" for n in range(WORKERS)}
    world.client.full = set(workers)
    ask = world.client.reserve

    async def reserve(worker, **size):
        if len(world.client.asked) >= TRIES_A_ROUND:
            world.client.full.clear()
        return await ask(worker, **size)

    world.client.reserve = reserve
    assert (await world.serve(STREAM, tokens=450)).complete
    assert world.client.reservations != [""]


async def test_without_workers_it_is_refused_at_once():
    world = make_world()
    for number in range(WORKERS):
        world.fleet.workers.remove(f"w{number}", world.clock.now_ms())
    seen = await world.serve(STREAM, tokens=450)
    assert seen.status == 503
    assert world.client.asked == world.client.sent == []


@pytest.mark.parametrize(
    ("failure", "avoided"),
    [
        pytest.param(ServerSilent, True, id="silent"),
        pytest.param(NotConnected, True, id="unreachable"),
        pytest.param(ConnectionBroken, False, id="dropped-an-idle-connection"),
    ],
)
async def test_a_worker_that_can_not_be_asked_is_passed_over(
    monkeypatch, failure, avoided
):
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
    assert world.fleet.health.avoided(asked[0], now_ms) is avoided


@pytest.mark.parametrize("life_ms", [200, 2_000])
async def test_a_reservation_lives_no_longer_than_engines_allow(life_ms):
    world = make_world(life_ms=life_ms)
    assert (await world.serve(STREAM, tokens=450)).complete
    assert world.client.lives_ms == [min(life_ms, RESERVE_LIFE_MS)]
