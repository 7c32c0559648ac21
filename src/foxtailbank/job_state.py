"""State of a batch job as replayed from the ledger, in compact form."""

import array
import dataclasses
import enum
import itertools
import typing as t

from foxtailbank.item_set import ItemRange, full_bitmap, ranges_of
from foxtailbank.ledger_image import JobImage, array_of_bytes, bytes_of_array
from foxtailbank.partial_chunk import PartialChunk
from foxtailbank.records import ChunkRef, JobAccepted


class JobStatus(enum.Enum):
    """Where a job stands."""

    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResultPart:
    """Items whose one valid result lies in a payload record.

    Attributes
    ----------
    payload_offset : int
        Offset in the payload stream.
    items : tuple of ItemRange
        Positions within the chunk; other lines of the record are void.
    """

    payload_offset: int
    items: tuple[ItemRange, ...]


class JobState:
    """One job that has not been retired.

    Chunks that are untouched or that one record ended cost a few bytes in
    arrays; only the others have an object.

    Parameters
    ----------
    accepted : JobAccepted
        Entry with valid chunks.
    accepted_offset : int
        Offset of its record.
    """

    __slots__ = (
        "_counts",
        "_firsts",
        "_input_offsets",
        "_partial_by_chunk",
        "_view",
        "_whole_results",
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
        # 0 where no single record ended the chunk, else payload offset + 1
        self._whole_results = array.array("Q", bytes(8 * len(chunks)))
        self._partial_by_chunk: dict[int, PartialChunk] = {}
        self._view: JobView | None = None

    @classmethod
    def from_image(cls, image: JobImage) -> "JobState":
        """Return the job that an image was taken of."""
        job = cls(accepted=image.accepted, accepted_offset=image.accepted_offset)
        job._input_offsets = array_of_bytes("Q", image.input_offsets)
        job._counts = array_of_bytes("H", image.counts)
        firsts = itertools.accumulate(job._counts, initial=0)
        job._firsts = array.array("I", itertools.islice(firsts, len(job._counts)))
        job.status = JobStatus(image.status)
        job.ended_count = image.ended_count
        job.failed_count = image.failed_count
        job._whole_results = array_of_bytes("Q", image.whole_results)
        job._partial_by_chunk = {
            partial.chunk: PartialChunk.from_image(partial)
            for partial in image.partials
        }
        return job

    def copy(self) -> "JobState":
        """Return a copy that later records do not change."""
        copy = JobState.__new__(JobState)
        for name in JobState.__slots__:
            setattr(copy, name, getattr(self, name))
        copy._input_offsets = self._input_offsets[:]
        copy._whole_results = self._whole_results[:]
        copy._partial_by_chunk = {
            index: partial.copy() for index, partial in self._partial_by_chunk.items()
        }
        copy._view = None
        return copy

    def view(self) -> "JobView":
        """Return a view of the job as it is now.

        The state is copied only if a later record is about to change it.
        """
        if self._view is None:
            self._view = JobView(job=self)
        return self._view

    def image(self) -> JobImage:
        """Return the state in the form that snapshots hold."""
        return JobImage(
            accepted=self._accepted(),
            accepted_offset=self.accepted_offset,
            status=self.status.value,
            ended_count=self.ended_count,
            failed_count=self.failed_count,
            input_offsets=bytes_of_array(self._input_offsets),
            counts=bytes_of_array(self._counts),
            whole_results=bytes_of_array(self._whole_results),
            partials=[p.image(i) for i, p in self._partial_by_chunk.items()],
        )

    @property
    def chunk_count(self) -> int:
        """Number of chunks."""
        return len(self._counts)

    @property
    def ended(self) -> bool:
        """Whether nothing may change the job's items any more."""
        return self.status is not JobStatus.RUNNING

    def chunk(self, index: int) -> ChunkRef:
        """Return where the input of a chunk lies."""
        return ChunkRef(
            self._input_offsets[index], self._firsts[index], self._counts[index]
        )

    def done(self, index: int) -> int:
        """Return the bitmap of a chunk's items that have ended."""
        if self._whole_results[index]:
            return full_bitmap(self._counts[index])
        partial = self._partial_by_chunk.get(index)
        return partial.done if partial else 0

    def open(self, index: int) -> int:
        """Return the bitmap of a chunk's items that nobody ended or claimed."""
        taken = self.done(index)
        partial = self._partial_by_chunk.get(index)
        if partial:
            taken |= partial.claimed_by_anyone
        return full_bitmap(self._counts[index]) & ~taken

    def claimed_by_claimant(self, index: int) -> dict[str, int]:
        """Return bitmaps of a chunk's claimed items that have not ended."""
        partial = self._partial_by_chunk.get(index)
        if partial is None:
            return {}
        held = ((who, bits & ~partial.done) for who, bits in partial.claimed.items())
        return {who: bits for who, bits in held if bits}

    def chunk_ended(self, index: int) -> bool:
        """Return whether every item of a chunk has ended."""
        if self._whole_results[index]:
            return True
        return self.done(index) == full_bitmap(self._counts[index])

    def open_chunks(self) -> t.Iterator[int]:
        """Yield the chunks that have not ended, in order."""
        for index in range(len(self._counts)):
            if not self.chunk_ended(index):
                yield index

    def partial_chunks(self) -> t.Iterator[int]:
        """Yield the chunks that have claims or several result records."""
        yield from self._partial_by_chunk

    def results(self, index: int) -> tuple[ResultPart, ...]:
        """Return the payload records that hold a chunk's valid results.

        Every item that has a valid result is in exactly one part.
        """
        whole = self._whole_results[index]
        if whole:
            items = (ItemRange(0, self._counts[index]),)
            return (ResultPart(payload_offset=whole - 1, items=items),)
        partial = self._partial_by_chunk.get(index)
        if partial is None:
            return ()
        return tuple(
            ResultPart(payload_offset=offset, items=ranges_of(bitmap))
            for offset, bitmap in partial.won.items()
        )

    def unknown(self, index: int) -> int:
        """Return the bitmap of items that ended as failures of unknown outcome."""
        partial = self._partial_by_chunk.get(index)
        return partial.unknown if partial else 0

    def cancel(self) -> None:
        """End the job; its items stay as they are."""
        self._keep_view()
        self.status = JobStatus.CANCELLED

    def claim(self, index: int, bitmap: int, claimant: str) -> int:
        """Claim items for a claimant; return the bitmap of those won."""
        won = bitmap & self.open(index)
        if won:
            self._keep_view()
            claimed = self._partial(index).claimed
            claimed[claimant] = claimed.get(claimant, 0) | won
        return won

    def win(
        self, index: int, bitmap: int, failed: int, payload_offset: int, claimant: str
    ) -> int:
        """Apply results; return the bitmap of the items that they ended."""
        size = self._counts[index]
        won = bitmap & ~self.done(index)
        if not self.idempotent:
            won &= self.claimed_by_claimant(index).get(claimant, 0)
        if not won:
            return 0
        self._keep_view()
        if won == full_bitmap(size):
            self._partial_by_chunk.pop(index, None)
            self._whole_results[index] = payload_offset + 1
        else:
            partial = self._partial(index)
            partial.won[payload_offset] = partial.won.get(payload_offset, 0) | won
            self._end(index, partial, won)
        self._count_ended(won, won & failed)
        return won

    def release(self, index: int, bitmap: int, claimant: str) -> int:
        """Make a claimant's items claimable again; return their bitmap."""
        released = bitmap & self.claimed_by_claimant(index).get(claimant, 0)
        if released:
            self._keep_view()
            self._partial(index).release(released, claimant)
        return released

    def abandon(self, index: int, bitmap: int, claimant: str) -> int:
        """End a claimant's items with unknown outcome; return their bitmap."""
        lost = bitmap & self.claimed_by_claimant(index).get(claimant, 0)
        if lost:
            self._keep_view()
            partial = self._partial(index)
            partial.unknown |= lost
            self._end(index, partial, lost)
            self._count_ended(lost, lost)
        return lost

    def needs_input(self, index: int) -> bool:
        """Return whether some item of a chunk has no valid result record."""
        if self._whole_results[index]:
            return False
        partial = self._partial_by_chunk.get(index)
        won = partial.done & ~partial.unknown if partial else 0
        return won != full_bitmap(self._counts[index])

    def retained_offsets(self) -> t.Iterator[int]:
        """Yield the payload records that the results of an ended job lie in."""
        for index, input_offset in enumerate(self._input_offsets):
            if self.needs_input(index):
                yield input_offset
            for part in self.results(index):
                yield part.payload_offset

    def payload_offsets_before(self, before: int) -> tuple[int, ...]:
        """Return the payload records before an offset that are still needed."""
        offsets = {offset for offset in self._input_offsets if offset < before}
        offsets.update(
            offset - 1 for offset in self._whole_results if 0 < offset <= before
        )
        for partial in self._partial_by_chunk.values():
            offsets.update(offset for offset in partial.won if offset < before)
        return tuple(sorted(offsets))

    def move(self, to_by_from: t.Mapping[int, int]) -> int:
        """Lead references to records appended anew; return how many changed."""
        self._keep_view()
        moved = 0
        for index, offset in enumerate(self._input_offsets):
            if offset in to_by_from:
                self._input_offsets[index] = to_by_from[offset]
                moved += 1
        for index, offset in enumerate(self._whole_results):
            if offset and offset - 1 in to_by_from:
                self._whole_results[index] = to_by_from[offset - 1] + 1
                moved += 1
        for partial in self._partial_by_chunk.values():
            moved += partial.move(to_by_from)
        return moved

    def _keep_view(self) -> None:
        """Leave the state as it is to whoever holds a view of it."""
        if self._view is not None:
            self._view.job = self.copy()
            self._view = None

    def _accepted(self) -> JobAccepted:
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

    def _partial(self, index: int) -> PartialChunk:
        partial = self._partial_by_chunk.get(index)
        if partial is None:
            partial = self._partial_by_chunk[index] = PartialChunk()
        return partial

    def _end(self, index: int, partial: PartialChunk, bitmap: int) -> None:
        partial.done |= bitmap
        if partial.done == full_bitmap(self._counts[index]):
            partial.claimed = {}

    def _count_ended(self, ended: int, failed: int) -> None:
        self.ended_count += ended.bit_count()
        self.failed_count += failed.bit_count()
        if self.ended_count == self.item_count:
            self.status = JobStatus.FINISHED


class JobView:
    """A job as it was when the view was taken.

    Parameters
    ----------
    job : JobState
        Replaced by a copy when the job is about to change.
    """

    __slots__ = ("job",)

    def __init__(self, *, job: JobState) -> None:
        self.job = job
