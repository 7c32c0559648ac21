"""Log follower with polls that miss records, expired history and store outages."""

import anyio
import pytest

from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.keyed_log import (
    HistoryTruncated,
    StoreRefused,
)
from foxtailbank.log_follower import LONG_POLL_MS, RETRY_MS
from log_follower_harness import ENDLESS_PAUSE_MS, Harness

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def test_records_are_applied_once_and_in_order():
    harness = Harness()
    await harness.put("a")
    async with anyio.create_task_group() as group:
        group.start_soon(harness.follower.run)
        await harness.wait_until_keys(["a"])
        end = await harness.put("b")
        assert await harness.follower.wait_for_offset(end, 5_000)
        await harness.follower.sync()
        assert harness.state.keys == ["a", "b"]
        group.cancel_scope.cancel()


async def test_poll_that_misses_records_ends_at_its_wait_limit():
    harness = Harness()
    harness.log.unnotified_polls = 1
    async with anyio.create_task_group() as group:
        group.start_soon(harness.follower.run)
        await anyio.sleep(0.05)
        await harness.put("a")
        await harness.wait_until_keys(["a"])
        group.cancel_scope.cancel()
    # A configuration has to take effect within 2 s after it was stored.
    assert LONG_POLL_MS <= 1_000


async def test_expired_history_is_restored_from_newest_records():
    harness = Harness()
    async with anyio.create_task_group() as group:
        group.start_soon(harness.follower.run)
        await harness.put("a")
        await harness.wait_until_keys(["a"])
        harness.log.up = False
        await anyio.sleep(1)
        harness.log.up = True
        await harness.put("b")
        harness.log.first = 2
        await harness.wait_until_keys(["a", "b"])
        group.cancel_scope.cancel()
    assert harness.state.restore_count >= 1


async def test_outage_is_detected_and_recovery_reported_once():
    harness = Harness()
    harness.log.up = False
    async with anyio.create_task_group() as group:
        group.start_soon(harness.follower.run)
        await anyio.sleep(0.05)
        assert harness.follower.is_failing
        with pytest.raises(Exception, match="state has not been read"):
            await harness.follower.sync()
        harness.log.up = True
        await harness.put("a")
        await harness.wait_until_keys(["a"])
        group.cancel_scope.cancel()
    assert harness.recoveries == 1


async def test_sync_raises_when_the_store_is_unavailable():
    harness = Harness()
    async with anyio.create_task_group() as group:
        group.start_soon(harness.follower.run)
        await harness.put("a")
        await harness.wait_until_keys(["a"])
        harness.log.up = False
        with pytest.raises(StoreRefused):
            await harness.follower.sync()
        group.cancel_scope.cancel()


async def test_waiting_caller_skips_the_read_pause():
    harness = Harness(pause_ms=60_000)
    async with anyio.create_task_group() as group:
        group.start_soon(harness.follower.run)
        await harness.wait_until_keys([])
        await anyio.sleep(0.05)
        outcomes = []

        async def wait():
            outcomes.append(await harness.follower.wait_for_offset(2, 5_000))

        async with anyio.create_task_group() as waits:
            waits.start_soon(wait)
            await anyio.sleep(0.05)
            await harness.put("a")
            await anyio.sleep(0.05)
            await harness.put("b")
        assert outcomes == [True]
        group.cancel_scope.cancel()


# A sync that was in progress when history was lost applied records to the old state
# and ended as if that were up to date.
@pytest.mark.parametrize("key_count", [0, 2])
async def test_a_sync_does_not_mix_with_a_restore(key_count):
    harness = Harness(pause_ms=60_000)
    async with anyio.create_task_group() as group:
        group.start_soon(harness.follower.run)
        await anyio.sleep(0.05)
        await harness.put("a")
        await harness.wait_until_keys(["a"])
        for number in range(key_count):
            await harness.put(f"b{number}")
        harness.log.held_reads = anyio.Event()
        harness.log.held_newest = anyio.Event()
        failures = []

        async def sync():
            try:
                with anyio.fail_after(2):
                    await harness.follower.sync()
            except (FoxtailbankError, TimeoutError) as failure:
                failures.append(type(failure))

        async with anyio.create_task_group() as syncs:
            syncs.start_soon(sync)
            await anyio.sleep(0.05)
            await harness.put("c")
            harness.log.first = len(harness.log.records)
            await harness.follower.wait_for_offset(2 + key_count, 50)
            assert not harness.follower.is_restored
            harness.log.held_reads.set()
        assert failures == [HistoryTruncated]
        assert harness.state.keys == ["a"]
        harness.log.held_newest.set()
        await harness.wait_until_keys(["a", *(f"b{n}" for n in range(key_count)), "c"])
        group.cancel_scope.cancel()


