import random

import anyio
import pytest

from fakes import FakeLog
from foxtailbank.clock import ManualClock
from foxtailbank.exceptions import LogUnavailable
from foxtailbank.log_service import LogRecord
from foxtailbank.log_tailer import LogRewound, LogTailer, ResyncFailed
from foxtailbank.records import UnsupportedRecord


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Rig:
    """A tailer that notes what it was given."""

    def __init__(self, *, records=5, **options):
        self.log = FakeLog()
        for number in range(records):
            self.log.put("ledger", b"r%d" % number)
        self.clock = ManualClock(start_ms=1000)
        self.seen = []
        self.resync_to = None
        self.resyncs = []
        self.refuse = None
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
        if record.data == self.refuse:
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
async def test_reads_in_order_and_knows_when_it_is_fresh():
    rig = Rig(max_bytes=4)
    assert not rig.tailer.ready
    while not rig.tailer.ready:
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
async def test_busy_stream_still_becomes_fresh():
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
    assert rig.tailer.ready is ready
    assert rig.tailer.offer([record(2)]) is ready


@pytest.mark.anyio
async def test_jump_in_offsets_is_a_gap():
    rig = Rig()

    async def read(**_):
        return (record(0), record(2))

    rig.log.read = read
    rig.resync_to = 3
    await rig.tailer.poll()
    assert (rig.seen, rig.resyncs, rig.tailer.next_offset) == ([0], [1], 3)


@pytest.mark.parametrize(
    ("offers", "taken", "seen"),
    [
        ([[0, 1], [1, 2]], [True, True], [0, 1, 2]),
        ([[0], [2]], [True, False], [0]),
        ([[0, 1, 2], [0]], [True, True], [0, 1, 2]),
    ],
)
def test_records_from_peers(offers, taken, seen):
    rig = Rig()
    assert [rig.tailer.offer(map(record, offsets)) for offsets in offers] == taken
    assert rig.seen == seen


@pytest.mark.anyio
async def test_unsupported_record_halts_before_it():
    rig = Rig()
    rig.refuse = b"r3"
    with anyio.fail_after(30):
        await rig.tailer.run()
    assert (rig.seen, rig.tailer.next_offset) == ([0, 1, 2], 3)
    assert isinstance(rig.tailer.halted_by, UnsupportedRecord)
    assert not rig.tailer.ready
    assert rig.tailer.offer([record(3)]) is False


@pytest.mark.anyio
async def test_log_without_answer_is_left_after_a_timeout():
    rig = Rig(answer_timeout_ms=1)
    rig.log.hang = True
    with pytest.raises(TimeoutError):
        await rig.tailer.poll()
    rig.log.hang = False
    await rig.tailer.poll()
    assert rig.seen == [0, 1, 2, 3, 4]


@pytest.mark.anyio
async def test_another_log_under_the_same_name_halts():
    rig = Rig()
    rig.tailer.next_offset = 9
    with anyio.fail_after(30):
        await rig.tailer.run()
    assert isinstance(rig.tailer.halted_by, LogRewound)
