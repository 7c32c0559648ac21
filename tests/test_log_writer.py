import asyncio
import random

import anyio
import pytest

from fakes import FakeLog
from foxtailbank import records
from foxtailbank.clock import SystemClock
from foxtailbank.exceptions import LogUnavailable, Ran
from foxtailbank.ledger import Ledger
from foxtailbank.ledger_replay import LedgerReplay
from foxtailbank.log_service import LogRecord
from foxtailbank.log_writer import AppendOutcomeUnknown, LogQueueFull, LogWriter
from ledger_entries import call, cancel, job

LONG_MS = 30_000


class Rig:
    """A writer, its log and a replay that the test advances."""

    def __init__(self, **options):
        self.log = FakeLog()
        self.replay = LedgerReplay(ledger=Ledger())
        defaults = {
            "linger_ms": 0,
            "max_bytes": 100_000,
            "backoff_first_ms": 1,
            "backoff_max_ms": 2,
        }
        self.writer = LogWriter(
            log=self.log,
            stream="ledger",
            incarnation="a",
            clock=SystemClock(),
            rng=random.Random(1),
            **(defaults | options),
        )
        self.replay.add_listener(
            lambda envelope, events: self.writer.on_applied(
                envelope.incarnation, envelope.sequence, events
            )
        )

    def catch_up(self):
        records_ = self.log.records_by_stream["ledger"]
        start = self.replay.ledger.next_offset
        for offset, data in enumerate(records_[start:], start):
            self.replay.apply(LogRecord(offset=offset, data=data))

    async def follow(self):
        while True:
            self.catch_up()
            await anyio.sleep(0.001)

    def envelopes(self):
        return [records.decode(data) for data in self.log.records_by_stream["ledger"]]


async def wait_until(condition):
    with anyio.fail_after(LONG_MS / 1000):
        while not condition():
            await anyio.sleep(0.001)


@pytest.mark.anyio
@pytest.mark.parametrize("fault", ["none", "lose_answers", "refuse_appends"])
async def test_append_returns_what_its_entry_changed(fault):
    rig = Rig()
    if fault != "none":
        setattr(rig.log, fault, 3)
    got = {}

    async def append(name, entry):
        got[name] = await rig.writer.append(entry, timeout_ms=LONG_MS)

    async with anyio.create_task_group() as outer:
        outer.start_soon(rig.writer.run)
        outer.start_soon(rig.follow)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(append, "job", job())
            tasks.start_soon(append, "call", call())
            tasks.start_soon(append, "again", call())
        outer.cancel_scope.cancel()
    names = {name: type(events[0]).__name__ for name, events in got.items()}
    assert names == {
        "job": "JobAdded",
        "call": "CallClaimWon",
        "again": "CallClaimLost",
    }
    assert rig.log.max_in_flight == 1
    sequences = [e.sequence for e in rig.envelopes()]
    assert sequences == sorted(sequences)


@pytest.mark.anyio
async def test_entries_queued_during_an_append_share_a_record():
    rig = Rig(linger_ms=LONG_MS)
    rig.log.delay_ms = 20
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(rig.writer.run)
        rig.writer.submit(job("first"), urgent=True)
        await wait_until(lambda: rig.log.in_flight)
        for number in range(50):
            rig.writer.submit(cancel(f"j{number}"))
        with anyio.fail_after(LONG_MS / 1000):
            await rig.writer.drain()
        tasks.cancel_scope.cancel()
    assert [len(e.entries) for e in rig.envelopes()] == [1, 50]


@pytest.mark.anyio
async def test_records_are_bounded_and_keep_order():
    rig = Rig(max_bytes=100)
    for number in range(20):
        rig.writer.submit(cancel(f"job-{number:010}"))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(rig.writer.run)
        with anyio.fail_after(LONG_MS / 1000):
            await rig.writer.drain()
        tasks.cancel_scope.cancel()
    ids = [entry.job_id for e in rig.envelopes() for entry in e.entries]
    assert ids == [f"job-{number:010}" for number in range(20)]
    assert max(len(e.entries) for e in rig.envelopes()) == 3


