"""Which requests must not be sent since they, or others like them, crash workers."""

import copy
import dataclasses
import typing as t

from foxtailbank.clock import Clock
from foxtailbank.events import Event
from foxtailbank.fleet.crash_report import CrashReport, PartCompletion
from foxtailbank.fleet.crash_reports import CrashReportTable
from foxtailbank.fleet.worker import Worker
from foxtailbank.forward.attempt_progress import AttemptProgress
from foxtailbank.forward.call import Call
from foxtailbank.logs import LogFields, Logs, format_digests

# A part crashes its worker as the answer begins; an answer with so many events is past
# that point.
EVENTS_PAST_CRASH = 3


class CrashTracker:
    """Reports crashed requests, applies the reports of peers, and decides by them.

    Parameters
    ----------
    logs : Logs
        Receives a line for each report.
    clock : Clock
        Source of time.

    Attributes
    ----------
    reports : CrashReportTable
        The reports of all VMs.
    """

    def __init__(self, *, logs: Logs, clock: Clock) -> None:
        self.reports = CrashReportTable()
        self._logs = logs
        self._clock = clock
        self._report_listeners: list[t.Callable[[CrashReport], None]] = []
        self._completion_listeners: list[t.Callable[[PartCompletion], None]] = []

    def fork(self) -> "CrashTracker":
        """Return a copy that can be asked without an effect on this one."""
        fork = copy.copy(self)
        fork.reports = self.reports.fork()
        return fork

    def add_report_listener(self, listener: t.Callable[[CrashReport], None]) -> None:
        """Add a function to call with each new report of this VM."""
        self._report_listeners.append(listener)

    def add_completion_listener(
        self, listener: t.Callable[[PartCompletion], None]
    ) -> None:
        """Add a function to call when this VM clears a suspected part."""
        self._completion_listeners.append(listener)

    def refused_ms(self, call: Call) -> int:
        """Return for how long a request must not be sent yet; 0 if it may be."""
        return self.reports.refused_ms(
            call.fingerprint, call.prompt_parts, self._clock.wall_ms()
        )

    def crash_age_ms(self, parts: t.Collection[int]) -> int | None:
        """Return how long ago parts of a prompt crashed a worker; None if none did."""
        wall_ms = self._clock.wall_ms()
        groups = self.reports.crashing_parts(parts, wall_ms)
        if not groups:
            return None
        last_wall_ms = max(group.last_crash_wall_ms for group in groups)
        return max(0, wall_ms - last_wall_ms)

    def crashing_parts(self, parts: t.Collection[int]) -> tuple[int, ...]:
        """Return the digests of those parts of a prompt that crash workers."""
        groups = self.reports.crashing_parts(parts, self._clock.wall_ms())
        return tuple(sorted({part for group in groups for part in group.parts}))

    def on_connection_broken(
        self, worker: Worker, call: Call, progress: AttemptProgress
    ) -> None:
        """Report an online request whose connection broke.

        A request that was sent to a worker that had crashed already, and brought no
        answer, is not reported.

        Parameters
        ----------
        worker : Worker
            Where it ran.
        call : Call
            The request.
        progress : AttemptProgress
            How far it had come.
        """
        process_id = worker.process_id
        if not progress.answered and self.reports.has_crashed_before(
            process_id, progress.sent_wall_ms
        ):
            return
        is_suspect = progress.events < EVENTS_PAST_CRASH
        report = CrashReport(
            fingerprint=call.fingerprint,
            worker_id=process_id,
            crashed_wall_ms=self._clock.wall_ms(),
            answered=progress.answered,
            prompt_parts=call.prompt_parts if is_suspect else (),
        )
        if not self.reports.add(report, self._clock.wall_ms()):
            return
        self._log_report(report, peer="")
        for listener in self._report_listeners:
            listener(report)

    def on_peer_report(self, report: CrashReport, *, vm_id: str) -> None:
        """Apply a report of another VM."""
        wall_ms = self._clock.wall_ms()
        if not report.crashed_wall_ms:  # by a VM of an earlier release
            report = dataclasses.replace(report, crashed_wall_ms=wall_ms)
        if self.reports.add(report, wall_ms):
            self._log_report(report, peer=vm_id)

    def on_completed(self, call: Call) -> None:
        """Clear a request that was answered whole, and the parts of its prompt."""
        self.reports.clear(call.fingerprint)
        self.on_parts_completed(call.prompt_parts)

    def on_parts_completed(self, parts: t.Iterable[int]) -> None:
        """Clear the parts of a prompt that was answered whole."""
        for completion in self.reports.complete_parts(parts, self._clock.wall_ms()):
            for listener in self._completion_listeners:
                listener(completion)

    def _log_report(self, report: CrashReport, *, peer: str) -> None:
        fields = LogFields(
            endpoint=report.worker_id,
            peer=peer,
            fingerprint=format_digests((report.fingerprint,)),
            parts=format_digests(report.prompt_parts),
            reason="answered" if report.answered else "not answered",
            count=self.reports.worker_count(report.fingerprint),
        )
        self._logs.write(Event.CRASH_REPORTED, fields=fields)
