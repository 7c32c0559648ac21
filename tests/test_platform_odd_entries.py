"""Processes that read odd records and requests go on serving."""

import random
import signal

import anyio
import pytest

from foxtailbank.clock import SystemClock
from foxtailbank_soak.callers import OnlineCaller
from foxtailbank_soak.environment import EVENTS_PER_STREAM, Environment, FleetSize
from foxtailbank_soak.journal import Journal, RequestKind
from platform_deployment import call, read_all, running_deployment, submit

pytestmark = pytest.mark.anyio
CLOCK = SystemClock()
WAIT_S = 30
NET = "127.0.61"
SERVICE = b'{"service":"s","address":"127.0.0.1:9","state":"ready",'
ODD_ENTRIES = [
    SERVICE + b'"notes":' + b"[" * 4_000,
    SERVICE + b'"notes":' + b"[" * 4_000 + b"]" * 4_000 + b"}",
    SERVICE + b'"slots":' + b"9" * 5_000 + b"}",
    SERVICE + b'"slots":1e400}',
    SERVICE + b'"zone":"\\ud800"}',
    b'{"service":"s","state":"ready","address":"127.0.0.1:' + b"9" * 5_000 + b'"}',
    b'{"service":"s","state":"ready","address":"127.0.0.1:99999"}',
    b'{"service":"s","state":"ready","address":"' + b"x" * 200_000 + b'"}',
    b"\xff\xfe",
]


# Guards against processes that end, again at each start, at an odd entry of the list.
async def test_odd_entries_end_no_process_and_later_workers_are_used(tmp_path):
    journal = Journal()
    environment = Environment(
        net="127.94",
        size=FleetSize(vms=1, workers=2, zones=1),
        directory=tmp_path,
        journal=journal,
        clock=CLOCK,
        rng=random.Random(1),
    )
    caller = OnlineCaller(
        name="c",
        address_by_vm=environment.address_by_vm,
        events=EVENTS_PER_STREAM,
        journal=journal,
        clock=CLOCK,
        rng=random.Random(1),
    )
    (vm,) = environment.vms

    async def until_served():
        with anyio.fail_after(WAIT_S):
            while (await caller.send(vm.vm_id, RequestKind.SAFE)).status != 200:
                assert vm.running
                await anyio.sleep(0.05)

    try:
        async with anyio.create_task_group() as group:
            await environment.start(group)
            environment.crash_worker(1)
            environment.store.put("keyed.servers", "w2", None)
            await until_served()
            for number, value in enumerate(ODD_ENTRIES):
                environment.store.put("keyed.servers", f"odd{number}", value)
            environment.store.put("keyed.servers", "odd\r\nid", SERVICE[:-1] + b"}")
            await anyio.sleep(1.5)
            environment.start_worker(1)
            environment.crash_worker(0)
            environment.store.put("keyed.servers", "w1", None)
            await anyio.sleep(1)
            assert vm.running
            await until_served()
            vm.kill()
            vm.start()
            await until_served()
            vm.signal(signal.SIGTERM)
            vm.should_run = False
            with anyio.fail_after(WAIT_S):
                while vm.running:
                    await anyio.sleep(0.05)
            group.cancel_scope.cancel()
    finally:
        environment.kill_all()
    assert vm.exit_code == 0


@pytest.mark.parametrize(
    ("path", "headers"),
    [
        pytest.param("/b/x/þjón", {}, id="path"),
        pytest.param("/b/x/a b", {}, id="space"),
        pytest.param("/b/x/0", {"X-Office": "Reykjavík"}, id="header"),
        pytest.param("/b/x/0", {"X-Sign": "✓"}, id="header-beyond-latin"),
    ],
)
# Guards against an item that ends the process that runs it, then the next owner's.
async def test_an_item_with_letters_outside_of_ascii_is_run(path, headers):
    async with running_deployment(net=NET) as deployment:
        deployment.publish()
        deployment.start_vm()
        await deployment.until_ready()
        changes = {"path": path, "headers": headers}
        assert await submit("j1", net=NET, count=1, changes=changes) == 202
        page = await read_all(deployment, "j1", 1)
    assert page["results"][0]["state"] == "completed"


@pytest.mark.parametrize("value", ["Reykjavík", 'inline; filename="Þjónn.txt"'])
# Guards against answers and requests that are dropped for a letter outside of ASCII.
async def test_headers_go_through_unchanged(value):
    data = value.encode()
    async with running_deployment(net=NET) as deployment:
        deployment.publish()
        deployment.start_vm()
        await deployment.until_ready()
        sent = (("X-Office", data.decode("latin-1")),)
        for worker in deployment.workers:
            worker.extra_headers = sent
        head, _ = await call("POST", "/plain/plain/x", headers=sent, net=NET)
        (run,) = [run for worker in deployment.workers for run in worker.runs]
    assert head.status == 200
    assert head.get("x-office").encode("latin-1") == data
    assert run.get("x-office").encode("latin-1") == data
