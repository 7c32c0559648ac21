"""Online streams on an endpoint, from notices and lagging load reports."""

import collections

from foxtailbank.endpoint import LoadReport

HISTORY_MS = 10_000
LOST_END_REPORTS = 10
REPORT_JITTER_MS = 250


class OnlineEstimate:
    """Counts online streams that notices name and those that only reports show.

    A report is compared with the counts around the time when it was taken, since
    dispatches and cancellations take a while to reach the engine. Online streams that
    it shows beyond the highest of these are added; streams that several reports in a
    row don't show have ended without notice and are taken off.
    """

    def __init__(self) -> None:
        self._noticed = 0
        self._unnoticed = 0
        self._batch = 0
        self._missing_reports = 0
        self._missing_least = 0
        self._counts: collections.deque[tuple[int, int, int]] = collections.deque()

    @property
    def online_streams(self) -> int:
        """Online streams, noticed or not."""
        return self._noticed + self._unnoticed

    def on_change(self, *, online: int, batch: int, now_ms: int) -> None:
        """Note changed counts.

        Parameters
        ----------
        online : int
            Change of the noticed online streams.
        batch : int
            Change of the batch streams.
        now_ms : int
            Present time in milliseconds.
        """
        self._noticed = max(0, self._noticed + online)
        self._batch = max(0, self._batch + batch)
        self._counts.append((now_ms, self._noticed, self._batch))
        while self._counts[0][0] < now_ms - HISTORY_MS and len(self._counts) > 1:
            self._counts.popleft()

    def on_load_report(self, report: LoadReport, now_ms: int) -> None:
        """Compare a report with the counts at its time.

        Parameters
        ----------
        report : LoadReport
            What the engine said.
        now_ms : int
            Present time in milliseconds.
        """
        counts = self._counts_around(now_ms - report.age_ms)
        shown = report.running + report.waiting
        highest = max(noticed + batch for noticed, batch in counts)
        self._unnoticed = max(0, shown - highest)
        missing = min(noticed - max(0, shown - batch) for noticed, batch in counts)
        self._take_off(missing, now_ms)

    def _take_off(self, missing: int, now_ms: int) -> None:
        if missing <= 0:
            self._missing_reports = 0
            return
        least = min(missing, self._missing_least) if self._missing_reports else missing
        self._missing_least = least
        self._missing_reports += 1
        if self._missing_reports >= LOST_END_REPORTS:
            self._missing_reports = 0
            self.on_change(online=-least, batch=0, now_ms=now_ms)

    def _counts_around(self, at_ms: int) -> list[tuple[int, int]]:
        counts = []
        for changed_ms, noticed, batch in reversed(self._counts):
            if changed_ms <= at_ms + REPORT_JITTER_MS:
                counts.append((noticed, batch))
            if changed_ms <= at_ms - REPORT_JITTER_MS:
                break
        return counts or [(0, 0)]
