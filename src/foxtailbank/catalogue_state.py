"""The catalogue's state, and its encoding as a snapshot."""

import dataclasses

import msgspec
import xxhash

from foxtailbank.catalogue_records import CatalogueSnapshot
from foxtailbank.entry import Entry
from foxtailbank.sentinels import Missing

DAMAGED_SNAPSHOT = Missing(reason="damaged_snapshot")


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionedEntry:
    """An entry and its version.

    Attributes
    ----------
    version : int
        Version of the edit that set the content; increases over all entries.
    entry : Entry
        The content.
    """

    version: int
    entry: Entry


@dataclasses.dataclass(frozen=True, kw_only=True)
class HistoryItem:
    """An edit that took effect.

    Attributes
    ----------
    version : int
        Version after the edit.
    based_on : int
        Version before the edit; 0 if there was no entry.
    entry : Entry or None
        New content; None if the edit deleted the entry.
    edit_id : str
        ID of the edit.
    by : str
        Operator who made the edit.
    at_ms : int
        Wall time of the edit in milliseconds.
    """

    version: int
    based_on: int
    entry: Entry | None
    edit_id: str
    by: str
    at_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Incarnation:
    """Last record applied from one run of a VM's process.

    Attributes
    ----------
    name : str
        Identifies the run.
    sequence : int
        Number of the record.
    """

    name: str
    sequence: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class CatalogueState:
    """State from which a VM can continue the replay.

    Attributes
    ----------
    applied_offset : int
        Last offset applied.
    entries : tuple of VersionedEntry
        Sorted by name.
    history_by_name : dict of str to tuple of HistoryItem
        Latest edits of each entry, oldest first.
    incarnations : tuple of Incarnation
        Sorted by offset of their last record.
    """

    applied_offset: int
    entries: tuple[VersionedEntry, ...]
    history_by_name: dict[str, tuple[HistoryItem, ...]]
    incarnations: tuple[Incarnation, ...]


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(CatalogueState)


def state_digest(state: CatalogueState) -> str:
    """Return a digest to compare states by; equal states have equal digests."""
    return xxhash.xxh3_128_hexdigest(_encoder.encode(state))


def encode_snapshot(state: CatalogueState) -> CatalogueSnapshot:
    """Encode a state.

    Parameters
    ----------
    state : CatalogueState
        State to encode.

    Returns
    -------
    CatalogueSnapshot
        Holds the last offset that it covers and the digest of its content.
    """
    content = _encoder.encode(state)
    return CatalogueSnapshot(
        covers_offset=state.applied_offset,
        digest=xxhash.xxh3_128_hexdigest(content),
        content=msgspec.Raw(content),
    )


def decode_snapshot(snapshot: CatalogueSnapshot) -> CatalogueState | Missing:
    """Decode a snapshot.

    Parameters
    ----------
    snapshot : CatalogueSnapshot
        From the log or from a peer.

    Returns
    -------
    CatalogueState or Missing
        Missing if the digest differs or the content cannot be decoded.
    """
    content = bytes(snapshot.content)
    if xxhash.xxh3_128_hexdigest(content) != snapshot.digest:
        return DAMAGED_SNAPSHOT
    try:
        state = _decoder.decode(content)
    except msgspec.DecodeError:
        return DAMAGED_SNAPSHOT
    if state.applied_offset != snapshot.covers_offset:
        return DAMAGED_SNAPSHOT
    return state
