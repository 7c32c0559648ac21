"""The replicated catalogue: replay of logged edits, and lookups of entries."""

import collections
import typing as t

from foxtailbank.catalogue_events import (
    CatalogueEvent,
    ConflictReason,
    DuplicateDropped,
    EditConflict,
    EntryChanged,
    RecordSkipped,
    ReplayBlocked,
)
from foxtailbank.catalogue_history import CatalogueHistory
from foxtailbank.catalogue_index import CatalogueIndex
from foxtailbank.catalogue_records import (
    MAX_EDITS_PER_RECORD,
    CatalogueEdit,
    CatalogueEnvelope,
    CatalogueRecord,
    CatalogueSnapshot,
    EntryDeleted,
    EntryPut,
    MalformedRecord,
    UnsupportedRecord,
)
from foxtailbank.catalogue_state import (
    CatalogueState,
    HistoryItem,
    Incarnation,
    VersionedEntry,
)
from foxtailbank.entry import Entry, WorkClass
from foxtailbank.sentinels import NOT_FOUND, Missing

MAX_INCARNATIONS = 1024
BEFORE_FIRST = -1


class Catalogue:
    """Entries that result from replaying the log's records in order.

    Every VM that has applied the same records holds the same state. The state
    never moves backwards: records at offsets already applied are ignored.
    """

    def __init__(self) -> None:
        self._applied_offset = BEFORE_FIRST
        self._blocked: ReplayBlocked | None = None
        self._versioned_by_name: dict[str, VersionedEntry] = {}
        self._history = CatalogueHistory()
        self._sequence_by_incarnation: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._index = CatalogueIndex()

    @property
    def applied_offset(self) -> int:
        """Last offset applied; -1 before the first."""
        return self._applied_offset

    @property
    def blocked(self) -> ReplayBlocked | None:
        """Set while a record of a newer schema blocks the replay."""
        return self._blocked

    def apply(self, offset: int, record: CatalogueRecord) -> tuple[CatalogueEvent, ...]:
        """Apply one record.

        Parameters
        ----------
        offset : int
            Offset of the record in the stream.
        record : CatalogueEnvelope, UnsupportedRecord or MalformedRecord
            As `decode_envelope` returned it.

        Returns
        -------
        tuple of CatalogueEvent
            One for each edit, or one for a record that is not applied; empty if
            the offset was applied before.
        """
        if offset <= self._applied_offset:
            return ()
        if self._blocked is not None and offset >= self._blocked.offset:
            return (self._blocked,)
        if isinstance(record, UnsupportedRecord):
            self._blocked = ReplayBlocked(offset=offset, schema=record.schema)
            return (self._blocked,)
        self._applied_offset = offset
        if isinstance(record, MalformedRecord):
            return (RecordSkipped(offset=offset, reason=record.reason),)
        if self._is_duplicate(record):
            duplicate = DuplicateDropped(
                incarnation=record.incarnation, sequence=record.sequence
            )
            return (duplicate,)
        return self._apply_edits(offset, record)

    def _is_duplicate(self, envelope: CatalogueEnvelope) -> bool:
        """Tell whether a record was applied before; if not, record its number."""
        sequences = self._sequence_by_incarnation
        last = sequences.get(envelope.incarnation)
        if last is not None and envelope.sequence <= last:
            return True
        sequences[envelope.incarnation] = envelope.sequence
        sequences.move_to_end(envelope.incarnation)
        if len(sequences) > MAX_INCARNATIONS:
            sequences.popitem(last=False)
        return False

    def _apply_edits(
        self, offset: int, envelope: CatalogueEnvelope
    ) -> tuple[CatalogueEvent, ...]:
        events: list[CatalogueEvent] = []
        for index, edit in enumerate(envelope.entries):
            if isinstance(edit, CatalogueSnapshot):
                continue
            version = offset * MAX_EDITS_PER_RECORD + index + 1
            events.append(self._apply_edit(version, edit))
        return tuple(events)

    def _apply_edit(self, version: int, edit: CatalogueEdit) -> CatalogueEvent:
        reason = self._conflict_reason(edit)
        if reason is not None:
            return EditConflict(
                name=edit.name,
                edit_id=edit.edit_id,
                based_on=edit.based_on,
                current=self.version(edit.name),
                reason=reason,
            )
        entry = edit.entry if isinstance(edit, EntryPut) else None
        self._set_entry(edit.name, version, entry)
        self._add_to_history(edit, version, entry)
        return EntryChanged(
            name=edit.name, version=version, entry=entry, edit_id=edit.edit_id
        )

    def _conflict_reason(self, edit: CatalogueEdit) -> ConflictReason | None:
        current = self.version(edit.name)
        if edit.based_on != current:
            return ConflictReason.VERSION
        if isinstance(edit, EntryDeleted):
            return None if current else ConflictReason.VERSION
        if edit.entry.name != edit.name:
            return ConflictReason.NAME_DIFFERS
        for key_hash in edit.entry.key_hashes:
            owner = self._index.owner_of_key(key_hash, exclude=edit.name)
            if owner and owner != edit.entry.owner:
                return ConflictReason.KEY_OF_OTHER_OWNER
        return None

    def _set_entry(self, name: str, version: int, entry: Entry | None) -> None:
        old = self._versioned_by_name.pop(name, None)
        if old is not None:
            self._index.remove(old.entry)
        if entry is not None:
            self._versioned_by_name[name] = VersionedEntry(version=version, entry=entry)
            self._index.add(entry)

    def _add_to_history(
        self, edit: CatalogueEdit, version: int, entry: Entry | None
    ) -> None:
        item = HistoryItem(
            version=version,
            based_on=edit.based_on,
            entry=entry,
            edit_id=edit.edit_id,
            by=edit.by,
            at_ms=edit.at_ms,
        )
        self._history.add(edit.name, item)

    def version(self, name: str) -> int:
        """Return the version of an entry; 0 if there is no such entry."""
        versioned = self._versioned_by_name.get(name)
        return versioned.version if versioned is not None else 0

    def entry(self, name: str) -> Entry | Missing:
        """Return the entry with a name."""
        versioned = self._versioned_by_name.get(name)
        return versioned.entry if versioned is not None else NOT_FOUND

    @property
    def entries_by_name(self) -> dict[str, Entry]:
        """All entries; a copy."""
        return {name: v.entry for name, v in self._versioned_by_name.items()}

    def owner_of_key(self, key_hash: str) -> str:
        """Return the owner of a key; empty if the key is unknown."""
        return self._index.owner_of_key(key_hash)

    def entries_of_key(self, key_hash: str) -> tuple[Entry, ...]:
        """Return the entries that a key gives access to, sorted by name."""
        return self._index.entries_of_key(key_hash)

    def entries_of_owner(self, owner: str) -> tuple[Entry, ...]:
        """Return the entries of an owner, sorted by name."""
        return self._index.entries_of_owner(owner)

    def entry_for_model(
        self, *, key_hash: str, model: str, work_class: WorkClass = WorkClass.ONLINE
    ) -> Entry | Missing:
        """Return the engine entry that serves a model to the holder of a key.

        Parameters
        ----------
        key_hash : str
            Hash of the caller's key.
        model : str
            Model that the caller asks for.
        work_class : WorkClass
            Whether the request is online or batch.

        Returns
        -------
        Entry or Missing
            The first by name if several match; missing if none does.
        """
        return self._index.entry_for_model(key_hash, model, work_class)

    def history(self, name: str) -> tuple[HistoryItem, ...]:
        """Return the latest edits that changed an entry, oldest first."""
        return self._history.items(name)

    def state(self) -> CatalogueState:
        """Return the state from which another VM can continue the replay."""
        sequences = self._sequence_by_incarnation.items()
        return CatalogueState(
            applied_offset=self._applied_offset,
            entries=tuple(
                self._versioned_by_name[name]
                for name in sorted(self._versioned_by_name)
            ),
            history_by_name=self._history.items_by_name(),
            incarnations=tuple(
                Incarnation(name=name, sequence=sequence)
                for name, sequence in sequences
            ),
        )

    def restore(self, state: CatalogueState) -> bool:
        """Replace the state by one from a snapshot or a peer.

        Parameters
        ----------
        state : CatalogueState
            State as `state` returned it, here or on another VM.

        Returns
        -------
        bool
            False, with nothing changed, if the state is not ahead of this one.
        """
        if state.applied_offset <= self._applied_offset:
            return False
        self._applied_offset = state.applied_offset
        if self._blocked is not None and self._blocked.offset <= state.applied_offset:
            self._blocked = None
        self._versioned_by_name = {v.entry.name: v for v in state.entries}
        self._history = CatalogueHistory()
        self._history.restore(state.history_by_name)
        self._sequence_by_incarnation = collections.OrderedDict(
            (item.name, item.sequence) for item in state.incarnations
        )
        self._index = CatalogueIndex()
        for versioned in state.entries:
            self._index.add(versioned.entry)
        return True


def changed_names(events: t.Iterable[CatalogueEvent]) -> tuple[str, ...]:
    """Return the names of the entries that were changed or deleted."""
    return tuple(event.name for event in events if isinstance(event, EntryChanged))
