"""Measures the append rate of many log writers as a function of their linger time.

Runs the log writers of a tenth of the fleet in real time against an in-memory log.
Prints one JSON line per linger time: the measured rate, and the rate by the formula
used for capacity planning.
"""

import argparse
import random
import sys

import anyio
import msgspec

from foxtailbank.clock import MS_PER_S, SystemClock
from foxtailbank.log_service import LogBounds, LogRecord, LogService
from foxtailbank.log_writer import LogWriter
from foxtailbank.records import JobCancelled

FLEET_DIVISOR = 10
VM_COUNT = 340
ITEMS_PER_S = 16_200
CHUNK_ITEMS = 500
APPEND_LATENCY_MS = 5
MAX_BYTES = 65_536


class LingerMeasurement(msgspec.Struct, kw_only=True):
    """One line of output, scaled to the whole fleet."""

    linger_ms: int
    entries_per_chunk: int
    entries_per_s: float
    appends_per_s: float
    formula_appends_per_s: float


class _CountingLog(LogService):
    def __init__(self) -> None:
        self.append_count = 0

    async def append(self, *, stream: str, data: bytes) -> int:
        self.append_count += 1
        await anyio.sleep(APPEND_LATENCY_MS / MS_PER_S)
        return self.append_count

    async def read(
        self, *, stream: str, offset: int, max_bytes: int, wait_ms: int = 0
    ) -> tuple[LogRecord, ...]:
        return ()

    async def bounds(self, *, stream: str) -> LogBounds:
        return LogBounds(earliest=0, end=self.append_count)


class _LingerBenchmark:
    """Log writers whose entries arrive at random at a fixed mean rate."""

    def __init__(self, *, linger_ms: int, entries_per_chunk: int) -> None:
        chunks_per_s = ITEMS_PER_S / CHUNK_ITEMS
        self.entries_per_vm_and_s = chunks_per_s * entries_per_chunk / VM_COUNT
        self._linger_ms = linger_ms
        self._log = _CountingLog()
        self._entry_count = 0

    async def measure(self, seconds: float) -> tuple[float, float]:
        """Return entries and appends per second, scaled to the whole fleet."""
        async with anyio.create_task_group() as tasks:
            for number in range(VM_COUNT // FLEET_DIVISOR):
                writer = self._make_writer(number)
                tasks.start_soon(writer.run)
                tasks.start_soon(self._submit_entries, writer, random.Random(number))
            await anyio.sleep(seconds / 4)
            entries, appends = self._entry_count, self._log.append_count
            await anyio.sleep(seconds)
            entries = self._entry_count - entries
            appends = self._log.append_count - appends
            tasks.cancel_scope.cancel()
        scale = FLEET_DIVISOR / seconds
        return entries * scale, appends * scale

    def _make_writer(self, number: int) -> LogWriter:
        return LogWriter(
            log=self._log,
            stream="ledger",
            incarnation=f"vm-{number}",
            clock=SystemClock(),
            rng=random.Random(number),
            linger_ms=self._linger_ms,
            max_bytes=MAX_BYTES,
        )

    async def _submit_entries(self, writer: LogWriter, rng: random.Random) -> None:
        while True:
            await anyio.sleep(rng.expovariate(self.entries_per_vm_and_s))
            writer.submit(JobCancelled(job_id="job"))
            self._entry_count += 1


def main() -> None:
    """Run the benchmark for several linger times and entry rates."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20)
    options = parser.parse_args()
    for entries_per_chunk in (4, 16):
        for linger_ms in (0, 200, 1000, 5000):
            benchmark = _LingerBenchmark(
                linger_ms=linger_ms, entries_per_chunk=entries_per_chunk
            )
            entries, appends = anyio.run(benchmark.measure, options.seconds)
            # A record starts with its first entry and then stays open for the linger.
            record_s = 1 / benchmark.entries_per_vm_and_s + linger_ms / MS_PER_S
            line = LingerMeasurement(
                linger_ms=linger_ms,
                entries_per_chunk=entries_per_chunk,
                entries_per_s=round(entries, 1),
                appends_per_s=round(appends, 1),
                formula_appends_per_s=round(VM_COUNT / record_s, 1),
            )
            sys.stdout.write(msgspec.json.encode(line).decode() + "\n")
            sys.stdout.flush()


if __name__ == "__main__":
    main()
