"""A log of texts in memory, and what writes to it and reads from it."""

import math

from foxtailbank.address import Address
from foxtailbank.fleet.peer_table import PeerTable
from foxtailbank.keyed_log import HistoryTruncated, LogSlice, RandomAccessLog
from foxtailbank.memory_limits import MemoryLimits
from foxtailbank.metrics import Metrics
from foxtailbank.read_share import ReadShare
from foxtailbank.submissions.progress_budget import ProgressBudget
from foxtailbank.submissions.records import (
    ItemEndedApart,
    TextLocation,
    encode,
    encode_text,
)
from foxtailbank.submissions.result_texts import ResultTexts
from foxtailbank.vm_identity import StoreLimits
from serving_fakes import FakeKeyedLog, make_logs, make_report

STORE_RATE = 80e6
SMALL_FLEET = 12
LARGE_FLEET = 195


class FakeTextLog(FakeKeyedLog, RandomAccessLog):
    """Log of texts whose records before `first` have expired from its history.

    `span_reads` holds the offsets at which spans were read, `key_reads` the keys from
    which the newest records were. A page has at most `page_size` records.
    """

    def __init__(self):
        super().__init__()
        self.span_reads = []
        self.key_reads = []
        self.page_size = 500

    async def read_span(self, *, start, size_bytes):
        self.span_reads.append(start)
        self._check()
        if start < self.first:
            raise HistoryTruncated()
        if self.held_reads is not None:
            await self.held_reads.wait()
        found = []
        for record in self.records[start:]:
            size_bytes -= record.size_bytes
            if size_bytes < 0:
                break
            found.append(record)
        return LogSlice(records=tuple(found), end=len(self.records))

    async def read_newest_from(self, key):
        self.key_reads.append(key)
        newest = (await self.read_newest()).records
        found = sorted((r for r in newest if r.key >= key), key=lambda r: r.key)
        return tuple(found[: self.page_size])


def make_peers(clock, *, reads_texts=True):
    """Return a table with one other VM."""
    peers = PeerTable(vm_id="vm1", zone="z1")
    peers.is_complete = True
    address = Address(ip="127.0.0.1", port=9)
    report = make_report("vm2", reads_texts=reads_texts)
    peers.on_report(report, address, clock.now_ms())
    return peers


def make_share(vm_count):
    share = ReadShare(store_bytes_per_s=STORE_RATE)
    share.set_vm_count(lambda: vm_count)
    return share


def make_texts(
    appends, clock, *, log=None, vm_count=SMALL_FLEET, reads_texts=True, producer="vm/1"
):
    """Return the log of texts of a VM in a fleet of a size."""
    return ResultTexts(
        log=log or FakeTextLog(),
        appends=appends,
        producer=producer,
        store_limits=StoreLimits(
            max_record_bytes=100_000, max_append_bytes=200_000, max_text_bytes=10**6
        ),
        memory=MemoryLimits(memory_mb=200),
        share=make_share(vm_count),
        peers=make_peers(clock, reads_texts=reads_texts),
        logs=make_logs(),
        clock=clock,
        metrics=Metrics(),
    )


def make_budget(clock, vm_count=SMALL_FLEET):
    return ProgressBudget(share=make_share(vm_count), clock=clock)


class CapturedTexts:
    """Log of texts of a process whose appends wait to be sent.

    Every other output of a completed item is kept apart.
    """

    def __init__(self, appends, text_by_key):
        self._appends = appends
        self._text_by_key = text_by_key
        self._count = 0

    def put(self, record, *, key_suffix, dropped):
        self._count += 1
        if not record.completed or self._count % 2:
            return False

        def append_text():
            text = encode_text(record.submission_id, record.text, key_suffix=key_suffix)
            self._text_by_key[text.key] = record.text
            location = TextLocation(key=text.key, offset=0, size_bytes=1)
            apart = apart_from(record, location)
            stored = encode(apart, key_suffix=key_suffix)
            self._appends.put((stored, *dropped), urgent=False)
            return ()

        self._appends.waiting.append((append_text, math.inf))
        return True

    def drop(self, keys):
        for key in keys:
            self._text_by_key.pop(key, None)


def apart_from(record, location):
    return ItemEndedApart(
        submission_id=record.submission_id,
        item_id=record.item_id,
        completed=record.completed,
        text="",
        text_at=location,
    )


def shown_result(record):
    """Return a result with its text, or where that is kept."""
    text = record.text_at if isinstance(record, ItemEndedApart) else record.text
    return (record.item_id, record.completed, text)
