"""Bound on the memory that request bodies take on one VM."""

import collections

import anyio

from foxtailbank.clock import MS_PER_S

UNCOUNTED_BYTES = 65_536  # of each body, which is as much as a connection's buffers


class BodyMemory:
    """Memory for the bodies of all requests that are read or handled.

    A body waits for those before it, so that small VMs are not killed for memory when
    many large requests come at once.

    Parameters
    ----------
    capacity_bytes : int
        Memory for all bodies together.
    """

    def __init__(self, *, capacity_bytes: int) -> None:
        self._capacity_bytes = capacity_bytes
        self._free_bytes = capacity_bytes
        self._waiting: collections.deque[tuple[int, anyio.Event]] = collections.deque()

    async def reserve(self, size_bytes: int, timeout_ms: int) -> bool:
        """Reserve memory, waiting until it is free; return whether it was in time.

        Parameters
        ----------
        size_bytes : int
            Memory for one body; a body larger than the capacity gets all of it.
        timeout_ms : int
            Longest wait, in milliseconds.
        """
        if not self._waiting and self.reserve_now(size_bytes):
            return True
        entry = (self.counted(size_bytes), anyio.Event())
        self._waiting.append(entry)
        try:
            with anyio.move_on_after(timeout_ms / MS_PER_S):
                await entry[1].wait()
        finally:
            if entry in self._waiting:
                self._waiting.remove(entry)
        return bool(entry[1].is_set())

    def reserve_now(self, size_bytes: int) -> bool:
        """Reserve memory if it is free; return whether it was."""
        counted = self.counted(size_bytes)
        if counted > self._free_bytes:
            return False
        self._free_bytes -= counted
        return True

    def release(self, size_bytes: int) -> None:
        """Release memory that was reserved for a body of this size."""
        self._free_bytes += self.counted(size_bytes)
        while self._waiting and self._waiting[0][0] <= self._free_bytes:
            counted, granted = self._waiting.popleft()
            self._free_bytes -= counted
            granted.set()

    def counted(self, size_bytes: int) -> int:
        """Return how much of a body counts."""
        return min(max(0, size_bytes - UNCOUNTED_BYTES), self._capacity_bytes)


class BodyReservation:
    """Memory of one body, from its head until its request is answered.

    Parameters
    ----------
    memory : BodyMemory or None
        Memory of all bodies; None if it is not bounded.
    """

    def __init__(self, *, memory: BodyMemory | None) -> None:
        self._memory = memory
        self._size_bytes = 0

    @property
    def size_bytes(self) -> int:
        """Size of the body for which memory is reserved, in bytes."""
        return self._size_bytes

    async def reserve(self, size_bytes: int, timeout_ms: int) -> bool:
        """Reserve memory for a body of a known size; see `BodyMemory.reserve`."""
        if self._memory is None or not self._memory.counted(size_bytes):
            return True
        if not await self._memory.reserve(size_bytes, timeout_ms):
            return False
        self._size_bytes = size_bytes
        return True

    def grow(self, size_bytes: int) -> bool:
        """Reserve memory for a body that has grown; return whether it was free."""
        if self._memory is None or size_bytes <= self._size_bytes:
            return True
        self._memory.release(self._size_bytes)
        if self._memory.reserve_now(size_bytes):
            self._size_bytes = size_bytes
            return True
        self._size_bytes = 0
        return False

    def release(self) -> None:
        """Release the memory."""
        if self._memory is not None:
            self._memory.release(self._size_bytes)
        self._size_bytes = 0