@pytest.mark.anyio
async def test_full_queue_rejects_entries():
    rig = Rig(max_queue_bytes=100)
    with pytest.raises(LogQueueFull) as caught:
        for number in range(20):
            rig.writer.submit(cancel(f"j{number}"))
    assert caught.value.ran is Ran.NO
    assert rig.writer.queued_bytes <= 100


@pytest.mark.anyio
async def test_unsent_entry_is_withdrawn_at_its_timeout():
    rig = Rig()
    with pytest.raises(LogUnavailable) as caught:
        await rig.writer.append(call(), timeout_ms=5)
    assert not isinstance(caught.value, AppendOutcomeUnknown)
    assert caught.value.ran is Ran.NO
    assert rig.writer.queued_bytes == 0


@pytest.mark.anyio
async def test_entry_applied_after_the_timeout_calls_on_late():
    rig = Rig()
    rig.log.up = False
    late = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(rig.writer.run)
        with pytest.raises(AppendOutcomeUnknown) as caught:
            await rig.writer.append(call(), timeout_ms=30, on_late=late.extend)
        assert caught.value.ran is Ran.UNKNOWN
        assert late == []
        rig.log.up = True
        tasks.start_soon(rig.follow)
        await wait_until(lambda: late)
        tasks.cancel_scope.cancel()
    assert [type(event).__name__ for event in late] == ["CallClaimWon"]


@pytest.mark.anyio
async def test_record_seen_in_the_replay_is_not_sent_again():
    """The append's response is lost, but the replay has read the record."""
    rig = Rig(backoff_first_ms=LONG_MS, backoff_max_ms=LONG_MS)
    rig.log.lose_answers = 1
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(rig.writer.run)
        rig.writer.submit(job("j1"))
        await wait_until(lambda: rig.log.records_by_stream["ledger"])
        rig.catch_up()
        rig.writer.submit(job("j2"))
        await wait_until(lambda: len(rig.envelopes()) == 2)
        tasks.cancel_scope.cancel()
    assert [e.sequence for e in rig.envelopes()] == [1, 2]


@pytest.mark.anyio
async def test_append_without_response_is_retried():
    rig = Rig(attempt_timeout_ms=5)
    rig.log.hang = True
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(rig.writer.run)
        rig.writer.submit(job())
        await wait_until(lambda: rig.log.append_count >= 2)
        rig.log.hang = False
        await wait_until(lambda: rig.writer.is_idle)
        tasks.cancel_scope.cancel()
    assert {e.sequence for e in rig.envelopes()} == {1}


@pytest.mark.anyio
async def test_resynchronised_replay_leaves_the_outcome_unknown():
    rig = Rig()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(rig.writer.run)

        async def resync():
            await wait_until(lambda: rig.log.records_by_stream["ledger"])
            rig.writer.on_resync(1)

        tasks.start_soon(resync)
        with pytest.raises(AppendOutcomeUnknown):
            await rig.writer.append(call(), timeout_ms=LONG_MS)
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_appends_keep_their_minimum_interval():
    rig = Rig()
    rig.writer.min_interval_ms = LONG_MS
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(rig.writer.run)
        rig.writer.submit(job("j1"), urgent=True)
        await wait_until(lambda: rig.writer.is_idle)
        rig.writer.submit(job("j2"), urgent=True)
        rig.writer.submit(job("j3"), urgent=True)
        await anyio.wait_all_tasks_blocked()
        assert rig.log.append_count == 1
        rig.writer.min_interval_ms = 0
        await wait_until(lambda: rig.writer.is_idle)
        tasks.cancel_scope.cancel()
    assert [len(e.entries) for e in rig.envelopes()] == [1, 2]


@pytest.mark.anyio
@pytest.mark.parametrize("applied_first", [False, True])
async def test_cancelled_waiter_still_reports_a_won_claim(applied_first):
    rig = Rig()
    late = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(rig.writer.run)
        appending = rig.writer.append(call(), timeout_ms=LONG_MS, on_late=late.extend)
        waiter = asyncio.create_task(appending)
        await wait_until(lambda: rig.envelopes())
        if applied_first:
            rig.catch_up()
        waiter.cancel()
        await asyncio.wait([waiter])
        rig.catch_up()
        tasks.cancel_scope.cancel()
    assert waiter.cancelled()
    assert [type(event).__name__ for event in late] == ["CallClaimWon"]
