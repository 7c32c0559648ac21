"""Bound on retries as a share of traffic."""

import collections

RETRY_PERCENT = 10
WINDOW_MS = 10_000
FLOOR_RETRIES = 3
_SLOTS = 10


class RetryBudget:
    """Allows retries up to a share of the requests in a sliding window.

    Parameters
    ----------
    percent : int
        Retries allowed for each hundred first attempts.
    window_ms : int
        Length of the window in milliseconds.
    floor_retries : int
        Retries in a window that are allowed without any traffic.
    """

    def __init__(
        self,
        *,
        percent: int = RETRY_PERCENT,
        window_ms: int = WINDOW_MS,
        floor_retries: int = FLOOR_RETRIES,
    ) -> None:
        self._percent = percent
        self._slot_ms = max(1, window_ms // _SLOTS)
        self._floor_retries = floor_retries
        self._requests_by_slot: collections.Counter[int] = collections.Counter()
        self._retries_by_slot: collections.Counter[int] = collections.Counter()

    def on_request(self, now_ms: int) -> None:
        """Count a first attempt.

        Parameters
        ----------
        now_ms : int
            Present time in milliseconds.
        """
        self._forget(now_ms)
        self._requests_by_slot[now_ms // self._slot_ms] += 1

    def try_retry(self, now_ms: int) -> bool:
        """Take one retry out of the budget.

        Parameters
        ----------
        now_ms : int
            Present time in milliseconds.

        Returns
        -------
        bool
            Whether the retry is allowed; a retry that is refused costs nothing.
        """
        self._forget(now_ms)
        earned = self._requests_by_slot.total() * self._percent // 100
        if self._retries_by_slot.total() >= max(earned, self._floor_retries):
            return False
        self._retries_by_slot[now_ms // self._slot_ms] += 1
        return True

    def wait_ms(self, now_ms: int) -> int:
        """Return the time until the oldest retry leaves the window.

        Parameters
        ----------
        now_ms : int
            Present time in milliseconds.
        """
        self._forget(now_ms)
        if not self._retries_by_slot:
            return 0
        oldest = min(self._retries_by_slot)
        return (oldest + _SLOTS) * self._slot_ms - now_ms

    def _forget(self, now_ms: int) -> None:
        first = now_ms // self._slot_ms - _SLOTS + 1
        for counter in (self._requests_by_slot, self._retries_by_slot):
            for slot in [slot for slot in counter if slot < first]:
                del counter[slot]
