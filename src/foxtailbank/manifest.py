"""Describes where the input and the results of an ended job lie."""

import msgspec

from foxtailbank.item_set import ItemRange, bitmap_of, ranges_of
from foxtailbank.job_state import JobState, JobStatus, ResultPart
from foxtailbank.payload import (
    PayloadInvalid,
    PayloadKind,
    decode_payload,
    encode_payload,
)

NO_INPUT = -1


class ManifestPart(msgspec.Struct, frozen=True, array_like=True):
    """Items whose one valid result lies in a payload record."""

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
        Where the valid results lie.
    unknown : tuple of ItemRange
        Items that ended as failures of unknown outcome.
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
        """Return the bitmap of items that ended with unknown outcome."""
        return bitmap_of(self.unknown, size=self.count) or 0


class Manifest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """All chunks of an ended job.

    Attributes
    ----------
    status : JobStatus
        How the job ended.
    chunks : tuple of ManifestChunk
        In order of items.
    """

    job_id: str
    status: JobStatus
    chunks: tuple[ManifestChunk, ...]

    def payload_offsets(self) -> tuple[int, ...]:
        """Return the payload records that the manifest names, ascending."""
        offsets = {chunk.input_offset for chunk in self.chunks}
        offsets.discard(NO_INPUT)
        for chunk in self.chunks:
            offsets.update(part.payload_offset for part in chunk.parts)
        return tuple(sorted(offsets))

    def moved(self, to_by_from: dict[int, int]) -> "Manifest":
        """Return the manifest after payload records were appended anew."""
        chunks = tuple(_move_chunk(chunk, to_by_from) for chunk in self.chunks)
        return Manifest(job_id=self.job_id, status=self.status, chunks=chunks)


_decoder = msgspec.json.Decoder(Manifest)


def manifest_of(job: JobState) -> Manifest:
    """Return the manifest of a job that has ended."""
    chunks = tuple(_chunk_of(job, index) for index in range(job.chunk_count))
    return Manifest(job_id=job.job_id, status=job.status, chunks=chunks)


def encode_manifest(manifest: Manifest) -> bytes:
    """Return the manifest's payload record."""
    return encode_payload(
        kind=PayloadKind.MANIFEST,
        job_id=manifest.job_id,
        body=msgspec.json.encode(manifest),
    )


def decode_manifest(data: bytes, *, job_id: str) -> Manifest:
    """Return the manifest of a payload record.

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
        unknown=ranges_of(job.unknown(index)),
    )


def _move_chunk(chunk: ManifestChunk, to_by_from: dict[int, int]) -> ManifestChunk:
    return ManifestChunk(
        input_offset=to_by_from.get(chunk.input_offset, chunk.input_offset),
        count=chunk.count,
        parts=tuple(
            ManifestPart(
                to_by_from.get(part.payload_offset, part.payload_offset), part.items
            )
            for part in chunk.parts
        ),
        unknown=chunk.unknown,
    )
