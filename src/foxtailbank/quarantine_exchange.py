"""Passes marks of endpoint deaths between entry VMs."""

import msgspec

from foxtailbank import peer_messages as pm
from foxtailbank.clock import Clock
from foxtailbank.events import Event
from foxtailbank.logs import LogFields, Logs
from foxtailbank.peering import Peering
from foxtailbank.quarantine import DeathMark, Quarantine

REPORT_NAME = "quarantine"


class QuarantineExchange:
    """Sends new marks to every live VM and takes in theirs.

    Parameters
    ----------
    clock : Clock
        Source of time.
    quarantine : Quarantine
        This VM's marks.
    peering : Peering
        Sends messages.
    logs : Logs
        Takes a line for each new mark.
    """

    def __init__(
        self, *, clock: Clock, quarantine: Quarantine, peering: Peering, logs: Logs
    ) -> None:
        self._clock = clock
        self._quarantine = quarantine
        self._peering = peering
        self._logs = logs

    def spread(self, marks: tuple[DeathMark, ...]) -> None:
        """Send marks to every other live VM."""
        if not marks:
            return
        self._note(marks)
        report = pm.Report(name=REPORT_NAME, content=msgspec.json.encode(marks))
        self._peering.tell_all(report)

    def spread_all(self) -> None:
        """Send every mark again, for VMs that missed some."""
        marks = self._quarantine.marks(self._clock.wall_ms())
        if marks:
            report = pm.Report(name=REPORT_NAME, content=msgspec.json.encode(marks))
            self._peering.tell_all(report)

    def received(self, content: bytes) -> None:
        """Take in marks of another VM."""
        marks = msgspec.json.decode(content, type=tuple[DeathMark, ...])
        self._note(self._quarantine.merge(marks, self._clock.wall_ms()))

    def _note(self, marks: tuple[DeathMark, ...]) -> None:
        for mark in marks:
            event = Event.QUARANTINE_CLEARED if mark.cleared else Event.QUARANTINE_ADDED
            fields = LogFields(
                owner=mark.fingerprint.owner,
                endpoint=mark.death_id,
                reason="exclusive" if mark.exclusive else "suspect",
            )
            self._logs.write(event, fields=fields)
