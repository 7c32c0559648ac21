"""Measures metrics, burn events and log lines; prints JSON lines.

Run with ``python -m foxtailbank_bench.measure_metrics``.
"""

import gc
import os
import sys
import time
import tracemalloc
import typing as t

import msgspec

from foxtailbank.burn_classify import GOOD
from foxtailbank.burn_merge import merge_burn
from foxtailbank.burn_recorder import BurnRecorder
from foxtailbank.entry import Entry, EntryKind, WorkClass
from foxtailbank.events import Event
from foxtailbank.logs import LogFields, Logs
from foxtailbank.metrics import Count, Metrics, Signal
from foxtailbank_bench.measure_catalogue import US_PER_S, Measurement

ITERATIONS = 50_000
ENTRY_COUNT = 200
REPORT_ENTRY_COUNT = 1_000
VM_COUNT = 12
NOW_MS = 1_800_000_000_000


def main() -> int:
    """Run all measurements and print one JSON line each."""
    for measurement in measure():
        print(msgspec.json.encode(measurement).decode())
    return 0


def measure() -> t.Iterator[Measurement]:
    """Yield processor time per operation and memory per entry."""
    yield from _measure_hot_path()
    yield from _measure_exposition()
    yield from _measure_burn()


def _measure_call(
    name: str, call: t.Callable[[int], None], iterations: int
) -> Measurement:
    started_s = time.process_time()
    for number in range(iterations):
        call(number)
    used_s = time.process_time() - started_s
    return Measurement(
        name=name, value=used_s / iterations * US_PER_S, unit="us of processor"
    )


def _measure_hot_path() -> t.Iterator[Measurement]:
    metrics = Metrics()
    burn = BurnRecorder(vm="vm-1", zone="zone-1")

    def record(number: int) -> None:
        value_ms = float(number % 4000)
        metrics.record(entry="e", signal=Signal.CALL, value_ms=value_ms)

    def count(_: int) -> None:
        metrics.count(Count.CALLS, entry="e")

    def add(number: int) -> None:
        burn.add(entry="e", verdict=GOOD, now_ms=NOW_MS + number)

    yield _measure_call("record_latency", record, ITERATIONS)
    yield _measure_call("count", count, ITERATIONS)
    yield _measure_call("add_burn_event", add, ITERATIONS)
    with open(os.devnull, "w", encoding="utf-8") as stream:
        logs = Logs(vm="vm-1", zone="zone-1", stream=stream)
        fields = LogFields(request_id="r", owner="o", entry="e", status=200)

        def write(_: int) -> None:
            logs.write(Event.CALL_FINISHED, fields=fields)

        yield _measure_call("log_line", write, ITERATIONS)


def _measure_exposition() -> t.Iterator[Measurement]:
    tracemalloc.start()
    metrics = Metrics()
    for number in range(ENTRY_COUNT):
        for signal in (Signal.FIRST_TOKEN, Signal.TOKEN_GAP, Signal.CALL):
            metrics.record(entry=f"e{number}", signal=signal, value_ms=number)
    gc.collect()
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    yield Measurement(
        name="metrics_memory_of_entry", value=held_bytes / ENTRY_COUNT, unit="bytes"
    )
    started_s = time.process_time()
    text = metrics.exposition()
    used_s = time.process_time() - started_s
    yield Measurement(name="exposition", value=used_s * 1000, unit="ms of processor")
    yield Measurement(name="exposition_size", value=len(text) / 1024, unit="KiB")


def _measure_burn() -> t.Iterator[Measurement]:
    recorders = [BurnRecorder(vm=f"vm-{n}", zone="zone-1") for n in range(VM_COUNT)]
    tracemalloc.start()
    for recorder in recorders:
        for number in range(REPORT_ENTRY_COUNT):
            recorder.add(entry=f"e{number}", verdict=GOOD, now_ms=NOW_MS)
    gc.collect()
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    per_entry_bytes = held_bytes / VM_COUNT / REPORT_ENTRY_COUNT
    yield Measurement(name="burn_memory_of_entry", value=per_entry_bytes, unit="bytes")
    started_s = time.process_time()
    reports = [recorder.report(now_ms=NOW_MS) for recorder in recorders]
    used_s = time.process_time() - started_s
    yield Measurement(
        name="vm_report", value=used_s / VM_COUNT * 1000, unit="ms of processor"
    )
    size_bytes = len(msgspec.json.encode(reports[0]))
    yield Measurement(name="vm_report_size", value=size_bytes / 1024, unit="KiB")
    started_s = time.process_time()
    entries_by_name = {f"e{n}": _entry(f"e{n}") for n in range(REPORT_ENTRY_COUNT)}
    merge_burn(reports, entries_by_name=entries_by_name, live_vms=(), now_ms=NOW_MS)
    used_s = time.process_time() - started_s
    yield Measurement(name="merge_reports", value=used_s * 1000, unit="ms of processor")


def _entry(name: str) -> Entry:
    return Entry(
        name=name,
        owner="o",
        work_class=WorkClass.ONLINE,
        kind=EntryKind.ENGINE,
        pool="p",
        model="m",
        key_hashes=(),
    )


if __name__ == "__main__":
    sys.exit(main())
