"""Workers that say in their answers that they are shutting down."""

import collections
import dataclasses

from foxtailbank.clock import Clock
from foxtailbank.events import Event
from foxtailbank.fleet.worker_table import WorkerTable
from foxtailbank.logs import LogFields, Logs

MAX_REPORTED = 6  # fits into a datagram with what else there is
REPORTED_MS = 10_000  # many load reports; a worker is gone soon after


@dataclasses.dataclass(frozen=True, kw_only=True)
class DrainingReport:
    """A worker process said that it is shutting down.

    Attributes
    ----------
    process_id : str
        The process.
    age_ms : int
        How long ago it first said so to any VM.
    """

    process_id: str
    age_ms: int


class DrainingWorkers:
    """Excludes workers by what they say of themselves, to this VM or to another one.

    Named by their process, so that a later one with the same id or at the same address
    is not excluded.

    Parameters
    ----------
    workers : WorkerTable
        The workers that may receive requests.
    logs : Logs
        Receives a line for each worker.
    clock : Clock
        Source of time.
    """

    def __init__(self, *, workers: WorkerTable, logs: Logs, clock: Clock) -> None:
        self._workers = workers
        self._logs = logs
        self._clock = clock
        self._since_ms: collections.OrderedDict[str, int] = collections.OrderedDict()

    def on_own_report(self, process_id: str) -> None:
        """Handle an answer in which a worker says that it is shutting down."""
        self._apply(DrainingReport(process_id=process_id, age_ms=0), peer="")

    def on_peer_report(self, report: DrainingReport, *, vm_id: str) -> None:
        """Handle what another VM was told."""
        self._apply(report, peer=vm_id)

    def reports(self) -> tuple[DrainingReport, ...]:
        """Return the newest ones, which load reports repeat."""
        now_ms = self._clock.now_ms()
        recent = [
            DrainingReport(process_id=process_id, age_ms=now_ms - since_ms)
            for process_id, since_ms in self._since_ms.items()
            if now_ms - since_ms < REPORTED_MS
        ]
        return tuple(recent[-MAX_REPORTED:])

    def _apply(self, report: DrainingReport, *, peer: str) -> None:
        if not self._workers.set_draining(report.process_id):
            return
        self._since_ms[report.process_id] = self._clock.now_ms() - report.age_ms
        if len(self._since_ms) > MAX_REPORTED:
            self._since_ms.popitem(last=False)
        fields = LogFields(
            endpoint=report.process_id,
            peer=peer,
            reason="said in an answer",
            age_ms=report.age_ms,
        )
        self._logs.write(Event.ENDPOINT_DRAINING, fields=fields)
