"""Log follower with polls that miss records, expired history and store outages."""

import anyio
import pytest

from foxtailbank.clock import SystemClock
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.keyed_log import (
    AppendId,
    HistoryTruncated,
    KeyedRecord,
    StoreRefused,
)
from foxtailbank.log_follower import LONG_POLL_MS, LogFollower, LogState
from serving_fakes import FakeKeyedLog, make_logs

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class KeyList(LogState):
    def __init__(self):
        self.keys = []
        self.restore_count = 0

    def restore(self, newest):
        self.restore_count += 1
        self.keys = [record.key for record in newest.records]

    def apply_records(self, part):
        self.keys += [record.key for record in part.records]


class Harness:
    def __init__(self, pause_ms=10):
        self.log = FakeKeyedLog()
        self.state = KeyList()
        self.recoveries = 0
        self.follower = LogFollower(
            name="test",
            log=self.log,
            state=self.state,
            pause_ms=pause_ms,
            logs=make_logs(),
            clock=SystemClock(),
            on_recovery=self._on_recovery,
        )
        self._sequence = 0

    def _on_recovery(self):
        self.recoveries += 1

    async def put(self, key):
        self._sequence += 1
        step = AppendId(producer="p", epoch=1, sequence=self._sequence)
        return await self.log.append(
            (KeyedRecord(key=key, value=b"v"),), append_id=step
        )

    async def wait_until_keys(self, keys):
        with anyio.fail_after(10):
            while self.state.keys != keys:
                await anyio.sleep(0.01)


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
