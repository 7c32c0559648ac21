"""Following a log whose polls go deaf, whose history goes, and that is away."""

import anyio
import pytest

from foxtailbank.clock import SystemClock
from foxtailbank.keyed_log import KeyedRecord, ProducerStep, StoreRefused
from foxtailbank.log_follower import LONG_POLL_MS, LogFollower, LogState
from serving_fakes import FakeKeyedLog, make_logs

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Keys(LogState):
    def __init__(self):
        self.keys = []
        self.restored = 0

    def restore(self, newest):
        self.restored += 1
        self.keys = [record.key for record in newest.records]

    def advance(self, part):
        self.keys += [record.key for record in part.records]


class World:
    def __init__(self, pause_ms=10):
        self.log = FakeKeyedLog()
        self.state = Keys()
        self.returns = 0
        self.follower = LogFollower(
            name="test",
            log=self.log,
            state=self.state,
            pause_ms=pause_ms,
            logs=make_logs(),
            clock=SystemClock(),
            on_return=self._on_return,
        )
        self._sequence = 0

    def _on_return(self):
        self.returns += 1

    async def put(self, key):
        self._sequence += 1
        step = ProducerStep(producer="p", epoch=1, sequence=self._sequence)
        return await self.log.append((KeyedRecord(key=key, value=b"v"),), step=step)

    async def until(self, keys):
        with anyio.fail_after(10):
            while self.state.keys != keys:
                await anyio.sleep(0.01)


async def test_records_are_taken_once_and_in_order():
    world = World()
    await world.put("a")
    async with anyio.create_task_group() as group:
        group.start_soon(world.follower.run)
        await world.until(["a"])
        end = await world.put("b")
        assert await world.follower.wait_for(end, 5_000)
        await world.follower.sync()
        assert world.state.keys == ["a", "b"]
        group.cancel_scope.cancel()


async def test_a_poll_that_the_store_forgot_ends_by_itself():
    world = World()
    world.log.deaf_polls = 1
    async with anyio.create_task_group() as group:
        group.start_soon(world.follower.run)
        await anyio.sleep(0.05)
        await world.put("a")
        await world.until(["a"])
        group.cancel_scope.cancel()
    # A configuration must be in force 2 s after it was stored.
    assert LONG_POLL_MS <= 1_000


async def test_history_that_went_is_read_anew_from_the_newest_records():
    world = World()
    async with anyio.create_task_group() as group:
        group.start_soon(world.follower.run)
        await world.put("a")
        await world.until(["a"])
        world.log.up = False
        await anyio.sleep(1)
        world.log.up = True
        await world.put("b")
        world.log.first = 2
        await world.until(["a", "b"])
        group.cancel_scope.cancel()
    assert world.state.restored >= 1


async def test_an_outage_is_noticed_and_its_end_told_once():
    world = World()
    world.log.up = False
    async with anyio.create_task_group() as group:
        group.start_soon(world.follower.run)
        await anyio.sleep(0.05)
        assert world.follower.failing
        with pytest.raises(Exception, match="state has not been read"):
            await world.follower.sync()
        world.log.up = True
        await world.put("a")
        await world.until(["a"])
        group.cancel_scope.cancel()
    assert world.returns == 1


async def test_sync_tells_when_the_end_can_not_be_read():
    world = World()
    async with anyio.create_task_group() as group:
        group.start_soon(world.follower.run)
        await world.put("a")
        await world.until(["a"])
        world.log.up = False
        with pytest.raises(StoreRefused):
            await world.follower.sync()
        group.cancel_scope.cancel()


async def test_a_caller_that_waits_is_not_held_by_a_long_pause():
    world = World(pause_ms=60_000)
    async with anyio.create_task_group() as group:
        group.start_soon(world.follower.run)
        await world.until([])
        await anyio.sleep(0.05)
        seen = []

        async def wait():
            seen.append(await world.follower.wait_for(2, 5_000))

        async with anyio.create_task_group() as waits:
            waits.start_soon(wait)
            await anyio.sleep(0.05)
            await world.put("a")
            await anyio.sleep(0.05)
            await world.put("b")
        assert seen == [True]
        group.cancel_scope.cancel()
