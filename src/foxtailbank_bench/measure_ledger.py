"""Measures what the ledger costs: time, memory, appends and input parsing.

Prints one JSON line a measurement. Memory is that of Python's allocator, time
is processor time of this process.
"""

import argparse
import gc
import sys
import time
import tracemalloc
import typing as t

import msgspec

from foxtailbank import records
from foxtailbank.item_set import ItemRange
from foxtailbank.job_input import JobInputParser
from foxtailbank.ledger import Ledger
from foxtailbank.ledger_replay import LedgerReplay
from foxtailbank.log_service import LogRecord
from foxtailbank.records import ChunkRef
from foxtailbank.snapshot import (
    SnapshotAssembler,
    SnapshotDigest,
    encode_parts,
    image_of,
)

CHUNK_ITEMS = 500
ACTIVE_JOBS = 1200
ACTIVE_CHUNKS = 233_000
ITEMS_PER_S = 16_200
VM_COUNT = 340
NS_PER_US = 1000
NS_PER_MS = 1_000_000
MIB = 1024 * 1024
APPENDS_PER_S = 300


class Measurement(msgspec.Struct, kw_only=True):
    """One line of output."""

    what: str
    value: float
    unit: str
    given: str = ""


def _print(what: str, value: float, unit: str, given: str = "") -> None:
    line = Measurement(what=what, value=round(value, 3), unit=unit, given=given)
    sys.stdout.write(msgspec.json.encode(line).decode() + "\n")


def _job(number: int, chunks: int, *, idempotent: bool = True) -> records.JobAccepted:
    return records.JobAccepted(
        job_id=f"batch_{number:020}",
        owner="vatnsdaelur",
        entry="renewal-summaries",
        key=f"key-{number}",
        digest="0123456789abcdef0123456789abcdef",
        deadline_ms=1_800_000_000_000,
        item_count=chunks * CHUNK_ITEMS,
        chunks=tuple(
            ChunkRef(1_000_000_000 + 1000 * number + i, i * CHUNK_ITEMS, CHUNK_ITEMS)
            for i in range(chunks)
        ),
        idempotent=idempotent,
    )


def _results(
    number: int, chunk: int, items: tuple[ItemRange, ...]
) -> records.ChunkResults:
    return records.ChunkResults(
        job_id=f"batch_{number:020}",
        chunk=chunk,
        items=items,
        payload_offset=2_000_000_000 + 1000 * number + chunk,
    )


def _envelope(sequence: int, entries: tuple[records.AnyEntry, ...]) -> records.Envelope:
    return records.Envelope(
        schema=records.SCHEMA,
        incarnation=f"vm-{sequence % VM_COUNT:010}.1",
        sequence=sequence,
        entries=entries,
    )


def _timed_us(action: t.Callable[[], object]) -> float:
    start_ns = time.process_time_ns()
    action()
    return (time.process_time_ns() - start_ns) / NS_PER_US


def _records_of(
    entries: t.Iterable[records.AnyEntry], first: int, group: int
) -> list[LogRecord]:
    batch = list(entries)
    grouped = [tuple(batch[i : i + group]) for i in range(0, len(batch), group)]
    return [
        LogRecord(offset=n, data=records.encode(_envelope(n + 1, entries)))
        for n, entries in enumerate(grouped, first)
    ]


def measure_apply(jobs: int, chunks: int, group: int) -> None:
    """Measure decoding and applying results of whole chunks."""
    replay = LedgerReplay(ledger=Ledger())
    accepted = _records_of((_job(n, chunks) for n in range(jobs)), 0, 1)
    whole = (ItemRange(0, CHUNK_ITEMS),)
    entries = [_results(n, c, whole) for n in range(jobs) for c in range(chunks)]
    results = _records_of(entries, len(accepted), group)

    def apply(stream: list[LogRecord]) -> None:
        for record in stream:
            replay.apply(record)

    given = f"{group} entries a record"
    accept_us = _timed_us(lambda: apply(accepted)) / len(accepted)
    _print("apply JobAccepted", accept_us, "us", f"{chunks} chunks")
    total_us = _timed_us(lambda: apply(results))
    _print("apply a record of ChunkResults", total_us / len(results), "us", given)
    _print("apply ChunkResults", total_us / len(entries), "us", given)
    per_item_ns = total_us * NS_PER_US / (len(entries) * CHUNK_ITEMS)
    _print("apply ChunkResults an item", per_item_ns, "ns", given)
    size = sum(len(record.data) for record in results) / len(entries)
    _print("bytes of ledger for ChunkResults", size, "bytes", given)
    chunks_per_s = ITEMS_PER_S / CHUNK_ITEMS
    core = chunks_per_s * total_us / len(entries) / 1e6
    _print("core for results of the whole fleet", 100 * core, "% of a core", given)
    _print("ledger bytes a second", chunks_per_s * size, "bytes/s", given)


