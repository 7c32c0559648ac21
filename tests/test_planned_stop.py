"""A VM that is stopped ends what it passed on and passes nothing new on late."""

import contextlib
import dataclasses
import random
import signal

import anyio
import pytest

from foxtailbank.clock import SystemClock
from foxtailbank.forward.route import RouteKind
from foxtailbank.http1.client_channel import ClientChannel, ResponseHead
from foxtailbank.http1.failures import ConnectionBroken, ExchangeFailed
from foxtailbank.relay.relay_messages import (
    ATTEMPT_HEADER,
    RESULT_HEADER,
    RelayedAttempt,
    RelayOutcome,
    RelayResult,
    decode,
    encode,
)
from foxtailbank_platform.graceful_shutdown import ROTATION_EXIT_MS
from foxtailbank_soak.environment import (
    EVENTS_PER_STREAM,
    HOST,
    Environment,
    FleetSize,
)
from foxtailbank_soak.journal import Journal
from foxtailbank_soak.vms import FRONT_PORT
from platform_deployment import make_submission
from serving_fakes import FakeResponse, ServingWorld, make_route

pytestmark = pytest.mark.anyio
CLOCK = SystemClock()
WAIT_S = 30
SENDS_PER_S = 10
SENDS_BEFORE = 10
STREAM_S = 2.0
CROSSING_MS = 300  # of a request and the end of the process, which is then noticed
LIST_READ_S = 1.0  # by then a VM has read the entries of the workers
EARLY_MS = 100  # before the last moment, so that a request arrives in time
UNSAFE = make_route(kind=RouteKind.UNSAFE)
RESUMABLE = make_route(kind=RouteKind.STREAM, resumable=True)


@pytest.mark.parametrize("route", [make_route(), UNSAFE, RESUMABLE])
# Guards against requests that wait for a slot and are sent just before the kill.
async def test_a_late_request_is_refused_without_asking_a_worker(route):
    world = ServingWorld(FakeResponse(parts=(b"whole",)))
    world.gate.close()
    seen = await world.serve(route)
    assert (seen.status, world.client.sent) == (503, [])
    assert float(dict(seen.headers)["Retry-After"]) > 0


# A late second try of a request that no worker has run is refused as well.
async def test_a_late_try_after_a_refusal_is_not_sent():
    world = ServingWorld(
        FakeResponse(status=503, not_run=True), FakeResponse(parts=(b"whole",))
    )
    world.client.on_send = world.gate.close
    seen = await world.serve(UNSAFE)
    assert (seen.status, len(world.client.sent)) == (503, 1)


# What was passed on in time is ended, also at another worker.
async def test_a_request_under_way_goes_on():
    world = ServingWorld(ConnectionBroken(), FakeResponse(parts=(b"whole",)))
    world.client.on_send = world.gate.close
    seen = await world.serve(make_route())
    assert (seen.status, seen.body) == (200, b"whole")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """Requests that are sent while a VM is stopped.

    Attributes
    ----------
    target, body, port
        Of each request.
    request_id
        The same for all, or empty.
    headers
        Further headers.
    status
        Of the answers in the first seconds of the stop.
    """

    target: str
    body: bytes = b""
    port: int = FRONT_PORT
    request_id: str = ""
    headers: tuple = ()
    status: int = 200


@dataclasses.dataclass(kw_only=True)
class Sent:
    """A request, and the head of its complete answer, if it got one."""

    sent_ms: int
    head: ResponseHead | None = None

    @property
    def status(self):
        return self.head.status if self.head is not None else 0


STREAMS = Load(target="/stream/x")
PLAIN = Load(target="/safe/plain/x")
SUBMISSIONS = Load(
    target="/batch/1", body=make_submission(), request_id="j1", status=202
)
RELAYED = Load(
    target="/stream/x",
    port=17_660,
    headers=((ATTEMPT_HEADER, encode(RelayedAttempt(vm_id="v", remaining_ms=5_000))),),
)


