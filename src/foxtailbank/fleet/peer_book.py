"""Entry VMs that this one exchanges reports with."""

import dataclasses

from foxtailbank.address import Address
from foxtailbank.fleet import report_pace
from foxtailbank.fleet.load_report import LoadReport
from foxtailbank.fleet.report_pace import PeerGroup

SEND_MS = 15_000  # a VM that was replaced is forgotten after that


@dataclasses.dataclass(frozen=True, kw_only=True)
class Peer:
    """What is known of another entry VM.

    Attributes
    ----------
    vm_id : str
        The VM.
    address : Address
        Where its datagrams come from.
    zone : str
        Its availability zone; empty before its first report.
    incarnation : int
        Its process; 0 before its first report.
    sequence : int
        Its newest report.
    heard_ms : int
        When that came, or when the address was learnt.
    stopping : bool
        Whether it is about to end.
    """

    vm_id: str
    address: Address
    zone: str = ""
    incarnation: int = 0
    sequence: int = 0
    heard_ms: int
    stopping: bool = False


class PeerBook:
    """Addresses from the store, and liveness from reports.

    Parameters
    ----------
    vm_id : str
        This VM.
    zone : str
        Its availability zone.
    """

    def __init__(self, *, vm_id: str, zone: str) -> None:
        self._vm_id = vm_id
        self._zone = zone
        self._by_id: dict[str, Peer] = {}

    def learn(self, vm_id: str, address: Address, now_ms: int) -> bool:
        """Take an address that the store has; true if it is new."""
        if vm_id == self._vm_id:
            return False
        known = self._by_id.get(vm_id)
        if known is not None and known.address == address:
            return False
        self._by_id[vm_id] = Peer(vm_id=vm_id, address=address, heard_ms=now_ms)
        return True

    def on_report(self, report: LoadReport, address: Address, now_ms: int) -> bool:
        """Take a report; false if it is an old one or this VM's own."""
        if report.vm_id == self._vm_id:
            return False
        known = self._by_id.get(report.vm_id)
        if known is not None and not _follows(report, known, now_ms):
            return False
        self._by_id[report.vm_id] = Peer(
            vm_id=report.vm_id,
            address=address,
            zone=report.zone,
            incarnation=report.incarnation,
            sequence=report.sequence,
            heard_ms=now_ms,
            stopping=report.stopping,
        )
        return True

    def targets(self, group: PeerGroup, now_ms: int) -> tuple[Address, ...]:
        """Return the addresses of a group that reports go to."""
        return tuple(
            peer.address
            for peer in self._by_id.values()
            if self._group_of(peer) is group and now_ms - peer.heard_ms < SEND_MS
        )

    def silence_ms(self, group: PeerGroup, now_ms: int) -> int:
        """Return how long nothing is heard of a peer of a group that is lost."""
        return report_pace.silence_ms(len(self.targets(group, now_ms)))

    def get(self, vm_id: str) -> Peer | None:
        """Return what is known of a VM."""
        return self._by_id.get(vm_id)

    def alive(self, now_ms: int) -> tuple[Peer, ...]:
        """Return the peers that were heard of lately and go on."""
        silence_by_group = {
            group: self.silence_ms(group, now_ms) for group in PeerGroup
        }
        return tuple(
            peer
            for peer in self._by_id.values()
            if peer.incarnation
            and not peer.stopping
            and now_ms - peer.heard_ms < silence_by_group[self._group_of(peer)]
        )

    def _group_of(self, peer: Peer) -> PeerGroup:
        return PeerGroup.NEAR if peer.zone == self._zone else PeerGroup.FAR


def _follows(report: LoadReport, known: Peer, now_ms: int) -> bool:
    if report.incarnation == known.incarnation:
        return report.sequence > known.sequence
    if report.incarnation > known.incarnation:
        return True
    # The process after one that fell silent may start with a clock that went back.
    return now_ms - known.heard_ms >= report_pace.silence_ms(1)
