"""Handler of report requests from other entry VMs."""

from foxtailbank import peer_messages as pm
from foxtailbank.fleet_api import FleetApi
from foxtailbank.peer_vm_list import VM_LIST_REPORT, PeerVmList
from foxtailbank.peering import MessageDispatcher


class PeerReportHandler:
    """Passes requests for a report to the component that holds it.

    Parameters
    ----------
    vm_list : PeerVmList
        Answers with the platform's VM list.
    fleet : FleetApi
        Answers with this VM's part of all other reports.
    """

    def __init__(self, *, vm_list: PeerVmList, fleet: FleetApi) -> None:
        self._vm_list = vm_list
        self._fleet = fleet

    def register(self, dispatcher: MessageDispatcher) -> None:
        """Register the handler of report requests."""
        dispatcher.set_request_handler(pm.Report, self._answer)

    async def _answer(self, peer_id: str, request: pm.Report) -> pm.Report:
        if request.name == VM_LIST_REPORT:
            return self._vm_list.answer(request.name)
        return await self._fleet.answer_report(peer_id, request)
