"""Schema of the ledger stream: entries and their envelope."""

import typing as t

import msgspec

from foxtailbank.item_set import ItemRange
from foxtailbank.record_exceptions import MalformedRecord, UnsupportedRecord

SCHEMA = 1


class Entry(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    forbid_unknown_fields=True,
    tag=True,
):
    """Base class of ledger entries."""


class ChunkRef(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Location of a chunk's input.

    Attributes
    ----------
    payload_offset : int
        Offset in the payload stream.
    first : int
        Position of the chunk's first item in the job.
    count : int
        Number of items.
    """

    payload_offset: int
    first: int
    count: int


class JobAccepted(Entry, frozen=True, kw_only=True):
    """A batch job was accepted; its input is stored durably.

    Attributes
    ----------
    job_id, owner, entry : str
        ID of the job, its owner and its catalogue entry.
    key : str
        Idempotency key; empty if the caller gave none.
    digest : str
        Digest of the job's content.
    deadline_ms : int
        Wall-clock time by which results are due, in milliseconds.
    item_count : int
        Number of items in all chunks.
    chunks : tuple of ChunkRef
        In order of items.
    idempotent : bool
        Whether items may run more than once.
    at_ms : int
        Wall-clock time of acceptance, in milliseconds.
    """

    job_id: str
    owner: str
    entry: str
    key: str
    digest: str
    deadline_ms: int
    item_count: int
    chunks: tuple[ChunkRef, ...]
    idempotent: bool = True
    at_ms: int = 0


class JobCancelled(Entry, frozen=True, kw_only=True):
    """A job was cancelled; results recorded later are ignored."""

    job_id: str


class ItemsClaimed(Entry, frozen=True, kw_only=True):
    """A VM claims the exclusive right to run items of a non-idempotent job.

    Attributes
    ----------
    claimant : str
        Incarnation of the VM.
    """

    job_id: str
    chunk: int
    items: tuple[ItemRange, ...]
    claimant: str


class ItemsReleased(Entry, frozen=True, kw_only=True):
    """The claimant gives up items that it knows did not run."""

    job_id: str
    chunk: int
    items: tuple[ItemRange, ...]
    claimant: str


class ClaimsAbandoned(Entry, frozen=True, kw_only=True):
    """Items claimed by a lost VM end as failed, with unknown outcome."""

    job_id: str
    chunk: int
    items: tuple[ItemRange, ...]
    claimant: str


class ChunkResults(Entry, frozen=True, kw_only=True):
    """Results of some items of a chunk.

    Attributes
    ----------
    items : tuple of ItemRange
        Items with a line in the payload record.
    payload_offset : int
        Offset of the payload record.
    failed : tuple of ItemRange
        Subset of `items` whose line is a failure.
    claimant : str
        Incarnation of the VM that ran them; empty if the job is idempotent, because
        its items are not claimed.
    """

    job_id: str
    chunk: int
    items: tuple[ItemRange, ...]
    payload_offset: int
    failed: tuple[ItemRange, ...] = ()
    claimant: str = ""


class JobRetired(Entry, frozen=True, kw_only=True):
    """An ended job is now described by a manifest in the payload stream."""

    job_id: str
    manifest_offset: int


class PayloadMove(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Old and new offset of a rewritten payload record."""

    from_offset: int
    to_offset: int


class PayloadMoved(Entry, frozen=True, kw_only=True):
    """Payload records of a running job were rewritten at new offsets."""

    job_id: str
    moves: tuple[PayloadMove, ...]


class ManifestMoved(Entry, frozen=True, kw_only=True):
    """A retired job's manifest was rewritten at a new offset.

    Attributes
    ----------
    from_offset, to_offset : int
        Offsets of the old and the new manifest.
    oldest_offset : int
        Lowest payload offset that the new manifest references.
    """

    job_id: str
    from_offset: int
    to_offset: int
    oldest_offset: int


class CallClaimed(Entry, frozen=True, kw_only=True):
    """A VM claims the exclusive right to dispatch a call with a key.

    Attributes
    ----------
    claimant : str
        Incarnation of the VM.
    at_ms : int
        Wall-clock time of the claim, in milliseconds.
    """

    owner: str
    key: str
    digest: str
    claimant: str
    at_ms: int


class CallReleased(Entry, frozen=True, kw_only=True):
    """The claimant gives up a call that it knows did not run."""

    owner: str
    key: str
    claimant: str


class CallCompleted(Entry, frozen=True, kw_only=True):
    """The claimant recorded the response to a call.

    Attributes
    ----------
    status : int
        HTTP status of the response.
    payload_offset : int
        Offset of the payload record that holds the response.
    """

    owner: str
    key: str
    claimant: str
    status: int
    payload_offset: int


class CallPayloadMoved(Entry, frozen=True, kw_only=True):
    """A call's response was rewritten at a new offset before it expired."""

    owner: str
    key: str
    from_offset: int
    to_offset: int


class FenceTaken(Entry, frozen=True, kw_only=True):
    """A VM becomes the fence holder of a scope.

    Attributes
    ----------
    scope : str
        Resource to control, for example an endpoint.
    holder : str
        Incarnation of the VM.
    lease_ms : int
        How long the holder may act, in milliseconds.
    """

    scope: str
    holder: str
    lease_ms: int


class HistoryExpired(Entry, frozen=True, kw_only=True):
    """Calls and retired jobs recorded before an offset are removed."""

    before_offset: int


class PayloadFloorRaised(Entry, frozen=True, kw_only=True):
    """Payload records before an offset may soon expire.

    Later entries that reference them are ignored. Otherwise a VM that resumes after a
    long pause could record a result whose payload can no longer be read.
    """

    before_offset: int


class Snapshot(Entry, frozen=True, kw_only=True):
    """The ledger's state up to an offset is stored in the payload stream.

    Attributes
    ----------
    covers_offset : int
        Offset of the last applied ledger record.
    digest : str
        Digest of the encoded state.
    payload_offsets : tuple of int
        Offsets of the snapshot's parts, in order.
    """

    covers_offset: int
    digest: str
    payload_offsets: tuple[int, ...]


AnyEntry: t.TypeAlias = (
    JobAccepted
    | JobCancelled
    | ItemsClaimed
    | ItemsReleased
    | ClaimsAbandoned
    | ChunkResults
    | JobRetired
    | PayloadMoved
    | ManifestMoved
    | CallClaimed
    | CallReleased
    | CallCompleted
    | CallPayloadMoved
    | FenceTaken
    | HistoryExpired
    | PayloadFloorRaised
    | Snapshot
)


class Envelope(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    forbid_unknown_fields=True,
):
    """One record of the ledger stream.

    Attributes
    ----------
    schema : int
        Version of the record format and of the rules for applying it.
    incarnation : str
        Identifies one run of one VM.
    sequence : int
        Number of the record within the incarnation, from 1. A retry keeps its number.
    entries : tuple of entries
        In order of application.
    """

    schema: int
    incarnation: str
    sequence: int
    entries: tuple[AnyEntry, ...]


class _Header(msgspec.Struct, frozen=True, array_like=True):
    """Leading fields of an envelope, identical in all versions."""

    schema: int
    incarnation: str
    sequence: int


_encoder = msgspec.json.Encoder()
_header_decoder = msgspec.json.Decoder(_Header)
_envelope_decoder = msgspec.json.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Return an envelope encoded as a record."""
    return _encoder.encode(envelope)


def encode_entry(entry: AnyEntry) -> bytes:
    """Return an entry encoded as within a record."""
    return _encoder.encode(entry)


def decode(data: bytes) -> Envelope:
    """Decode a record.

    Parameters
    ----------
    data : bytes
        Record of the ledger stream.

    Returns
    -------
    Envelope
        Contains only entries that this version can apply.

    Raises
    ------
    MalformedRecord
        The record has no readable envelope; all versions skip it.
    UnsupportedRecord
        The record has an envelope that this version cannot apply.
    """
    try:
        return _check_schema(_envelope_decoder.decode(data))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        header = _decode_header(data)
        raise UnsupportedRecord(
            detail=f"schema {header.schema} from {header.incarnation}: {error}"
        ) from error


def _check_schema(envelope: Envelope) -> Envelope:
    if envelope.schema != SCHEMA:
        raise UnsupportedRecord(
            detail=f"schema {envelope.schema} from {envelope.incarnation}"
        )
    return envelope


def _decode_header(data: bytes) -> _Header:
    try:
        return _header_decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise MalformedRecord(detail=str(error)) from error
