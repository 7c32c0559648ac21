"""A VM whose copy of the log is made to fall behind."""

import contextlib
import io
import json

import anyio

from fake_texts import make_texts
from foxtailbank.clock import SystemClock
from foxtailbank.keyed_log import AppendId
from foxtailbank.log_follower import LogFollower
from foxtailbank.logs import Logs
from foxtailbank.settings_sections import LogLevel
from foxtailbank.submissions.append_queue import AppendQueue
from foxtailbank.submissions.failures import (
    StateUnknown,
    SubmissionTooLarge,
    SubmissionUnknown,
)
from foxtailbank.submissions.records import encode
from foxtailbank.submissions.service import NewSubmission, SubmissionService
from foxtailbank.submissions.submission_table import SubmissionTable
from serving_fakes import FakeKeyedLog, make_logs, make_route
from test_submission_ledger import LIMIT, make_item

NO_MORE_READS_MS = 600_000  # pause of the follower after a read with records
SETTLE_MS = 1_000  # what was read at one VM must not be missing later than this
ANSWER_S = 2.4  # a client waits 1.5 s longer than the wait that it allows


class ShiftedClock(SystemClock):
    """System clock that can be moved forward, as after a VM was suspended."""

    def __init__(self):
        self.shift_ms = 0

    def now_ms(self):
        return super().now_ms() + self.shift_ms


class Vm:
    """A VM that follows the log and whose copy is made to fall behind."""

    def __init__(self):
        self.clock = ShiftedClock()
        self.log = FakeKeyedLog()
        self.log_output = io.StringIO()
        logs = Logs(vm="b", zone="z1", level=LogLevel.DEBUG, stream=self.log_output)
        self.table = SubmissionTable(logs=make_logs())
        self.follower = LogFollower(
            name="submissions",
            log=self.log,
            state=self.table,
            pause_ms=NO_MORE_READS_MS,
            logs=logs,
            clock=self.clock,
        )
        self.appends = AppendQueue(
            log=self.log,
            producer="b/1",
            call_bytes=100_000,
            logs=make_logs(),
            clock=self.clock,
        )
        self.batch = SubmissionService(
            owner_id="b/1",
            table=self.table,
            follower=self.follower,
            appends=self.appends,
            texts=make_texts(self.appends, self.clock),
            max_stored_bytes=1 << 20,
            max_text_bytes=1 << 20,
            part_bytes=8_000,
            logs=logs,
            clock=self.clock,
        )
        self._sequence = 0

    async def append_elsewhere(self, *records):
        """Append records as another VM does."""
        self._sequence += 1
        step = AppendId(producer="other", epoch=1, sequence=self._sequence)
        stored = tuple(
            encode(record, key_suffix=f"{self._sequence}/{number}")
            for number, record in enumerate(records)
        )
        await self.log.append(stored, append_id=step)

    async def append_elsewhere_in_any_case(self, *records):
        """Append records although the store turns this VM away."""
        was_up = self.log.up
        self.log.up = True
        await self.append_elsewhere(*records)
        self.log.up = was_up

    def log_lines(self, event):
        """Return the log lines of an event."""
        lines = map(json.loads, self.log_output.getvalue().splitlines())
        return [line for line in lines if line["event"] == event]

    async def until(self, check):
        with anyio.fail_after(10):
            while not check():
                await anyio.sleep(0.01)

    async def know(self, *records):
        """Append records that this VM applies before it pauses its reads."""
        await self.append_elsewhere(*records)
        await anyio.sleep(0.02)
        end = len(self.log.records)
        if self.follower.next_offset < end:
            assert await self.follower.wait_for_offset(end, 5_000)

    async def read(self, position=0, *, submission_id="s1", wait_ms=0):
        """Return the ids of the results, or the type of the error."""
        with anyio.fail_after(ANSWER_S):
            try:
                page = await self.batch.results(
                    submission_id, position=position, wait_ms=wait_ms
                )
            except (StateUnknown, SubmissionUnknown) as failure:
                return type(failure)
        return [result.item_id for result in page.results]

    async def submit(self, submission_id, *, limit=LIMIT):
        """Submit 20 tokens; return the type of the error, None if accepted."""
        new = NewSubmission(
            submission_id=submission_id,
            host="h",
            target="/p/",
            items=(make_item("a"), make_item("b")),
        )
        with anyio.fail_after(10):
            try:
                await self.batch.submit(new, make_route(waiting_tokens=limit))
            except (StateUnknown, SubmissionTooLarge) as failure:
                return type(failure)
        return None


@contextlib.asynccontextmanager
async def running_vm():
    vm = Vm()
    async with anyio.create_task_group() as group:
        group.start_soon(vm.follower.run)
        group.start_soon(vm.appends.run)
        await vm.until(lambda: vm.follower.is_restored)
        yield vm
        group.cancel_scope.cancel()
