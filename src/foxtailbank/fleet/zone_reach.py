"""Availability zones whose entry VMs all fell silent at once."""

SILENT_MS = 700  # longer than an idle VM's pause between two reports
DOUBT_MS = 3_500  # after that, what single workers answer tells more


class ZoneReach:
    """Guesses a partition before each of its connections has failed.

    Answers the pattern in which a zone is cut off under load: requests sent across
    the cut are lost without a word. The guess holds for a short while only, for the
    VMs of a zone may also be down while its workers go on.

    Parameters
    ----------
    own_zone : str
        Zone of this VM; it is always within reach.
    """

    def __init__(self, *, own_zone: str) -> None:
        self._own_zone = own_zone
        self._heard_ms_by_zone: dict[str, int] = {}
        self._last_heard_ms = 0

    def on_heard(self, zone: str, now_ms: int) -> None:
        """Note a report of a VM in a zone."""
        self._heard_ms_by_zone[zone] = now_ms
        self._last_heard_ms = now_ms

    def is_silent(self, zone: str, now_ms: int) -> bool:
        """Return whether a zone seems cut off while others are heard."""
        if zone == self._own_zone or zone not in self._heard_ms_by_zone:
            return False
        if now_ms - self._last_heard_ms > SILENT_MS:
            return False  # nobody is heard, which tells nothing of this zone
        silence_ms = now_ms - self._heard_ms_by_zone[zone]
        return SILENT_MS < silence_ms < DOUBT_MS
