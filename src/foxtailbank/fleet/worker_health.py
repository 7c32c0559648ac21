"""Workers that failed recently and are avoided for a limited time.

This covers workers that are down, and workers that fail part of their requests
although they respond promptly and report themselves healthy.
"""

import dataclasses

FIRST_PAUSE_MS = 500
MAX_PAUSE_MS = 4_000
ERROR_PAUSE_MS = 1_000
ERROR_WEIGHT = 0.3  # two consecutive errors exceed MAX_ERROR_SHARE, one does not
MAX_ERROR_SHARE = 0.45
ERROR_SHARE_AFTER_PAUSE = 0.3  # one more error exceeds MAX_ERROR_SHARE again
FULL_PAUSE_MS = 100  # a full worker usually frees a slot within this time


@dataclasses.dataclass(frozen=True, kw_only=True)
class FailureStreak:
    """Consecutive failures of one worker.

    Attributes
    ----------
    count : int
        Number of failures.
    avoid_until_ms : int
        Time from which it may be tried again.
    """

    count: int = 0
    avoid_until_ms: int = 0


_NO_FAILURES = FailureStreak()


class WorkerHealth:
    """Tracks the health of workers by the outcome of this VM's requests."""

    def __init__(self) -> None:
        self._failures_by_id: dict[str, FailureStreak] = {}
        self._full_until_ms_by_id: dict[str, int] = {}
        self._error_share_by_id: dict[str, float] = {}

    def on_success(self, worker_id: str) -> bool:
        """Record a successful response; return whether it ends a failure streak."""
        share = self._error_share_by_id.get(worker_id, 0.0)
        if share:
            self._error_share_by_id[worker_id] = (1 - ERROR_WEIGHT) * share
        return self._failures_by_id.pop(worker_id, None) is not None

    def on_failure(self, worker_id: str, now_ms: int) -> int:
        """Record a lost connection or a time-out; return the pause in milliseconds."""
        known = self._failures_by_id.get(worker_id, _NO_FAILURES)
        if now_ms < known.avoid_until_ms:
            return known.avoid_until_ms - now_ms
        pause_ms = min(FIRST_PAUSE_MS << min(known.count, 8), MAX_PAUSE_MS)
        self._failures_by_id[worker_id] = FailureStreak(
            count=known.count + 1, avoid_until_ms=now_ms + pause_ms
        )
        return pause_ms

    def on_error(self, worker_id: str, now_ms: int) -> bool:
        """Record an error of a worker that is up; return whether a pause begins."""
        share = self._error_share_by_id.get(worker_id, 0.0)
        share += ERROR_WEIGHT * (1 - share)
        self._error_share_by_id[worker_id] = share
        if share <= MAX_ERROR_SHARE or self.is_avoided(worker_id, now_ms):
            return False
        self._error_share_by_id[worker_id] = ERROR_SHARE_AFTER_PAUSE
        known = self._failures_by_id.get(worker_id, _NO_FAILURES)
        self._failures_by_id[worker_id] = dataclasses.replace(
            known, avoid_until_ms=now_ms + ERROR_PAUSE_MS
        )
        return True

    def on_full(self, worker_id: str, now_ms: int) -> None:
        """Record that the worker refused a request because it had no free slot."""
        self._full_until_ms_by_id[worker_id] = now_ms + FULL_PAUSE_MS

    def is_avoided(self, worker_id: str, now_ms: int) -> bool:
        """Return whether the worker is in a pause after failures or errors."""
        return now_ms < self._failures_by_id.get(worker_id, _NO_FAILURES).avoid_until_ms

    def is_full(self, worker_id: str, now_ms: int) -> bool:
        """Return whether the worker recently reported that it was full."""
        return now_ms < self._full_until_ms_by_id.get(worker_id, 0)

    def forget(self, worker_id: str) -> None:
        """Drop the state of a removed worker."""
        self._failures_by_id.pop(worker_id, None)
        self._error_share_by_id.pop(worker_id, None)
        self._full_until_ms_by_id.pop(worker_id, None)
