"""The catalogue's state as it is kept and handed on."""

import dataclasses

import msgspec
import xxhash

from foxtailbank.catalogue_records import CatalogueSnapshot
from foxtailbank.entry import Entry
from foxtailbank.sentinels import Missing

DAMAGED = Missing(reason="damaged_snapshot")


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionedEntry:
    """An entry and the version of the edit that made it.

    Attributes
    ----------
    version : int
        Rises with every edit of the catalogue.
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
        Version that it made.
    based_on : int
        Version that it replaced; 0 if there was none.
    entry : Entry or None
        Content that it set; None if it deleted the entry.
    edit_id : str
        The edit.
    by : str
        Who made it.
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
    """The last record that was seen of one run of a VM's process.

    Attributes
    ----------
    name : str
        The incarnation.
    sequence : int
        Number of its last record.
    """

    name: str
    sequence: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class CatalogueState:
    """All that a VM needs to go on from an offset.

    Attributes
    ----------
    applied_offset : int
        Last offset included.
    entries : tuple of VersionedEntry
        In order of name.
    history_by_name : dict of str to tuple of HistoryItem
        Latest edits of each entry, oldest first.
    incarnations : tuple of Incarnation
        In order of their last record.
    """

    applied_offset: int
    entries: tuple[VersionedEntry, ...]
    history_by_name: dict[str, tuple[HistoryItem, ...]]
    incarnations: tuple[Incarnation, ...]


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(CatalogueState)


def state_digest(state: CatalogueState) -> str:
    """Return a digest that is equal for equal states."""
    return xxhash.xxh3_128_hexdigest(_encoder.encode(state))


def take_snapshot(state: CatalogueState) -> CatalogueSnapshot:
    """Encode a state as a log entry.

    Parameters
    ----------
    state : CatalogueState
        State to keep.

    Returns
    -------
    CatalogueSnapshot
        With the offset that it covers and its digest.
    """
    content = _encoder.encode(state)
    return CatalogueSnapshot(
        covers_offset=state.applied_offset,
        digest=xxhash.xxh3_128_hexdigest(content),
        content=msgspec.Raw(content),
    )


def read_snapshot(snapshot: CatalogueSnapshot) -> CatalogueState | Missing:
    """Decode a snapshot.

    Parameters
    ----------
    snapshot : CatalogueSnapshot
        From the log or from a peer.

    Returns
    -------
    CatalogueState or Missing
        Missing if the digest or the content does not fit.
    """
    content = bytes(snapshot.content)
    if xxhash.xxh3_128_hexdigest(content) != snapshot.digest:
        return DAMAGED
    try:
        state = _decoder.decode(content)
    except msgspec.DecodeError:
        return DAMAGED
    if state.applied_offset != snapshot.covers_offset:
        return DAMAGED
    return state
