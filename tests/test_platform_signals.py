"""Signals that come in series, at a process with open requests."""

import random
import signal

import anyio
import pytest

from foxtailbank.clock import SystemClock
from foxtailbank_soak.callers import OnlineCaller
from foxtailbank_soak.environment import EVENTS, Size, World
from foxtailbank_soak.journal import Journal, Kind

pytestmark = pytest.mark.anyio
WAIT_S = 30
EVENT_GAP_S = 0.2
GAP_S = 0.1


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.mark.parametrize(
    ("net", "later"),
    [
        pytest.param("127.83", [signal.SIGTERM], id="stop-twice"),
        pytest.param("127.84", [signal.SIGHUP, signal.SIGTERM], id="reload-at-a-stop"),
    ],
)
async def test_a_stopping_process_answers_what_it_has_read(tmp_path, net, later):
    clock = SystemClock()
    journal = Journal()
    world = World(
        net=net,
        size=Size(vms=1, workers=1, zones=1),
        directory=tmp_path,
        journal=journal,
        clock=clock,
        rng=random.Random(1),
    )
    caller = OnlineCaller(
        name="c",
        address_by_vm=world.address_by_vm,
        events=EVENTS,
        journal=journal,
        clock=clock,
        rng=random.Random(1),
    )
    (vm,) = world.vms
    seen = []

    async def stream():
        seen.append(await caller.send(vm.vm_id, Kind.STREAM))

    try:
        async with anyio.create_task_group() as group:
            await world.start(group)
            with anyio.fail_after(WAIT_S):
                while (await caller.send(vm.vm_id, Kind.SAFE)).status != 200:
                    await anyio.sleep(0.05)
                world.workers[0].gap_s = EVENT_GAP_S
                async with anyio.create_task_group() as requests:
                    requests.start_soon(stream)
                    await anyio.sleep(GAP_S)
                    for number in (signal.SIGTERM, *later):
                        vm.signal(number)
                        await anyio.sleep(GAP_S)
                vm.wanted = False
                while vm.running:
                    await anyio.sleep(0.05)
            group.cancel_scope.cancel()
    finally:
        world.kill_all()
    assert [(one.status, one.complete) for one in seen] == [(200, True)]
    assert journal.violations == []
    assert vm.exit_code == 0
