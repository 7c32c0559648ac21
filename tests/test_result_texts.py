"""Outputs of items that are kept apart from the log that all VMs follow."""

import contextlib

import anyio
import pytest

from fake_texts import (
    LARGE_FLEET,
    SMALL_FLEET,
    FakeTextLog,
    apart_from,
    make_texts,
)
from foxtailbank.clock import SystemClock
from foxtailbank.keyed_log import KeyedRecord, LogSlice, StoreRejected
from foxtailbank.metrics import Metrics
from foxtailbank.submissions.append_queue import AppendQueue
from foxtailbank.submissions.failures import StateUnknown, StoreFull
from foxtailbank.submissions.item_recorder import ItemRecorder
from foxtailbank.submissions.item_run import ItemRun
from foxtailbank.submissions.records import ItemEndedApart, TextLocation, encode
from foxtailbank.submissions.result_page import page_from
from foxtailbank.submissions.retirement import RETENTION_MS, Retirement
from foxtailbank.submissions.submission_table import SubmissionTable
from serving_fakes import FakeKeyedLog, make_logs, manual_clock
from stale_vm import running_vm
from test_crash_report_log import make_vm, running
from test_submission_ledger import item_ended, make_submitted

pytestmark = pytest.mark.anyio
WAIT_S = 10
TEXT_BYTES = 12_000
TEXT_BY_ITEM = {name: name * TEXT_BYTES for name in "abcd"}


@pytest.fixture
def anyio_backend():
    return "asyncio"


class RejectingTextLog(FakeTextLog):
    async def append(self, records, *, append_id):
        raise StoreRejected(detail="never")


class Store:
    """Both logs, as all VMs of a fleet see them."""

    def __init__(self, texts=FakeTextLog):
        self.clock = manual_clock()
        self.submissions = FakeKeyedLog()
        self.texts = texts()


class Vm:
    """A VM that records results of a submission of four items and returns them."""

    def __init__(self, store, *, process="vm/1", vm_count=LARGE_FLEET, reads=True):
        self.store = store
        self.table = SubmissionTable(logs=make_logs())
        self.offset = 0
        self.appends = AppendQueue(
            log=store.submissions,
            producer=process,
            call_bytes=100_000,
            logs=make_logs(),
            clock=store.clock,
        )
        self.texts = make_texts(
            self.appends,
            store.clock,
            log=store.texts,
            vm_count=vm_count,
            reads_texts=reads,
            producer=process,
        )
        self.recorder = ItemRecorder(
            owner_id=process,
            appends=self.appends,
            texts=self.texts,
            clock=store.clock,
            logs=make_logs(),
            metrics=Metrics(),
        )
        self.retirement = Retirement(
            owner_id=process,
            table=self.table,
            appends=self.appends,
            texts=self.texts,
            logs=make_logs(),
            clock=store.clock,
        )

    @contextlib.asynccontextmanager
    async def running(self):
        with anyio.fail_after(WAIT_S):
            async with anyio.create_task_group() as group:
                group.start_soon(self.appends.run)
                group.start_soon(self.texts.run)
                yield self
                group.cancel_scope.cancel()

    async def until_written(self):
        while not (self.texts.is_empty and self.appends.is_empty):
            await anyio.sleep(0.01)
        self.follow()

    def follow(self):
        new = tuple(self.store.submissions.records[self.offset :])
        self.offset = len(self.store.submissions.records)
        self.table.apply_records(LogSlice(records=new, end=self.offset))

    async def submit(self):
        submitted = make_submitted(items="abcd", limit=0)
        self.appends.put((encode(submitted, key_suffix="1"),), urgent=False)
        await self.until_written()

    def finish(self, items, *, completed=True):
        submission = self.table.ledger.get("s1")
        for name in items:
            run = ItemRun(
                submission=submission, item=submission.items_by_id[name], due_ms=0
            )
            run.texts.append(TEXT_BY_ITEM[name])
            self.recorder.record_end(run, completed=completed, reason="r")

    async def read(self, position=0):
        """Return the results as item and text, or the type of the error."""
        page = page_from(self.table.ledger.get("s1"), position)
        try:
            filled = await self.texts.fill(page, timeout_ms=700)
        except StateUnknown as failure:
            return type(failure)
        assert filled.next_position == position + len(filled.results)
        return [(result.item_id, result.text) for result in filled.results]


def expected(items):
    return [(name, TEXT_BY_ITEM[name]) for name in items]


