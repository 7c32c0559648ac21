"""Workers that lately failed and are avoided for a while.

Answers two patterns: workers that are down, and workers that fail a part of their
requests though they answer at once and call themselves well.
"""

import dataclasses

FIRST_PAUSE_MS = 500
MAX_PAUSE_MS = 4_000
ERROR_PAUSE_MS = 1_000
ERROR_WEIGHT = 0.3  # two errors in a row are enough, one is not
MAX_ERROR_SHARE = 0.45
ERROR_SHARE_AFTER_PAUSE = 0.3  # the next error brings the next pause
FULL_PAUSE_MS = 100  # a worker that reported itself full frees a place within that


@dataclasses.dataclass(frozen=True, kw_only=True)
class Failures:
    """Failures in a row of one worker.

    Attributes
    ----------
    count : int
        How many.
    avoid_until_ms : int
        When it may be tried again.
    """

    count: int = 0
    avoid_until_ms: int = 0


_SOUND = Failures()


class WorkerHealth:
    """Judges workers by the requests that this VM sent to them."""

    def __init__(self) -> None:
        self._failures_by_id: dict[str, Failures] = {}
        self._full_until_ms_by_id: dict[str, int] = {}
        self._error_share_by_id: dict[str, float] = {}

    def on_success(self, worker_id: str) -> bool:
        """Note a sound answer; true if the worker was avoided before."""
        share = self._error_share_by_id.get(worker_id, 0.0)
        if share:
            self._error_share_by_id[worker_id] = (1 - ERROR_WEIGHT) * share
        return self._failures_by_id.pop(worker_id, None) is not None

    def on_failure(self, worker_id: str, now_ms: int) -> int:
        """Note a lost connection or silence and return the pause in milliseconds."""
        known = self._failures_by_id.get(worker_id, _SOUND)
        if now_ms < known.avoid_until_ms:
            return known.avoid_until_ms - now_ms
        pause_ms = min(FIRST_PAUSE_MS << min(known.count, 8), MAX_PAUSE_MS)
        self._failures_by_id[worker_id] = Failures(
            count=known.count + 1, avoid_until_ms=now_ms + pause_ms
        )
        return pause_ms

    def on_error(self, worker_id: str, now_ms: int) -> bool:
        """Note a failed request of a worker that is up; true if it is avoided now."""
        share = self._error_share_by_id.get(worker_id, 0.0)
        share += ERROR_WEIGHT * (1 - share)
        self._error_share_by_id[worker_id] = share
        if share <= MAX_ERROR_SHARE or self.avoided(worker_id, now_ms):
            return False
        self._error_share_by_id[worker_id] = ERROR_SHARE_AFTER_PAUSE
        known = self._failures_by_id.get(worker_id, _SOUND)
        self._failures_by_id[worker_id] = dataclasses.replace(
            known, avoid_until_ms=now_ms + ERROR_PAUSE_MS
        )
        return True

    def on_full(self, worker_id: str, now_ms: int) -> None:
        """Note that the worker refused a request for want of a place."""
        self._full_until_ms_by_id[worker_id] = now_ms + FULL_PAUSE_MS

    def avoided(self, worker_id: str, now_ms: int) -> bool:
        """Return whether the worker is thought to be down."""
        return now_ms < self._failures_by_id.get(worker_id, _SOUND).avoid_until_ms

    def full(self, worker_id: str, now_ms: int) -> bool:
        """Return whether the worker lately reported itself full."""
        return now_ms < self._full_until_ms_by_id.get(worker_id, 0)

    def forget(self, worker_id: str) -> None:
        """Drop what is known of a worker that is gone."""
        self._failures_by_id.pop(worker_id, None)
        self._error_share_by_id.pop(worker_id, None)
        self._full_until_ms_by_id.pop(worker_id, None)
