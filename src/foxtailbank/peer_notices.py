"""What this VM does with notices of other entry VMs."""

from foxtailbank import peer_messages as pm
from foxtailbank.batch_runner import BatchRunner
from foxtailbank.peering import MessageTable
from foxtailbank.quarantine_exchange import REPORT_NAME, QuarantineExchange
from foxtailbank.suspect_gate import SuspectGate


class PeerNotices:
    """Leads notices to the parts that they are meant for.

    Parameters
    ----------
    runner : BatchRunner
        Is told of online requests and cancelled jobs.
    exchange : QuarantineExchange
        Takes marks.
    gate : SuspectGate
        Takes reservations.
    """

    def __init__(
        self, *, runner: BatchRunner, exchange: QuarantineExchange, gate: SuspectGate
    ) -> None:
        self._runner = runner
        self._exchange = exchange
        self._gate = gate

    def register(self, handlers: MessageTable) -> None:
        """Take all notices from now on."""
        handlers.on_notice(pm.OnlineDispatched, self._on_online_dispatched)
        handlers.on_notice(pm.CancelNotice, self._on_cancel_notice)
        handlers.on_notice(pm.Report, self._on_report)

    def _on_online_dispatched(self, peer_id: str, notice: pm.OnlineDispatched) -> None:
        self._runner.on_online(notice.endpoint_id, notice.count)

    def _on_cancel_notice(self, peer_id: str, notice: pm.CancelNotice) -> None:
        self._runner.hold_job(notice.job_id)

    def _on_report(self, peer_id: str, report: pm.Report) -> None:
        if report.name == REPORT_NAME:
            self._exchange.received(report.content)
        else:
            self._gate.take(report)
