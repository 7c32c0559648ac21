"""Measures appends a second of many writers as a function of their linger.

Runs log writers of a tenth of the fleet in real time over a log in memory and
prints one JSON line a linger: what was counted, and what the formula says that
capacity pages use.
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

FLEET_PART = 10
VM_COUNT = 340
ITEMS_PER_S = 16_200
CHUNK_ITEMS = 500
ANSWER_MS = 5
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
        await anyio.sleep(ANSWER_MS / MS_PER_S)
        return self.append_count

    async def read(
        self, *, stream: str, offset: int, max_bytes: int, wait_ms: int = 0
    ) -> tuple[LogRecord, ...]:
        return ()

    async def bounds(self, *, stream: str) -> LogBounds:
        return LogBounds(earliest=0, end=self.append_count)


class _Run:
    """Writers that get entries at random times, at a fixed mean rate."""

    def __init__(self, *, linger_ms: int, entries_per_chunk: int) -> None:
        chunks_per_s = ITEMS_PER_S / CHUNK_ITEMS
        self.rate_per_vm = chunks_per_s * entries_per_chunk / VM_COUNT
        self._linger_ms = linger_ms
        self._log = _CountingLog()
        self._entry_count = 0

    async def measure(self, seconds: float) -> tuple[float, float]:
        """Return entries and appends a second of the whole fleet."""
        async with anyio.create_task_group() as tasks:
            for number in range(VM_COUNT // FLEET_PART):
                writer = self._writer(number)
                tasks.start_soon(writer.run)
                tasks.start_soon(self._submit, writer, random.Random(number))
            await anyio.sleep(seconds / 4)
            entries, appends = self._entry_count, self._log.append_count
            await anyio.sleep(seconds)
            entries = self._entry_count - entries
            appends = self._log.append_count - appends
            tasks.cancel_scope.cancel()
        scale = FLEET_PART / seconds
        return entries * scale, appends * scale

    def _writer(self, number: int) -> LogWriter:
        return LogWriter(
            log=self._log,
            stream="ledger",
            incarnation=f"vm-{number}",
            clock=SystemClock(),
            rng=random.Random(number),
            linger_ms=self._linger_ms,
            max_bytes=MAX_BYTES,
        )

    async def _submit(self, writer: LogWriter, rng: random.Random) -> None:
        while True:
            await anyio.sleep(rng.expovariate(self.rate_per_vm))
            writer.submit(JobCancelled(job_id="job"))
            self._entry_count += 1


def main() -> None:
    """Measure some lingers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20)
    options = parser.parse_args()
    for entries_per_chunk in (4, 16):
        for linger_ms in (0, 200, 1000, 5000):
            run = _Run(linger_ms=linger_ms, entries_per_chunk=entries_per_chunk)
            entries, appends = anyio.run(run.measure, options.seconds)
            # a record opens with its first entry and takes those of the linger
            record_s = 1 / run.rate_per_vm + linger_ms / MS_PER_S
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
