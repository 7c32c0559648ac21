"""Outcomes of catalogue records and edits, as `Catalogue.apply` returns them."""

import dataclasses
import enum
import typing as t

from foxtailbank.entry import Entry


class ConflictReason(enum.Enum):
    """Why an edit was rejected."""

    VERSION = "version"
    KEY_OF_OTHER_OWNER = "key_of_other_owner"
    NAME_DIFFERS = "name_differs"


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryChanged:
    """An edit took effect.

    Attributes
    ----------
    name : str
        Name of the entry.
    version : int
        Version after the edit.
    entry : Entry or None
        New content; None if the entry was deleted.
    edit_id : str
        ID of the edit.
    """

    name: str
    version: int
    entry: Entry | None
    edit_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class EditConflict:
    """An edit was rejected, as on every other VM.

    Attributes
    ----------
    name : str
        Name of the entry.
    edit_id : str
        ID of the edit.
    based_on : int
        Version that the edit was based on.
    current : int
        Current version; 0 if there is no such entry.
    reason : ConflictReason
        Why the edit was rejected.
    """

    name: str
    edit_id: str
    based_on: int
    current: int
    reason: ConflictReason


@dataclasses.dataclass(frozen=True, kw_only=True)
class DuplicateDropped:
    """A second copy of a record was dropped.

    A writer appends a record again if the log's response was lost.

    Attributes
    ----------
    incarnation : str
        Process run that appended the record.
    sequence : int
        Number of the record within its incarnation.
    """

    incarnation: str
    sequence: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RecordSkipped:
    """A malformed record was skipped.

    Attributes
    ----------
    offset : int
        Offset of the record.
    reason : str
        Why the record is malformed.
    """

    offset: int
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplayBlocked:
    """A record of a newer schema blocks the replay until the VM is upgraded.

    Attributes
    ----------
    offset : int
        Offset of the record; neither it nor any later record is applied.
    schema : int
        Schema of the record.
    """

    offset: int
    schema: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class CatalogueRestored:
    """The state was replaced by that of a snapshot.

    Attributes
    ----------
    offset : int
        Last offset that the snapshot includes.
    """

    offset: int


CatalogueEvent: t.TypeAlias = (
    EntryChanged
    | EditConflict
    | DuplicateDropped
    | RecordSkipped
    | ReplayBlocked
    | CatalogueRestored
)
