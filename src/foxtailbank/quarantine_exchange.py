"""Exchange of crash reports between entry VMs."""

import msgspec

from foxtailbank import peer_messages as pm
from foxtailbank.clock import Clock
from foxtailbank.events import Event
from foxtailbank.logs import LogFields, Logs
from foxtailbank.peering import Peering
from foxtailbank.quarantine import CrashReport, Quarantine

REPORT_NAME = "quarantine"


class QuarantineExchange:
    """Sends new crash reports to every live VM and merges theirs.

    Parameters
    ----------
    clock : Clock
        Source of time.
    quarantine : Quarantine
        Crash reports known to this VM.
    peering : Peering
        Connections to the other VMs.
    logs : Logs
        Receives a line for each new or changed report.
    """

    def __init__(
        self, *, clock: Clock, quarantine: Quarantine, peering: Peering, logs: Logs
    ) -> None:
        self._clock = clock
        self._quarantine = quarantine
        self._peering = peering
        self._logs = logs

    def broadcast(self, reports: tuple[CrashReport, ...]) -> None:
        """Send reports to every other live VM."""
        if not reports:
            return
        self._log_reports(reports)
        message = pm.Report(name=REPORT_NAME, content=msgspec.json.encode(reports))
        self._peering.notify_all(message)

    def broadcast_all(self) -> None:
        """Send all reports again, for VMs that missed some."""
        reports = self._quarantine.reports(self._clock.wall_ms())
        if reports:
            message = pm.Report(name=REPORT_NAME, content=msgspec.json.encode(reports))
            self._peering.notify_all(message)

    def on_message(self, content: bytes) -> None:
        """Merge the reports of another VM."""
        reports = msgspec.json.decode(content, type=tuple[CrashReport, ...])
        self._log_reports(self._quarantine.merge(reports, self._clock.wall_ms()))

    def _log_reports(self, reports: tuple[CrashReport, ...]) -> None:
        for report in reports:
            event = (
                Event.QUARANTINE_CLEARED if report.cleared else Event.QUARANTINE_ADDED
            )
            fields = LogFields(
                owner=report.fingerprint.owner,
                endpoint=report.death_id,
                reason="exclusive" if report.exclusive else "suspect",
            )
            self._logs.write(event, fields=fields)
