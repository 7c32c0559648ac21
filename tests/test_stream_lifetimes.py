"""How long after its first event a client may still come back with a stream."""

import dataclasses

import pytest

from foxtailbank.fleet.version_history import VersionHistory
from foxtailbank.fleet.worker_table import WorkerTable
from foxtailbank.forward.route import RouteKind
from foxtailbank.forward.route_table import RouteTable
from serving_fakes import (
    FakeResponse,
    ServingWorld,
    make_route,
    make_routes,
    make_worker,
)

pytestmark = pytest.mark.anyio
RESUMABLE = make_route(kind=RouteKind.STREAM, resumable=True, timeout_ms=5_000)
NOW_MS = 1_000_000


@pytest.fixture
def anyio_backend():
    return "asyncio"


# Guards against a fixed bound on the age of streams: a client with a longer deadline
# returned when the version of its stream had been forgotten.
@pytest.mark.parametrize(
    ("timeout_ms", "client_wait_ms", "followed_ms", "expected"),
    [
        pytest.param(5_000, 5_000, 20_000, "v2", id="short"),
        pytest.param(5_000, 5_000, 19_999, "", id="short-too-soon"),
        pytest.param(30_000, 0, 119_999, "", id="long-route"),
        pytest.param(30_000, 0, 120_000, "v2", id="long-route-over"),
        pytest.param(5_000, 40_000, 159_999, "", id="patient-client"),
        pytest.param(5_000, 40_000, 160_000, "v2", id="patient-client-over"),
    ],
)
def test_how_long_a_stream_may_be_taken_up_follows_from_routes_and_clients(
    timeout_ms, client_wait_ms, followed_ms, expected
):
    routes = RouteTable()
    route = dataclasses.replace(RESUMABLE, timeout_ms=timeout_ms)
    routes.apply(make_routes(route))
    routes.stream_lifetimes.on_wait(route.services, client_wait_ms)
    workers = WorkerTable()
    workers.put(make_worker("w1", software_version="v2"))
    history = VersionHistory(workers=workers, lifetimes=routes.stream_lifetimes)
    history.on_list_restored(NOW_MS - followed_ms)
    assert history.sole_version("s", now_ms=NOW_MS, wall_ms=0) == expected


def test_bound_on_the_age_of_streams_does_not_fall_with_a_new_configuration():
    routes = RouteTable()
    for version, timeout_ms in ((1, 30_000), (2, 5_000)):
        route = dataclasses.replace(RESUMABLE, timeout_ms=timeout_ms)
        routes.apply(make_routes(route, version=version))
    assert routes.stream_lifetimes.lifetime_ms("s") == 120_000


async def test_clients_tell_how_long_they_wait():
    world = ServingWorld(FakeResponse(parts=(b"id: 1\ndata: a\n\n",)))
    await world.serve(RESUMABLE, max_wait_ms=40_000)
    assert world.routes.stream_lifetimes.lifetime_ms("s") == 160_000
