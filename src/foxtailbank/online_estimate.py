"""Estimates an endpoint's online streams from notifications and load reports."""

import collections

from foxtailbank.endpoint import LoadReport

HISTORY_MS = 10_000
REMOVE_AFTER_REPORTS = 10
REPORT_JITTER_MS = 250


class OnlineEstimate:
    """Counts online streams known from notifications or only from load reports.

    A report is compared with the counts around the time at which it was taken, since
    dispatches and cancellations take time to reach the engine. Streams that it shows
    beyond the highest of these counts are added as online streams. Notified streams
    that several consecutive reports don't show are removed, since the notification of
    their end was lost.
    """

    def __init__(self) -> None:
        self._notified = 0
        self._unnotified = 0
        self._batch = 0
        self._missing_reports = 0
        self._min_missing = 0
        self._counts: collections.deque[tuple[int, int, int]] = collections.deque()

    @property
    def online_streams(self) -> int:
        """Estimated online streams, with or without a notification."""
        return self._notified + self._unnotified

    def on_change(self, *, online: int, batch: int, now_ms: int) -> None:
        """Record a change in the number of streams.

        Parameters
        ----------
        online : int
            Change in the number of notified online streams.
        batch : int
            Change in the number of batch streams.
        now_ms : int
            Current time in milliseconds.
        """
        self._notified = max(0, self._notified + online)
        self._batch = max(0, self._batch + batch)
        self._counts.append((now_ms, self._notified, self._batch))
        while self._counts[0][0] < now_ms - HISTORY_MS and len(self._counts) > 1:
            self._counts.popleft()

    def on_load_report(self, report: LoadReport, now_ms: int) -> None:
        """Compare a load report with the counts at the time when it was taken.

        Parameters
        ----------
        report : LoadReport
            Load report of the engine.
        now_ms : int
            Current time in milliseconds.
        """
        counts = self._counts_around(now_ms - report.age_ms)
        reported = report.running + report.waiting
        highest = max(notified + batch for notified, batch in counts)
        self._unnotified = max(0, reported - highest)
        missing = min(notified - max(0, reported - batch) for notified, batch in counts)
        self._remove_missing(missing, now_ms)

    def _remove_missing(self, missing: int, now_ms: int) -> None:
        if missing <= 0:
            self._missing_reports = 0
            return
        min_missing = (
            min(missing, self._min_missing) if self._missing_reports else missing
        )
        self._min_missing = min_missing
        self._missing_reports += 1
        if self._missing_reports >= REMOVE_AFTER_REPORTS:
            self._missing_reports = 0
            self.on_change(online=-min_missing, batch=0, now_ms=now_ms)

    def _counts_around(self, at_ms: int) -> list[tuple[int, int]]:
        counts = []
        for changed_ms, notified, batch in reversed(self._counts):
            if changed_ms <= at_ms + REPORT_JITTER_MS:
                counts.append((notified, batch))
            if changed_ms <= at_ms - REPORT_JITTER_MS:
                break
        return counts or [(0, 0)]