def _active_ledger(partial_share: float) -> Ledger:
    """Return a ledger with all active jobs, half of their chunks ended."""
    chunks = ACTIVE_CHUNKS // ACTIVE_JOBS
    ledger = Ledger()
    whole = (ItemRange(0, CHUNK_ITEMS),)
    pieces = ((ItemRange(0, 100),), (ItemRange(150, 200), ItemRange(400, 100)))
    in_pieces = range(chunks // 2, int(chunks * (0.5 + partial_share)))
    for number in range(ACTIVE_JOBS):
        entries: list[records.AnyEntry] = [_job(number, chunks)]
        entries += [_results(number, chunk, whole) for chunk in range(chunks // 2)]
        entries += [_results(number, c, items) for c in in_pieces for items in pieces]
        offset = ledger.next_offset
        ledger.apply(offset, _envelope(offset + 1, tuple(entries)))
    return ledger


def measure_memory(partial_share: float) -> None:
    """Measure the state of all active jobs."""
    given = f"{partial_share:.0%} of chunks in pieces, half whole"
    gc.collect()
    tracemalloc.start()
    ledger = _active_ledger(partial_share)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    chunks = sum(job.chunk_count for job in ledger.jobs_by_id.values())
    _print("memory of active jobs", size / MIB, "MiB", given)
    _print("memory an active chunk", size / chunks, "bytes", given)
    # tracing slows what touches the traced state afterwards
    del ledger
    gc.collect()
    _measure_snapshot(_active_ledger(partial_share), given)


def _measure_snapshot(ledger: Ledger, given: str) -> None:
    start_ns = time.process_time_ns()
    image = image_of(ledger)
    image_ms = (time.process_time_ns() - start_ns) / NS_PER_MS
    _print("image for a snapshot, the loop waits", image_ms, "ms", given)
    digest = SnapshotDigest()
    parts = []
    longest_us = 0.0
    encoder = encode_parts(image)
    total_us = 0.0
    while True:
        start_ns = time.process_time_ns()
        part = next(encoder, None)
        took_us = (time.process_time_ns() - start_ns) / NS_PER_US
        if part is None:
            break
        total_us += took_us
        longest_us = max(longest_us, took_us)
        digest.update(part)
        parts.append(part)
    _print("encode a snapshot", total_us / 1000, "ms", given)
    _print("encode its longest part", longest_us / 1000, "ms", given)
    size = sum(map(len, parts)) / MIB
    _print("size of a snapshot", size, "MiB", f"{len(parts)} parts")
    assembler = SnapshotAssembler(digest=digest.value())

    def restore() -> None:
        for part in parts:
            assembler.feed(part)

    restore_us = _timed_us(restore)
    assembler.finish()
    _print("restore a snapshot", restore_us / 1000, "ms", given)


def measure_appends() -> None:
    """Work out appends a second from linger and chunk rate, all VMs alike."""
    chunks_per_s = ITEMS_PER_S / CHUNK_ITEMS
    entries_per_vm = chunks_per_s / VM_COUNT
    for linger_ms in (0, 100, 500, 1000, 2000, 5000):
        # a record opens with its first entry and takes those of the linger
        record_s = 1 / entries_per_vm + linger_ms / 1000
        given = f"linger {linger_ms} ms, {CHUNK_ITEMS} items an entry"
        _print("ledger appends a second for results", VM_COUNT / record_s, "1/s", given)
    for entries_per_chunk in (1, 4, 16):
        entries_per_vm = chunks_per_s * entries_per_chunk / VM_COUNT
        for linger_ms in (0, 1000, 5000):
            record_s = 1 / entries_per_vm + linger_ms / 1000
            given = f"linger {linger_ms} ms, {entries_per_chunk} entries a chunk"
            _print("ledger appends a second", VM_COUNT / record_s, "1/s", given)
    _print("payload appends a second", 2 * chunks_per_s, "1/s", "inputs and results")
    interval_ms = 1000 * VM_COUNT / APPENDS_PER_S
    given = f"{VM_COUNT} VMs within {APPENDS_PER_S} appends a second"
    _print("least interval between appends of a VM", interval_ms, "ms", given)


def measure_input(items: int) -> None:
    """Measure the parser of a large job's input."""
    body = b'{"model":"wordsmith","prompt":"' + b"Inspection log. " * 12 + b'"}'
    lines = b"".join(
        b'{"custom_id":"item-%d","body":%s}\n' % (n, body) for n in range(1000)
    )
    size = items // 1000 * len(lines)
    gc.collect()
    for traced in (False, True):
        parser = JobInputParser()
        if traced:
            tracemalloc.start()
        start_ns = time.process_time_ns()
        for thousand in range(items // 1000):
            data = lines.replace(b'"item-', b'"item-%d-' % thousand)
            for first in range(0, len(data), 65536):
                parser.feed(data[first : first + 65536])
        fed_ns = time.process_time_ns()
        parser.finish()
        end_ns = time.process_time_ns()
        if traced:
            _, peak = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            _print("peak memory of parsing", peak / MIB, "MiB", f"{items} items")
            continue
        seconds = (end_ns - start_ns) / 1e9
        _print("parse job input", items / seconds, "items/s", f"{size} bytes")
        _print("parse job input", size / seconds / MIB, "MiB/s", f"{items} items")
        _print("look for duplicates", (end_ns - fed_ns) / NS_PER_MS, "ms", "at the end")


def main() -> None:
    """Run every measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--items", type=int, default=390_000)
    options = parser.parse_args()
    for group in (1, 8, 64):
        measure_apply(jobs=60, chunks=194, group=group)
    for partial_share in (0.0, 0.02, 0.2):
        measure_memory(partial_share)
    measure_appends()
    measure_input(options.items)


if __name__ == "__main__":
    main()
