import contextlib

import anyio
import pytest

from foxtailbank import exceptions
from foxtailbank.clock import ManualClock
from foxtailbank.http_log import HttpLogService
from foxtailbank.http_vm_list import HttpVmList
from foxtailbank.http_weight_store import HttpWeightStore
from foxtailbank.vm_list import Vm, VmRole, VmState
from foxtailbank.weight_store import Weights
from foxtailbank_bench.control import StandInControl
from foxtailbank_bench.platform_app import PlatformApp
from foxtailbank_bench.rate_limiter import RateLimiter
from foxtailbank_bench.serving import running

pytestmark = pytest.mark.anyio
TEST_TIMEOUT_S = 30
LAG_MS = 5_000
VM = Vm(vm_id="e1", role=VmRole.ENGINE, zone="sv-a", address="127.0.0.1:1", pool="m")


@contextlib.asynccontextmanager
async def platform(**options):
    async with running(PlatformApp(**options)) as address:
        control = StandInControl(address=address)
        try:
            yield address, control
        finally:
            await control.aclose()


@contextlib.asynccontextmanager
async def closing(adapter):
    try:
        yield adapter
    finally:
        await adapter.aclose()


async def test_vm_list_lags_behind_changes():
    clock = ManualClock(start_ms=1_000_000)
    async with platform(clock=clock) as (address, control):
        await control.set_faults(vm_list_lag_ms=LAG_MS)
        await control.put_vm(VM)
        async with closing(HttpVmList(address=address)) as vm_list:
            assert await vm_list.read() == ()
            clock.advance(LAG_MS)
            assert await vm_list.read() == (VM,)
            leaving = Vm(**{**vars(VM), "state": VmState.LEAVING})
            await control.put_vm(leaving)
            clock.advance(LAG_MS - 1)
            assert await vm_list.read() == (VM,)
            clock.advance(1)
            assert await vm_list.read() == (leaving,)
            await control.delete_vm(VM.vm_id)
            clock.advance(LAG_MS)
            assert await vm_list.read() == ()


@pytest.mark.parametrize("faults", [{"vm_list": "down"}, {"weights": "down"}])
async def test_vm_list_and_weight_store_fail_independently(faults):
    async with platform(vms=(VM,)) as (address, control):
        await control.set_faults(**faults)
        vm_list = HttpVmList(address=address)
        store = HttpWeightStore(address=address)
        failing, working = (vm_list.read, store.weights)
        if "weights" in faults:
            failing, working = working, failing
        with pytest.raises(exceptions.PlatformUnavailable):
            await failing()
        await working()
        await control.set_faults(vm_list="up", weights="up")
        await failing()
        await vm_list.aclose()
        await store.aclose()


@pytest.mark.parametrize("adapter", [HttpVmList, HttpWeightStore])
async def test_unreachable_platform_is_unavailable(adapter):
    async with platform() as (address, _):
        pass
    async with closing(adapter(address=address)) as client:
        read = client.read if adapter is HttpVmList else client.weights
        with pytest.raises(exceptions.PlatformUnavailable):
            await read()


async def test_weight_store_returns_its_rate_and_content():
    item = Weights(name="wordsmith", version="2", size_bytes=10)
    options = {"weights": (item,), "weight_rate_bytes_per_s": 1_000}
    async with (
        platform(**options) as (address, control),
        closing(HttpWeightStore(address=address)) as store,
    ):
        assert await store.weights() == (item,)
        assert await store.rate_bytes_per_s() == 1_000
        await control.set_faults(weight_rate_bytes_per_s=2_000)
        assert await store.rate_bytes_per_s() == 2_000


async def test_pacer_serves_in_order_of_arrival():
    pacer = RateLimiter(units_per_s=1_000)
    finished = []

    async def use(name, units):
        await pacer.acquire(units)
        finished.append(name)

    async with anyio.create_task_group() as task_group:
        task_group.start_soon(use, "large", 200)
        await anyio.lowlevel.checkpoint()
        task_group.start_soon(use, "small", 1)
    assert finished == ["large", "small"]


async def test_stats_count_log_operations():
    async with (
        platform() as (address, control),
        closing(HttpLogService(address=address)) as log,
    ):
        await log.append(stream="ledger", data=b"abc")
        await log.append(stream="ledger", data=b"de")
        await log.read(stream="ledger", offset=0, max_bytes=100)
        stats = (await control.platform_stats()).streams["ledger"]
        assert (stats.appends, stats.bytes, stats.reads) == (2, 5, 1)


@pytest.mark.parametrize(
    "faults",
    [{"log": "sideways"}, {"delay_ms": "soon"}, {"retention_records": 3}],
)
async def test_malformed_faults_are_refused(faults):
    async with platform() as (_, control):
        with pytest.raises(exceptions.EndpointFailed):
            await control.set_faults(**faults)


async def test_limited_append_rate_delays_but_accepts_every_append():
    async with (
        platform() as (address, control),
        closing(HttpLogService(address=address)) as log,
    ):
        await control.set_faults(appends_per_s=200)
        offsets = []

        async def append():
            offsets.append(await log.append(stream="s", data=b"x"))

        with anyio.fail_after(TEST_TIMEOUT_S):
            async with anyio.create_task_group() as task_group:
                for _ in range(20):
                    task_group.start_soon(append)
        assert sorted(offsets) == list(range(20))