# A read that was sent before a restore marked the restored state, which is no snapshot,
# as complete.
async def test_a_read_sent_before_a_restore_does_not_complete_it():
    harness = Harness(pause_ms=ENDLESS_PAUSE_MS)
    async with anyio.create_task_group() as group:
        group.start_soon(harness.follower.run)
        await harness.wait_until_caught_up()
        await harness.put("a")
        await harness.wait_until_keys(["a"])
        held = harness.log.held_reads = anyio.Event()
        failures = []

        async def sync():
            try:
                await harness.follower.sync()
            except FoxtailbankError as failure:
                failures.append(type(failure))

        async with anyio.create_task_group() as syncs:
            syncs.start_soon(sync)
            await anyio.sleep(0.05)
            await harness.put("b")
            harness.log.truncated_reads = 1
            harness.log.held_reads = anyio.Event()
            await harness.follower.wait_for_offset(2, 300)
            assert harness.state.restore_count == 2
            assert not harness.follower.has_caught_up
            held.set()
            await anyio.sleep(0.05)
            assert not harness.follower.has_caught_up
            harness.log.held_reads.set()
        assert failures == [HistoryTruncated]
        group.cancel_scope.cancel()


# A caller was told that an id is unknown from a read that was sent before the id was
# accepted.
async def test_a_sync_uses_no_read_that_was_sent_before_it():
    harness = Harness(pause_ms=60_000)
    async with anyio.create_task_group() as group:
        group.start_soon(harness.follower.run)
        await anyio.sleep(0.05)
        await harness.put("a")
        await harness.wait_until_keys(["a"])
        held = harness.log.held_reads = anyio.Event()
        async with anyio.create_task_group() as syncs:
            syncs.start_soon(harness.follower.sync)
            await anyio.sleep(0.05)
            await harness.put("b")
            harness.log.held_reads = None
            syncs.start_soon(harness.follower.sync)
            await anyio.sleep(0.05)
            held.set()
        assert harness.state.keys == ["a", "b"]
        group.cancel_scope.cancel()


# Guards against reading a backlog twice over one link: by the follower and by a caller.
async def test_a_sync_leaves_a_known_backlog_to_the_follower():
    harness = Harness(pause_ms=ENDLESS_PAUSE_MS)
    async with anyio.create_task_group() as group:
        group.start_soon(harness.follower.run)
        await anyio.sleep(0.05)
        await harness.put("a")
        await harness.wait_until_keys(["a"])
        harness.log.read_limit = 1
        await harness.put_all(6)
        reads = harness.log.immediate_reads
        await harness.follower.sync()
        assert harness.state.keys == ["a", *harness.expected_keys(6)]
        # The first finds the backlog, the second that nothing came after it.
        assert harness.log.immediate_reads - reads <= 2
        group.cancel_scope.cancel()


# Guards against a pause between reads while the log holds records that were not read.
@pytest.mark.parametrize("record_count", [3, 6, 7])
@pytest.mark.parametrize("read_limit", [1, 2])
async def test_follower_that_is_behind_reads_on_without_pause(read_limit, record_count):
    harness = Harness(pause_ms=ENDLESS_PAUSE_MS)
    harness.log.read_limit = read_limit
    async with anyio.create_task_group() as group:
        group.start_soon(harness.follower.run)
        await harness.wait_until_keys([])
        await harness.put_all(record_count)
        await harness.wait_until_keys(harness.expected_keys(record_count))
        group.cancel_scope.cancel()


