"""Lookups of catalogue entries by key and by owner."""

import typing as t

from foxtailbank.entry import Entry, Kind, WorkClass
from foxtailbank.sentinels import NOT_FOUND, Missing

_ModelKey: t.TypeAlias = tuple[str, str, WorkClass]


class CatalogueIndex:
    """Entries by key hash, by owner, and by key hash and model."""

    def __init__(self) -> None:
        self._by_key: dict[str, tuple[Entry, ...]] = {}
        self._by_owner: dict[str, tuple[Entry, ...]] = {}
        self._by_model: dict[_ModelKey, tuple[Entry, ...]] = {}

    def add(self, entry: Entry) -> None:
        """Take in an entry that is not yet indexed."""
        _insert(self._by_owner, entry.owner, entry)
        for hashed in set(entry.key_hashes):
            _insert(self._by_key, hashed, entry)
            if entry.kind is Kind.ENGINE:
                _insert(self._by_model, (hashed, entry.model, entry.work_class), entry)

    def remove(self, entry: Entry) -> None:
        """Drop an entry that was added before."""
        _discard(self._by_owner, entry.owner, entry)
        for hashed in set(entry.key_hashes):
            _discard(self._by_key, hashed, entry)
            if entry.kind is Kind.ENGINE:
                _discard(self._by_model, (hashed, entry.model, entry.work_class), entry)

    def owner_of(self, hashed: str, *, except_for: str = "") -> str:
        """Return who owns a key hash, leaving one entry out of account.

        Parameters
        ----------
        hashed : str
            Hash of a key.
        except_for : str
            Name of an entry that is not looked at.

        Returns
        -------
        str
            The owner; empty if there is none.
        """
        for entry in self._by_key.get(hashed, ()):
            if entry.name != except_for:
                return entry.owner
        return ""

    def entries_of_key(self, hashed: str) -> tuple[Entry, ...]:
        """Return the entries that a key's hash opens, in order of name."""
        return self._by_key.get(hashed, ())

    def entries_of_owner(self, owner: str) -> tuple[Entry, ...]:
        """Return the entries of an owner, in order of name."""
        return self._by_owner.get(owner, ())

    def entry_for_model(
        self, hashed: str, model: str, work_class: WorkClass
    ) -> Entry | Missing:
        """Return the first engine entry by name for a key's hash and a model."""
        entries = self._by_model.get((hashed, model, work_class))
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
