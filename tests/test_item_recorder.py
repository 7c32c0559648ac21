"""Records that an item leaves in the submission log when it ends."""

import io
import json

import anyio
import pytest

from fake_texts import make_texts
from foxtailbank.fleet.load_table import WorkerLoad
from foxtailbank.keyed_log import LogSlice
from foxtailbank.logs import Logs
from foxtailbank.metrics import Metrics
from foxtailbank.submissions.append_queue import AppendQueue
from foxtailbank.submissions.item_recorder import ItemRecorder
from foxtailbank.submissions.item_run import ItemRun
from foxtailbank.submissions.records import Ended, Progress, encode
from foxtailbank.submissions.retirement import RETENTION_MS, Retirement
from foxtailbank.submissions.submission_table import SubmissionTable
from serving_fakes import FakeKeyedLog, make_logs, make_worker, manual_clock
from test_submission_ledger import make_submitted

pytestmark = pytest.mark.anyio
WAIT_S = 10
PROGRESS = Progress(submission_id="s1", item_id="a", after_event="2", texts=("x",))


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Owner:
    """A process that owns a submission of two items and runs the first."""

    def __init__(self):
        self.log = FakeKeyedLog()
        self.table = SubmissionTable(logs=make_logs())
        self.clock = clock = manual_clock()
        self.offset = 0
        self.appends = AppendQueue(
            log=self.log,
            producer="vm/1",
            call_bytes=9_999,
            logs=make_logs(),
            clock=clock,
        )
        self.texts = make_texts(self.appends, clock)
        self.lines = io.StringIO()
        self.recorder = ItemRecorder(
            owner_id="vm/1",
            appends=self.appends,
            texts=self.texts,
            clock=clock,
            logs=Logs(vm="vm-1", zone="z1", stream=self.lines),
            metrics=Metrics(),
        )

    async def flush(self):
        """Append all queued records and apply the log."""
        with anyio.fail_after(WAIT_S):
            async with anyio.create_task_group() as group:
                group.start_soon(self.appends.run)
                while self.appends.waiting_bytes:
                    await anyio.sleep(0.01)
                group.cancel_scope.cancel()
        self.apply()

    def apply(self):
        new = tuple(self.log.records[self.offset :])
        self.offset = len(self.log.records)
        self.table.apply_records(LogSlice(records=new, end=self.offset))

    async def accept(self, *, earlier_progress):
        records = [encode(make_submitted(), key_suffix="1")]
        if earlier_progress:
            records.append(encode(PROGRESS, key_suffix=PROGRESS.item_id))
        self.appends.put(tuple(records), urgent=False)
        await self.flush()

    def make_run(self):
        submission = self.table.ledger.get("s1")
        return ItemRun(
            submission=submission, item=submission.items_by_id["a"], due_ms=0
        )

    async def restored_table(self):
        table = SubmissionTable(logs=make_logs())
        table.restore(await self.log.read_newest())
        return table


# Guards against a log that grows by the output of items that ended long ago, which each
# start reads.
@pytest.mark.parametrize(
    ("earlier_progress", "resumes", "saves"),
    [
        pytest.param(False, False, True, id="saved-by-this-process"),
        pytest.param(True, True, False, id="resumed"),
        pytest.param(True, True, True, id="resumed-and-saved"),
        pytest.param(True, False, False, id="known-from-the-ledger"),
        pytest.param(False, False, False, id="none"),
    ],
)
@pytest.mark.parametrize("completed", [True, False])
async def test_progress_is_dropped_with_the_end_of_its_item(
    earlier_progress, resumes, saves, completed
):
    owner = Owner()
    await owner.accept(earlier_progress=earlier_progress)
    run = owner.make_run()
    if resumes:
        run.resume_from(PROGRESS)
    if saves:
        run.texts.append("y")
        owner.recorder.save_progress(run)
        await owner.flush()
    appended_count = len(owner.log.records)
    calls = owner.log.appends
    owner.recorder.record_end(run, completed=completed, reason="r")
    await owner.flush()
    assert owner.log.appends == calls + 1
    had_progress = earlier_progress or saves
    assert len(owner.log.records) == appended_count + 1 + had_progress
    newest = await owner.log.read_newest()
    kinds = [record.key.partition("/")[0] for record in newest.records]
    assert kinds == ["submitted", "listed"]


# Guards against VMs that hold different states of one log.
async def test_a_restored_state_equals_one_that_followed_the_log():
    owner = Owner()
    await owner.accept(earlier_progress=True)
    owner.recorder.record_end(owner.make_run(), completed=True, reason="r")
    await owner.flush()
    restored = await owner.restored_table()
    assert restored.ledger.all() == owner.table.ledger.all()


# Guards against keys that stay in the log for good, also that of progress which an
# earlier owner saved after the item had ended.
@pytest.mark.parametrize("late_progress", [False, True])
async def test_retirement_leaves_no_key(late_progress):
    owner = Owner()
    await owner.accept(earlier_progress=True)
    owner.recorder.record_end(owner.make_run(), completed=True, reason="r")
    if late_progress:
        late = encode(PROGRESS, key_suffix=PROGRESS.item_id)
        owner.appends.put((late,), urgent=False)
    ended = encode(Ended(submission_id="s1"), key_suffix="1")
    owner.appends.put((ended,), urgent=False)
    await owner.flush()
    owner.clock.advance(RETENTION_MS)
    retirement = Retirement(
        owner_id="vm/1",
        table=await owner.restored_table(),
        appends=owner.appends,
        texts=owner.texts,
        logs=make_logs(),
        clock=owner.clock,
    )
    retirement.retire_expired()
    retirement.retire_expired()  # a submission is dropped one check after it expired
    await owner.flush()
    assert (await owner.log.read_newest()).records == ()


# Guards against late items whose lines don't tell where their time went: before the
# first run, in runs, or between runs that were stopped.
async def test_the_line_of_an_end_tells_where_the_time_went():
    owner = Owner()
    await owner.accept(earlier_progress=False)
    run = owner.make_run()
    worker = make_worker("w1")
    arrived_ms = owner.clock.wall_ms() - run.submission.arrived_wall_ms
    owner.clock.advance(300)
    for run_ms, pause_ms in ((1_000, 700), (50, 0)):
        owner.recorder.record_start(run, worker)
        owner.clock.advance(run_ms)
        if pause_ms:
            owner.recorder.record_preemption(run, worker, WorkerLoad())
            run.times.on_stop(owner.clock.now_ms())
        owner.clock.advance(pause_ms)
    owner.recorder.record_end(run, completed=True, reason="r")
    line = json.loads(owner.lines.getvalue().splitlines()[-1])
    assert line["event"] == "item_finished"
    assert line["first_start_ms"] == arrived_ms + 300
    assert line["running_ms"] == 1_050
    assert line["duration_ms"] == arrived_ms + 2_050
    assert line["yields"] == 1
