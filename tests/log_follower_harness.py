"""A log follower with a fake log and a state that lists keys."""

import anyio

from foxtailbank.clock import SystemClock
from foxtailbank.keyed_log import (
    AppendId,
    KeyedRecord,
)
from foxtailbank.log_follower import LogFollower, LogState
from serving_fakes import FakeKeyedLog, make_logs

# Longer than any test: a pause that is not skipped fails the test.
ENDLESS_PAUSE_MS = 60_000


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

    async def put_all(self, count):
        self._sequence += 1
        step = AppendId(producer="p", epoch=1, sequence=self._sequence)
        records = tuple(
            KeyedRecord(key=key, value=b"v") for key in self.expected_keys(count)
        )
        await self.log.append(records, append_id=step)

    @staticmethod
    def expected_keys(count):
        return [f"k{number}" for number in range(count)]

    async def wait_for(self, offset, outcomes):
        outcomes.append(await self.follower.wait_for_offset(offset, 5_000))

    async def wait_until_caught_up(self):
        """Wait until the poll that follows a restore waits for new records."""
        with anyio.fail_after(10):
            while not self.follower.has_caught_up:
                await anyio.sleep(0.01)
        await anyio.sleep(0.01)

    async def wait_until_keys(self, keys):
        with anyio.fail_after(10):
            while self.state.keys != keys:
                await anyio.sleep(0.01)
