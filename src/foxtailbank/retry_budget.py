"""Limit on retries as a percentage of requests."""

import collections

RETRY_PERCENT = 10
WINDOW_MS = 10_000
MIN_RETRIES = 3
_BUCKETS = 10


class RetryBudget:
    """Allows retries up to a percentage of the requests in a sliding window.

    Parameters
    ----------
    percent : int
        Retries allowed per 100 first attempts.
    window_ms : int
        Length of the window in milliseconds.
    min_retries : int
        Retries per window that are allowed regardless of traffic.
    """

    def __init__(
        self,
        *,
        percent: int = RETRY_PERCENT,
        window_ms: int = WINDOW_MS,
        min_retries: int = MIN_RETRIES,
    ) -> None:
        self._percent = percent
        self._bucket_ms = max(1, window_ms // _BUCKETS)
        self._min_retries = min_retries
        self._requests_by_bucket: collections.Counter[int] = collections.Counter()
        self._retries_by_bucket: collections.Counter[int] = collections.Counter()

    def on_request(self, now_ms: int) -> None:
        """Count a first attempt.

        Parameters
        ----------
        now_ms : int
            Current time in milliseconds.
        """
        self._expire(now_ms)
        self._requests_by_bucket[now_ms // self._bucket_ms] += 1

    def try_retry(self, now_ms: int) -> bool:
        """Charge one retry to the budget if it allows it.

        Parameters
        ----------
        now_ms : int
            Current time in milliseconds.

        Returns
        -------
        bool
            Whether the retry is allowed; a refused retry is not charged.
        """
        self._expire(now_ms)
        allowed = self._requests_by_bucket.total() * self._percent // 100
        if self._retries_by_bucket.total() >= max(allowed, self._min_retries):
            return False
        self._retries_by_bucket[now_ms // self._bucket_ms] += 1
        return True

    def wait_ms(self, now_ms: int) -> int:
        """Return the milliseconds until the oldest retry leaves the window.

        Parameters
        ----------
        now_ms : int
            Current time in milliseconds.
        """
        self._expire(now_ms)
        if not self._retries_by_bucket:
            return 0
        oldest = min(self._retries_by_bucket)
        return (oldest + _BUCKETS) * self._bucket_ms - now_ms

    def _expire(self, now_ms: int) -> None:
        first = now_ms // self._bucket_ms - _BUCKETS + 1
        for counter in (self._requests_by_bucket, self._retries_by_bucket):
            for bucket in [bucket for bucket in counter if bucket < first]:
                del counter[bucket]
