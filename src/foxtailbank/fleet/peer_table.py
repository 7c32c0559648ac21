"""Entry VMs with which this one exchanges load reports."""

import dataclasses

from foxtailbank.address import Address
from foxtailbank.fleet import report_intervals
from foxtailbank.fleet.load_report import LoadReport
from foxtailbank.fleet.report_intervals import PeerGroup

SEND_WINDOW_MS = 15_000  # no reports go to a VM that has been silent for longer


@dataclasses.dataclass(frozen=True, kw_only=True)
class Peer:
    """Address and last report of another entry VM.

    Attributes
    ----------
    vm_id : str
        The VM.
    address : Address
        Source address of its datagrams.
    zone : str
        Its availability zone; empty before its first report.
    incarnation : int
        Its process; 0 before its first report.
    sequence : int
        Number of its newest report.
    last_update_ms : int
        When that report or, before the first, the address was received.
    stopping : bool
        Whether it is shutting down.
    restoring : bool
        Whether it has yet to restore the submissions.
    lost_services : frozenset of str
        Services of which it reaches no worker.
    """

    vm_id: str
    address: Address
    zone: str = ""
    incarnation: int = 0
    sequence: int = 0
    last_update_ms: int
    stopping: bool = False
    restoring: bool = False
    lost_services: frozenset[str] = frozenset()


class PeerTable:
    """Tracks peers: their addresses from the store, liveness from their reports.

    Parameters
    ----------
    vm_id : str
        This VM.
    zone : str
        Its availability zone.

    Attributes
    ----------
    is_complete : bool
        Whether all addresses in the store have been read once.
    """

    def __init__(self, *, vm_id: str, zone: str) -> None:
        self.is_complete = False
        self._vm_id = vm_id
        self._zone = zone
        self._by_id: dict[str, Peer] = {}

    def add_address(self, vm_id: str, address: Address, now_ms: int) -> bool:
        """Record an address from the store; return whether it is new."""
        if vm_id == self._vm_id:
            return False
        known = self._by_id.get(vm_id)
        if known is not None and known.address == address:
            return False
        self._by_id[vm_id] = Peer(vm_id=vm_id, address=address, last_update_ms=now_ms)
        return True

    def on_report(self, report: LoadReport, address: Address, now_ms: int) -> bool:
        """Record a report; return False if it is outdated or from this VM."""
        if report.vm_id == self._vm_id:
            return False
        known = self._by_id.get(report.vm_id)
        if known is not None and not _supersedes(report, known, now_ms):
            return False
        self._by_id[report.vm_id] = Peer(
            vm_id=report.vm_id,
            address=address,
            zone=report.zone,
            incarnation=report.incarnation,
            sequence=report.sequence,
            last_update_ms=now_ms,
            stopping=report.stopping,
            restoring=report.restoring,
            lost_services=frozenset(report.lost_services),
        )
        return True

    def target_addresses(self, group: PeerGroup, now_ms: int) -> tuple[Address, ...]:
        """Return the addresses in a group to which reports are sent."""
        return tuple(
            peer.address
            for peer in self._by_id.values()
            if self._group_of(peer) is group
            and now_ms - peer.last_update_ms < SEND_WINDOW_MS
        )

    def silence_timeout_ms(self, group: PeerGroup, now_ms: int) -> int:
        """Return after how long without a report a peer of a group counts as lost."""
        return report_intervals.silence_timeout_ms(
            len(self.target_addresses(group, now_ms))
        )

    def get(self, vm_id: str) -> Peer | None:
        """Return the peer with an id, or None if it is unknown."""
        return self._by_id.get(vm_id)

    def all(self) -> tuple[Peer, ...]:
        """Return all peers, those that are lost or have ended included."""
        return tuple(self._by_id.values())

    def alive(self, now_ms: int) -> tuple[Peer, ...]:
        """Return the peers that reported recently and are not shutting down."""
        timeout_ms_by_group = {
            group: self.silence_timeout_ms(group, now_ms) for group in PeerGroup
        }
        return tuple(
            peer
            for peer in self._by_id.values()
            if peer.incarnation
            and not peer.stopping
            and now_ms - peer.last_update_ms < timeout_ms_by_group[self._group_of(peer)]
        )

    def is_near(self, peer: Peer) -> bool:
        """Return whether a peer is in the zone of this VM."""
        return self._group_of(peer) is PeerGroup.NEAR

    def _group_of(self, peer: Peer) -> PeerGroup:
        return PeerGroup.NEAR if peer.zone == self._zone else PeerGroup.FAR


def _supersedes(report: LoadReport, known: Peer, now_ms: int) -> bool:
    if report.incarnation == known.incarnation:
        return report.sequence > known.sequence
    if report.incarnation > known.incarnation:
        return True
    # After a restart the clock may have been set back, which gives the new process a
    # lower incarnation. It is accepted once the old process has been silent for long.
    return now_ms - known.last_update_ms >= report_intervals.silence_timeout_ms(1)
