"""Append-only stream of the platform stand-in's log service."""

import collections
import struct

import anyio

from foxtailbank_bench.asgi import MalformedRequest

FRAME_HEADER = struct.Struct(">QI")


class LogStream:
    """Append-only records in memory, addressed by offset.

    Parameters
    ----------
    retention_records : int
        Maximum number of records kept; 0 keeps all.
    """

    def __init__(self, *, retention_records: int = 0) -> None:
        self._records: collections.deque[bytes] = collections.deque()
        self._retention_records = retention_records
        self._earliest = 0
        self._appended = anyio.Event()
        self.appended_bytes = 0
        self.reads = 0

    @property
    def earliest(self) -> int:
        """Offset of the oldest record still kept."""
        return self._earliest

    @property
    def end(self) -> int:
        """Offset that the next append will get."""
        return self._earliest + len(self._records)

    def append(self, data: bytes) -> int:
        """Append a record and return its offset."""
        offset = self.end
        self._records.append(data)
        self.appended_bytes += len(data)
        self._drop_expired()
        self.wake_readers()
        return offset

    def set_retention(self, *, records: int) -> None:
        """Set the maximum number of records kept; 0 keeps all."""
        self._retention_records = records
        self._drop_expired()

    def wake_readers(self) -> None:
        """Wake waiting readers, so that they check the stream again."""
        appended, self._appended = self._appended, anyio.Event()
        appended.set()

    async def wait_for_record(self, *, offset: int, timeout_s: float) -> None:
        """Wait for the next append or wake-up, unless the offset has a record.

        Parameters
        ----------
        offset : int
            Offset to wait for.
        timeout_s : float
            Maximum wait, in seconds.
        """
        if offset < self.end:
            return
        with anyio.move_on_after(timeout_s):
            await self._appended.wait()

    def frames(self, *, offset: int, max_bytes: int) -> bytes:
        """Return framed records, starting at an offset.

        Parameters
        ----------
        offset : int
            First offset; not below `earliest`.
        max_bytes : int
            Maximum size of the content. The first record is returned even if it
            is larger.

        Raises
        ------
        MalformedRequest
            The offset is below `earliest`.
        """
        if offset < self._earliest:
            raise MalformedRequest("offset is below the earliest retained record")
        parts: list[bytes] = []
        size = 0
        self.reads += 1
        for position in range(offset, self.end):
            # A deque indexes from the nearer end; readers are mostly near the tail.
            data = self._records[position - self._earliest]
            size += len(data)
            if parts and size > max_bytes:
                break
            parts.append(FRAME_HEADER.pack(position, len(data)))
            parts.append(data)
        return b"".join(parts)

    def _drop_expired(self) -> None:
        if not self._retention_records:
            return
        while len(self._records) > self._retention_records:
            self._records.popleft()
            self._earliest += 1
