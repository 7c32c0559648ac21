"""Cache of the latest records of a stream, served to peers."""

import collections

from foxtailbank.log_service import LogRecord
from foxtailbank.sentinels import Missing

MAX_CACHE_BYTES = 2 * 1024 * 1024
TOO_OLD = Missing(reason="records_too_old")


class RecordCache:
    """Size-bounded cache of consecutive records up to the last applied one.

    Parameters
    ----------
    max_bytes : int
        Maximum total size of the records' data.
    """

    def __init__(self, *, max_bytes: int = MAX_CACHE_BYTES) -> None:
        self._max_bytes = max_bytes
        self._records: collections.deque[LogRecord] = collections.deque()
        self._size_bytes = 0

    def add(self, record: LogRecord) -> None:
        """Add a record. A gap in the offsets clears the cache first."""
        if self._records and record.offset != self._records[-1].offset + 1:
            self._records.clear()
            self._size_bytes = 0
        self._records.append(record)
        self._size_bytes += len(record.data)
        while self._size_bytes > self._max_bytes and len(self._records) > 1:
            self._size_bytes -= len(self._records.popleft().data)

    def since(
        self, from_offset: int, *, max_bytes: int
    ) -> tuple[LogRecord, ...] | Missing:
        """Return records starting at an offset.

        Parameters
        ----------
        from_offset : int
            Offset of the first record.
        max_bytes : int
            Maximum total size. The first record is returned even if it is larger.

        Returns
        -------
        tuple of LogRecord or Missing
            Missing if the first record is no longer cached.
        """
        if not self._records:
            return TOO_OLD
        first = self._records[0].offset
        if from_offset < first:
            return TOO_OLD
        found: list[LogRecord] = []
        size = 0
        for index in range(from_offset - first, len(self._records)):
            record = self._records[index]
            size += len(record.data)
            if found and size > max_bytes:
                break
            found.append(record)
        return tuple(found)