async def send(address, load, number=0):
    """Send one request on a new connection."""
    sent = Sent(sent_ms=CLOCK.now_ms())
    request_id = load.request_id or f"q{number}"
    headers = (("Host", HOST), ("X-Request-Id", request_id), *load.headers)
    with contextlib.suppress(ExchangeFailed):
        channel = await ClientChannel.connect(
            address=f"{address}:{load.port}", clock=CLOCK, timeout_ms=1_000
        )
        try:
            await channel.send(
                method="POST", target=load.target, headers=headers, body=load.body
            )
            head = await channel.receive_head(10_000)
            await channel.read_all(10_000)
            sent.head = head
        finally:
            await channel.aclose()
    return sent


async def until_served(address):
    with anyio.fail_after(WAIT_S):
        while (await send(address, PLAIN)).status != 200:
            await anyio.sleep(0.05)


async def stop_under_load(vm, address, load):
    """Stop a VM; return when, and the requests that it had time to answer."""
    sent_requests = []

    async def send_and_keep(number):
        sent = await send(address, load, number)
        if sent.head is not None or vm.running:
            sent_requests.append(sent)

    async with anyio.create_task_group() as group:
        for number in range(SENDS_BEFORE):
            group.start_soon(send_and_keep, number)
            await anyio.sleep(1 / SENDS_PER_S)
        stopped_ms = CLOCK.now_ms()
        vm.should_run = False
        vm.signal(signal.SIGTERM)
        with anyio.fail_after(WAIT_S):
            while vm.running:
                number += 1
                group.start_soon(send_and_keep, number)
                await anyio.sleep(1 / SENDS_PER_S)
    return stopped_ms, sent_requests


@pytest.mark.parametrize(
    ("net", "load", "is_store_away"),
    [
        pytest.param("127.95", STREAMS, False, id="streams"),
        pytest.param("127.96", PLAIN, False, id="plain"),
        pytest.param("127.97", STREAMS, True, id="store-away"),
        pytest.param("127.98", SUBMISSIONS, False, id="submissions"),
        pytest.param("127.99", RELAYED, False, id="relayed"),
    ],
)
# Guards against a stopping VM that takes requests to its end and cuts them (review/5).
async def test_a_stopping_process_cuts_no_request(tmp_path, net, load, is_store_away):
    environment = Environment(
        net=net,
        size=FleetSize(vms=1, workers=2, zones=1),
        directory=tmp_path,
        journal=Journal(),
        clock=CLOCK,
        rng=random.Random(1),
    )
    (vm,) = environment.vms
    address = f"{net}.3.1"
    try:
        async with anyio.create_task_group() as group:
            await environment.start(group)
            for number, worker in enumerate(environment.workers):
                environment.register_worker(number, slots=100)
                worker.event_interval_s = STREAM_S / EVENTS_PER_STREAM
                worker.max_run_s = STREAM_S
            await until_served(address)
            await anyio.sleep(LIST_READ_S)
            environment.store.up = not is_store_away
            stopped_ms, sent_requests = await stop_under_load(vm, address, load)
            group.cancel_scope.cancel()
    finally:
        environment.kill_all()
    late_ms = stopped_ms + ROTATION_EXIT_MS
    # A request that crosses the exit is not read.
    last_ms = CLOCK.now_ms() - CROSSING_MS
    late = [sent for sent in sent_requests if late_ms < sent.sent_ms < last_ms]
    early = [sent for sent in sent_requests if sent.sent_ms < late_ms - EARLY_MS]
    assert {sent.status for sent in early} == {load.status}
    assert {sent.status for sent in late} <= {503}
    if load is RELAYED:
        results = [decode(s.head.get(RESULT_HEADER), RelayResult) for s in late]
        assert {result.outcome for result in results} == {RelayOutcome.UNABLE}
    assert vm.exit_code == 0
