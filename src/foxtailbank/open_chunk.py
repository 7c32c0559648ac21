"""A chunk of a batch job whose items this VM is running."""

import collections
import dataclasses
import typing as t

from foxtailbank.completion_collector import CompletionCollector
from foxtailbank.item_set import ItemRange, bitmap_to_ranges


@dataclasses.dataclass(frozen=True, kw_only=True)
class FinishedItems:
    """Results that are ready to be recorded.

    Attributes
    ----------
    positions : tuple of int
        Positions in the chunk, ascending.
    body : bytes
        Result lines of these positions, joined by line feeds.
    items, failed : tuple of ItemRange
        All positions, and those that failed, as ranges.
    """

    positions: tuple[int, ...]
    body: bytes
    items: tuple[ItemRange, ...]
    failed: tuple[ItemRange, ...]


class OpenChunk:
    """Items of one chunk by their state on this VM.

    Parameters
    ----------
    job_id : str
        The job.
    index : int
        Number of the chunk in the job.
    owner : str
        Owner of the job.
    lines : sequence of bytes
        Input lines.
    open_bitmap : int
        Items that have neither ended nor been claimed.

    Attributes
    ----------
    pending : deque of int
        Positions that are waiting to run.
    running : set of int
        Positions in flight.
    attempts_by_position : Counter of int
        Number of failed attempts that may have run, since the last with progress.
    failures_by_position : Counter of int
        Number of all failed attempts that may have run.
    partial_by_position : dict of int to CompletionCollector
        Output of interrupted attempts, from which the item is resumed.
    """

    def __init__(
        self,
        *,
        job_id: str,
        index: int,
        owner: str,
        lines: t.Sequence[bytes],
        open_bitmap: int,
    ) -> None:
        self.job_id = job_id
        self.index = index
        self.owner = owner
        self.lines = lines
        self.pending = collections.deque(
            position for position in range(len(lines)) if open_bitmap >> position & 1
        )
        self.running: set[int] = set()
        self.attempts_by_position: collections.Counter[int] = collections.Counter()
        self.failures_by_position: collections.Counter[int] = collections.Counter()
        self.partial_by_position: dict[int, CompletionCollector] = {}
        self._results_by_position: dict[int, bytes] = {}
        self._failed: set[int] = set()
        self._recording = 0
        self._withdrawn = False
        self.buffered_bytes = 0

    @property
    def key(self) -> tuple[str, int]:
        """Job and number of the chunk."""
        return (self.job_id, self.index)

    @property
    def is_idle(self) -> bool:
        """Whether no item is left to run or record."""
        busy = self.pending or self.running or self._results_by_position
        return not busy and not self._recording

    @property
    def is_drained(self) -> bool:
        """Whether no item is pending or running; results may still be unrecorded."""
        return not self.pending and not self.running

    def finish(self, position: int, line: bytes, *, failed: bool) -> int:
        """Buffer an item's result line; return its size in bytes."""
        self.running.discard(position)
        self.partial_by_position.pop(position, None)
        self._results_by_position[position] = line
        self.buffered_bytes += len(line)
        if failed:
            self._failed.add(position)
        return len(line)

    def has_result(self, position: int) -> bool:
        """Return whether an item's result line is waiting to be recorded."""
        return position in self._results_by_position

    def has_failed(self, position: int) -> bool:
        """Return whether an item failed."""
        return position in self._failed

    def requeue(self, position: int, partial: CompletionCollector | None) -> None:
        """Requeue an interrupted item, with its partial output if there is any."""
        self.running.discard(position)
        if partial is not None and partial.next_index:
            self.partial_by_position[position] = partial
        if not self._withdrawn:
            self.pending.appendleft(position)

    def withdraw(self) -> None:
        """Start no more items here, since the chunk is now placed elsewhere."""
        self._withdrawn = True
        self.pending.clear()

    def remove_pending(self, bitmap: int) -> None:
        """Remove pending items that have ended elsewhere."""
        self.pending = collections.deque(
            position for position in self.pending if not bitmap >> position & 1
        )

    def pop_results(self) -> FinishedItems | None:
        """Return and clear the buffered results; None if there are none."""
        if not self._results_by_position:
            return None
        positions = tuple(sorted(self._results_by_position))
        body = b"\n".join(self._results_by_position[p] for p in positions)
        failed = sum(1 << p for p in positions if p in self._failed)
        self._results_by_position = {}
        self._recording += 1
        self.buffered_bytes = 0
        return FinishedItems(
            positions=positions,
            body=body,
            items=bitmap_to_ranges(sum(1 << position for position in positions)),
            failed=bitmap_to_ranges(failed),
        )

    def on_recorded(self) -> None:
        """Mark one group of popped results as no longer being recorded."""
        self._recording -= 1
