"""Encodes the ledger's state as a snapshot in parts, and decodes it."""

import dataclasses
import typing as t
import zlib

import msgspec
import xxhash

from foxtailbank.call_state import CallState
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.fence import Fence
from foxtailbank.job_state import JobSnapshot, JobState, JobStatus
from foxtailbank.ledger import Ledger
from foxtailbank.ledger_image import (
    CallImage,
    FenceImage,
    HeaderImage,
    JobImage,
    RetiredJobImage,
    SnapshotPartImage,
)
from foxtailbank.records import UnsupportedRecord
from foxtailbank.retired_job import RetiredJob

SCHEMA = 1
JOB_CHUNKS_PER_PART = 4000
IMAGES_PER_PART = 2000
MAX_PART_BYTES = 16 * 1024 * 1024
_COMPRESSION_LEVEL = 1

_T = t.TypeVar("_T")


class SnapshotInvalid(FoxtailbankError):
    """The parts are damaged, incomplete or do not match the snapshot's entry."""

    code = "snapshot_invalid"


class _SchemaOnly(msgspec.Struct, array_like=True):
    schema: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class LedgerImage:
    """Immutable copy of the ledger's state at one offset."""

    head: HeaderImage
    jobs: tuple[JobSnapshot, ...]
    retired: tuple[RetiredJob, ...]
    calls: tuple[tuple[tuple[str, str], CallState], ...]

    @property
    def covers_offset(self) -> int:
        """Offset of the last ledger record applied; -1 if there is none."""
        return self.head.next_offset - 1


def image_of(ledger: Ledger) -> LedgerImage:
    """Return a copy of the ledger's state."""
    jobs = ledger.jobs.jobs_by_id.values()
    retired = ledger.jobs.retired_by_id.values()
    calls = ledger.calls.calls_by_key
    head = HeaderImage(
        next_offset=ledger.next_offset,
        sequences=list(ledger.sequences_by_incarnation.items()),
        fences=[_fence_image(*item) for item in ledger.fences_by_scope.items()],
        snapshot=ledger.snapshot,
        payload_floor=ledger.payload_floor.before_offset,
        job_count=len(jobs),
        retired_count=len(retired),
        call_count=len(calls),
    )
    return LedgerImage(
        head=head,
        jobs=tuple(job.snapshot() for job in jobs),
        retired=tuple(retired),
        calls=tuple(calls.items()),
    )


def encode_parts(image: LedgerImage) -> t.Iterator[bytes]:
    """Yield the parts of a snapshot; the work for each part is bounded."""
    yield _encode(SnapshotPartImage(schema=SCHEMA, head=image.head))
    for jobs in _batches_by_chunks(image.jobs):
        yield _encode(SnapshotPartImage(schema=SCHEMA, jobs=jobs))
    for retired in _batches(image.retired):
        retired_images = [_retired_image(job) for job in retired]
        yield _encode(SnapshotPartImage(schema=SCHEMA, retired=retired_images))
    for calls in _batches(image.calls):
        call_images = [_call_image(*key, call) for key, call in calls]
        yield _encode(SnapshotPartImage(schema=SCHEMA, calls=call_images))


class SnapshotDigest:
    """Incremental digest over the parts of a snapshot, in order."""

    def __init__(self) -> None:
        self._hash = xxhash.xxh3_128()

    def update(self, part: bytes) -> None:
        """Add the next part."""
        self._hash.update(len(part).to_bytes(8, "big"))
        self._hash.update(part)

    def value(self) -> str:
        """Return the digest of all parts so far."""
        return self._hash.hexdigest()


def digest_of(parts: t.Iterable[bytes]) -> str:
    """Return the digest of a snapshot's parts."""
    digest = SnapshotDigest()
    for part in parts:
        digest.update(part)
    return digest.value()


