"""A process that gets several signals in a row still completes open requests."""

import pathlib
import random
import signal

import anyio
import pytest

from foxtailbank.clock import SystemClock
from foxtailbank_soak.callers import OnlineCaller
from foxtailbank_soak.environment import EVENTS_PER_STREAM, Environment, FleetSize
from foxtailbank_soak.journal import Journal, RequestKind

pytestmark = pytest.mark.anyio
WAIT_S = 30
EVENT_GAP_S = 0.2
GAP_S = 0.1
CLOCK = SystemClock()


def make_environment(directory, net, journal):
    return Environment(
        net=net,
        size=FleetSize(vms=1, workers=1, zones=1),
        directory=directory,
        journal=journal,
        clock=CLOCK,
        rng=random.Random(1),
    )


def make_caller(environment, journal):
    return OnlineCaller(
        name="c",
        address_by_vm=environment.address_by_vm,
        events=EVENTS_PER_STREAM,
        journal=journal,
        clock=CLOCK,
        rng=random.Random(1),
    )


async def until_importing(pid):
    """Wait until a process loads its libraries, long before it handles signals."""
    maps = pathlib.Path(f"/proc/{pid}/maps")
    with anyio.fail_after(WAIT_S):
        while "msgspec" not in maps.read_text():
            await anyio.sleep(0.001)


# Guards against a process that ends by a change of settings during its start.
async def test_starting_process_survives_a_reload(tmp_path):
    journal = Journal()
    environment = make_environment(tmp_path, "127.92", journal)
    caller = make_caller(environment, journal)
    (vm,) = environment.vms
    try:
        async with anyio.create_task_group() as group:
            await environment.start(group)
            await until_importing(vm.pid)
            vm.signal(signal.SIGHUP)
            with anyio.fail_after(WAIT_S):
                while (await caller.send(vm.vm_id, RequestKind.SAFE)).status != 200:
                    assert vm.running
                    await anyio.sleep(0.05)
            vm.should_run = False
            group.cancel_scope.cancel()
    finally:
        environment.kill_all()


@pytest.mark.parametrize(
    ("net", "later"),
    [
        pytest.param("127.83", [signal.SIGTERM], id="stop-twice"),
        pytest.param("127.84", [signal.SIGHUP, signal.SIGTERM], id="reload-at-a-stop"),
    ],
)
async def test_stopping_process_completes_open_requests(tmp_path, net, later):
    journal = Journal()
    environment = make_environment(tmp_path, net, journal)
    caller = make_caller(environment, journal)
    (vm,) = environment.vms
    sent_requests = []

    async def stream():
        sent_requests.append(await caller.send(vm.vm_id, RequestKind.STREAM))

    try:
        async with anyio.create_task_group() as group:
            await environment.start(group)
            with anyio.fail_after(WAIT_S):
                while (await caller.send(vm.vm_id, RequestKind.SAFE)).status != 200:
                    await anyio.sleep(0.05)
                environment.workers[0].event_interval_s = EVENT_GAP_S
                async with anyio.create_task_group() as requests:
                    requests.start_soon(stream)
                    await anyio.sleep(GAP_S)
                    for number in (signal.SIGTERM, *later):
                        vm.signal(number)
                        await anyio.sleep(GAP_S)
                vm.should_run = False
                while vm.running:
                    await anyio.sleep(0.05)
            group.cancel_scope.cancel()
    finally:
        environment.kill_all()
    assert [(sent.status, sent.complete) for sent in sent_requests] == [(200, True)]
    assert journal.violations == []
    assert vm.exit_code == 0
