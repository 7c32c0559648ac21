"""Simulates how the VMs of a fleet keep up with the submission log; prints JSON lines.

All VMs follow one log with the product's own follower. The store serves their reads
one after the other at a limited rate; those given up cost it as much as the others.
"""

import argparse
import dataclasses
import io
import random
import sys
import typing as t

import anyio
import anyio.abc
import msgspec

from foxtailbank.clock import MS_PER_S
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.fleet.peer_table import PeerTable
from foxtailbank.keyed_log import (
    AppendId,
    KeyedLog,
    KeyedRecord,
    LogSlice,
    StoreResponseLost,
)
from foxtailbank.log_follower import LogFollower, LogState
from foxtailbank.logs import Logs
from foxtailbank.read_share import ReadShare
from foxtailbank.serving_vm import SUBMISSIONS_READ_PAUSE_MS
from foxtailbank.submissions.progress_budget import ProgressBudget
from foxtailbank.submissions.service import MAX_STATE_AGE_MS
from foxtailbank.submissions.text_placement import TextPlacement
from foxtailbank_bench.simulated_loop import LoopClock, run_simulated

MAX_READ_BYTES = 1 << 20
CALL_TIMEOUT_MS = 1_000
CALL_MS = 4
LOCATION_BYTES = 200  # of a text, in a record
SYNCS_PER_S = 2.0  # of each VM, by callers who wait for results
DRAIN_S = 10  # after the last record


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetSpec:
    """A fleet, its store and its load.

    Attributes
    ----------
    vm_count : int
        VMs that follow the log.
    read_bytes_per_s : float
        Rate at which the store serves all reads.
    records_per_s : float
        Records that are appended.
    record_bytes : int
        Size of each, without what follows.
    text_bytes : int
        Text of the result that comes with each.
    progress_bytes : int
        Output of the running item that is saved before each.
    duration_s : int
        How long records are appended, in seconds.
    bounds_reads : bool
        Whether reads are bounded by `ReadShare`.
    keeps_texts_apart : bool
        Whether texts and progress are kept from the log as `TextPlacement` and
        `ProgressBudget` decide.
    reads_per_text : int
        VMs that read each text which is kept apart.
    """

    vm_count: int = 71
    read_bytes_per_s: float = 80e6
    records_per_s: float = 50.0
    record_bytes: int = 20_000
    text_bytes: int = 0
    progress_bytes: int = 0
    duration_s: int = 20
    bounds_reads: bool = True
    keeps_texts_apart: bool = True
    reads_per_text: int = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetResult:
    """What became of the reads.

    Attributes
    ----------
    calls, lost_calls : int
        Reads sent, and those of them that were given up.
    read_bytes : float
        Read by the store, for each byte of the log and each VM.
    syncs, failed_syncs : int
        Callers who needed a recent state, and those who got none.
    unread_at_end : int
        Most records that a VM has not read at the end of the load.
    unread_after_drain : int
        The same some seconds later.
    texts_apart, progress_saved : int
        Texts that were kept apart, and records with saved progress.
    longest_text_read_ms : int
        Longest read of a text that was kept apart, in milliseconds.
    """

    calls: int
    lost_calls: int
    read_bytes: float
    syncs: int
    failed_syncs: int
    unread_at_end: int
    unread_after_drain: int
    texts_apart: int
    progress_saved: int
    longest_text_read_ms: int


class _Store:
    """Records, and when the store will have served the reads that it holds."""

    def __init__(self, spec: FleetSpec, share: ReadShare) -> None:
        self.spec = spec
        peers = PeerTable(vm_id="vm-0", zone="")
        peers.is_complete = True
        self._placement = TextPlacement(share=share, peers=peers, clock=LoopClock())
        self._budget = ProgressBudget(share=share, clock=LoopClock())
        self.sizes: list[int] = []  # of the records, in bytes
        self.appended = anyio.Event()
        self.calls = 0
        self.lost_calls = 0
        self.read_bytes = 0
        self.texts_apart = 0
        self.progress_saved = 0
        self.longest_text_read_ms = 0
        self._free_s = 0.0

    @property
    def end(self) -> int:
        return len(self.sizes)

    def append(self) -> bool:
        """Append a record and return whether its text is kept apart."""
        spec = self.spec
        may_decide = spec.keeps_texts_apart
        is_apart = may_decide and self._placement.is_apart(spec.text_bytes)
        saves = not may_decide or self._budget.allows_saving
        size_bytes = spec.record_bytes
        size_bytes += LOCATION_BYTES if is_apart else spec.text_bytes
        size_bytes += spec.progress_bytes if saves else 0
        self.texts_apart += is_apart
        self.progress_saved += bool(saves and spec.progress_bytes)
        self._budget.on_read(size_bytes)
        self.sizes.append(size_bytes)
        self.appended.set()
        self.appended = anyio.Event()
        return is_apart

    async def serve_text(self) -> None:
        started_s = anyio.current_time()
        await self.serve(self.spec.text_bytes)
        duration_ms = int((anyio.current_time() - started_s) * MS_PER_S)
        self.longest_text_read_ms = max(self.longest_text_read_ms, duration_ms)

    async def serve(self, size_bytes: int) -> None:
        now_s = anyio.current_time()
        self.read_bytes += size_bytes
        read_s = size_bytes / self.spec.read_bytes_per_s
        self._free_s = max(now_s, self._free_s) + read_s
        await anyio.sleep(self._free_s - now_s + CALL_MS / MS_PER_S)