class SnapshotAssembler:
    """Builds a ledger from the parts of a snapshot.

    Parameters
    ----------
    digest : str
        Expected digest of all parts.
    """

    def __init__(self, *, digest: str) -> None:
        self._expected_digest = digest
        self._digest = SnapshotDigest()
        self._head: HeaderImage | None = None
        self._ledger = Ledger()

    def feed(self, part: bytes) -> None:
        """Decode the next part and load it into the ledger.

        Raises
        ------
        SnapshotInvalid
            The part is damaged.
        UnsupportedRecord
            The part was written by a newer version.
        """
        self._digest.update(part)
        image = _decode(part)
        try:
            self._load_part(image)
        except ValueError as error:
            raise SnapshotInvalid(detail=str(error)) from error

    def finish(self) -> Ledger:
        """Return the ledger after the last part has been fed.

        Raises
        ------
        SnapshotInvalid
            Parts are missing, or the digest differs.
        """
        if self._digest.value() != self._expected_digest:
            raise SnapshotInvalid(
                detail="the digest does not match the snapshot's parts"
            )
        head = self._head
        ledger = self._ledger
        counts = (
            len(ledger.jobs.jobs_by_id),
            len(ledger.jobs.retired_by_id),
            len(ledger.calls.calls_by_key),
        )
        if head is None or counts != (
            head.job_count,
            head.retired_count,
            head.call_count,
        ):
            raise SnapshotInvalid(detail="parts of the snapshot are missing")
        return ledger

    def _load_part(self, image: SnapshotPartImage) -> None:
        if image.head is not None:
            self._load_head(image.head)
        for job in image.jobs:
            self._load_job(job)
        for retired in image.retired:
            self._load_retired(retired)
        for call in image.calls:
            self._load_call(call)

    def _load_head(self, head: HeaderImage) -> None:
        self._head = head
        ledger = self._ledger
        ledger.next_offset = head.next_offset
        ledger.sequences_by_incarnation = dict(head.sequences)
        ledger.snapshot = head.snapshot
        ledger.payload_floor.raise_to(head.payload_floor)
        ledger.fences_by_scope = {
            fence.scope: Fence(
                holder=fence.holder, number=fence.number, lease_ms=fence.lease_ms
            )
            for fence in head.fences
        }

    def _load_job(self, image: JobImage) -> None:
        job = JobState.from_image(image)
        self._ledger.jobs.jobs_by_id[job.job_id] = job
        self._index_key(job)

    def _load_retired(self, image: RetiredJobImage) -> None:
        fields = msgspec.structs.asdict(image)
        fields["status"] = JobStatus(image.status)
        if image.ended_count is None:
            fields["ended_count"] = image.item_count
        job = RetiredJob(**fields)
        self._ledger.jobs.retired_by_id[job.job_id] = job
        self._index_key(job)

    def _index_key(self, job: JobState | RetiredJob) -> None:
        if job.key:
            self._ledger.jobs.job_ids_by_key[job.owner, job.key] = job.job_id

    def _load_call(self, image: CallImage) -> None:
        self._ledger.calls.calls_by_key[image.owner, image.key] = CallState(
            digest=image.digest,
            claimant=image.claimant,
            claimed_offset=image.claimed_offset,
            at_ms=image.at_ms,
            status=image.status,
            payload_offset=image.payload_offset,
        )


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(SnapshotPartImage)
_schema_decoder = msgspec.msgpack.Decoder(_SchemaOnly)


def _encode(part: SnapshotPartImage) -> bytes:
    return zlib.compress(_encoder.encode(part), _COMPRESSION_LEVEL)


def _decode(part: bytes) -> SnapshotPartImage:
    try:
        data = zlib.decompressobj().decompress(part, MAX_PART_BYTES)
        schema = _schema_decoder.decode(data).schema
        if schema != SCHEMA:
            raise UnsupportedRecord(detail=f"unsupported snapshot schema {schema}")
        return _decoder.decode(data)
    except (zlib.error, msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise SnapshotInvalid(detail=str(error)) from error


def _batches(values: t.Sequence[_T]) -> t.Iterator[list[_T]]:
    for first in range(0, len(values), IMAGES_PER_PART):
        yield list(values[first : first + IMAGES_PER_PART])


def _batches_by_chunks(views: t.Iterable[JobSnapshot]) -> t.Iterator[list[JobImage]]:
    batch: list[JobImage] = []
    chunks = 0
    for view in views:
        batch.append(view.job.image())
        chunks += view.job.chunk_count
        if chunks >= JOB_CHUNKS_PER_PART:
            yield batch
            batch, chunks = [], 0
    if batch:
        yield batch


def _fence_image(scope: str, fence: Fence) -> FenceImage:
    return FenceImage(
        scope=scope, holder=fence.holder, number=fence.number, lease_ms=fence.lease_ms
    )


def _retired_image(job: RetiredJob) -> RetiredJobImage:
    return RetiredJobImage(
        job_id=job.job_id,
        owner=job.owner,
        entry=job.entry,
        key=job.key,
        digest=job.digest,
        status=job.status.value,
        item_count=job.item_count,
        failed_count=job.failed_count,
        manifest_offset=job.manifest_offset,
        accepted_offset=job.accepted_offset,
        oldest_offset=job.oldest_offset,
        ended_count=job.ended_count,
    )


def _call_image(owner: str, key: str, call: CallState) -> CallImage:
    return CallImage(
        owner=owner,
        key=key,
        digest=call.digest,
        claimant=call.claimant,
        claimed_offset=call.claimed_offset,
        at_ms=call.at_ms,
        status=call.status,
        payload_offset=call.payload_offset,
    )
