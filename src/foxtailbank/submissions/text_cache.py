"""Outputs of items that this VM holds beside the ledger."""

import collections
import sys


class TextCache:
    """Texts by key, up to a size; those that were not used for longest go first.

    Parameters
    ----------
    max_bytes : int
        Most memory for the texts, in bytes.
    """

    def __init__(self, *, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._size_bytes = 0
        self._text_by_key: collections.OrderedDict[str, str] = collections.OrderedDict()

    def get(self, key: str) -> str | None:
        """Return a text, or None if it is not held."""
        text = self._text_by_key.get(key)
        if text is not None:
            self._text_by_key.move_to_end(key)
        return text

    def put(self, key: str, text: str) -> None:
        """Hold a text, and drop others for it."""
        if key in self._text_by_key:
            return
        self._text_by_key[key] = text
        self._size_bytes += _memory_bytes(key, text)
        while self._size_bytes > self._max_bytes:
            dropped_key, dropped = self._text_by_key.popitem(last=False)
            self._size_bytes -= _memory_bytes(dropped_key, dropped)


def _memory_bytes(key: str, text: str) -> int:
    return sys.getsizeof(key) + sys.getsizeof(text)
