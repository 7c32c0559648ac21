"""Workers that say in their answers that they leave, while the list says ready."""

import contextlib

import anyio
import pytest

from platform_deployment import (
    CLOCK,
    call,
    read_all,
    running_deployment,
    submit,
)

pytestmark = pytest.mark.anyio
NET = "127.0.36"
DRAIN_S = 2.0
SENDS = 12  # reach each of two workers with near certainty


@pytest.fixture
def anyio_backend():
    return "asyncio"


@contextlib.asynccontextmanager
async def running_vms():
    async with running_deployment(net=NET) as deployment:
        first_vm = await deployment.start_two_vms()
        await anyio.sleep(0.6)  # the VMs have heard of each other
        yield deployment, first_vm


async def send(number=1, target="/plain/x"):
    head, _ = await call("POST", target, number=number, net=NET)
    return head


async def until_it_said_so(worker, target="/plain/x", number=1):
    """Send until the worker has answered once."""
    worker.runs.clear()
    with anyio.fail_after(10):
        while not worker.runs:
            await send(number, target)


# Guards against requests to a worker that has said that it leaves, whatever the kind of
# its answer, from the VM that passed the answer on and from another one.
@pytest.mark.parametrize("number", [1, 2], ids=["same-vm", "other-vm"])
@pytest.mark.parametrize("target", ["/plain/x", "/st/x", "/res/x"])
async def test_leaving_worker_gets_nothing_more(target, number):
    async with running_vms() as (deployment, _):
        leaving, other = deployment.workers
        leaving.leaving = "1"
        await until_it_said_so(leaving, target)
        await anyio.sleep(DRAIN_S)
        leaving.runs.clear()
        for _ in range(SENDS):
            assert (await send(number, target)).status == 200
        assert leaving.runs == []
        assert len(other.runs) >= SENDS


@pytest.mark.parametrize("answer", ["refusal", "error"])
async def test_answers_that_are_no_success_say_so_too(answer):
    async with running_vms() as (deployment, _):
        leaving, _ = deployment.workers
        leaving.leaving = "1"
        leaving.refuse = answer == "refusal"
        leaving.error_share = 1.0
        for _ in range(SENDS):
            await send()
        leaving.refuse = False
        leaving.runs.clear()
        await anyio.sleep(DRAIN_S)
        for _ in range(SENDS):
            assert (await send()).status == 200
        assert leaving.runs == []


# Guards against batch items at a worker that has said that it leaves.
async def test_leaving_worker_gets_no_items():
    async with running_vms() as (deployment, _):
        leaving, _ = deployment.workers
        leaving.leaving = "1"
        number = 0
        while not leaving.runs:
            number += 1
            assert await submit(f"s{number}", net=NET) == 202
            await read_all(deployment, f"s{number}", 3)
        await anyio.sleep(DRAIN_S)
        leaving.runs.clear()
        assert await submit("last", number=2, net=NET) == 202
        await read_all(deployment, "last", 3)
        assert leaving.runs == []


# Guards against a worker that is used again since its entry, read anew, says ready.
@pytest.mark.parametrize("store_fails", [False, True])
async def test_the_list_does_not_overrule_the_worker(store_fails):
    async with running_vms() as (deployment, _):
        leaving, _ = deployment.workers
        leaving.leaving = "1"
        await until_it_said_so(leaving)
        if store_fails:
            deployment.store.up = False
            await anyio.sleep(1)
            deployment.store.up = True
        entry = leaving.entry(sequence=9, slots=5)
        deployment.store.put("keyed.servers", leaving.worker_id, entry)
        await anyio.sleep(DRAIN_S)
        leaving.runs.clear()
        for _ in range(SENDS):
            assert (await send()).status == 200
        assert leaving.runs == []


# Guards against a process that is left alone for what an earlier one with its id said.
async def test_a_later_process_with_the_same_id_is_used():
    async with running_vms() as (deployment, _):
        worker, _ = deployment.workers
        worker.leaving = "1"
        await until_it_said_so(worker)
        worker.leaving = ""
        entry = worker.entry(sequence=1, born=2)
        deployment.store.put("keyed.servers", worker.worker_id, entry)
        await anyio.sleep(1)
        await until_it_said_so(worker)
        await until_it_said_so(worker, number=2)


# Guards against requests that wait when all workers leave.
async def test_what_cannot_be_served_is_refused_at_once():
    async with running_vms() as (deployment, _):
        for worker in deployment.workers:
            worker.leaving = "1"
        for worker in deployment.workers:
            await until_it_said_so(worker)
        began_ms = CLOCK.now_ms()
        head = await send()
        assert (head.status, CLOCK.now_ms() - began_ms < 300) == (503, True)
        assert float(head.get("retry-after")) > 0


@pytest.mark.parametrize("value", ["0", "true", "2"])
async def test_other_values_are_no_leave(value):
    async with running_vms() as (deployment, _):
        worker, _ = deployment.workers
        worker.leaving = value
        await until_it_said_so(worker)
        await until_it_said_so(worker)


async def test_a_vm_that_has_restarted_asks_again():
    async with running_vms() as (deployment, first_vm):
        worker, _ = deployment.workers
        worker.leaving = "1"
        await until_it_said_so(worker)
        first_vm.cancel()
        await anyio.sleep(0.5)
        deployment.start_vm(1)
        await deployment.until_ready(1)
        assert (await send()).status == 200
