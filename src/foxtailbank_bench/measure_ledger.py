"""Measures the ledger: processor time, memory, append rate and input parsing.

Prints one JSON line per measurement. Memory is what Python's allocator holds, time is
the processor time of this process.
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


def _print_measurement(what: str, value: float, unit: str, given: str = "") -> None:
    line = Measurement(what=what, value=round(value, 3), unit=unit, given=given)
    sys.stdout.write(msgspec.json.encode(line).decode() + "\n")


def _job(
    number: int, chunk_count: int, *, idempotent: bool = True
) -> records.JobAccepted:
    return records.JobAccepted(
        job_id=f"batch_{number:020}",
        owner="vatnsdaelur",
        entry="renewal-summaries",
        key=f"key-{number}",
        digest="0123456789abcdef0123456789abcdef",
        deadline_ms=1_800_000_000_000,
        item_count=chunk_count * CHUNK_ITEMS,
        chunks=tuple(
            ChunkRef(1_000_000_000 + 1000 * number + i, i * CHUNK_ITEMS, CHUNK_ITEMS)
            for i in range(chunk_count)
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


def _processor_time_us(action: t.Callable[[], object]) -> float:
    start_ns = time.process_time_ns()
    action()
    return (time.process_time_ns() - start_ns) / NS_PER_US


def _log_records(
    entries: t.Iterable[records.AnyEntry], first_offset: int, entries_per_record: int
) -> list[LogRecord]:
    batch = list(entries)
    grouped = [
        tuple(batch[i : i + entries_per_record])
        for i in range(0, len(batch), entries_per_record)
    ]
    return [
        LogRecord(offset=n, data=records.encode(_envelope(n + 1, entries)))
        for n, entries in enumerate(grouped, first_offset)
    ]


def measure_apply(job_count: int, chunks_per_job: int, entries_per_record: int) -> None:
    """Measure decoding and applying the results of complete chunks."""
    replay = LedgerReplay(ledger=Ledger())
    accepted = _log_records((_job(n, chunks_per_job) for n in range(job_count)), 0, 1)
    complete = (ItemRange(0, CHUNK_ITEMS),)
    entries = [
        _results(n, c, complete)
        for n in range(job_count)
        for c in range(chunks_per_job)
    ]
    results = _log_records(entries, len(accepted), entries_per_record)

    def apply(log_records: list[LogRecord]) -> None:
        for record in log_records:
            replay.apply(record)

    given = f"{entries_per_record} entries per record"
    accept_us = _processor_time_us(lambda: apply(accepted)) / len(accepted)
    _print_measurement("apply JobAccepted", accept_us, "us", f"{chunks_per_job} chunks")
    total_us = _processor_time_us(lambda: apply(results))
    _print_measurement(
        "apply a record of ChunkResults", total_us / len(results), "us", given
    )
    _print_measurement(
        "apply ChunkResults, per entry", total_us / len(entries), "us", given
    )
    per_item_ns = total_us * NS_PER_US / (len(entries) * CHUNK_ITEMS)
    _print_measurement("apply ChunkResults, per item", per_item_ns, "ns", given)
    size = sum(len(record.data) for record in results) / len(entries)
    _print_measurement("ledger bytes per ChunkResults", size, "bytes", given)
    chunks_per_s = ITEMS_PER_S / CHUNK_ITEMS
    cores = chunks_per_s * total_us / len(entries) / 1e6
    _print_measurement(
        "processor use for results of the whole fleet",
        100 * cores,
        "% of a core",
        given,
    )
    _print_measurement("ledger bytes per second", chunks_per_s * size, "bytes/s", given)


def _active_ledger(partial_share: float) -> Ledger:
    """Return a ledger with all active jobs.

    Half of the chunks are complete. A share `partial_share` of all chunks has results
    for some ranges of items only.
    """
    chunks = ACTIVE_CHUNKS // ACTIVE_JOBS
    ledger = Ledger()
    complete = (ItemRange(0, CHUNK_ITEMS),)
    partial_results = ((ItemRange(0, 100),), (ItemRange(150, 200), ItemRange(400, 100)))
    partial_chunks = range(chunks // 2, int(chunks * (0.5 + partial_share)))
    for number in range(ACTIVE_JOBS):
        entries: list[records.AnyEntry] = [_job(number, chunks)]
        entries += [_results(number, chunk, complete) for chunk in range(chunks // 2)]
        entries += [
            _results(number, c, items)
            for c in partial_chunks
            for items in partial_results
        ]
        offset = ledger.next_offset
        ledger.apply(offset, _envelope(offset + 1, tuple(entries)))
    return ledger


def measure_memory(partial_share: float) -> None:
    """Measure the memory of all active jobs, and their snapshot."""
    given = f"{partial_share:.0%} of chunks partial, half complete"
    gc.collect()
    tracemalloc.start()
    ledger = _active_ledger(partial_share)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    chunks = sum(job.chunk_count for job in ledger.jobs_by_id.values())
    _print_measurement("memory of active jobs", size / MIB, "MiB", given)
    _print_measurement("memory per active chunk", size / chunks, "bytes", given)
    # State allocated under tracemalloc stays slower to use after tracing ends, so the
    # snapshot is timed on a new ledger.
    del ledger
    gc.collect()
    _measure_snapshot(_active_ledger(partial_share), given)


def _measure_snapshot(ledger: Ledger, given: str) -> None:
    start_ns = time.process_time_ns()
    image = image_of(ledger)
    image_ms = (time.process_time_ns() - start_ns) / NS_PER_MS
    _print_measurement(
        "copy the ledger for a snapshot, blocking the event loop", image_ms, "ms", given
    )
    digest = SnapshotDigest()
    parts = []
    slowest_us = 0.0
    encoder = encode_parts(image)
    total_us = 0.0
    while True:
        start_ns = time.process_time_ns()
        part = next(encoder, None)
        took_us = (time.process_time_ns() - start_ns) / NS_PER_US
        if part is None:
            break
        total_us += took_us
        slowest_us = max(slowest_us, took_us)
        digest.update(part)
        parts.append(part)
    _print_measurement("encode a snapshot", total_us / 1000, "ms", given)
    _print_measurement(
        "encode the slowest part of a snapshot", slowest_us / 1000, "ms", given
    )
    size = sum(map(len, parts)) / MIB
    _print_measurement("size of a snapshot", size, "MiB", f"{len(parts)} parts")
    assembler = SnapshotAssembler(digest=digest.value())

    def restore() -> None:
        for part in parts:
            assembler.feed(part)

    restore_us = _processor_time_us(restore)
    assembler.finish()
    _print_measurement("restore a snapshot", restore_us / 1000, "ms", given)


def measure_appends() -> None:
    """Compute append rates from linger time and chunk rate, equal on all VMs."""
    chunks_per_s = ITEMS_PER_S / CHUNK_ITEMS
    entries_per_vm = chunks_per_s / VM_COUNT
    for linger_ms in (0, 100, 500, 1000, 2000, 5000):
        # A record starts with its first entry and then stays open for the linger.
        record_s = 1 / entries_per_vm + linger_ms / 1000
        given = f"linger {linger_ms} ms, {CHUNK_ITEMS} items per entry"
        _print_measurement(
            "ledger appends per second for results", VM_COUNT / record_s, "1/s", given
        )
    for entries_per_chunk in (1, 4, 16):
        entries_per_vm = chunks_per_s * entries_per_chunk / VM_COUNT
        for linger_ms in (0, 1000, 5000):
            record_s = 1 / entries_per_vm + linger_ms / 1000
            given = f"linger {linger_ms} ms, {entries_per_chunk} entries per chunk"
            _print_measurement(
                "ledger appends per second", VM_COUNT / record_s, "1/s", given
            )
    _print_measurement(
        "payload appends per second", 2 * chunks_per_s, "1/s", "inputs and results"
    )
    interval_ms = 1000 * VM_COUNT / APPENDS_PER_S
    given = f"{VM_COUNT} VMs within {APPENDS_PER_S} appends per second"
    _print_measurement(
        "minimum interval between appends of one VM", interval_ms, "ms", given
    )


def measure_input(item_count: int) -> None:
    """Measure parsing the input of a large job."""
    body = b'{"model":"wordsmith","prompt":"' + b"Inspection log. " * 12 + b'"}'
    lines = b"".join(
        b'{"custom_id":"item-%d","body":%s}\n' % (n, body) for n in range(1000)
    )
    size = item_count // 1000 * len(lines)
    gc.collect()
    for traced in (False, True):
        parser = JobInputParser()
        if traced:
            tracemalloc.start()
        start_ns = time.process_time_ns()
        for block in range(item_count // 1000):
            data = lines.replace(b'"item-', b'"item-%d-' % block)
            for first in range(0, len(data), 65536):
                parser.feed(data[first : first + 65536])
        fed_ns = time.process_time_ns()
        parser.finish()
        end_ns = time.process_time_ns()
        if traced:
            _, peak = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            _print_measurement(
                "peak memory of parsing", peak / MIB, "MiB", f"{item_count} items"
            )
            continue
        seconds = (end_ns - start_ns) / 1e9
        _print_measurement(
            "parse job input", item_count / seconds, "items/s", f"{size} bytes"
        )
        _print_measurement(
            "parse job input", size / seconds / MIB, "MiB/s", f"{item_count} items"
        )
        _print_measurement(
            "check for duplicates",
            (end_ns - fed_ns) / NS_PER_MS,
            "ms",
            "after the last line",
        )


def main() -> None:
    """Run all measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--items", type=int, default=390_000)
    options = parser.parse_args()
    for entries_per_record in (1, 8, 64):
        measure_apply(
            job_count=60, chunks_per_job=194, entries_per_record=entries_per_record
        )
    for partial_share in (0.0, 0.02, 0.2):
        measure_memory(partial_share)
    measure_appends()
    measure_input(options.items)


if __name__ == "__main__":
    main()
