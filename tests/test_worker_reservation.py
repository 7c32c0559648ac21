"""Reserving a slot at a worker over HTTP: requests sent and responses accepted."""

import contextlib

import anyio
import pytest

from foxtailbank.clock import SystemClock
from foxtailbank.fleet.worker import Worker
from foxtailbank.forward.worker_client import ReservationRefused
from foxtailbank.http1.failures import MalformedResponse, NotConnected, ResponseTimeout
from foxtailbank_platform.headers import RESERVATION
from foxtailbank_platform.worker_client import HttpWorkerClient
from foxtailbank_soak.stand_in_server import make_server
from foxtailbank_soak.worker import WorkerStandIn
from serving_fakes import make_call

pytestmark = pytest.mark.anyio
CLOCK = SystemClock()
ADDRESS = "127.0.0.44:18482"
WORKER = Worker(
    worker_id="w1", service="s", address=ADDRESS, zone="z1", slots=7, draining=False
)
TIMEOUT_MS = 5_000


@contextlib.asynccontextmanager
async def running(server):
    async with anyio.create_task_group() as group:
        group.start_soon(server.run)
        await anyio.sleep(0.1)
        yield HttpWorkerClient(clock=CLOCK)
        group.cancel_scope.cancel()


async def reserve(client, timeout_ms=TIMEOUT_MS):
    return await client.reserve(
        WORKER, tokens=468, lifetime_ms=500, timeout_ms=timeout_ms
    )


async def test_request_carries_its_own_reservation():
    stand_in = WorkerStandIn("w1", ADDRESS, clock=CLOCK)
    async with running(stand_in.server) as client:
        reservation = await reserve(client)
        assert stand_in.reservations == [{"tokens": 468, "ttl_ms": 500}]
        call = make_call(CLOCK, target="/plain/x", headers=((RESERVATION, "forged"),))
        for named in (reservation, ""):
            async with client.exchange(
                WORKER,
                call,
                remaining_ms=1_000,
                head_timeout_ms=TIMEOUT_MS,
                resume_after="",
                reservation=named,
            ) as response:
                await response.read_all(TIMEOUT_MS)
    assert [run.get(RESERVATION) for run in stand_in.runs] == [reservation, ""]


async def test_full_worker_refuses_a_reservation():
    stand_in = WorkerStandIn("w1", ADDRESS, clock=CLOCK)
    stand_in.refuse = True
    async with running(stand_in.server) as client:
        with pytest.raises(ReservationRefused):
            await reserve(client)


async def never_respond(request, responder):
    await anyio.sleep_forever()


async def respond_without_reservation(request, responder):
    await responder.respond(status=200, body=b"{}")


@pytest.mark.parametrize(
    ("handler", "failure"),
    [
        (never_respond, ResponseTimeout),
        (respond_without_reservation, MalformedResponse),
    ],
)
async def test_invalid_reservation_responses(handler, failure):
    async with running(make_server(ADDRESS, handler, CLOCK)) as client:
        with pytest.raises(failure):
            await reserve(client, timeout_ms=200)


async def test_reserving_at_an_unreachable_worker():
    with pytest.raises(NotConnected):
        await reserve(HttpWorkerClient(clock=CLOCK))
