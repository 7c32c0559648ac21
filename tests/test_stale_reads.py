"""Answers about submissions from a VM whose copy of the log is out of date."""

import anyio
import pytest

from foxtailbank.submissions.failures import (
    StateUnknown,
)
from foxtailbank.submissions.records import Ended
from stale_vm import SETTLE_MS, Vm, running_vm
from test_submission_ledger import item_ended, make_submitted

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def fall_behind(vm):
    """Another VM lists a result; this one has read nothing for a while."""
    await vm.know(make_submitted())
    await vm.append_elsewhere(item_ended("s1", "a"))
    vm.clock.shift_ms += SETTLE_MS


async def lose_the_store(vm):
    """The store turns this VM away."""
    await fall_behind(vm)
    vm.log.up = False


async def let_reads_hang(vm):
    """The store answers no read."""
    await fall_behind(vm)
    vm.log.held_reads = anyio.Event()


async def lose_history(vm):
    """The VM has to read the newest records again, which takes long."""
    await fall_behind(vm)
    vm.log.held_newest = anyio.Event()
    vm.log.first = len(vm.log.records)
    await vm.follower.wait_for_offset(vm.log.first, 10)
    await vm.until(lambda: not vm.follower.is_restored)


STALE_COPIES = [
    pytest.param(fall_behind, True, id="behind"),
    pytest.param(lose_the_store, False, id="store-away"),
    pytest.param(let_reads_hang, False, id="read-hangs"),
    pytest.param(lose_history, False, id="history-lost"),
]


# A result that was read at one VM was missing at another whose copy was old.
@pytest.mark.parametrize(("make_stale", "can_read"), STALE_COPIES)
@pytest.mark.parametrize("wait_ms", [0, 300])
async def test_a_result_listed_elsewhere_is_not_missing(make_stale, can_read, wait_ms):
    async with running_vm() as vm:
        await make_stale(vm)
        expected = ["a"] if can_read else StateUnknown
        assert await vm.read(wait_ms=wait_ms) == expected


# A result that was read at one VM was missing at another that had just restored.
async def test_a_result_is_not_missing_after_a_slow_restore():
    vm = Vm()
    vm.log.held_newest = anyio.Event()
    vm.log.read_limit = 1
    await vm.append_elsewhere(make_submitted())
    async with anyio.create_task_group() as group:
        group.start_soon(vm.follower.run)
        await anyio.sleep(0.05)
        await vm.append_elsewhere(make_submitted("s2"), item_ended("s1", "a"))
        vm.clock.shift_ms += SETTLE_MS
        vm.log.held_newest.set()
        await vm.until(lambda: vm.follower.next_offset >= 2)
        assert await vm.read() == ["a"]
        group.cancel_scope.cancel()


# A VM that was suspended while it read the log answered from what it had read before.
@pytest.mark.parametrize(
    ("submission_id", "is_listed", "expected"),
    [
        pytest.param("s1", True, ["a"], id="listed"),
        pytest.param("s1", False, StateUnknown, id="not-listed-then"),
        pytest.param("s2", False, StateUnknown, id="not-accepted-then"),
    ],
)
async def test_a_suspension_during_a_read_counts(submission_id, is_listed, expected):
    async with running_vm() as vm:
        await vm.know(make_submitted())
        if is_listed:
            await vm.append_elsewhere(item_ended("s1", "a"))
        vm.clock.shift_ms += SETTLE_MS
        held = vm.log.held_reads = anyio.Event()
        pages = []

        async def read():
            pages.append(await vm.read(submission_id=submission_id))

        async with anyio.create_task_group() as group:
            group.start_soon(read)
            await anyio.sleep(0.05)
            vm.clock.shift_ms += SETTLE_MS
            vm.log.held_reads = anyio.Event()
            held.set()
        assert pages == [expected]


# An id that another VM had accepted got 404 from a VM that could not read the log.
@pytest.mark.parametrize(("make_stale", "can_read"), STALE_COPIES)
async def test_an_id_accepted_elsewhere_is_not_unknown(make_stale, can_read):
    async with running_vm() as vm:
        await vm.know(make_submitted("s0"))
        await make_stale(vm)
        await vm.append_elsewhere_in_any_case(make_submitted("s2"))
        expected = [] if can_read else StateUnknown
        assert await vm.read(submission_id="s2") == expected


# A listed result was withheld because the store was away; it can't change any more.
@pytest.mark.parametrize("make_stale", [case.values[0] for case in STALE_COPIES])
async def test_a_known_result_is_answered_at_once(make_stale):
    async with running_vm() as vm:
        await vm.know(make_submitted(), item_ended("s1", "b"))
        await make_stale(vm)
        reads = vm.log.reads
        with anyio.fail_after(0.2):
            assert await vm.read() == ["b"]
        assert vm.log.reads == reads


