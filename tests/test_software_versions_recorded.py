"""Clients that return with a stream after all VMs were killed during a release.

No VM remembers the streams then. A VM may take a version to have begun a stream only if
no other version can have: by what it saw in the list of workers, and by what all VMs
left in the log.
"""

import contextlib

import anyio
import pytest

from foxtailbank.clock import ManualClock
from foxtailbank.fleet.peer_table import PeerTable
from foxtailbank.fleet.version_history import (
    FORGET_MS,
    WALL_CLOCK_MARGIN_MS,
    ServiceVersion,
    VersionHistory,
    VersionRecord,
)
from foxtailbank.fleet.worker_table import WorkerTable
from foxtailbank.forward.route_table import RouteTable
from foxtailbank.keyed_log import AppendId, KeyedRecord
from foxtailbank.log_follower import LogFollower
from foxtailbank.software_version_log import (
    KEY_PREFIX,
    RANK_DELAY_MS,
    SoftwareVersionLog,
)
from foxtailbank.submissions.append_queue import AppendQueue
from serving_fakes import (
    FakeKeyedLog,
    make_logs,
    make_report,
    make_worker,
)

pytestmark = pytest.mark.anyio
WALL_MS = 1_790_000_000_000
LIFETIME_MS = 20_000
KEPT_MS = LIFETIME_MS + WALL_CLOCK_MARGIN_MS


@pytest.fixture
def anyio_backend():
    return "asyncio"


def record(version, left_ms_ago=None):
    left_wall_ms = 0 if left_ms_ago is None else WALL_MS - left_ms_ago
    return VersionRecord(
        service="s", software_version=version, left_wall_ms=left_wall_ms
    )


def history_of(listed, records, *, complete=True):
    """Return what a VM knows that has just read the list."""
    workers = WorkerTable()
    history = VersionHistory(workers=workers, lifetimes=RouteTable().stream_lifetimes)
    for number, version in enumerate(listed):
        workers.put(make_worker(f"w{number}", software_version=version))
    history.on_list_restored(100_000)
    history.on_records_restored()
    for one in records:
        history.put_record(one)
    if complete:
        history.on_records_complete()
    return history


def sole_version(history):
    return history.sole_version("s", now_ms=100_000, wall_ms=WALL_MS)


# Guards against a stream of two versions after all VMs were killed, and against
# refusals for 20 s where one version alone has served all along.
@pytest.mark.parametrize(
    ("listed", "records", "expected"),
    [
        pytest.param(["v1"], [record("v1")], "v1", id="one-all-along"),
        pytest.param(["v1", "v2"], [record("v1"), record("v2")], "", id="two-serve"),
        pytest.param(["v2"], [record("v1"), record("v2")], "", id="old-left-unseen"),
        pytest.param(
            ["v2"], [record("v1", 1_000), record("v2")], "", id="old-just-left"
        ),
        pytest.param(
            ["v2"], [record("v1", KEPT_MS), record("v2")], "", id="old-left-lately"
        ),
        pytest.param(
            ["v2"], [record("v1", KEPT_MS + 1), record("v2")], "v2", id="old-left-long"
        ),
        pytest.param(["v1", "v2"], [record("v1")], "", id="new-not-recorded-yet"),
        pytest.param(["v2"], [record("v1", 0)], "", id="none-recorded-but-the-old"),
        pytest.param([], [record("v1")], "v1", id="entry-lapsed-in-an-outage"),
        pytest.param(["v1"], [], "", id="nothing-recorded"),
        pytest.param([""], [record("")], "", id="version-unknown"),
        pytest.param(["v1", ""], [record("v1")], "", id="one-unknown"),
    ],
)
def test_vm_that_was_just_started_knows_the_sole_version(listed, records, expected):
    assert sole_version(history_of(listed, records)) == expected


def test_records_that_are_not_read_to_their_end_tell_nothing():
    history = history_of(["v1"], [record("v1")], complete=False)
    assert sole_version(history) == ""


@pytest.mark.parametrize(
    ("listed", "records", "expected"),
    [
        pytest.param(["v1"], [], [record("v1")], id="came"),
        pytest.param([], [record("v1")], [record("v1", 0)], id="left"),
        pytest.param(["v1"], [record("v1", 5)], [record("v1")], id="came-back"),
        pytest.param(["v1"], [record("v1"), record("v0", 5)], [], id="complete"),
    ],
)
def test_record_is_missing_when_a_version_came_or_left(listed, records, expected):
    history = history_of(listed, records)
    assert list(history.missing_records(WALL_MS)) == expected


def test_record_of_a_version_that_left_long_ago_expires():
    history = history_of([], [record("v1", FORGET_MS + 1), record("v2", FORGET_MS)])
    (expired,) = history.expired_records(WALL_MS)
    assert expired == ServiceVersion(service="s", software_version="v1")


