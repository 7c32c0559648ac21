"""Isolation of requests that are suspected of crashing endpoints."""

import dataclasses
import typing as t

from foxtailbank.exceptions import Quarantined
from foxtailbank.isolation import Isolation

CRASH_REPORT_TTL_MS = 600_000
QUARANTINE_TTL_MS = 1_800_000
MAX_FINGERPRINTS = 10_000
CRASHES_TO_REFUSE = 2
EXCLUSIVE_WAIT_MS = 1000
TOKENS_TO_CLEAR = 16
_EXPIRY_PERIOD_MS = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class Fingerprint:
    """Identity of a request, shared by all repetitions of it.

    Attributes
    ----------
    owner : str
        Owner of the catalogue entry.
    digest : str
        Digest of the request's content.
    """

    owner: str
    digest: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashReport:
    """Report that a request was in flight on an endpoint that crashed.

    Attributes
    ----------
    fingerprint : Fingerprint
        The request.
    death_id : str
        Identifier of the crash, meant to be the same on every VM that observed it.
    exclusive : bool
        Whether nothing else was in flight on the endpoint.
    cleared : bool
        Whether the request has since completed, or made enough progress, on another
        endpoint.
    expires_wall_ms : int
        When the report expires, in wall-clock milliseconds.
    """

    fingerprint: Fingerprint
    death_id: str
    exclusive: bool
    cleared: bool
    expires_wall_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Verdict:
    """Decision on how a request may run.

    Attributes
    ----------
    isolation : Isolation
        What it may share an endpoint with.
    retry_after_ms : int
        Milliseconds until a refusal expires.
    """

    isolation: Isolation
    retry_after_ms: int = 0

    def error(self) -> Quarantined:
        """Return the error for the caller of a refused request."""
        return Quarantined(
            detail="the request crashed endpoints in earlier attempts",
            retry_after_ms=self.retry_after_ms,
        )


_UNRESTRICTED = Verdict(isolation=Isolation.NONE)