class _Log(KeyedLog):
    def __init__(self, store: _Store, share: ReadShare) -> None:
        self._store = store
        self._share = share

    async def read_newest(self) -> LogSlice:
        return LogSlice(records=(), end=0)

    async def read(self, *, start: int, wait_ms: int) -> LogSlice:
        self._store.calls += 1
        try:
            with anyio.fail_after((wait_ms + CALL_TIMEOUT_MS) / MS_PER_S):
                return await self._read(start, wait_ms)
        except TimeoutError as error:
            self._store.lost_calls += 1
            raise StoreResponseLost(detail="given up") from error

    async def _read(self, start: int, wait_ms: int) -> LogSlice:
        with anyio.move_on_after(wait_ms / MS_PER_S):
            while start >= self._store.end:
                await self._store.appended.wait()
        end = self._store.end
        left_bytes = self._share.read_bytes(MAX_READ_BYTES)
        sizes: list[int] = []
        for size_bytes in self._store.sizes[start:]:
            left_bytes -= size_bytes
            if sizes and left_bytes < 0:
                break
            sizes.append(size_bytes)
        await self._store.serve(sum(sizes))
        offsets = range(start, start + len(sizes))
        records = tuple(KeyedRecord(key="k", value=b"", offset=n) for n in offsets)
        return LogSlice(records=records, end=end)

    async def append(
        self, records: tuple[KeyedRecord, ...], *, append_id: AppendId
    ) -> int:
        raise NotImplementedError


class _NoState(LogState):
    def restore(self, newest: LogSlice) -> None:
        pass

    def apply_records(self, part: LogSlice) -> None:
        pass


class _Fleet:
    def __init__(self, spec: FleetSpec) -> None:
        self._spec = spec
        self._rng = random.Random(1)
        self._syncs = 0
        self._failed_syncs = 0
        rate = spec.read_bytes_per_s if spec.bounds_reads else 0.0
        share = ReadShare(store_bytes_per_s=rate)
        share.set_vm_count(lambda: spec.vm_count)
        self._store = _Store(spec, share)
        self._followers = [
            LogFollower(
                name="submissions",
                log=_Log(self._store, share),
                state=_NoState(),
                pause_ms=SUBMISSIONS_READ_PAUSE_MS,
                logs=Logs(vm=f"vm-{number}", zone="", stream=io.StringIO()),
                clock=LoopClock(),
            )
            for number in range(spec.vm_count)
        ]

    async def play(self) -> FleetResult:
        async with anyio.create_task_group() as group:
            for follower in self._followers:
                group.start_soon(follower.run)
                group.start_soon(self._sync, follower)
            for _ in range(int(self._spec.duration_s * self._spec.records_per_s)):
                await anyio.sleep(1 / self._spec.records_per_s)
                if self._store.append():
                    for _ in range(self._spec.reads_per_text):
                        group.start_soon(self._store.serve_text)
            unread_at_end = self._most_unread()
            syncs, failed_syncs = self._syncs, self._failed_syncs
            await anyio.sleep(DRAIN_S)
            group.cancel_scope.cancel()
        return FleetResult(
            calls=self._store.calls,
            lost_calls=self._store.lost_calls,
            read_bytes=self._store.read_bytes
            / sum(self._store.sizes)
            / self._spec.vm_count,
            syncs=syncs,
            failed_syncs=failed_syncs,
            unread_at_end=unread_at_end,
            unread_after_drain=self._most_unread(),
            texts_apart=self._store.texts_apart,
            progress_saved=self._store.progress_saved,
            longest_text_read_ms=self._store.longest_text_read_ms,
        )

    def _most_unread(self) -> int:
        return max(self._store.end - each.next_offset for each in self._followers)

    async def _sync(self, follower: LogFollower) -> None:
        while True:
            await anyio.sleep(self._rng.expovariate(SYNCS_PER_S))
            self._syncs += 1
            try:
                await follower.refresh(MAX_STATE_AGE_MS)
            except FoxtailbankError:
                self._failed_syncs += 1


def play(spec: FleetSpec) -> FleetResult:
    """Play a fleet in simulated time."""

    async def run() -> FleetResult:
        return await _Fleet(spec).play()

    return run_simulated(run)


def main(arguments: t.Sequence[str] | None = None) -> int:
    """Play fleets before and after what bounds their reads, return the exit code.

    Parameters
    ----------
    arguments : sequence of str, optional
        Command-line arguments; those of the process by default.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--vms", type=int, default=71)
    parser.add_argument("--records-per-s", type=float, default=50.0)
    parser.add_argument("--record-bytes", type=int, default=20_000)
    parser.add_argument("--text-bytes", type=int, default=0)
    parser.add_argument("--progress-bytes", type=int, default=0)
    options = parser.parse_args(arguments)
    for bounds_reads, keeps_texts_apart in (
        (False, False),
        (True, False),
        (True, True),
    ):
        spec = FleetSpec(
            vm_count=options.vms,
            records_per_s=options.records_per_s,
            record_bytes=options.record_bytes,
            text_bytes=options.text_bytes,
            progress_bytes=options.progress_bytes,
            bounds_reads=bounds_reads,
            keeps_texts_apart=keeps_texts_apart,
        )
        for part in (spec, play(spec)):
            sys.stdout.write(msgspec.json.encode(part).decode() + "\n")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
