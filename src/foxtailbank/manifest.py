"""Index of the payload records that hold an ended job's input and results."""

import msgspec

from foxtailbank.item_set import ItemRange, bitmap_to_ranges, ranges_to_bitmap
from foxtailbank.job_state import JobState, JobStatus, ResultPart
from foxtailbank.payload import (
    PayloadInvalid,
    PayloadKind,
    decode_payload,
    encode_payload,
)

NO_INPUT = -1


class ManifestPart(msgspec.Struct, frozen=True, array_like=True):
    """Items whose valid results are in one payload record."""

    payload_offset: int
    items: tuple[ItemRange, ...]


class ManifestChunk(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One chunk of the job.

    Attributes
    ----------
    input_offset : int
        Offset of the input in the payload stream, or `NO_INPUT` if every item
        has a result record.
    count : int
        Number of items.
    parts : tuple of ManifestPart
        Payload records with the valid results.
    unknown : tuple of ItemRange
        Items that failed with an unknown outcome.
    """

    input_offset: int
    count: int
    parts: tuple[ManifestPart, ...]
    unknown: tuple[ItemRange, ...] = ()

    def results(self) -> tuple[ResultPart, ...]:
        """Return the payload records that hold the chunk's valid results."""
        return tuple(
            ResultPart(payload_offset=part.payload_offset, items=part.items)
            for part in self.parts
        )

    def unknown_bitmap(self) -> int:
        """Return the bitmap of items that failed with an unknown outcome."""
        return ranges_to_bitmap(self.unknown, size=self.count) or 0


class Manifest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """All chunks of an ended job.

    Attributes
    ----------
    status : JobStatus
        Final status of the job.
    chunks : tuple of ManifestChunk
        In item order.
    """

    job_id: str
    status: JobStatus
    chunks: tuple[ManifestChunk, ...]

    def payload_offsets(self) -> tuple[int, ...]:
        """Return the offsets of all payload records referred to, ascending."""
        offsets = {chunk.input_offset for chunk in self.chunks}
        offsets.discard(NO_INPUT)
        for chunk in self.chunks:
            offsets.update(part.payload_offset for part in chunk.parts)
        return tuple(sorted(offsets))

    def with_moved_payloads(self, new_offsets_by_old: dict[int, int]) -> "Manifest":
        """Return a copy that refers to the new offsets of moved payload records."""
        chunks = tuple(_move_chunk(chunk, new_offsets_by_old) for chunk in self.chunks)
        return Manifest(job_id=self.job_id, status=self.status, chunks=chunks)


_decoder = msgspec.json.Decoder(Manifest)


def manifest_of(job: JobState) -> Manifest:
    """Return the manifest of a job that has ended."""
    chunks = tuple(_chunk_of(job, index) for index in range(job.chunk_count))
    return Manifest(job_id=job.job_id, status=job.status, chunks=chunks)


def encode_manifest(manifest: Manifest) -> bytes:
    """Return the payload record of a manifest."""
    return encode_payload(
        kind=PayloadKind.MANIFEST,
        job_id=manifest.job_id,
        body=msgspec.json.encode(manifest),
    )


def decode_manifest(data: bytes, *, job_id: str) -> Manifest:
    """Decode the manifest in a payload record.

    Raises
    ------
    PayloadInvalid
        The record is not the manifest of this job.
    """
    body = decode_payload(data, kind=PayloadKind.MANIFEST, job_id=job_id).body
    try:
        return _decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise PayloadInvalid(detail=str(error)) from error


def _chunk_of(job: JobState, index: int) -> ManifestChunk:
    chunk = job.chunk(index)
    return ManifestChunk(
        input_offset=chunk.payload_offset if job.needs_input(index) else NO_INPUT,
        count=chunk.count,
        parts=tuple(
            ManifestPart(part.payload_offset, part.items) for part in job.results(index)
        ),
        unknown=bitmap_to_ranges(job.unknown_bitmap(index)),
    )


def _move_chunk(
    chunk: ManifestChunk, new_offsets_by_old: dict[int, int]
) -> ManifestChunk:
    return ManifestChunk(
        input_offset=new_offsets_by_old.get(chunk.input_offset, chunk.input_offset),
        count=chunk.count,
        parts=tuple(
            ManifestPart(
                new_offsets_by_old.get(part.payload_offset, part.payload_offset),
                part.items,
            )
            for part in chunk.parts
        ),
        unknown=chunk.unknown,
    )
