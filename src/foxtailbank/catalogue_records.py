"""Records of the log stream ``catalogue``, and their encoding."""

import dataclasses
import typing as t

import msgspec

from foxtailbank.entry import Entry

STREAM = "catalogue"
SCHEMA = 1
MAX_EDITS_PER_RECORD = 4096


class EntryPut(msgspec.Struct, frozen=True, kw_only=True, tag_field="type", tag=True):
    """Edit that creates or replaces an entry.

    Attributes
    ----------
    name : str
        Name of the entry.
    entry : Entry
        The new content.
    based_on : int
        Version that the edit replaces; 0 if the entry must not exist yet.
    edit_id : str
        Unique ID, by which the writer recognises the outcome of its edit.
    by : str
        Operator who made the edit.
    at_ms : int
        Wall time of the edit in milliseconds.
    """

    name: str
    entry: Entry
    based_on: int
    edit_id: str
    by: str = ""
    at_ms: int = 0


class EntryDeleted(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="type", tag=True
):
    """Edit that removes an entry.

    Attributes
    ----------
    name : str
        Name of the entry.
    based_on : int
        Version that the edit removes.
    edit_id : str
        Unique ID, by which the writer recognises the outcome of its edit.
    by : str
        Operator who made the edit.
    at_ms : int
        Wall time of the edit in milliseconds.
    """

    name: str
    based_on: int
    edit_id: str
    by: str = ""
    at_ms: int = 0


class CatalogueSnapshot(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="type", tag=True
):
    """The complete state, appended before retention deletes the records it covers.

    Attributes
    ----------
    covers_offset : int
        Last offset that the state includes.
    digest : str
        xxh3 digest of `content`.
    content : msgspec.Raw
        Encoded state.
    """

    covers_offset: int
    digest: str
    content: msgspec.Raw


CatalogueEdit: t.TypeAlias = EntryPut | EntryDeleted


class CatalogueEnvelope(msgspec.Struct, frozen=True, kw_only=True):
    """One record of the stream.

    Attributes
    ----------
    schema : int
        Version of the record format; raised by any change of fields or tags.
    incarnation : str
        Identifies one run of one VM's process.
    sequence : int
        Number of the record within its incarnation, increasing.
    entries : tuple
        Edits in the order in which they are applied, or a snapshot.
    """

    schema: int
    incarnation: str
    sequence: int
    entries: tuple[EntryPut | EntryDeleted | CatalogueSnapshot, ...]


class _Header(msgspec.Struct, frozen=True):
    schema: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class UnsupportedRecord:
    """Record of a newer schema, which this version of the code cannot apply.

    Attributes
    ----------
    schema : int
        Schema of the record.
    """

    schema: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class MalformedRecord:
    """Record that every version of the code rejects; all VMs skip it.

    Attributes
    ----------
    reason : str
        Why it could not be decoded.
    """

    reason: str


CatalogueRecord: t.TypeAlias = CatalogueEnvelope | UnsupportedRecord | MalformedRecord

_encoder = msgspec.json.Encoder()
_header_decoder = msgspec.json.Decoder(_Header)
_decoder = msgspec.json.Decoder(CatalogueEnvelope)


def encode_envelope(envelope: CatalogueEnvelope) -> bytes:
    """Encode a record of the stream."""
    return _encoder.encode(envelope)


def decode_envelope(data: bytes) -> CatalogueRecord:
    """Decode a record of the stream.

    Parameters
    ----------
    data : bytes
        Content of the record.

    Returns
    -------
    CatalogueEnvelope, UnsupportedRecord or MalformedRecord
        Depends only on `data` and on this version's schema, so that all VMs of
        one version decide alike.
    """
    try:
        header = _header_decoder.decode(data)
        if header.schema > SCHEMA:
            return UnsupportedRecord(schema=header.schema)
        envelope = _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return MalformedRecord(reason=str(error))
    if len(envelope.entries) > MAX_EDITS_PER_RECORD:
        return MalformedRecord(reason="too many edits in one record")
    return envelope


def is_snapshot(record: CatalogueRecord) -> bool:
    """Return whether a record holds a snapshot."""
    return isinstance(record, CatalogueEnvelope) and any(
        isinstance(entry, CatalogueSnapshot) for entry in record.entries
    )
