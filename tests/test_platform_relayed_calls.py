"""Requests of a VM without workers, which another VM carries out."""

import contextlib

import anyio
import pytest

from foxtailbank.forward import peer_relay
from foxtailbank.http1.client_channel import ClientChannel
from foxtailbank_platform import headers as names
from foxtailbank_soak.worker import encode_event
from odd_answers import ODD_ANSWERS
from platform_deployment import CLOCK, call, make_manifest, running_deployment
from raw_worker import RawServer

pytestmark = pytest.mark.anyio
NET = "127.0.35"
ONCE = "/once/plain/x"
SAFE = "/plain/x"
STREAM = "/st/x"
RESUMABLE = "/res/x"
MAX_ATTEMPTS = 2
REFUSED_S = 5
LEFT_WORK_S = 0.5  # allowed after the client has left


@pytest.fixture
def anyio_backend():
    return "asyncio"


def manifest():
    """The usual routes and one whose requests must run at most once."""
    manifest = make_manifest(version=2)
    once = {**manifest["routes"][0], "name": "once", "path_prefix": "/once/"}
    manifest["routes"].append({**once, "type": "unsafe"})
    return manifest


@contextlib.asynccontextmanager
async def running_vms(count=2, *, stranded=(1,), versions=("v1", "v1", "v1")):
    """Run VMs of which some take all workers for unreachable."""
    async with running_deployment(net=NET, versions=versions) as deployment:
        deployment.publish()
        deployment.store.put("keyed.op", "config", manifest())
        deployment.scope_by_number = {}
        for number in range(1, count + 1):
            deployment.scope_by_number[number] = deployment.start_vm(number)
        for number in range(1, count + 1):
            await deployment.until_ready(number)
        await anyio.sleep(0.5)  # the VMs have heard of each other
        for number in stranded:
            reach = deployment.process_by_number[number]._vm.fleet.reach
            reach.is_lost = lambda service: True
            reach.lost_services = lambda: ("s",)
        await anyio.sleep(0.6)  # and that these have lost their workers
        yield deployment


def runs(deployment):
    return [run for worker in deployment.workers for run in worker.runs]


@pytest.mark.parametrize("target", [SAFE, ONCE, STREAM, RESUMABLE])
async def test_the_answer_is_that_of_the_worker(target):
    async with running_vms() as deployment:
        head, body = await call("POST", target, body=b"b" * 70_000, net=NET)
        (run,) = runs(deployment)
        assert head.status == 200
        assert head.get("x-response-stamp").startswith("stamp-w")
        assert head.get("x-request-id") == "q1"
        assert not any(name.startswith("foxtailbank") for name, _ in head.headers)
        assert not any(name.startswith("foxtailbank") for name, _ in run.headers)
        events = b"".join(encode_event(number) for number in (1, 2, 3))
        assert body in (b"POST " + b"b" * 70_000, events)
        assert run.body == b"b" * 70_000


# Guards against a request that runs twice, or on more workers than its route allows,
# because two VMs each make attempts of their own.
@pytest.mark.parametrize(
    ("target", "most_runs", "status"),
    [(SAFE, MAX_ATTEMPTS, 500), (ONCE, 1, 500)],
)
async def test_attempts_of_both_vms_are_counted_together(target, most_runs, status):
    async with running_vms(3) as deployment:
        for worker in deployment.workers:
            worker.error_share = 1.0
        head, _ = await call("POST", target, net=NET)
        assert head.status == status
        assert head.get("x-response-stamp")
        assert 1 <= len(runs(deployment)) <= most_runs


# Guards against "not run" for a request that may have run.
@pytest.mark.parametrize("target", [ONCE, STREAM])
async def test_a_request_whose_vm_dies_is_not_called_not_run(target):
    async with running_vms() as deployment:
        for worker in deployment.workers:
            worker.max_run_s = 5.0
            worker.event_interval_s = 5.0
        answers = []

        async def send():
            answers.append(await call("POST", target, net=NET))

        async with anyio.create_task_group() as group:
            group.start_soon(send)
            while not runs(deployment):
                await anyio.sleep(0.01)
            deployment.scope_by_number[2].cancel()
        assert len(runs(deployment)) == 1
        assert answers[0] is None or answers[0][0].status == 502


# Guards against a request that waits, or is passed on for ever, when nobody can run it.
@pytest.mark.parametrize(
    ("stranded", "refuses"),
    [
        pytest.param((1, 2), False, id="no-vm-reaches-a-worker"),
        pytest.param((1,), True, id="all-workers-full"),
    ],
)
async def test_what_nobody_can_run_is_refused_at_once(stranded, refuses):
    async with running_vms(stranded=stranded) as deployment:
        for worker in deployment.workers:
            worker.refuse = refuses
        if not refuses:
            for worker in deployment.workers:
                deployment.store.put("keyed.servers", worker.worker_id, None)
            await anyio.sleep(1)
        began_ms = CLOCK.now_ms()
        for target in (SAFE, ONCE, STREAM, RESUMABLE):
            head, _ = await call("POST", target, net=NET)
            assert head.status == 503
            assert float(head.get("retry-after")) > 0
        assert CLOCK.now_ms() - began_ms < 1_000
        assert runs(deployment) == []


