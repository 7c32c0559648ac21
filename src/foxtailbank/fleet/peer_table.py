"""Entry VMs with which this one exchanges load reports."""

import dataclasses
import math

from foxtailbank.address import Address
from foxtailbank.fleet import report_cells, report_intervals
from foxtailbank.fleet.configuration_reading import ConfigurationReading, version_mark
from foxtailbank.fleet.load_report import LoadReport
from foxtailbank.fleet.report_cells import Cell
from foxtailbank.fleet.report_intervals import PeerGroup

CELL_UPDATE_MS = 500
UNHEARD_MS = 30_000  # a VM reports to each address within seconds of its start
SEND_WINDOW_MS = 15_000  # few reports go to a VM that has been silent for longer


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
        When that report or, before the first, the address was read.
    arrived_ms : int
        When that report arrived at the earliest; it may have waited to be read.
    stopping : bool
        Whether it is shutting down.
    restoring : bool
        Whether it has yet to restore the submissions.
    lost_services : frozenset of str
        Services of which it reaches no worker.
    reads_texts : bool
        Whether it knows results whose output is in the log of texts.
    configuration : ConfigurationReading or None
        What that report says of the configuration.
    """

    vm_id: str
    address: Address
    zone: str = ""
    incarnation: int = 0
    sequence: int = 0
    last_update_ms: int
    arrived_ms: int = 0
    stopping: bool = False
    restoring: bool = False
    lost_services: frozenset[str] = frozenset()
    reads_texts: bool = False
    configuration: ConfigurationReading | None = None

    def reading_age_ms(self, now_ms: int) -> float:
        """Return how old at most its reading of the configuration is."""
        if self.configuration is None:
            return math.inf
        return now_ms - self.arrived_ms + self.configuration.age_ms


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
    cell : Cell
        Cell of this VM, as of the last `update_cell`.
    """

    def __init__(self, *, vm_id: str, zone: str) -> None:
        self.is_complete = False
        self._vm_id = vm_id
        self._zone = zone
        self.cell = report_cells.find_cell(vm_id, ())
        self._cell_updated_ms: int | None = None
        self._silent_cursor = 0
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

    def on_report(
        self,
        report: LoadReport,
        address: Address,
        now_ms: int,
        *,
        arrived_ms: int | None = None,
    ) -> bool:
        """Record a report; return False if it is outdated or from this VM.

        Parameters
        ----------
        report : LoadReport
            The report.
        address : Address
            Where it came from.
        now_ms : int
            Current time.
        arrived_ms : int, optional
            When it arrived at the earliest, if it may have waited to be read.
        """
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
            arrived_ms=now_ms if arrived_ms is None else arrived_ms,
            stopping=report.stopping,
            restoring=report.restoring,
            lost_services=frozenset(report.lost_services),
            reads_texts=report.reads_texts,
            configuration=report.configuration,
        )
        return True

    def update_cell(self, now_ms: int) -> Cell:
        """Form the cell from the VMs of this zone that were heard of late."""
        updated_ms = self._cell_updated_ms
        if updated_ms is not None and now_ms - updated_ms < CELL_UPDATE_MS:
            return self.cell
        self._cell_updated_ms = now_ms
        in_zone = [
            peer.vm_id
            for peer in self._by_id.values()
            if peer.zone == self._zone and now_ms - peer.last_update_ms < SEND_WINDOW_MS
        ]
        self.cell = report_cells.find_cell(self._vm_id, in_zone)
        return self.cell

    def target_addresses(self, group: PeerGroup, now_ms: int) -> tuple[Address, ...]:
        """Return the addresses in a group to which reports are sent."""
        return tuple(
            peer.address
            for peer in self._by_id.values()
            if self._group_of(peer) is group
            and now_ms - peer.last_update_ms < SEND_WINDOW_MS
        )

    def silent_addresses(self, count: int, now_ms: int) -> tuple[Address, ...]:
        """Return the next few addresses of VMs to which no reports are sent.

        After a cut that lasted longer than `SEND_WINDOW_MS` neither side would hear the
        other again if both waited for a report.
        """
        silent = [
            peer.address
            for peer in self._by_id.values()
            if now_ms - peer.last_update_ms >= SEND_WINDOW_MS and not peer.stopping
        ]
        start = self._silent_cursor % len(silent) if silent else 0
        self._silent_cursor = start + count
        return tuple((silent[start:] + silent[:start])[:count])

    def silence_timeout_ms(self, group: PeerGroup, now_ms: int) -> int:
        """Return after how long without a report a peer of a group counts as lost.

        Two VMs may see different cells for a while, so all of a zone count alike.
        """
        is_near = group is not PeerGroup.FAR
        peers = sum(
            self.is_near(peer) is is_near
            and now_ms - peer.last_update_ms < SEND_WINDOW_MS
            for peer in self._by_id.values()
        )
        return report_intervals.silence_timeout_ms(peers)

    def get(self, vm_id: str) -> Peer | None:
        """Return the peer with an id, or None if it is unknown."""
        return self._by_id.get(vm_id)

    def all(self) -> tuple[Peer, ...]:
        """Return all peers, those that are lost or have ended included."""
        return tuple(self._by_id.values())

    def all_read_texts(self, now_ms: int) -> bool:
        """Return whether no VM may run that does not know the log of texts.

        A VM that stopped, or of which only the address is known, counts as gone after
        a while without a report.
        """
        return self.is_complete and all(
            peer.reads_texts
            or (
                (peer.stopping or not peer.incarnation)
                and now_ms - peer.last_update_ms > UNHEARD_MS
            )
            for peer in self._by_id.values()
        )

    def configuration_age_ms(self, version: int, now_ms: int) -> float:
        """Return how long ago a peer read that a version was the newest."""
        mark = version_mark(version)
        ages_ms = (
            peer.reading_age_ms(now_ms)
            for peer in self._by_id.values()
            if peer.configuration is not None and peer.configuration.mark == mark
        )
        return min(ages_ms, default=math.inf)

    def running(self, now_ms: int) -> tuple[Peer, ...]:
        """Return the peers that may be running, also if they were silent of late."""
        return tuple(
            peer
            for peer in self._by_id.values()
            if peer.incarnation
            and not peer.stopping
            and now_ms - peer.last_update_ms < UNHEARD_MS
        )

    def alive(self, now_ms: int) -> tuple[Peer, ...]:
        """Return the peers that reported recently and are not shutting down."""
        near_timeout_ms = self.silence_timeout_ms(PeerGroup.NEAR, now_ms)
        far_timeout_ms = self.silence_timeout_ms(PeerGroup.FAR, now_ms)
        return tuple(
            peer
            for peer in self._by_id.values()
            if peer.incarnation
            and not peer.stopping
            and now_ms - peer.last_update_ms
            < (near_timeout_ms if self.is_near(peer) else far_timeout_ms)
        )

    def is_near(self, peer: Peer) -> bool:
        """Return whether a peer is in the zone of this VM."""
        return peer.zone == self._zone

    def _group_of(self, peer: Peer) -> PeerGroup:
        if peer.zone != self._zone:
            return PeerGroup.FAR
        is_split = self.cell.count > 1
        in_cell = is_split and peer.vm_id in self.cell.vm_ids
        return PeerGroup.CELL if in_cell else PeerGroup.NEAR


def _supersedes(report: LoadReport, known: Peer, now_ms: int) -> bool:
    if report.incarnation == known.incarnation:
        return report.sequence > known.sequence
    if report.incarnation > known.incarnation:
        return True
    # After a restart the clock may have been set back, which gives the new process a
    # lower incarnation. It is accepted once the old process has been silent for long.
    return now_ms - known.last_update_ms >= report_intervals.silence_timeout_ms(1)
