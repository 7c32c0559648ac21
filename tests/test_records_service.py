import contextlib

import anyio
import msgspec
import pytest

from foxtailbank import exceptions
from foxtailbank.endpoint import EndpointCall
from foxtailbank.http_endpoint import HttpEndpoint
from foxtailbank_bench.control import StandInControl
from foxtailbank_bench.records_app import RecordsApp
from foxtailbank_bench.serving import running

pytestmark = pytest.mark.anyio
TIMEOUT_S = 30
BOOKING = EndpointCall(
    request_id="b1",
    method="POST",
    path="/bookings",
    body=b'{"name":"n"}',
    fresh_connection=True,
)
LOOKUP = EndpointCall(request_id="l1", method="GET", path="/contracts/c-12")


@contextlib.asynccontextmanager
async def records():
    with anyio.fail_after(TIMEOUT_S):
        async with running(RecordsApp()) as address:
            service = HttpEndpoint(address=address, head_ms=500)
            control = StandInControl(address=address)
            try:
                yield service, control
            finally:
                await service.aclose()
                await control.aclose()


async def test_lookup_gives_the_same_answer_each_time():
    async with records() as (service, _):
        first = await service.call(LOOKUP)
        assert first.body == (await service.call(LOOKUP)).body
        assert msgspec.json.decode(first.body)["contract_id"] == "c-12"


async def test_each_call_creates_a_new_booking():
    async with records() as (service, control):
        answers = [await service.call(BOOKING) for _ in range(2)]
        assert [answer.status for answer in answers] == [201, 201]
        assert answers[0].body != answers[1].body
        assert len(await control.journal()) == 2
        assert [entry.path for entry in await control.journal(since=1)] == ["/bookings"]


@pytest.mark.parametrize(
    ("faults", "failure", "ran", "booked"),
    [
        ({"drop_after_effect": 1}, exceptions.EndpointFailed, "unknown", 1),
        ({"delay_ms": 5_000}, exceptions.EndpointStalled, "unknown", 1),
        ({"drain": True}, exceptions.EndpointRefused, "no", 0),
    ],
)
async def test_fault_decides_whether_the_booking_took_effect(
    faults, failure, ran, booked
):
    async with records() as (service, control):
        await control.set_faults(**faults)
        with pytest.raises(failure) as caught:
            await service.call(BOOKING)
        assert caught.value.ran.value == ran
        assert len(await control.journal()) == booked


async def test_stalled_connection_takes_no_request():
    async with records() as (service, control):
        await service.call(LOOKUP)
        await control.set_faults(stall_open=True)
        with pytest.raises(exceptions.EndpointStalled):
            await service.call(LOOKUP)
        assert len(await control.journal()) == 1
        await service.call(LOOKUP)


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("POST", "/bookings", b"{", 400),
        ("GET", "/nowhere", b"", 404),
        ("GET", "/healthz", b"", 200),
    ],
)
async def test_other_requests(method, path, body, status):
    call = EndpointCall(request_id="r", method=method, path=path, body=body)
    async with records() as (service, _):
        assert (await service.call(call)).status == status