# Guards against workers that go on with the request of a client that has left.
async def test_a_client_that_leaves_ends_the_run_behind_the_other_vm():
    async with running_vms() as deployment:
        for worker in deployment.workers:
            worker.event_interval_s = 1.0
        channel = await ClientChannel.connect(
            address=f"{NET}.11:18144", clock=CLOCK, timeout_ms=1_000
        )
        headers = (("Host", "h.example"), ("X-Request-Id", "q1"))
        await channel.send(method="POST", target=STREAM, headers=headers, body=b"")
        await channel.receive_head(5_000)
        await channel.aclose()
        with anyio.fail_after(LEFT_WORK_S):
            while not any(worker.disconnected_streams for worker in deployment.workers):
                await anyio.sleep(0.01)


# Guards against a worker that is handed more time than the client has left.
async def test_the_deadline_is_that_of_the_client():
    async with running_vms() as deployment:
        headers = ((names.DEADLINE, "700"),)
        for worker in deployment.workers:
            worker.max_run_s = 60.0
        began_ms = CLOCK.now_ms()
        head, _ = await call("POST", ONCE, headers=headers, net=NET)
        (run,) = runs(deployment)
        assert head.status == 504
        assert CLOCK.now_ms() - began_ms < 1_200
        assert 0 < int(run.get(names.DEADLINE)) <= 700


# Guards against a stream that ends, or goes on at another software version, when the VM
# that carries it dies.
async def test_a_relayed_stream_goes_on_at_its_version_through_a_third_vm():
    async with running_vms(3, versions=("v1", "v1", "v2", "v2")) as deployment:
        for worker in deployment.workers:
            worker.event_interval_s = 0.3
        answers = []

        async def send():
            answers.append(await call("POST", RESUMABLE, net=NET))

        async with anyio.create_task_group() as group:
            group.start_soon(send)
            while not runs(deployment):
                await anyio.sleep(0.01)
            await anyio.sleep(0.2)
            relay = deployment.process_by_number[1]._vm.relay
            (peer_id,) = [key for key, n in relay._in_flight_by_peer.items() if n]
            deployment.scope_by_number[int(peer_id[2:])].cancel()
        head, body = answers[0]
        assert head.status == 200
        assert body == b"".join(encode_event(number) for number in (1, 2, 3))
        versions = {w.software_version for w in deployment.workers if w.runs}
        assert len(versions) == 1
        assert len(runs(deployment)) == 2


# Guards against a VM that carries out so much for others that its own callers wait.
async def test_what_a_vm_carries_out_for_others_is_bounded(monkeypatch):
    monkeypatch.setattr(peer_relay, "MAX_RELAYED", 2)
    async with running_vms() as deployment:
        for worker in deployment.workers:
            worker.event_interval_s = 0.3
        carrier = deployment.process_by_number[2]._vm.relay
        counts = []

        async def sample():
            while True:
                counts.append(carrier._accepted)
                await anyio.sleep(0.01)

        async with anyio.create_task_group() as group:
            group.start_soon(sample)
            async with anyio.create_task_group() as calls:
                for _ in range(8):
                    calls.start_soon(call_stream)
            group.cancel_scope.cancel()
        assert max(counts) == 2
        assert carrier._accepted == 0


async def call_stream():
    await call("POST", STREAM, net=NET)


async def test_a_vm_that_reaches_its_workers_asks_no_other():
    async with running_vms(stranded=()) as deployment:
        for target in (SAFE, ONCE, STREAM):
            head, _ = await call("POST", target, net=NET)
            assert head.status == 200
        server = deployment.process_by_number[2]._relay_server
        assert not server._connections


# Guards against an answer that is none, or broke off, and passes for a whole one on its
# way through another VM.
@pytest.mark.parametrize("target", [ONCE, STREAM, RESUMABLE])
async def test_an_odd_answer_is_no_success_behind_the_other_vm(target):
    server = RawServer()
    seen_by_answer = {}
    async with running_vms() as deployment:
        await deployment.group.start(server.run)
        for worker in deployment.workers:
            deployment.store.put("keyed.servers", worker.worker_id, None)
        entry = deployment.workers[0].entry(address=server.address)
        deployment.store.put("keyed.servers", "raw", entry)
        await anyio.sleep(1)  # both VMs have read the list
        for number, answer in enumerate(ODD_ANSWERS):
            (raw_answer,) = answer.values
            server.script[:] = [raw_answer]
            body = b"%d" % number  # one request would be taken to crash its workers
            response = await ask_until_sent(server, target, body)
            if response is not None:  # None if it was broken off
                seen_by_answer[answer.id] = response[0].status
    assert set(seen_by_answer.values()) == {502}
    assert len(seen_by_answer) > len(ODD_ANSWERS) / 2


async def ask_until_sent(server, target, body):
    """Return the response to the first call that reaches the worker."""
    count = len(server.requests)
    with anyio.fail_after(REFUSED_S):
        while True:
            response = await call("POST", target, body=body, net=NET)
            if len(server.requests) > count:
                return response
            # The worker is left alone for a while after it broke off a connection.
            assert response[0].status == 503
            await anyio.sleep(0.05)
