"""Detects availability zones that are cut off from this VM."""

MIN_SILENCE_MS = 700  # longer than the idle interval of groups up to LARGE_GROUP
MAX_SILENCE_MS = 3_500  # afterwards the health of single workers is a better guide


class ZoneReachability:
    """Detects a network partition before each connection across it has failed.

    Requests that are sent into a partitioned zone are lost without an error. A zone
    is therefore avoided when none of its entry VMs reports any more. This holds for a
    limited time only, since the VMs of a zone may be down while its workers run.

    Parameters
    ----------
    own_zone : str
        Zone of this VM; it always counts as reachable.
    """

    def __init__(self, *, own_zone: str) -> None:
        self._own_zone = own_zone
        self._received_ms_by_zone: dict[str, int] = {}
        self._last_received_ms = 0

    def on_report(self, zone: str, now_ms: int) -> None:
        """Record the receipt of a report from a VM in a zone."""
        self._received_ms_by_zone[zone] = now_ms
        self._last_received_ms = now_ms

    def is_unreachable(self, zone: str, now_ms: int) -> bool:
        """Return whether a zone is silent while reports from others arrive."""
        if zone == self._own_zone or zone not in self._received_ms_by_zone:
            return False
        if now_ms - self._last_received_ms > MIN_SILENCE_MS:
            return False  # no zone reports, so the fault may be on this side
        silence_ms = now_ms - self._received_ms_by_zone[zone]
        return MIN_SILENCE_MS < silence_ms < MAX_SILENCE_MS
