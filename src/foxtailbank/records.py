"""Entries of the ledger stream and the envelope that carries them."""

import typing as t

import msgspec

from foxtailbank.item_set import ItemRange
from foxtailbank.record_failures import MalformedRecord, UnsupportedRecord

SCHEMA = 1


class Entry(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    forbid_unknown_fields=True,
    tag=True,
):
    """Base of the ledger's entries."""


class ChunkRef(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Where a chunk's input lies.

    Attributes
    ----------
    payload_offset : int
        Offset in the payload stream.
    first : int
        Position in the job of the chunk's first item.
    count : int
        Number of items.
    """

    payload_offset: int
    first: int
    count: int


class JobAccepted(Entry, frozen=True, kw_only=True):
    """A batch job whose input is durable.

    Attributes
    ----------
    job_id, owner, entry : str
        Identity of the job, and its owner and catalogue entry.
    key : str
        Idempotency key; empty if the caller gave none.
    digest : str
        Digest of the job's content.
    deadline_ms : int
        Civil time by which results are due, in milliseconds.
    item_count : int
        Sum over all chunks.
    chunks : tuple of ChunkRef
        In order of items.
    idempotent : bool
        Whether items may run more than once.
    at_ms : int
        Civil time of acceptance, in milliseconds.
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
    """A job ends here; results recorded later are void."""

    job_id: str


class ItemsClaimed(Entry, frozen=True, kw_only=True):
    """The claimant alone may run these items of a non-idempotent job.

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
    """The claimant proved that these items did not run."""

    job_id: str
    chunk: int
    items: tuple[ItemRange, ...]
    claimant: str


class ClaimsAbandoned(Entry, frozen=True, kw_only=True):
    """Items that a lost claimant held end as failures of unknown outcome."""

    job_id: str
    chunk: int
    items: tuple[ItemRange, ...]
    claimant: str


class ChunkResults(Entry, frozen=True, kw_only=True):
    """Results of some items of a chunk.

    Attributes
    ----------
    items : tuple of ItemRange
        Items that have a line in the payload record.
    payload_offset : int
        Offset of the payload record.
    failed : tuple of ItemRange
        Those of `items` whose line is a failure.
    claimant : str
        Incarnation of the VM that ran them; empty where the job is idempotent,
        as nobody claims its items.
    """

    job_id: str
    chunk: int
    items: tuple[ItemRange, ...]
    payload_offset: int
    failed: tuple[ItemRange, ...] = ()
    claimant: str = ""


class JobRetired(Entry, frozen=True, kw_only=True):
    """A job that has ended is described by one manifest payload record."""

    job_id: str
    manifest_offset: int


class PayloadMove(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A payload record that was appended anew."""

    from_offset: int
    to_offset: int


class PayloadMoved(Entry, frozen=True, kw_only=True):
    """Payload records of a running job were appended anew."""

    job_id: str
    moves: tuple[PayloadMove, ...]


class ManifestMoved(Entry, frozen=True, kw_only=True):
    """A retired job's manifest was written anew.

    Attributes
    ----------
    from_offset, to_offset : int
        Offsets of the manifest replaced and of the new one.
    oldest_offset : int
        Lowest offset of a payload record that the new one names.
    """

    job_id: str
    from_offset: int
    to_offset: int
    oldest_offset: int


class CallClaimed(Entry, frozen=True, kw_only=True):
    """The claimant alone may dispatch a keyed call.

    Attributes
    ----------
    claimant : str
        Incarnation of the VM.
    at_ms : int
        Civil time, in milliseconds.
    """

    owner: str
    key: str
    digest: str
    claimant: str
    at_ms: int


class CallReleased(Entry, frozen=True, kw_only=True):
    """The claimant proved that the call did not run."""

    owner: str
    key: str
    claimant: str


class CallCompleted(Entry, frozen=True, kw_only=True):
    """The claimant recorded the answer of a call.

    Attributes
    ----------
    status : int
        HTTP status of the answer.
    payload_offset : int
        Offset of the payload record that holds the answer.
    """

    owner: str
    key: str
    claimant: str
    status: int
    payload_offset: int


class CallPayloadMoved(Entry, frozen=True, kw_only=True):
    """The answer of a call was appended anew before retention took it."""

    owner: str
    key: str
    from_offset: int
    to_offset: int


class FenceTaken(Entry, frozen=True, kw_only=True):
    """A VM takes over the orders of a scope.

    Attributes
    ----------
    scope : str
        What the orders are about, for example an endpoint.
    holder : str
        Incarnation of the VM.
    lease_ms : int
        How long the holder may act, in milliseconds.
    """

    scope: str
    holder: str
    lease_ms: int


class HistoryExpired(Entry, frozen=True, kw_only=True):
    """Calls and retired jobs recorded before an offset are forgotten."""

    before_offset: int


class PayloadFloorRaised(Entry, frozen=True, kw_only=True):
    """Payload records before an offset may soon be lost.

    Entries recorded later refer to none of them: what a VM wrote before a long
    pause can no longer become a result that nobody can read.
    """

    before_offset: int


class Snapshot(Entry, frozen=True, kw_only=True):
    """The ledger's state up to an offset lies in the payload stream.

    Attributes
    ----------
    covers_offset : int
        Offset of the last ledger record applied.
    digest : str
        Digest of the encoded state.
    payload_offsets : tuple of int
        Offsets of its parts, in order.
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
        Version of the record's form and of the rules that apply it.
    incarnation : str
        One run of one VM.
    sequence : int
        Counts the incarnation's records from 1; a resend keeps its number.
    entries : tuple of entries
        In order of application.
    """

    schema: int
    incarnation: str
    sequence: int
    entries: tuple[AnyEntry, ...]


class _Header(msgspec.Struct, frozen=True, array_like=True):
    """The part of an envelope that no version may change."""

    schema: int
    incarnation: str
    sequence: int


_encoder = msgspec.json.Encoder()
_header_decoder = msgspec.json.Decoder(_Header)
_envelope_decoder = msgspec.json.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Return the envelope's record."""
    return _encoder.encode(envelope)


def encode_entry(entry: AnyEntry) -> bytes:
    """Return an entry as it stands in an envelope's record."""
    return _encoder.encode(entry)


def decode(data: bytes) -> Envelope:
    """Return the envelope of a record.

    Parameters
    ----------
    data : bytes
        Record of the ledger stream.

    Returns
    -------
    Envelope
        Holds only entries that this version can apply.

    Raises
    ------
    MalformedRecord
        The record has no envelope; every version has to leave it out.
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