# Guards against calls to the store without a pause once the end of the log was read.
async def test_follower_at_the_end_pauses_between_reads():
    harness = Harness(pause_ms=ENDLESS_PAUSE_MS)
    async with anyio.create_task_group() as group:
        group.start_soon(harness.follower.run)
        await harness.wait_until_caught_up()
        reads = harness.log.reads
        for number in range(1, 6):
            await harness.put(f"k{number}")
            await anyio.sleep(0.02)
        assert harness.log.reads == reads
        group.cancel_scope.cancel()


# Guards against a pause after a read that lacks the record a caller waits for.
@pytest.mark.parametrize("other_count", [1, 2, 4])
async def test_waiting_caller_is_not_held_by_later_pauses(other_count):
    harness = Harness(pause_ms=ENDLESS_PAUSE_MS)
    async with anyio.create_task_group() as group:
        group.start_soon(harness.follower.run)
        await harness.wait_until_keys([])
        outcomes = []
        async with anyio.create_task_group() as waits:
            waits.start_soon(harness.wait_for, other_count + 1, outcomes)
            for number in range(other_count):
                await anyio.sleep(0.03)
                await harness.put(f"other{number}")
            await anyio.sleep(0.03)
            await harness.put("own")
        assert outcomes == [True]
        group.cancel_scope.cancel()


# Guards against a pause that one caller's record ends while others still wait.
@pytest.mark.parametrize("offsets", [(1, 2, 3), (3, 2, 1), (2, 2, 4)], ids=str)
async def test_all_waiting_callers_skip_the_pauses(offsets):
    harness = Harness(pause_ms=ENDLESS_PAUSE_MS)
    async with anyio.create_task_group() as group:
        group.start_soon(harness.follower.run)
        await harness.wait_until_keys([])
        outcomes = []
        async with anyio.create_task_group() as waits:
            for offset in offsets:
                waits.start_soon(harness.wait_for, offset, outcomes)
            for number in range(max(offsets)):
                await anyio.sleep(0.03)
                await harness.put(f"k{number}")
        assert outcomes == [True] * len(offsets)
        group.cancel_scope.cancel()


# Guards against a pause skipped for a caller whose records are already in the state.
async def test_caller_whose_record_was_read_causes_no_read():
    harness = Harness(pause_ms=ENDLESS_PAUSE_MS)
    async with anyio.create_task_group() as group:
        group.start_soon(harness.follower.run)
        await harness.wait_until_caught_up()
        reads = harness.log.reads
        end = await harness.put("a")
        await harness.wait_until_keys(["a"])
        assert await harness.follower.wait_for_offset(end, 5_000)
        await harness.put("b")
        await anyio.sleep(0.05)
        assert harness.log.reads == reads
        group.cancel_scope.cancel()


# Guards against restoring without a pause while the store keeps reporting lost history.
async def test_history_lost_again_is_restored_after_a_pause():
    harness = Harness()
    harness.log.truncated_reads = 10_000
    async with anyio.create_task_group() as group:
        group.start_soon(harness.follower.run)
        await anyio.sleep(3 * RETRY_MS / 1000)
        assert 2 <= harness.log.reads <= 5
        harness.log.truncated_reads = 0
        await harness.put("a")
        await harness.wait_until_keys(["a"])
        group.cancel_scope.cancel()


# Guards against a pause before the first restore after lost history: reads are stale.
async def test_history_lost_once_is_restored_at_once():
    harness = Harness()
    async with anyio.create_task_group() as group:
        group.start_soon(harness.follower.run)
        await harness.put("a")
        await harness.wait_until_keys(["a"])
        await anyio.sleep(0.05)
        harness.log.truncated_reads = 1
        await harness.put("b")
        with anyio.fail_after(RETRY_MS / 2 / 1000):
            while harness.state.restore_count < 2:
                await anyio.sleep(0.01)
        assert harness.state.keys == ["a", "b"]
        group.cancel_scope.cancel()
