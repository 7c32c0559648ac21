"""The latest edits of each catalogue entry."""

import collections

from foxtailbank.catalogue_state import HistoryItem

MAX_HISTORY_ITEMS_PER_ENTRY = 8
MAX_HISTORY_ITEMS = 4096


class CatalogueHistory:
    """Latest edits that took effect, bounded for each entry and in total."""

    def __init__(self) -> None:
        self._items_by_name: dict[str, tuple[HistoryItem, ...]] = {}
        self._name_by_version: collections.OrderedDict[int, str] = (
            collections.OrderedDict()
        )

    def add(self, name: str, item: HistoryItem) -> None:
        """Add an edit of an entry and drop the oldest edits beyond the bounds.

        Parameters
        ----------
        name : str
            Name of the entry.
        item : HistoryItem
            Its version is higher than that of any item added before.
        """
        self._items_by_name[name] = (*self._items_by_name.get(name, ()), item)
        self._name_by_version[item.version] = name
        if len(self._items_by_name[name]) > MAX_HISTORY_ITEMS_PER_ENTRY:
            self._drop_oldest(name)
        if len(self._name_by_version) > MAX_HISTORY_ITEMS:
            self._drop_oldest(next(iter(self._name_by_version.values())))

    def _drop_oldest(self, name: str) -> None:
        oldest, *rest = self._items_by_name[name]
        del self._name_by_version[oldest.version]
        if rest:
            self._items_by_name[name] = tuple(rest)
        else:
            del self._items_by_name[name]

    def items(self, name: str) -> tuple[HistoryItem, ...]:
        """Return the edits of an entry, oldest first."""
        return self._items_by_name.get(name, ())

    def items_by_name(self) -> dict[str, tuple[HistoryItem, ...]]:
        """Return all edits, sorted by name of the entry."""
        return {name: self._items_by_name[name] for name in sorted(self._items_by_name)}

    def restore(self, items_by_name: dict[str, tuple[HistoryItem, ...]]) -> None:
        """Replace all edits by those of a state."""
        self._items_by_name = dict(items_by_name)
        versions = [
            (item.version, name)
            for name, items in items_by_name.items()
            for item in items
        ]
        self._name_by_version = collections.OrderedDict(sorted(versions))
