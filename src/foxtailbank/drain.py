"""Drain state of endpoints, combined from several sources."""

import dataclasses
import enum

PEER_REPORT_TTL_MS = 30_000


class DrainSource(enum.Enum):
    """Source of a report that an endpoint is or is not leaving."""

    VM_LIST = "vm_list"
    ENDPOINT = "endpoint"
    PEER = "peer"


@dataclasses.dataclass(frozen=True, kw_only=True)
class DrainReport:
    """Report of one source on an endpoint.

    Attributes
    ----------
    source : DrainSource
        Where the report comes from.
    incarnation : str
        Incarnation of the endpoint; empty if the source does not know it.
    leaving : bool
        Whether the endpoint is leaving.
    at_ms : int
        Time of the report in milliseconds.
    """

    source: DrainSource
    incarnation: str
    leaving: bool
    at_ms: int


class DrainTracker:
    """Tracks which endpoints are leaving; a report of any source is enough.

    A report stays in effect until the same source sends another, the endpoint
    reports a new incarnation, or, for reports of peers, it expires.

    Parameters
    ----------
    peer_ttl_ms : int
        Lifetime of a peer's report in milliseconds.
    """

    def __init__(self, *, peer_ttl_ms: int = PEER_REPORT_TTL_MS) -> None:
        self._peer_ttl_ms = peer_ttl_ms
        self._reports_by_id: dict[str, dict[DrainSource, DrainReport]] = {}
        self._incarnations_by_id: dict[str, str] = {}

    def on_report(self, endpoint_id: str, report: DrainReport) -> None:
        """Record a report, unless a later one of the same source is known.

        Parameters
        ----------
        endpoint_id : str
            The endpoint.
        report : DrainReport
            The report.
        """
        known = self._incarnations_by_id.get(endpoint_id, "")
        if report.source is DrainSource.ENDPOINT and report.incarnation != known:
            self._incarnations_by_id[endpoint_id] = report.incarnation
            self._reports_by_id.pop(endpoint_id, None)
        reports = self._reports_by_id.setdefault(endpoint_id, {})
        previous = reports.get(report.source)
        if previous is None or report.at_ms >= previous.at_ms:
            reports[report.source] = report

    def is_leaving(self, endpoint_id: str, now_ms: int) -> bool:
        """Return whether an endpoint is leaving and must get no new work.

        Parameters
        ----------
        endpoint_id : str
            The endpoint.
        now_ms : int
            Present time in milliseconds.
        """
        incarnation = self._incarnations_by_id.get(endpoint_id, "")
        reports = self._reports_by_id.get(endpoint_id, {})
        return any(
            self._is_in_effect(report, incarnation, now_ms)
            for report in reports.values()
        )

    def forget(self, endpoint_id: str) -> None:
        """Drop the reports on a removed endpoint."""
        self._reports_by_id.pop(endpoint_id, None)
        self._incarnations_by_id.pop(endpoint_id, None)

    def _is_in_effect(self, report: DrainReport, incarnation: str, now_ms: int) -> bool:
        if not report.leaving:
            return False
        if report.incarnation and incarnation and report.incarnation != incarnation:
            return False
        if report.source is DrainSource.PEER:
            return now_ms - report.at_ms < self._peer_ttl_ms
        return True