@contextlib.asynccontextmanager
async def finished(items="abcd", *, texts=FakeTextLog, **changes):
    """Run a VM that has recorded results, and one that has followed the log."""
    store = Store(texts)
    async with Vm(store, **changes).running() as owner:
        await owner.submit()
        owner.finish(items)
        await owner.until_written()
        async with Vm(store, process="vm/2").running() as other:
            other.follow()
            yield owner, other


# Guards against results that no VM can return, and against reading what is in memory.
@pytest.mark.parametrize("position", [0, 2])
async def test_each_vm_returns_each_text(position):
    async with finished() as (owner, other):
        assert await owner.read(position) == expected("abcd"[position:])
        assert owner.store.texts.span_reads == []
        for _ in range(2):
            assert await other.read(position) == expected("abcd"[position:])
        assert other.store.texts.span_reads == [position]
        facts = [r for r in owner.store.submissions.records if "listed_apart/" in r.key]
        assert len(facts) == len(TEXT_BY_ITEM)
        assert sum(r.size_bytes for r in facts) < TEXT_BYTES / 10
        assert other.table.text_bytes == len(TEXT_BY_ITEM) * TEXT_BYTES
        assert not any(result.text for result in other.table.ledger.get("s1").results)


@pytest.mark.parametrize(
    "changes",
    [
        pytest.param({"vm_count": SMALL_FLEET}, id="small-fleet"),
        pytest.param({"reads": False}, id="earlier-release"),
        pytest.param({"texts": RejectingTextLog}, id="text-rejected"),
    ],
)
async def test_texts_stay_in_the_record(changes):
    async with finished(**changes) as (_, other):
        assert other.store.texts.records == []
        assert await other.read() == expected("abcd")
        assert other.store.texts.span_reads == []


async def test_an_item_that_was_given_up_has_no_text():
    async with Vm(Store()).running() as vm:
        await vm.submit()
        vm.finish("a", completed=False)
        await vm.until_written()
        assert vm.store.texts.records == []
        assert await vm.read() == [("a", "")]


# Guards against a wrong text, and against reading the whole log of texts for one.
@pytest.mark.parametrize(("page_size", "read_count"), [(500, 1), (1, 4)])
async def test_texts_are_read_by_key_once_their_history_expired(page_size, read_count):
    async with finished() as (owner, other):
        owner.store.texts.first = len(owner.store.texts.records)
        owner.store.texts.page_size = page_size
        assert await other.read() == expected("abcd")
        assert len(owner.store.texts.key_reads) == read_count


async def test_a_wrong_offset_gives_no_other_text():
    async with finished() as (_, other):
        submission = other.table.ledger.get("s1")
        first, second = (result.text_at for result in submission.results[:2])
        moved = TextLocation(
            key=first.key, offset=second.offset, size_bytes=first.size_bytes
        )
        submission.results[0] = ItemEndedApart(
            submission_id="s1", item_id="a", completed=True, text="", text_at=moved
        )
        assert await other.read() == expected("abcd")


# Guards against positions that are skipped, and results without their text.
@pytest.mark.parametrize(
    ("held", "found"),
    [
        pytest.param("", StateUnknown, id="none"),
        pytest.param("a", expected("a"), id="the-first"),
        pytest.param("acd", expected("a"), id="all-but-the-second"),
        pytest.param("bcd", StateUnknown, id="all-but-the-first"),
    ],
)
async def test_a_page_ends_before_a_text_that_can_not_be_read(held, found):
    async with finished() as (owner, other):
        for result in other.table.ledger.get("s1").results:
            if result.item_id in held:
                key = result.text_at.key
                other.texts._reader._cache.put(key, TEXT_BY_ITEM[result.item_id])
        owner.store.texts.up = False
        assert await other.read() == found
        owner.store.texts.up = True
        assert await other.read() == expected("abcd")


# Guards against texts that leave the store once for each caller.
async def test_concurrent_callers_share_a_read():
    async with finished() as (owner, other):
        owner.store.texts.held_reads = anyio.Event()
        pages = []

        async def read():
            pages.append(await other.read())

        async with anyio.create_task_group() as group:
            for _ in range(5):
                group.start_soon(read)
            await anyio.sleep(0.05)
            owner.store.texts.held_reads.set()
        assert pages == [expected("abcd")] * 5
        assert owner.store.texts.span_reads == [0]


async def test_a_read_that_takes_too_long_is_refused_and_still_of_use():
    async with finished() as (owner, other):
        owner.store.texts.held_reads = anyio.Event()
        assert await other.read() is StateUnknown
        owner.store.texts.held_reads.set()
        await anyio.sleep(0.05)
        assert await other.read() == expected("abcd")
        assert owner.store.texts.span_reads == [0]


