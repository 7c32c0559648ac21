"""Latest records of a stream, kept to be passed on to peers."""

import collections

from foxtailbank.log_service import LogRecord
from foxtailbank.sentinels import Missing

MAX_CACHE_BYTES = 2 * 1024 * 1024
TOO_OLD = Missing(reason="records_too_old")


class RecordCache:
    """Consecutive records up to the last one applied, bounded in bytes.

    Parameters
    ----------
    max_bytes : int
        Bound on the content kept.
    """

    def __init__(self, *, max_bytes: int = MAX_CACHE_BYTES) -> None:
        self._max_bytes = max_bytes
        self._records: collections.deque[LogRecord] = collections.deque()
        self._size_bytes = 0

    def add(self, record: LogRecord) -> None:
        """Keep a record; one that does not follow on replaces all others."""
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
        """Return records from an offset on.

        Parameters
        ----------
        from_offset : int
            First offset wanted.
        max_bytes : int
            Bound on the content; at least one record is returned if there is one.

        Returns
        -------
        tuple of LogRecord or Missing
            Missing if the first wanted record is no longer kept.
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