class Quarantine:
    """Crash reports of all VMs, and the isolation that follows from them.

    A request that was in flight at a crash runs exclusively from then on or, if no
    endpoint is available for that, as the only suspect on an endpoint. It is refused
    only after at least two crashes, one of which happened while it ran exclusively.
    Reports form a set that grows by union, and each flag of a report only ever turns
    on, so merging is idempotent and commutative. Times are wall-clock milliseconds,
    since VMs compare them.

    Parameters
    ----------
    report_ttl_ms : int
        Lifetime of a report in milliseconds.
    quarantine_ttl_ms : int
        Lifetime of a report of a crash during an exclusive run, in milliseconds.
    max_fingerprints : int
        Maximum number of requests with reports; the oldest are dropped first.
    """

    def __init__(
        self,
        *,
        report_ttl_ms: int = CRASH_REPORT_TTL_MS,
        quarantine_ttl_ms: int = QUARANTINE_TTL_MS,
        max_fingerprints: int = MAX_FINGERPRINTS,
    ) -> None:
        self._report_ttl_ms = report_ttl_ms
        self._quarantine_ttl_ms = quarantine_ttl_ms
        self._max_fingerprints = max_fingerprints
        self._next_expiry_ms = 0
        self._reports_by_fingerprint: dict[Fingerprint, dict[str, CrashReport]] = {}

    def verdict(
        self, fingerprint: Fingerprint, now_ms: int, *, waited_ms: int = 0
    ) -> Verdict:
        """Return how a request may run.

        Parameters
        ----------
        fingerprint : Fingerprint
            The request.
        now_ms : int
            Current wall-clock time in milliseconds.
        waited_ms : int
            How long the request has waited for an exclusive run. After
            `EXCLUSIVE_WAIT_MS` a request with a single crash, not an exclusive one,
            may share an endpoint with requests that are not suspect.
        """
        reports = self._active_reports(fingerprint, now_ms)
        if not reports:
            return _UNRESTRICTED
        exclusive = [report for report in reports if report.exclusive]
        if exclusive and len(reports) >= CRASHES_TO_REFUSE:
            expires_wall_ms = max(report.expires_wall_ms for report in exclusive)
            return Verdict(
                isolation=Isolation.REFUSED, retry_after_ms=expires_wall_ms - now_ms
            )
        if len(reports) == 1 and not exclusive and waited_ms >= EXCLUSIVE_WAIT_MS:
            return Verdict(isolation=Isolation.SOLE_SUSPECT)
        return Verdict(isolation=Isolation.EXCLUSIVE)

    def on_crash(
        self,
        *,
        death_id: str,
        in_flight: t.Iterable[Fingerprint],
        exclusive: bool,
        now_ms: int,
    ) -> tuple[CrashReport, ...]:
        """Report the requests that were in flight on an endpoint when it crashed.

        Parameters
        ----------
        death_id : str
            Identifier of the crash.
        in_flight : iterable of Fingerprint
            Requests of this VM that the endpoint was running.
        exclusive : bool
            Whether the endpoint was reserved for a single request.
        now_ms : int
            Current wall-clock time in milliseconds.

        Returns
        -------
        tuple of CrashReport
            Reports to send to all VMs before the requests are answered or retried.
        """
        ttl_ms = self._quarantine_ttl_ms if exclusive else self._report_ttl_ms
        reports = tuple(
            CrashReport(
                fingerprint=fingerprint,
                death_id=death_id,
                exclusive=exclusive,
                cleared=False,
                expires_wall_ms=now_ms + ttl_ms,
            )
            for fingerprint in sorted(set(in_flight))
        )
        return self.merge(reports, now_ms)

    def on_complete(
        self, fingerprint: Fingerprint, now_ms: int
    ) -> tuple[CrashReport, ...]:
        """Clear a request that completed.

        Parameters
        ----------
        fingerprint : Fingerprint
            The request.
        now_ms : int
            Current wall-clock time in milliseconds.

        Returns
        -------
        tuple of CrashReport
            Cleared reports to send to all VMs.
        """
        reports = self._active_reports(fingerprint, now_ms)
        cleared = tuple(dataclasses.replace(report, cleared=True) for report in reports)
        return self.merge(cleared, now_ms)

    def on_progress(
        self, fingerprint: Fingerprint, *, new_tokens: int, now_ms: int
    ) -> tuple[CrashReport, ...]:
        """Clear a request that passed the point it had reached at the last crash.

        Parameters
        ----------
        fingerprint : Fingerprint
            The request.
        new_tokens : int
            Tokens received in this attempt beyond those of all earlier attempts. The
            request is cleared from `TOKENS_TO_CLEAR` on.
        now_ms : int
            Current wall-clock time in milliseconds.

        Returns
        -------
        tuple of CrashReport
            Cleared reports to send to all VMs.
        """
        if new_tokens < TOKENS_TO_CLEAR:
            return ()
        return self.on_complete(fingerprint, now_ms)

    def merge(
        self, reports: t.Iterable[CrashReport], now_ms: int
    ) -> tuple[CrashReport, ...]:
        """Merge reports of this or another VM.

        Parameters
        ----------
        reports : iterable of CrashReport
            Reports.
        now_ms : int
            Current wall-clock time in milliseconds.

        Returns
        -------
        tuple of CrashReport
            New or changed reports, to be forwarded. The caller must stop requests
            named in them that run here without isolation, and run them again under
            their verdict.
        """
        changed = []
        for report in reports:
            if report.expires_wall_ms <= now_ms:
                continue
            known = self._reports_by_fingerprint.setdefault(report.fingerprint, {})
            before = known.get(report.death_id)
            after = report if before is None else _merge_pair(before, report)
            if after != before:
                known[report.death_id] = after
                changed.append(after)
        if now_ms >= self._next_expiry_ms:
            self._expire(now_ms)
        return tuple(changed)

    def reports(self, now_ms: int) -> tuple[CrashReport, ...]:
        """Return all reports that have not expired, to bring other VMs up to date."""
        self._expire(now_ms)
        return tuple(
            report
            for reports in self._reports_by_fingerprint.values()
            for report in reports.values()
        )

    def _active_reports(
        self, fingerprint: Fingerprint, now_ms: int
    ) -> list[CrashReport]:
        reports = self._reports_by_fingerprint.get(fingerprint, {})
        return [
            report
            for report in reports.values()
            if not report.cleared and report.expires_wall_ms > now_ms
        ]

    def _expire(self, now_ms: int) -> None:
        self._next_expiry_ms = now_ms + _EXPIRY_PERIOD_MS
        for fingerprint, reports in list(self._reports_by_fingerprint.items()):
            for death_id, report in list(reports.items()):
                if report.expires_wall_ms <= now_ms:
                    del reports[death_id]
            if not reports:
                del self._reports_by_fingerprint[fingerprint]
        while len(self._reports_by_fingerprint) > self._max_fingerprints:
            del self._reports_by_fingerprint[next(iter(self._reports_by_fingerprint))]


def _merge_pair(first: CrashReport, second: CrashReport) -> CrashReport:
    return dataclasses.replace(
        first,
        exclusive=first.exclusive or second.exclusive,
        cleared=first.cleared or second.cleared,
        expires_wall_ms=max(first.expires_wall_ms, second.expires_wall_ms),
    )