# A read beyond the last item of a submission went to the store, which is priced.
async def test_no_result_can_be_missing_after_the_last_item():
    async with running_vm() as vm:
        await vm.know(make_submitted(), item_ended("s1", "a"), item_ended("s1", "b"))
        vm.clock.shift_ms += SETTLE_MS
        vm.log.up = False
        assert await vm.read(2) == []


# A submission that another VM had accepted was refused with 429 when it came again.
@pytest.mark.parametrize(("make_stale", "can_read"), STALE_COPIES)
@pytest.mark.parametrize(
    "limit", [pytest.param(10, id="never-fits"), pytest.param(20, id="full")]
)
async def test_a_submission_accepted_elsewhere_is_not_refused(
    make_stale, can_read, limit
):
    async with running_vm() as vm:
        await vm.know(make_submitted("s0"))
        await make_stale(vm)
        await vm.append_elsewhere_in_any_case(make_submitted("s2"))
        expected = None if can_read else StateUnknown
        assert await vm.submit("s2", limit=limit) is expected


# A submission that fitted was refused with 429 since the VM did not know of the end of
# another.
async def test_tokens_freed_elsewhere_are_counted():
    async with running_vm() as vm:
        await vm.know(make_submitted())
        await vm.append_elsewhere(Ended(submission_id="s1"))
        vm.clock.shift_ms += SETTLE_MS
        assert await vm.submit("s2", limit=20) is None


# Each read of a client became a read of the log, which is priced.
@pytest.mark.parametrize("wait_ms", [0, 300])
async def test_concurrent_reads_share_reads_of_the_log(wait_ms):
    async with running_vm() as vm:
        await vm.know(make_submitted())
        vm.clock.shift_ms += SETTLE_MS
        reads = vm.log.reads
        pages = []

        async def read():
            pages.append(await vm.read(wait_ms=wait_ms))

        async with anyio.create_task_group() as group:
            for _ in range(20):
                group.start_soon(read)
        assert pages == [[]] * 20
        assert vm.log.reads == reads + 1


# Twenty clients made twenty calls to a store that was away, and each waited its turn.
@pytest.mark.parametrize("make_stale", [lose_the_store, let_reads_hang])
async def test_concurrent_reads_share_a_failed_read_of_the_log(make_stale):
    async with running_vm() as vm:
        await make_stale(vm)
        reads = vm.log.reads
        pages = []

        async def read():
            pages.append(await vm.read())

        async with anyio.create_task_group() as group:
            for _ in range(20):
                group.start_soon(read)
        assert pages == [StateUnknown] * 20
        assert vm.log.reads == reads + 1


# The log line of an answer without results gave the time of the last response instead
# of the age of the state.
async def test_log_lines_tell_the_age_of_the_state():
    async with running_vm() as vm:
        await vm.know(make_submitted())
        vm.clock.shift_ms += SETTLE_MS
        assert await vm.read(1) == []
        (restored,) = vm.log_lines("state_restored")
        (absent,) = vm.log_lines("result_not_found")
        assert 0 <= restored["duration_ms"] < SETTLE_MS
        assert (absent["job_id"], absent["count"], absent["offset"]) == ("s1", 0, 1)
        assert 0 <= absent["age_ms"] < SETTLE_MS


# A read that took long gave an answer without results from a state as old as that.
@pytest.mark.parametrize(
    ("read_ms", "expected"),
    [
        pytest.param(200, [], id="in-time"),
        pytest.param(620, StateUnknown, id="too-old"),
    ],
)
async def test_none_is_not_said_after_a_slow_read(read_ms, expected):
    async with running_vm() as vm:
        await vm.know(make_submitted())
        vm.clock.shift_ms += SETTLE_MS
        held = vm.log.held_reads = anyio.Event()
        pages = []

        async def read():
            pages.append(await vm.read())

        async with anyio.create_task_group() as group:
            group.start_soon(read)
            await anyio.sleep(0.02)
            vm.clock.shift_ms += read_ms
            held.set()
        assert pages == [expected]


# No line told of a page with results that ended before those listed elsewhere.
@pytest.mark.parametrize(
    ("shift_ms", "reasons"),
    [
        pytest.param(0, [], id="recent"),
        pytest.param(
            SETTLE_MS, ["position 1 of 2, 0 records unread"], id="a-second-old"
        ),
    ],
)
async def test_log_lines_tell_of_results_from_an_old_state(shift_ms, reasons):
    async with running_vm() as vm:
        await vm.know(make_submitted(), item_ended("s1", "b"))
        vm.clock.shift_ms += shift_ms
        vm.log.up = False
        await vm.read()
        lines = vm.log_lines("results_from_old_state")
        assert [line["reason"] for line in lines] == reasons
        assert all(line["age_ms"] >= SETTLE_MS for line in lines)
