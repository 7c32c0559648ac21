import random

import anyio
import anyio.lowlevel
import pytest

from fakes import FakeLog
from foxtailbank.clock import ManualClock
from foxtailbank.exceptions import LogUnavailable
from foxtailbank.log_service import LogRecord
from foxtailbank.log_tailer import LogRewound, LogTailer, ResyncFailed
from foxtailbank.records import UnsupportedRecord


class Rig:
    """A tailer that records what it applies."""

    def __init__(self, *, records=5, **options):
        self.log = FakeLog()
        for number in range(records):
            self.log.put("ledger", b"r%d" % number)
        self.clock = ManualClock(start_ms=1000)
        self.seen = []
        self.resync_to = None
        self.resyncs = []
        self.unsupported_data = None
        self.tailer = LogTailer(
            log=self.log,
            stream="ledger",
            apply=self.apply,
            resync=self.resync,
            clock=self.clock,
            rng=random.Random(1),
            wait_ms=0,
            backoff_first_ms=1,
            backoff_max_ms=2,
            **options,
        )

    def apply(self, record):
        if record.data == self.unsupported_data:
            raise UnsupportedRecord()
        self.seen.append(record.offset)

    async def resync(self, next_offset):
        self.resyncs.append(next_offset)
        if self.resync_to is None:
            raise ResyncFailed()
        return self.resync_to


def record(offset):
    return LogRecord(offset=offset, data=b"r%d" % offset)


@pytest.mark.anyio
async def test_reads_in_order_and_reports_the_age_of_its_view():
    rig = Rig(max_bytes=4)
    assert not rig.tailer.is_ready
    while not rig.tailer.is_ready:
        rig.clock.advance(1)
        await rig.tailer.poll()
    assert rig.seen == [0, 1, 2, 3, 4]
    await rig.tailer.poll()
    assert rig.tailer.age_ms() == 0
    rig.log.up = False
    rig.clock.advance(700)
    with pytest.raises(LogUnavailable):
        await rig.tailer.poll()
    assert rig.tailer.age_ms() >= 700


@pytest.mark.anyio
async def test_age_is_bounded_on_a_stream_that_keeps_growing():
    rig = Rig(max_bytes=4, probe_ms=3)
    for _ in range(20):
        rig.clock.advance(1)
        rig.log.put("ledger", b"more")
        await rig.tailer.poll()
        assert len(rig.seen) < len(rig.log.records_by_stream["ledger"])
    assert rig.tailer.age_ms() < 20


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("resync_to", "error", "ready"),
    [(None, ResyncFailed, False), (1, ResyncFailed, False), (4, None, True)],
)
async def test_expired_offset_needs_a_snapshot_beyond_what_is_applied(
    resync_to, error, ready
):
    rig = Rig()
    await rig.tailer.poll()
    rig.tailer.next_offset = 2
    rig.log.expire("ledger", 4)
    rig.resync_to = resync_to
    if error is not None:
        with pytest.raises(error):
            await rig.tailer.poll()
    else:
        await rig.tailer.poll()
    assert rig.tailer.next_offset == (resync_to if ready else 2)
    assert rig.tailer.is_ready is ready
    assert rig.tailer.apply_from_peer([record(2)]) is ready


@pytest.mark.anyio
async def test_gap_in_offsets_triggers_a_resync():
    rig = Rig()

    async def read(**_):
        return (record(0), record(2))

    rig.log.read = read
    rig.resync_to = 3
    await rig.tailer.poll()
    assert (rig.seen, rig.resyncs, rig.tailer.next_offset) == ([0], [1], 3)


@pytest.mark.parametrize(
    ("offers", "accepted", "seen"),
    [
        ([[0, 1], [1, 2]], [True, True], [0, 1, 2]),
        ([[0], [2]], [True, False], [0]),
        ([[0, 1, 2], [0]], [True, True], [0, 1, 2]),
    ],
)
def test_records_from_peers_apply_without_gaps(offers, accepted, seen):
    rig = Rig()
    assert [
        rig.tailer.apply_from_peer(map(record, offsets)) for offsets in offers
    ] == accepted
    assert rig.seen == seen


async def run_until_halted(tailer, tasks):
    tasks.start_soon(tailer.run)
    with anyio.fail_after(30):
        while tailer.halted_by is None:
            await anyio.sleep(0.001)
    await run_other_tasks()


async def run_other_tasks():
    for _ in range(20):
        await anyio.lowlevel.checkpoint()


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("restored", "resumes"), [(None, False), (2, False), (3, False), (4, True)]
)
async def test_unsupported_record_halts_until_a_state_covers_it(restored, resumes):
    rig = Rig()
    rig.unsupported_data = b"r3"
    async with anyio.create_task_group() as tasks:
        await run_until_halted(rig.tailer, tasks)
        assert (rig.seen, rig.tailer.next_offset) == ([0, 1, 2], 3)
        assert isinstance(rig.tailer.halted_by, UnsupportedRecord)
        assert not rig.tailer.is_ready
        assert rig.tailer.apply_from_peer([record(3)]) is False
        if restored is not None:
            rig.tailer.on_state_restored(restored)
        await run_other_tasks()
        with anyio.fail_after(30):
            while resumes and not rig.tailer.is_ready:
                await anyio.sleep(0.001)
        tasks.cancel_scope.cancel()
    assert rig.tailer.is_ready is resumes
    assert rig.seen == ([0, 1, 2, 4] if resumes else [0, 1, 2])


@pytest.mark.anyio
async def test_read_without_response_times_out():
    rig = Rig(response_timeout_ms=1)
    rig.log.hang = True
    with pytest.raises(TimeoutError):
        await rig.tailer.poll()
    rig.log.hang = False
    await rig.tailer.poll()
    assert rig.seen == [0, 1, 2, 3, 4]


@pytest.mark.anyio
async def test_stream_that_ends_before_applied_records_halts():
    rig = Rig()
    rig.tailer.next_offset = 9
    async with anyio.create_task_group() as tasks:
        await run_until_halted(rig.tailer, tasks)
        rig.tailer.on_state_restored(20)
        assert isinstance(rig.tailer.halted_by, LogRewound)
        assert rig.tailer.apply_from_peer([record(20)]) is False
        tasks.cancel_scope.cancel()
