"""Crash reports in the platform's log, for VMs that missed them or were restarted."""

import contextlib
import random

import anyio
import msgspec
import pytest

from fake_leases import FakeLeases
from fake_texts import FakeTextLog
from foxtailbank.clock import ManualClock
from foxtailbank.crash_report_log import KEY_PREFIX
from foxtailbank.fleet.crash_reports import REPORT_TTL_MS
from foxtailbank.forward.attempt_progress import AttemptProgress
from foxtailbank.keyed_log import AppendId, KeyedRecord
from foxtailbank.memory_limits import MemoryLimits
from foxtailbank.metrics import Metrics
from foxtailbank.read_share import ReadShare
from foxtailbank.serving_vm import ServingVm
from foxtailbank.vm_identity import StoreLimits, VmIdentity
from serving_fakes import (
    PASS_MS,
    FakeKeyedLog,
    FakeWorkerClient,
    make_call,
    make_logs,
    make_worker,
)

pytestmark = pytest.mark.anyio
CRASHING, SOUND = 9, 1
HOST = "127.0.0.46"
WALL_MS = 1_790_000_000_000
WAIT_S = 5
STORE_LIMITS = StoreLimits(
    max_record_bytes=10_000, max_append_bytes=10_000, max_text_bytes=10_000
)


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_vm(log, clock, number=1):
    """Return a VM that shares the log, but no network, with the others."""
    return ServingVm(
        identity=VmIdentity(
            vm_id=f"vm{number}",
            zone="z1",
            incarnation=clock.wall_ms(),
            peer_address=f"{HOST}:{18_480 + number}",
        ),
        client=FakeWorkerClient(),
        submissions=log,
        texts=FakeTextLog(),
        addresses=FakeKeyedLog(),
        leases=FakeLeases(),
        memory=MemoryLimits(memory_mb=330),
        store_limits=STORE_LIMITS,
        read_share=ReadShare(),
        clock=clock,
        logs=make_logs(),
        metrics=Metrics(),
        rng=random.Random(1),
        pass_ms=PASS_MS,
    )


@contextlib.asynccontextmanager
async def running(vm):
    async with anyio.create_task_group() as group:
        group.start_soon(vm.run)
        yield vm
        group.cancel_scope.cancel()


def crash_workers(vm, clock, worker_ids=("w0", "w1", "w2")):
    for number, worker_id in enumerate(worker_ids):
        vm.fleet.crashes.on_connection_broken(
            make_worker(worker_id),
            make_call(clock, fingerprint=number, prompt_parts=(SOUND, CRASHING)),
            AttemptProgress(sent_wall_ms=clock.wall_ms(), answered=True),
        )


async def until(condition):
    with anyio.fail_after(WAIT_S):
        while not condition():
            await anyio.sleep(0.02)


def is_refused(vm, clock, *parts):
    call = make_call(clock, fingerprint=77, prompt_parts=parts)
    return vm.fleet.crashes.refused_ms(call) > 0


# Guards against a crashing part that a VM sends on which was started after the crashes,
# or cut off from the other VMs meanwhile.
@pytest.mark.parametrize("is_restarted", [False, True], ids=["cut-off", "restarted"])
async def test_a_vm_learns_from_the_log_which_part_crashes_workers(is_restarted):
    log, clock = FakeKeyedLog(), ManualClock(start_ms=WALL_MS)
    first = make_vm(log, clock)
    async with running(first):
        if is_restarted:
            crash_workers(first, clock)
            await until(lambda: len(log.records) == 3)
            second = make_vm(log, clock, 2)
            async with running(second):
                await until(lambda: is_refused(second, clock, SOUND, CRASHING))
            return
        async with running(make_vm(log, clock, 2)) as second:
            crash_workers(first, clock)
            await until(lambda: is_refused(second, clock, SOUND, CRASHING))
            assert not is_refused(second, clock, SOUND)


# Guards against crashes that count for no VM, since each of two VMs cut off from each
# other saw too few.
async def test_crashes_seen_by_vms_that_do_not_hear_each_other_add_up():
    log, clock = FakeKeyedLog(), ManualClock(start_ms=WALL_MS)
    first, second = make_vm(log, clock), make_vm(log, clock, 2)
    async with running(first), running(second):
        crash_workers(first, clock, ("w0", "w1"))
        crash_workers(second, clock, ("w2",))
        for vm in (first, second):
            await until(lambda vm=vm: is_refused(vm, clock, SOUND, CRASHING))


# Guards against a sound first part that a restarted VM refuses, as it was at more
# crashes than the crashing part and the answers that cleared it are forgotten.
async def test_a_restarted_vm_learns_from_the_log_which_parts_were_answered():
    log, clock = FakeKeyedLog(), ManualClock(start_ms=WALL_MS)
    first = make_vm(log, clock)
    async with running(first):
        crash_workers(first, clock)
        clock.advance(1)
        first.fleet.crashes.on_parts_completed((SOUND,))
        await until(lambda: len(log.records) == 4)
    second = make_vm(log, clock, 2)
    async with running(second):
        await until(lambda: is_refused(second, clock, CRASHING))
        assert not is_refused(second, clock, SOUND)


# Guards against reports that stay in the log for good, also those of a departed VM.
@pytest.mark.parametrize(
    ("reader", "kept_ms"),
    [
        pytest.param(1, REPORT_TTL_MS, id="own"),
        pytest.param(2, 2 * REPORT_TTL_MS, id="of-a-departed-vm"),
    ],
)
async def test_expired_reports_are_dropped_from_the_log(reader, kept_ms):
    log, clock = FakeKeyedLog(), ManualClock(start_ms=WALL_MS)
    vm = make_vm(log, clock)
    async with running(vm):
        crash_workers(vm, clock)
        await until(lambda: len(log.records) == 3)
    vm = vm if reader == 1 else make_vm(log, clock, reader)
    async with running(vm):
        await until(lambda: vm._follower.next_offset == 3)
        clock.advance(kept_ms - 1)
        vm._crash_report_log.drop_expired()
        assert vm._appends.is_empty
        clock.advance(1)
        vm._crash_report_log.drop_expired()
        await until(lambda: len(log.records) == 6)
    assert (await log.read_newest()).records == ()


@pytest.mark.parametrize(
    "value",
    [
        pytest.param(b"\xff", id="no-record"),
        pytest.param(msgspec.msgpack.encode({"fingerprint": "x"}), id="another-type"),
    ],
)
@pytest.mark.parametrize("kind", ["report", "completion", "of-a-later-release"])
async def test_an_unreadable_record_is_skipped(kind, value):
    log, clock = FakeKeyedLog(), ManualClock(start_ms=WALL_MS)
    step = AppendId(producer="other", epoch=1, sequence=1)
    record = KeyedRecord(key=f"{KEY_PREFIX}{kind}/vm9/1/1", value=value)
    await log.append((record,), append_id=step)
    vm = make_vm(log, clock)
    async with running(vm):
        crash_workers(vm, clock)
        await until(lambda: vm._follower.next_offset == 4)
    assert is_refused(vm, clock, SOUND, CRASHING)
