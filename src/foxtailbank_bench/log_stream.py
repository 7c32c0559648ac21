"""One append-only stream of the platform stand-in."""

import collections
import struct

import anyio

from foxtailbank_bench.asgi import Malformed

FRAME_HEAD = struct.Struct(">QI")


class LogStream:
    """Records in memory, addressed by offset.

    Parameters
    ----------
    retention_records : int
        Most records kept; 0 keeps all.
    """

    def __init__(self, *, retention_records: int = 0) -> None:
        self._records: collections.deque[bytes] = collections.deque()
        self._retention_records = retention_records
        self._earliest = 0
        self._grown = anyio.Event()
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
        self._expire()
        self.wake()
        return offset

    def set_retention(self, *, records: int) -> None:
        """Keep at most a number of records; 0 keeps all."""
        self._retention_records = records
        self._expire()

    def wake(self) -> None:
        """Let waiting readers look again."""
        grown, self._grown = self._grown, anyio.Event()
        grown.set()

    async def wait_for_growth(self, *, offset: int, wait_s: float) -> None:
        """Wait until there is a record at an offset, or for the given time.

        Parameters
        ----------
        offset : int
            Offset that a record is wanted at.
        wait_s : float
            Bound on the wait, in seconds.
        """
        if offset < self.end:
            return
        with anyio.move_on_after(wait_s):
            await self._grown.wait()

    def frames(self, *, offset: int, max_bytes: int) -> bytes:
        """Return records from an offset on, framed.

        Parameters
        ----------
        offset : int
            First offset; not below `earliest`.
        max_bytes : int
            Bound on the content; one record is returned in any case.
        """
        if offset < self._earliest:
            raise Malformed("offset below the retention")
        parts: list[bytes] = []
        size = 0
        self.reads += 1
        for position in range(offset, self.end):
            # Deques index from the nearer end, and readers follow the tail.
            data = self._records[position - self._earliest]
            size += len(data)
            if parts and size > max_bytes:
                break
            parts.append(FRAME_HEAD.pack(position, len(data)))
            parts.append(data)
        return b"".join(parts)

    def _expire(self) -> None:
        if not self._retention_records:
            return
        while len(self._records) > self._retention_records:
            self._records.popleft()
            self._earliest += 1
