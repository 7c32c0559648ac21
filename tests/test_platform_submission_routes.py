"""Items whose paths lie under other routes, while processes and routes come and go."""

import json
import random

import anyio
import pytest

from foxtailbank.clock import SystemClock
from foxtailbank.http1.client_channel import ClientChannel
from foxtailbank.http1.failures import ExchangeFailed
from foxtailbank_bench.relay_faults import LinkFaults, LinkMode
from foxtailbank_soak.callers import HOST
from foxtailbank_soak.environment import EVENTS_PER_STREAM, Environment, FleetSize
from foxtailbank_soak.journal import Journal
from platform_deployment import make_submission

pytestmark = pytest.mark.anyio
CLOCK = SystemClock()
WAIT_S = 40
CONFIG_APPLY_S = 2.0
PEERS_HEARD_S = 1.5  # from the start of the VMs until all have heard of all
ITEMS = 6
COMMON = {"host": HOST, "service": "s", "timeout_ms": 5_000, "max_attempts": 3}
ONLINE = {**COMMON, "name": "online", "path_prefix": "/online/", "type": "streaming"}
BATCH = {
    **COMMON,
    "name": "batch",
    "path_prefix": "/batch/",
    "type": "batch",
    "run_deadline_ms": 18_000,
    "retention_s": 60,
}
TEXT = "\n".join(f"e{number}" for number in range(1, EVENTS_PER_STREAM + 1))


class Fleet:
    """Three processes of entry VMs, and workers that run items while `are_open`."""

    def __init__(self, directory, net):
        self.journal = Journal()
        self.environment = Environment(
            net=net,
            size=FleetSize(vms=3, workers=2, zones=2),
            directory=directory,
            journal=self.journal,
            clock=CLOCK,
            rng=random.Random(1),
        )
        self.vms = self.environment.vms

    async def start(self, group):
        await self.environment.start(group)
        self.publish(2, BATCH, ONLINE)
        for worker in self.environment.workers:
            worker.refuse = True
        for vm in self.vms:
            await self.until(self.has_route, vm)

    def publish(self, version, *routes):
        manifest = {"version": version, "routes": routes, "services": [{"name": "s"}]}
        self.environment.store.put("keyed.op", "config", manifest)

    def open_workers(self):
        for worker in self.environment.workers:
            worker.refuse = False

    async def has_route(self, vm):
        # The workers refuse it, so that it has no effect.
        response = await send(vm, "POST", "/online/x", deadline_ms=50)
        return response is not None and response[0] != 404

    async def submit(self, vm):
        body = make_submission(count=ITEMS, changes={"path": "/online/x"})
        return await send(vm, "POST", "/batch/s1", body=body)

    async def results(self, vm):
        response = await send(vm, "GET", "/foxtailbank/lots/s1?after=0")
        if response is None or response[0] != 200:
            return ()
        return json.loads(response[1])["results"]

    async def has_ended(self, vm):
        return len(await self.results(vm)) == ITEMS

    async def until(self, check, vm):
        with anyio.fail_after(WAIT_S):
            while not await check(vm):
                await anyio.sleep(0.05)

    async def cut_from_store(self, vm):
        link = vm.link_by_target[self.environment.store_address]
        await link.apply_faults(LinkFaults(mode=LinkMode.CUT))

    @property
    def run_count(self):
        return sum(map(len, self.journal.runs_by_id.values()))


async def send(vm, method, target, *, body=b"", deadline_ms=5_000):
    """Send one request on a new connection; None if there is no response."""
    headers = (
        ("Host", HOST),
        ("X-Request-Id", "s1"),
        ("X-Deadline-Ms", str(deadline_ms)),
    )
    try:
        channel = await ClientChannel.connect(
            address=vm.front_address, clock=CLOCK, timeout_ms=1_000
        )
        try:
            await channel.send(method=method, target=target, headers=headers, body=body)
            head = await channel.receive_head(10_000)
            return head.status, await channel.read_all(10_000)
        finally:
            await channel.aclose()
    except ExchangeFailed:
        return None


# Guards against accepted items that were given up as the route of their paths was
# removed, and against items that began to run after their own route was.
@pytest.mark.parametrize(
    ("net", "kept", "state", "text"),
    [
        pytest.param(
            "127.112", BATCH, "completed", TEXT, id="route-of-the-items-removed"
        ),
        pytest.param("127.113", ONLINE, "dead_letter", "", id="own-route-removed"),
    ],
)
async def test_items_end_by_their_own_route_over_a_change_and_a_take_over(
    tmp_path, net, kept, state, text
):
    fleet = Fleet(tmp_path, net)
    owner, successor, other = fleet.vms
    try:
        async with anyio.create_task_group() as group:
            await fleet.start(group)
            assert await fleet.submit(owner) == (202, b"{}")
            fleet.publish(3, kept)
            await anyio.sleep(CONFIG_APPLY_S)
            owner.kill()
            fleet.open_workers()
            owner.start()
            await fleet.until(fleet.has_ended, successor)
            results = await fleet.results(other)
            group.cancel_scope.cancel()
    finally:
        fleet.environment.kill_all()
    seen = {(result["state"], result["text"]) for result in results}
    assert seen == {(state, text)}
    assert fleet.run_count >= ITEMS if kept is BATCH else not fleet.run_count


# Guards against items that begin to run after their route was removed, at a VM that the
# store turns away; and against VMs that idle as long as nothing can have changed.
@pytest.mark.parametrize(
    ("net", "cut_count", "routes", "is_run"),
    [
        pytest.param("127.114", 1, (BATCH, ONLINE), True, id="unchanged"),
        pytest.param("127.115", 1, (ONLINE,), False, id="route-removed"),
        pytest.param("127.116", 3, (BATCH, ONLINE), True, id="store-away-for-all"),
    ],
)
async def test_items_of_a_vm_that_the_store_turns_away(
    tmp_path, net, cut_count, routes, is_run
):
    fleet = Fleet(tmp_path, net)
    owner = fleet.vms[0]
    try:
        async with anyio.create_task_group() as group:
            await fleet.start(group)
            await anyio.sleep(PEERS_HEARD_S)
            assert await fleet.submit(owner) == (202, b"{}")
            for vm in fleet.vms[:cut_count]:
                await fleet.cut_from_store(vm)
            if BATCH not in routes:
                fleet.publish(3, *routes)
            await anyio.sleep(2 * CONFIG_APPLY_S)
            fleet.open_workers()
            await anyio.sleep(2 * CONFIG_APPLY_S)
            group.cancel_scope.cancel()
    finally:
        fleet.environment.kill_all()
    assert bool(fleet.run_count) is is_run
