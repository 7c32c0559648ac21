import random

import anyio
import pytest

from foxtailbank import clock, heartbeat, membership
from foxtailbank import peer_messages as pm

SECRET = b"k" * 32


async def start(tasks, vm_id, *, seed="", secret=SECRET):
    socket = await heartbeat.open_socket(host="127.0.0.1", port=0)
    port = socket.extra(anyio.abc.SocketAttribute.local_port)
    time = clock.SystemClock()
    state = membership.Membership(
        own=pm.MemberRecord(
            vm_id=vm_id, zone="sv-a", address=f"127.0.0.1:{port}", incarnation=1
        ),
        rng=random.Random(vm_id),
        now_ms=time.now_ms(),
        config=membership.MembershipConfig(period_ms=50),
    )
    if seed:
        state.add_seed(address=seed)
    changes = []
    service = heartbeat.HeartbeatService(
        state=state, clock=time, secret=secret, on_change=changes.append
    )
    await tasks.start(service.run, socket)
    return service, changes


async def wait_for(condition):
    with anyio.fail_after(20):
        while not condition():
            await anyio.sleep(0.01)


def ids(service):
    return [member.vm_id for member in service.state.view.members()]


@pytest.mark.anyio
async def test_vms_find_each_other_and_one_leaves():
    async with anyio.create_task_group() as tasks:
        first, _ = await start(tasks, "a")
        second, _ = await start(tasks, "b", seed=first.state.own.address)
        third, _ = await start(tasks, "c", seed=first.state.own.address)
        await wait_for(lambda: ids(second) == ids(third) == ["a", "b", "c"])
        await third.leave()
        await wait_for(lambda: ids(first) == ids(second) == ["a", "b"])
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_datagrams_with_another_secret_are_rejected():
    async with anyio.create_task_group() as tasks:
        first, _ = await start(tasks, "a")
        second, _ = await start(
            tasks, "b", seed=first.state.own.address, secret=b"w" * 32
        )
        await wait_for(lambda: first.rejected_count >= 2)
        assert ids(first) == ["a"]
        assert ids(second) == ["b"]
        tasks.cancel_scope.cancel()