WAIT_S = 5
VM_IDS = ("vm1", "vm2", "vm3")


class RecordingVm:
    """Part of a VM that keeps the log's records of software versions."""

    def __init__(self, log, clock, *, vm_id="vm1", peers=(), versions=("v1",)):
        workers = WorkerTable()
        for number, version in enumerate(versions):
            workers.put(make_worker(f"w{number}", software_version=version))
        self.history = VersionHistory(
            workers=workers, lifetimes=RouteTable().stream_lifetimes
        )
        self.history.on_list_restored(clock.now_ms())
        table = PeerTable(vm_id=vm_id, zone="z1")
        for number, peer in enumerate(peers):
            table.on_report(make_report(peer), ("127.0.0.1", number), clock.now_ms())
        self.appends = AppendQueue(
            log=log, producer=vm_id, call_bytes=10_000, logs=make_logs(), clock=clock
        )
        self.records = SoftwareVersionLog(
            vm_id=vm_id,
            history=self.history,
            peers=table,
            appends=self.appends,
            logs=make_logs(),
            clock=clock,
        )
        self.follower = LogFollower(
            name="submissions",
            log=log,
            state=self.records,
            pause_ms=10,
            logs=make_logs(),
            clock=clock,
        )
        self.follower.add_catch_up_listener(self.history.on_records_complete)


@contextlib.asynccontextmanager
async def running(*vms):
    async with anyio.create_task_group() as group:
        for vm in vms:
            group.start_soon(vm.follower.run)
            group.start_soon(vm.appends.run)
        await until(lambda: all(vm.follower.has_caught_up for vm in vms))
        yield
        group.cancel_scope.cancel()


async def until(condition):
    with anyio.fail_after(WAIT_S):
        while not condition():
            await anyio.sleep(0.01)


def written(log):
    return [r for r in log.records if r.key.startswith(KEY_PREFIX)]


def check_all(vms):
    for vm in vms:
        vm.records.write_missing()


# Guards against a fleet whose VMs all write the same record when a version comes.
async def test_one_vm_alone_records_a_version_that_comes_or_leaves():
    log, clock = FakeKeyedLog(), ManualClock(start_ms=WALL_MS)
    vms = [RecordingVm(log, clock, vm_id=vm, peers=VM_IDS) for vm in VM_IDS]
    async with running(*vms):
        check_all(vms)
        await until(lambda: written(log))
        await until(lambda: not any(vm.history.missing_records(WALL_MS) for vm in vms))
        clock.advance(len(vms) * RANK_DELAY_MS)
        check_all(vms)
        await anyio.sleep(0.1)
        assert len(written(log)) == 1


# Guards against a version that is not recorded since the VM that was to do it died.
async def test_each_vm_records_a_version_if_those_before_it_do_not():
    log, clock = FakeKeyedLog(), ManualClock(start_ms=WALL_MS)
    vm = RecordingVm(log, clock, peers=[f"vm{number}" for number in range(2, 40)])
    async with running(vm):
        check_all([vm])
        await anyio.sleep(0.1)
        assert not written(log)
        clock.advance(39 * RANK_DELAY_MS)
        check_all([vm])
        await until(lambda: written(log))


# Guards against an entry, of whatever writer, whose long version no key can hold.
async def test_long_version_is_recorded():
    log, clock = FakeKeyedLog(), ManualClock(start_ms=WALL_MS)
    vm = RecordingVm(log, clock, versions=("v" * 1_000,))
    async with running(vm):
        check_all([vm])
        await until(lambda: written(log))
        assert len(written(log)[0].key) < 100


# Guards against a malformed record that ends the process or hides the others.
@pytest.mark.parametrize("value", [b"\xff", b"\x80", b"text", b"\x91\x01", b"\x81"])
async def test_malformed_record_is_skipped(value):
    log, clock = FakeKeyedLog(), ManualClock(start_ms=WALL_MS)
    malformed = KeyedRecord(key=f"{KEY_PREFIX}x", value=value)
    await log.append(
        (malformed,), append_id=AppendId(producer="x", epoch=1, sequence=0)
    )
    vm = RecordingVm(log, clock)
    async with running(vm):
        check_all([vm])
        await until(lambda: not vm.history.missing_records(WALL_MS))
    assert vm.history.sole_version("s", now_ms=clock.now_ms(), wall_ms=WALL_MS) == "v1"


async def test_expired_record_is_dropped():
    log, clock = FakeKeyedLog(), ManualClock(start_ms=WALL_MS)
    vm = RecordingVm(log, clock, versions=())
    async with running(vm):
        vm.history.put_record(record("v0", FORGET_MS + 1))
        check_all([vm])
        await until(lambda: written(log))
    assert [one.value for one in written(log)] == [b""]
