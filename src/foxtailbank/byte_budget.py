"""Rate limit on the bytes sent per second."""

from foxtailbank import clock


class ByteBudget:
    """Token bucket over bytes with a capacity of one second's rate.

    Parameters
    ----------
    bytes_per_s : int
        Refill rate, and capacity of the bucket.
    now_ms : int
        Current time in milliseconds.
    """

    def __init__(self, *, bytes_per_s: int, now_ms: int) -> None:
        self._bytes_per_s = bytes_per_s
        self._available_bytes = float(bytes_per_s)
        self._updated_ms = now_ms

    def available_bytes(self, *, now_ms: int) -> int:
        """Return how many bytes may be sent now; negative after borrowing."""
        elapsed_ms = max(0, now_ms - self._updated_ms)
        self._updated_ms = max(now_ms, self._updated_ms)
        refill = elapsed_ms * self._bytes_per_s / clock.MS_PER_S
        self._available_bytes = min(
            float(self._bytes_per_s), self._available_bytes + refill
        )
        return int(self._available_bytes)

    def spend(self, size_bytes: int, *, now_ms: int, borrow_bytes: int = 0) -> bool:
        """Consume bytes if the budget allows it.

        Parameters
        ----------
        size_bytes : int
            Bytes to send.
        now_ms : int
            Current time in milliseconds.
        borrow_bytes : int
            How many bytes below zero the budget may go.

        Returns
        -------
        bool
            Whether the bytes were consumed and may be sent.
        """
        if self.available_bytes(now_ms=now_ms) + borrow_bytes < size_bytes:
            return False
        self._available_bytes -= size_bytes
        return True
