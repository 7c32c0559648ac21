"""What a catalogue says of each edit that it has judged."""

import dataclasses
import enum
import typing as t

from foxtailbank.entry import Entry


class ConflictReason(enum.Enum):
    """Why an edit lost."""

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
        Version that the edit made.
    entry : Entry or None
        New content; None if the entry was deleted.
    edit_id : str
        The edit.
    """

    name: str
    version: int
    entry: Entry | None
    edit_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class EditConflict:
    """An edit had no effect, on any VM.

    Attributes
    ----------
    name : str
        Name of the entry.
    edit_id : str
        The edit.
    based_on : int
        Version that the edit named.
    current : int
        Version that stands; 0 if there is no such entry.
    reason : ConflictReason
        Why it lost.
    """

    name: str
    edit_id: str
    based_on: int
    current: int
    reason: ConflictReason


@dataclasses.dataclass(frozen=True, kw_only=True)
class DuplicateDropped:
    """A record was appended twice after a lost answer.

    Attributes
    ----------
    incarnation : str
        Who appended it.
    sequence : int
        Its number.
    """

    incarnation: str
    sequence: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RecordSkipped:
    """A record that no version accepts was passed over.

    Attributes
    ----------
    offset : int
        Where it stands.
    reason : str
        What is wrong with it.
    """

    offset: int
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplayBlocked:
    """A record of a later schema stops the replay until the VM is upgraded.

    Attributes
    ----------
    offset : int
        Where the record stands; nothing from there on is applied.
    schema : int
        Schema of the record.
    """

    offset: int
    schema: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class CatalogueRestored:
    """The state was taken over from a snapshot.

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
