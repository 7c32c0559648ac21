"""Lookups of catalogue entries by key and by owner."""

import typing as t

from foxtailbank.entry import Entry, EntryKind, WorkClass
from foxtailbank.sentinels import NOT_FOUND, Missing

_ModelKey: t.TypeAlias = tuple[str, str, WorkClass]


class CatalogueIndex:
    """Entries by key hash, by owner, and by key hash and model."""

    def __init__(self) -> None:
        self._by_key: dict[str, tuple[Entry, ...]] = {}
        self._by_owner: dict[str, tuple[Entry, ...]] = {}
        self._by_model: dict[_ModelKey, tuple[Entry, ...]] = {}

    def add(self, entry: Entry) -> None:
        """Add an entry that is not yet indexed."""
        _insert(self._by_owner, entry.owner, entry)
        for key_hash in set(entry.key_hashes):
            _insert(self._by_key, key_hash, entry)
            if entry.kind is EntryKind.ENGINE:
                _insert(
                    self._by_model, (key_hash, entry.model, entry.work_class), entry
                )

    def remove(self, entry: Entry) -> None:
        """Remove an entry that was added before."""
        _discard(self._by_owner, entry.owner, entry)
        for key_hash in set(entry.key_hashes):
            _discard(self._by_key, key_hash, entry)
            if entry.kind is EntryKind.ENGINE:
                _discard(
                    self._by_model, (key_hash, entry.model, entry.work_class), entry
                )

    def owner_of_key(self, key_hash: str, *, exclude: str = "") -> str:
        """Return the owner of a key.

        Parameters
        ----------
        key_hash : str
            Hash of a key.
        exclude : str
            Name of an entry to ignore.

        Returns
        -------
        str
            The owner; empty if no other entry has the key.
        """
        for entry in self._by_key.get(key_hash, ()):
            if entry.name != exclude:
                return entry.owner
        return ""

    def entries_of_key(self, key_hash: str) -> tuple[Entry, ...]:
        """Return the entries that a key gives access to, sorted by name."""
        return self._by_key.get(key_hash, ())

    def entries_of_owner(self, owner: str) -> tuple[Entry, ...]:
        """Return the entries of an owner, sorted by name."""
        return self._by_owner.get(owner, ())

    def entry_for_model(
        self, key_hash: str, model: str, work_class: WorkClass
    ) -> Entry | Missing:
        """Return the first engine entry by name for a key, model and class."""
        entries = self._by_model.get((key_hash, model, work_class))
        return entries[0] if entries else NOT_FOUND


K = t.TypeVar("K")


def _insert(index: dict[K, tuple[Entry, ...]], key: K, entry: Entry) -> None:
    entries = (*index.get(key, ()), entry)
    index[key] = tuple(sorted(entries, key=lambda item: item.name))


def _discard(index: dict[K, tuple[Entry, ...]], key: K, entry: Entry) -> None:
    rest = tuple(item for item in index.get(key, ()) if item.name != entry.name)
    if rest:
        index[key] = rest
    else:
        index.pop(key, None)