# Guards against pages that are read for callers who left long ago, in an overload.
async def test_nothing_is_read_for_callers_that_gave_up():
    async with finished() as (owner, other):
        owner.store.texts.first = len(owner.store.texts.records)
        async with other.texts._reader._page_lock:
            assert await other.read() is StateUnknown
        await anyio.sleep(0.05)
        assert owner.store.texts.key_reads == []
        assert await other.read() == expected("abcd")


# Guards against new results that wait behind pages of old ones.
async def test_a_page_that_takes_long_holds_up_no_read_by_offset():
    async with finished() as (_, other), other.texts._reader._page_lock:
        assert await other.read() == expected("abcd")


# Guards against a result that refers to a text which is not in the store.
@pytest.mark.parametrize("lost_answers", [0, 1])
async def test_the_text_is_in_the_store_before_its_result(lost_answers):
    async with Vm(Store()).running() as vm:
        await vm.submit()
        vm.store.texts.up = False
        vm.finish("a")
        await anyio.sleep(0.2)
        assert not vm.texts.is_empty
        vm.follow()
        assert vm.table.ledger.get("s1").results == []
        vm.store.texts.lose_answers = lost_answers
        vm.store.texts.up = True
        await vm.until_written()
        assert len(vm.store.texts.records) == 1
        assert await vm.read() == expected("a")


# Guards against an item without a result after its VM died between the two appends.
async def test_the_successor_runs_an_item_whose_text_has_no_result():
    store = Store()
    async with Vm(store).running() as owner:
        await owner.submit()
        store.submissions.up = False
        owner.finish("a")
        while not store.texts.records:
            await anyio.sleep(0.01)
    store.submissions.up = True
    async with Vm(store, process="vm/2").running() as successor:
        successor.follow()
        assert "a" not in successor.table.ledger.get("s1").ended_item_ids
        successor.finish("a")
        await successor.until_written()
        assert await successor.read() == expected("a")


# Guards against positions that differ between VMs, and keys that stay for good.
async def test_a_restored_vm_has_the_same_results_and_retirement_leaves_no_key():
    async with finished() as (owner, other):
        restored = Vm(owner.store, process="vm/3")
        restored.table.restore(await owner.store.submissions.read_newest())
        assert restored.table.ledger.all() == other.table.ledger.all()
        assert restored.table.text_bytes == other.table.text_bytes
        owner.store.clock.advance(RETENTION_MS)
        owner.retirement.retire_expired()
        owner.retirement.retire_expired()
        await owner.until_written()
        assert (await owner.store.submissions.read_newest()).records == ()
        assert (await owner.store.texts.read_newest()).records == ()
        assert owner.table.text_bytes == 0


# Guards against an output that is damaged in the store and returned all the same.
@pytest.mark.parametrize("value", [b"", b"\xff\xfe"])
async def test_what_is_no_text_is_not_returned(value):
    async with finished("a") as (owner, other):
        (record,) = owner.store.texts.records
        damaged = KeyedRecord(key=record.key, value=value, offset=0)
        owner.store.texts.records[0] = damaged
        assert await other.read() is StateUnknown


# Guards against a store that is full of outputs and takes not even their removal.
@pytest.mark.parametrize(("max_bytes", "is_full"), [(9_000, True), (10**6, False)])
async def test_no_submission_is_accepted_beside_too_many_outputs(max_bytes, is_full):
    async with running_vm() as vm:
        location = TextLocation(key="text/s1/a", offset=0, size_bytes=TEXT_BYTES)
        ended = item_ended("s1", "a", text="")
        await vm.know(make_submitted(), apart_from(ended, location))
        vm.batch._max_text_bytes = max_bytes
        if is_full:
            with pytest.raises(StoreFull):
                await vm.submit("s2")
        else:
            assert await vm.submit("s2") is None


# Guards against results of a stopping VM that wait for their outputs and are lost.
async def test_a_stopping_vm_waits_for_outputs_and_their_results():
    log = FakeKeyedLog()
    vm = make_vm(log, SystemClock())
    text_log = vm._texts._queue._log
    async with running(vm):
        text_log.up = False
        record = item_ended("s1", "a", text="a" * 2_000)
        vm._texts._writer.put(record, key_suffix="a/1", dropped=())
        await vm.flush(300)
        assert not [r for r in log.records if "listed" in r.key]
        text_log.up = True
        with anyio.fail_after(WAIT_S):
            await vm.flush(WAIT_S * 1_000)
        keys = [r.key for r in log.records if "listed" in r.key]
        assert keys == ["listed_apart/s1/a/1"]
