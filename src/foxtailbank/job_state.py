"""Compact state of a batch job, built by replaying the ledger."""

import array
import dataclasses
import enum
import itertools
import typing as t

from foxtailbank.item_set import ItemRange, bitmap_to_ranges, full_bitmap
from foxtailbank.ledger_image import JobImage, array_from_bytes, array_to_bytes
from foxtailbank.partial_chunk import PartialChunk
from foxtailbank.records import ChunkRef, JobAccepted


class JobStatus(enum.Enum):
    """Status of a job."""

    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResultPart:
    """Items whose valid results are in one payload record.

    Attributes
    ----------
    payload_offset : int
        Offset in the payload stream.
    items : tuple of ItemRange
        Positions in the chunk. Other lines of the record are not valid results and
        are ignored.
    """

    payload_offset: int
    items: tuple[ItemRange, ...]


class JobState:
    """State of a job that has not been retired.

    A chunk that is untouched or that a single record ended is held in arrays and
    takes a few bytes; only other chunks have an object.

    Parameters
    ----------
    accepted : JobAccepted
        Record that accepted the job; its chunks must be valid.
    accepted_offset : int
        Offset of that record.
    """

    __slots__ = (
        "_counts",
        "_firsts",
        "_input_offsets",
        "_partial_by_chunk",
        "_single_record_results",
        "_snapshot",
        "accepted_offset",
        "at_ms",
        "deadline_ms",
        "digest",
        "ended_count",
        "entry",
        "failed_count",
        "idempotent",
        "item_count",
        "job_id",
        "key",
        "owner",
        "status",
    )

    def __init__(self, *, accepted: JobAccepted, accepted_offset: int) -> None:
        self.job_id = accepted.job_id
        self.owner = accepted.owner
        self.entry = accepted.entry
        self.key = accepted.key
        self.digest = accepted.digest
        self.deadline_ms = accepted.deadline_ms
        self.item_count = accepted.item_count
        self.idempotent = accepted.idempotent
        self.at_ms = accepted.at_ms
        self.accepted_offset = accepted_offset
        self.status = JobStatus.RUNNING
        self.ended_count = 0
        self.failed_count = 0
        chunks = accepted.chunks
        self._input_offsets = array.array("Q", (c.payload_offset for c in chunks))
        self._firsts = array.array("I", (c.first for c in chunks))
        self._counts = array.array("H", (c.count for c in chunks))
        # Payload offset + 1 of the record that ended the whole chunk; 0 if there is
        # none.
        self._single_record_results = array.array("Q", bytes(8 * len(chunks)))
        self._partial_by_chunk: dict[int, PartialChunk] = {}
        self._snapshot: JobSnapshot | None = None

    @classmethod
    def from_image(cls, image: JobImage) -> "JobState":
        """Return the job that an image describes."""
        job = cls(accepted=image.accepted, accepted_offset=image.accepted_offset)
        job._input_offsets = array_from_bytes("Q", image.input_offsets)
        job._counts = array_from_bytes("H", image.counts)
        firsts = itertools.accumulate(job._counts, initial=0)
        job._firsts = array.array("I", itertools.islice(firsts, len(job._counts)))
        job.status = JobStatus(image.status)
        job.ended_count = image.ended_count
        job.failed_count = image.failed_count
        job._single_record_results = array_from_bytes("Q", image.whole_results)
        job._partial_by_chunk = {
            partial.chunk: PartialChunk.from_image(partial)
            for partial in image.partials
        }
        return job

    def copy(self) -> "JobState":
        """Return a copy that is not affected by later records."""
        copy = JobState.__new__(JobState)
        for name in JobState.__slots__:
            setattr(copy, name, getattr(self, name))
        copy._input_offsets = self._input_offsets[:]
        copy._single_record_results = self._single_record_results[:]
        copy._partial_by_chunk = {
            index: partial.copy() for index, partial in self._partial_by_chunk.items()
        }
        copy._snapshot = None
        return copy

    def snapshot(self) -> "JobSnapshot":
        """Return a snapshot of the current state.

        The state is copied only when a later record is about to change it.
        """
        if self._snapshot is None:
            self._snapshot = JobSnapshot(job=self)
        return self._snapshot

    def image(self) -> JobImage:
        """Return the state in the form that is stored in snapshots."""
        return JobImage(
            accepted=self._accepted_record(),
            accepted_offset=self.accepted_offset,
            status=self.status.value,
            ended_count=self.ended_count,
            failed_count=self.failed_count,
            input_offsets=array_to_bytes(self._input_offsets),
            counts=array_to_bytes(self._counts),
            whole_results=array_to_bytes(self._single_record_results),
            partials=[p.image(i) for i, p in self._partial_by_chunk.items()],
        )

    @property
    def chunk_count(self) -> int:
        """Number of chunks."""
        return len(self._counts)

    @property
    def ended(self) -> bool:
        """Whether the job's items can no longer change."""
        return self.status is not JobStatus.RUNNING

    def chunk(self, index: int) -> ChunkRef:
        """Return the reference to the input of a chunk."""
        return ChunkRef(
            self._input_offsets[index], self._firsts[index], self._counts[index]
        )

    def ended_bitmap(self, index: int) -> int:
        """Return the bitmap of a chunk's items that have ended."""
        if self._single_record_results[index]:
            return full_bitmap(self._counts[index])
        partial = self._partial_by_chunk.get(index)
        return partial.done if partial else 0

    def open_bitmap(self, index: int) -> int:
        """Return the bitmap of a chunk's items that are neither ended nor claimed."""
        unavailable = self.ended_bitmap(index)
        partial = self._partial_by_chunk.get(index)
        if partial:
            unavailable |= partial.claimed_by_anyone
        return full_bitmap(self._counts[index]) & ~unavailable

    def claimed_by_claimant(self, index: int) -> dict[str, int]:
        """Return bitmaps of a chunk's claimed, unended items by claimant."""
        partial = self._partial_by_chunk.get(index)
        if partial is None:
            return {}
        unended = (
            (claimant, bitmap & ~partial.done)
            for claimant, bitmap in partial.claimed.items()
        )
        return {claimant: bitmap for claimant, bitmap in unended if bitmap}

    def is_chunk_ended(self, index: int) -> bool:
        """Return whether every item of a chunk has ended."""
        if self._single_record_results[index]:
            return True
        return self.ended_bitmap(index) == full_bitmap(self._counts[index])

    def open_chunks(self) -> t.Iterator[int]:
        """Yield the chunks that have not ended, in order."""
        for index in range(len(self._counts)):
            if not self.is_chunk_ended(index):
                yield index

    def partial_chunks(self) -> t.Iterator[int]:
        """Yield the chunks that have claims or several result records."""
        yield from self._partial_by_chunk

    def results(self, index: int) -> tuple[ResultPart, ...]:
        """Return the payload records that hold a chunk's valid results.

        Each item with a valid result is in exactly one part.
        """
        stored = self._single_record_results[index]
        if stored:
            items = (ItemRange(0, self._counts[index]),)
            return (ResultPart(payload_offset=stored - 1, items=items),)
        partial = self._partial_by_chunk.get(index)
        if partial is None:
            return ()
        return tuple(
            ResultPart(payload_offset=offset, items=bitmap_to_ranges(bitmap))
            for offset, bitmap in partial.won.items()
        )

    def unknown_bitmap(self, index: int) -> int:
        """Return the bitmap of items that failed with an unknown outcome."""
        partial = self._partial_by_chunk.get(index)
        return partial.unknown if partial else 0

    def cancel(self) -> None:
        """End the job and leave its items unchanged."""
        self._detach_snapshot()
        self.status = JobStatus.CANCELLED

    def claim(self, index: int, bitmap: int, claimant: str) -> int:
        """Claim items for a claimant; return the bitmap of those granted."""
        granted = bitmap & self.open_bitmap(index)
        if granted:
            self._detach_snapshot()
            claimed = self._partial_chunk(index).claimed
            claimed[claimant] = claimed.get(claimant, 0) | granted
        return granted

    def apply_results(
        self, index: int, bitmap: int, failed: int, payload_offset: int, claimant: str
    ) -> int:
        """Apply results; return the bitmap of the items ended by them.

        The first valid result of an item counts. In a non-idempotent job, a result
        is valid only if it comes from the claimant of the item.
        """
        size = self._counts[index]
        ended = bitmap & ~self.ended_bitmap(index)
        if not self.idempotent:
            ended &= self.claimed_by_claimant(index).get(claimant, 0)
        if not ended:
            return 0
        self._detach_snapshot()
        if ended == full_bitmap(size):
            self._partial_by_chunk.pop(index, None)
            self._single_record_results[index] = payload_offset + 1
        else:
            partial = self._partial_chunk(index)
            partial.won[payload_offset] = partial.won.get(payload_offset, 0) | ended
            self._end_items(index, partial, ended)
        self._count_ended(ended, ended & failed)
        return ended

    def release(self, index: int, bitmap: int, claimant: str) -> int:
        """Release a claimant's items; return the bitmap of those released."""
        released = bitmap & self.claimed_by_claimant(index).get(claimant, 0)
        if released:
            self._detach_snapshot()
            self._partial_chunk(index).release(released, claimant)
        return released

    def abandon(self, index: int, bitmap: int, claimant: str) -> int:
        """End a claimant's items with an unknown outcome; return their bitmap."""
        lost = bitmap & self.claimed_by_claimant(index).get(claimant, 0)
        if lost:
            self._detach_snapshot()
            partial = self._partial_chunk(index)
            partial.unknown |= lost
            self._end_items(index, partial, lost)
            self._count_ended(lost, lost)
        return lost

    def needs_input(self, index: int) -> bool:
        """Return whether any item of a chunk has no valid result."""
        if self._single_record_results[index]:
            return False
        partial = self._partial_by_chunk.get(index)
        with_result = partial.done & ~partial.unknown if partial else 0
        return with_result != full_bitmap(self._counts[index])

    def retained_offsets(self) -> t.Iterator[int]:
        """Yield the offsets of payload records needed for an ended job's results.

        The input of a chunk is needed for the ids of items without a result.
        """
        for index, input_offset in enumerate(self._input_offsets):
            if self.needs_input(index):
                yield input_offset
            for part in self.results(index):
                yield part.payload_offset

    def payload_offsets_before(self, before: int) -> tuple[int, ...]:
        """Return the offsets below a bound of payload records that are still needed."""
        offsets = {offset for offset in self._input_offsets if offset < before}
        offsets.update(
            offset - 1 for offset in self._single_record_results if 0 < offset <= before
        )
        for partial in self._partial_by_chunk.values():
            offsets.update(offset for offset in partial.won if offset < before)
        return tuple(sorted(offsets))

    def move_payloads(self, to_by_from: t.Mapping[int, int]) -> int:
        """Update references to payload records that were appended again.

        Returns the number of references changed.
        """
        self._detach_snapshot()
        moved = 0
        for index, offset in enumerate(self._input_offsets):
            if offset in to_by_from:
                self._input_offsets[index] = to_by_from[offset]
                moved += 1
        for index, offset in enumerate(self._single_record_results):
            if offset and offset - 1 in to_by_from:
                self._single_record_results[index] = to_by_from[offset - 1] + 1
                moved += 1
        for partial in self._partial_by_chunk.values():
            moved += partial.move(to_by_from)
        return moved

    def _detach_snapshot(self) -> None:
        """Give the holder of a snapshot a copy before the state changes."""
        if self._snapshot is not None:
            self._snapshot.job = self.copy()
            self._snapshot = None

    def _accepted_record(self) -> JobAccepted:
        return JobAccepted(
            job_id=self.job_id,
            owner=self.owner,
            entry=self.entry,
            key=self.key,
            digest=self.digest,
            deadline_ms=self.deadline_ms,
            item_count=self.item_count,
            chunks=(),
            idempotent=self.idempotent,
            at_ms=self.at_ms,
        )

    def _partial_chunk(self, index: int) -> PartialChunk:
        partial = self._partial_by_chunk.get(index)
        if partial is None:
            partial = self._partial_by_chunk[index] = PartialChunk()
        return partial

    def _end_items(self, index: int, partial: PartialChunk, bitmap: int) -> None:
        partial.done |= bitmap
        if partial.done == full_bitmap(self._counts[index]):
            partial.claimed = {}

    def _count_ended(self, ended: int, failed: int) -> None:
        self.ended_count += ended.bit_count()
        self.failed_count += failed.bit_count()
        if self.ended_count == self.item_count:
            self.status = JobStatus.FINISHED


class JobSnapshot:
    """Copy-on-write snapshot of a job.

    Parameters
    ----------
    job : JobState
        The job; replaced by a copy when the job is about to change.
    """

    __slots__ = ("job",)

    def __init__(self, *, job: JobState) -> None:
        self.job = job
