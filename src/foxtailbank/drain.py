"""One state of leaving, from all that say so."""

import dataclasses
import enum

SOURCE_TTL_MS = 30_000


class DrainSource(enum.Enum):
    """Who says whether an endpoint is leaving."""

    VM_LIST = "vm_list"
    ENDPOINT = "endpoint"
    PEER = "peer"


@dataclasses.dataclass(frozen=True, kw_only=True)
class DrainReport:
    """What one source says of an endpoint.

    Attributes
    ----------
    source : DrainSource
        Who says so.
    incarnation : str
        The endpoint's incarnation that is meant; empty if the source can't tell.
    leaving : bool
        Whether the endpoint is leaving.
    at_ms : int
        When it was said, in milliseconds.
    """

    source: DrainSource
    incarnation: str
    leaving: bool
    at_ms: int


class DrainState:
    """Whether endpoints are leaving; any source that says so is enough.

    A report stays in force until the same source says otherwise, the endpoint
    answers with a new incarnation, or, for peers, it grows old.

    Parameters
    ----------
    peer_ttl_ms : int
        Life of a peer's report in milliseconds.
    """

    def __init__(self, *, peer_ttl_ms: int = SOURCE_TTL_MS) -> None:
        self._peer_ttl_ms = peer_ttl_ms
        self._reports_by_id: dict[str, dict[DrainSource, DrainReport]] = {}
        self._incarnations_by_id: dict[str, str] = {}

    def on_report(self, endpoint_id: str, report: DrainReport) -> None:
        """Take in a report.

        Parameters
        ----------
        endpoint_id : str
            The endpoint.
        report : DrainReport
            What a source says.
        """
        known = self._incarnations_by_id.get(endpoint_id, "")
        if report.source is DrainSource.ENDPOINT and report.incarnation != known:
            self._incarnations_by_id[endpoint_id] = report.incarnation
            self._reports_by_id.pop(endpoint_id, None)
        reports = self._reports_by_id.setdefault(endpoint_id, {})
        before = reports.get(report.source)
        if before is None or report.at_ms >= before.at_ms:
            reports[report.source] = report

    def is_leaving(self, endpoint_id: str, now_ms: int) -> bool:
        """Return whether an endpoint must get no new work.

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
            self._is_in_force(report, incarnation, now_ms)
            for report in reports.values()
        )

    def forget(self, endpoint_id: str) -> None:
        """Forget an endpoint that is gone."""
        self._reports_by_id.pop(endpoint_id, None)
        self._incarnations_by_id.pop(endpoint_id, None)

    def _is_in_force(self, report: DrainReport, incarnation: str, now_ms: int) -> bool:
        if not report.leaving:
            return False
        if report.incarnation and incarnation and report.incarnation != incarnation:
            return False
        if report.source is DrainSource.PEER:
            return now_ms - report.at_ms < self._peer_ttl_ms
        return True
