"""A VM that has lost all workers while callers, the store and its peers reach it."""

import contextlib
import random

import anyio
import pytest

from foxtailbank.clock import SystemClock
from foxtailbank_bench.relay_faults import LinkFaults, LinkMode
from foxtailbank_soak.callers import OnlineCaller
from foxtailbank_soak.environment import EVENTS_PER_STREAM, Environment, FleetSize
from foxtailbank_soak.journal import Journal, RequestKind

pytestmark = pytest.mark.anyio
NET = "127.34"
CLOCK = SystemClock()
STABLE_S = 3.0
ROUNDS = 8
MIN_SERVED_SHARE = 2 / 3  # of the share served by the other VMs
READY_S = 20


@pytest.fixture
def anyio_backend():
    return "asyncio"


class StrandedFleet:
    """Three VMs, one of which can be cut off from all workers."""

    def __init__(self, directory):
        self.journal = Journal()
        self.environment = Environment(
            net=NET,
            size=FleetSize(vms=3, workers=3, zones=1),
            directory=directory,
            journal=self.journal,
            clock=CLOCK,
            rng=random.Random(1),
        )
        self.stranded = self.environment.vms[0]
        self.caller = OnlineCaller(
            name="c",
            address_by_vm=self.environment.address_by_vm,
            events=EVENTS_PER_STREAM,
            journal=self.journal,
            clock=CLOCK,
            rng=random.Random(2),
        )

    async def set_links(self, vm, mode):
        for worker in self.environment.workers:
            link = vm.link_by_target[worker.address]
            await link.apply_faults(LinkFaults(mode=mode))

    async def send(self, vm, kind):
        return await self.caller.send(vm.vm_id, kind)

    async def until_ready(self):
        with anyio.fail_after(READY_S):
            for vm in self.environment.vms:
                while (await self.send(vm, RequestKind.SAFE)).status != 200:
                    await anyio.sleep(0.1)

    async def served_share(self, vm):
        """Return the share of requests of all kinds that a VM serves."""
        statuses = []
        for _ in range(ROUNDS):
            for kind in RequestKind:
                statuses.append((await self.send(vm, kind)).status)
        return statuses.count(200) / len(statuses)


@contextlib.asynccontextmanager
async def running_fleet(directory):
    fleet = StrandedFleet(directory)
    try:
        async with anyio.create_task_group() as group:
            await fleet.environment.start(group)
            await fleet.until_ready()
            yield fleet
            group.cancel_scope.cancel()
    finally:
        fleet.environment.kill_all()


# Guards against callers of a VM that lost its links to all workers who are not served,
# although its peers reach the workers.
@pytest.mark.parametrize("mode", [LinkMode.REFUSE, LinkMode.CUT], ids=lambda m: m.value)
async def test_callers_of_a_vm_without_workers_are_served(tmp_path, mode):
    async with running_fleet(tmp_path) as fleet:
        await fleet.set_links(fleet.stranded, mode)
        await anyio.sleep(STABLE_S)
        others_share = await fleet.served_share(fleet.environment.vms[1])
        share = await fleet.served_share(fleet.stranded)
        assert others_share > 0
        assert share >= MIN_SERVED_SHARE * others_share
        assert fleet.journal.violations == []


# Guards against requests that are carried to other VMs although the way to the workers
# is open again.
async def test_a_vm_that_reaches_its_workers_again_uses_them(tmp_path):
    async with running_fleet(tmp_path) as fleet:
        await fleet.set_links(fleet.stranded, LinkMode.REFUSE)
        await anyio.sleep(1)
        assert (await fleet.send(fleet.stranded, RequestKind.SAFE)).status == 200
        await fleet.set_links(fleet.stranded, LinkMode.PASS)
        await anyio.sleep(STABLE_S)
        for other in fleet.environment.vms[1:]:
            other.kill()
        assert await fleet.served_share(fleet.stranded) == 1


# Guards against requests that wait when no VM reaches a worker.
async def test_requests_are_refused_at_once_when_no_vm_reaches_a_worker(tmp_path):
    async with running_fleet(tmp_path) as fleet:
        for vm in fleet.environment.vms:
            await fleet.set_links(vm, LinkMode.REFUSE)
        await anyio.sleep(1)
        for vm in fleet.environment.vms:
            for kind in RequestKind:
                sent = await fleet.send(vm, kind)
                assert sent.status == 503
                assert sent.ended_ms - sent.sent_ms < 1_000
