"""Handlers of notices from other entry VMs."""

from foxtailbank import peer_messages as pm
from foxtailbank.batch_runner import BatchRunner
from foxtailbank.peering import MessageDispatcher
from foxtailbank.quarantine_exchange import REPORT_NAME, QuarantineExchange
from foxtailbank.suspect_gate import SuspectGate


class PeerNoticeHandlers:
    """Passes notices to the components that process them.

    Parameters
    ----------
    runner : BatchRunner
        Receives changes of online load and cancelled jobs.
    exchange : QuarantineExchange
        Receives crash reports.
    gate : SuspectGate
        Receives messages about reservations for suspect requests.
    """

    def __init__(
        self, *, runner: BatchRunner, exchange: QuarantineExchange, gate: SuspectGate
    ) -> None:
        self._runner = runner
        self._exchange = exchange
        self._gate = gate

    def register(self, dispatcher: MessageDispatcher) -> None:
        """Register the handlers of all notices."""
        dispatcher.set_notice_handler(pm.OnlineDispatched, self._on_online_dispatched)
        dispatcher.set_notice_handler(pm.CancelNotice, self._on_cancel_notice)
        dispatcher.set_notice_handler(pm.Report, self._on_report)

    def _on_online_dispatched(self, peer_id: str, notice: pm.OnlineDispatched) -> None:
        self._runner.on_online_change(notice.endpoint_id, notice.count)

    def _on_cancel_notice(self, peer_id: str, notice: pm.CancelNotice) -> None:
        self._runner.stop_job(notice.job_id)

    def _on_report(self, peer_id: str, report: pm.Report) -> None:
        if report.name == REPORT_NAME:
            self._exchange.on_message(report.content)
        else:
            self._gate.on_report(report)
