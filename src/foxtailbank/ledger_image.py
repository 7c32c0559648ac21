"""Serialization format of the ledger's state in snapshots."""

import array
import sys

import msgspec

from foxtailbank.records import JobAccepted, Snapshot


def array_to_bytes(values: array.array) -> bytes:
    """Return an array's values as little-endian bytes."""
    if sys.byteorder == "big":
        values = values[:]
        values.byteswap()
    return values.tobytes()


def array_from_bytes(typecode: str, data: bytes) -> array.array:
    """Return an array decoded from little-endian bytes."""
    values = array.array(typecode)
    values.frombytes(data)
    if sys.byteorder == "big":
        values.byteswap()
    return values


def bitmap_to_bytes(bitmap: int) -> bytes:
    """Return a bitmap as little-endian bytes."""
    return bitmap.to_bytes((bitmap.bit_length() + 7) // 8, "little")


def bitmap_from_bytes(data: bytes) -> int:
    """Return a bitmap decoded from little-endian bytes."""
    return int.from_bytes(data, "little")


class PartialChunkImage(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A chunk with claims or several results records.

    Bitmaps are little-endian bytes.

    Attributes
    ----------
    done : bytes
        Bitmap of ended items.
    unknown : bytes
        Bitmap of items that ended with an unknown outcome.
    claimed : list of (str, bytes)
        Bitmap of claimed items for each claimant.
    won : list of (int, bytes)
        Payload offset of each results record and the bitmap of items it ended.
    """

    chunk: int
    done: bytes
    unknown: bytes
    claimed: list[tuple[str, bytes]]
    won: list[tuple[int, bytes]]


class JobImage(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A job that has not been retired.

    Attributes
    ----------
    accepted : JobAccepted
        Acceptance entry without its chunks.
    input_offsets : bytes
        Payload offset of each chunk's input; little-endian, 8 bytes per chunk.
    counts : bytes
        Number of items in each chunk; little-endian, 2 bytes per chunk.
    whole_results : bytes
        Payload offset plus 1 of the record with all of a chunk's results, 0 if there
        is none; little-endian, 8 bytes per chunk.
    partials : list of PartialChunkImage
        Chunks with claims or several results records.
    """

    accepted: JobAccepted
    accepted_offset: int
    status: str
    ended_count: int
    failed_count: int
    input_offsets: bytes
    counts: bytes
    whole_results: bytes
    partials: list[PartialChunkImage]


class RetiredJobImage(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A retired job."""

    job_id: str
    owner: str
    entry: str
    key: str
    digest: str
    status: str
    item_count: int
    failed_count: int
    manifest_offset: int
    accepted_offset: int
    oldest_offset: int
    ended_count: int | None = None


class CallImage(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A call with an idempotency key."""

    owner: str
    key: str
    digest: str
    claimant: str
    claimed_offset: int
    at_ms: int
    status: int
    payload_offset: int


class FenceImage(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Fence holder of a scope."""

    scope: str
    holder: str
    number: int
    lease_ms: int


class HeaderImage(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Global state and the number of images in the other parts.

    Attributes
    ----------
    next_offset : int
        Offset after the last applied record.
    sequences : list of (str, int)
        Last sequence by incarnation, least recently seen first.
    job_count, retired_count, call_count : int
        Number of images in the following parts.
    """

    next_offset: int
    sequences: list[tuple[str, int]]
    fences: list[FenceImage]
    snapshot: Snapshot | None
    payload_floor: int
    job_count: int
    retired_count: int
    call_count: int


class SnapshotPartImage(msgspec.Struct, kw_only=True, array_like=True):
    """One part of a snapshot."""

    schema: int
    head: HeaderImage | None = None
    jobs: list[JobImage] = []
    retired: list[RetiredJobImage] = []
    calls: list[CallImage] = []
