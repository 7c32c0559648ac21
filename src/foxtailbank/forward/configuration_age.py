"""Whether the configuration may be out of date, by what this VM and its peers read.

The store may turn away some VMs while it serves the others and the operator. Such a VM
hears from its peers whether they still read the version that it has. While the store
answers nobody, the operator can't change the configuration either.
"""

from foxtailbank.clock import Clock
from foxtailbank.fleet.peer_table import Peer, PeerTable
from foxtailbank.forward.route_table import RouteTable


class ConfigurationAge:
    """How long ago the current version of the configuration was the newest.

    Parameters
    ----------
    routes : RouteTable
        Current version, and when this VM read it.
    peers : PeerTable
        What peers have read.
    clock : Clock
        Source of time.
    """

    def __init__(self, *, routes: RouteTable, peers: PeerTable, clock: Clock) -> None:
        self._routes = routes
        self._peers = peers
        self._clock = clock

    def is_recent(self, max_age_ms: int) -> bool:
        """Whether the version was the newest at most so many milliseconds ago."""
        if self._routes.is_recent(max_age_ms):
            return True
        if not self._routes.is_loaded:
            return False
        now_ms = self._clock.now_ms()
        version = self._routes.version
        return self._peers.configuration_age_ms(version, now_ms) <= max_age_ms

    def is_in_force(self, max_age_ms: int) -> bool:
        """Whether no newer version has been in the store for so many milliseconds.

        It is so if the version is recent, or if the store is away for all.
        """
        if self.is_recent(max_age_ms):
            return True
        return self._routes.is_loaded and self._is_store_away(max_age_ms)

    def _is_store_away(self, max_age_ms: int) -> bool:
        """Whether peers said of late that the store answers them no more.

        Most must have said so, some of each zone, and none anything else.
        """
        now_ms = self._clock.now_ms()
        running = self._peers.running(now_ms)
        heard = [peer for peer in running if now_ms - peer.arrived_ms <= max_age_ms]
        hears_most = len(heard) > len(running) / 2
        hears_all_zones = {p.zone for p in heard} == {p.zone for p in running}
        if not (hears_most and hears_all_zones):
            return False
        return all(self._is_turned_away(peer, max_age_ms) for peer in heard)

    def _is_turned_away(self, peer: Peer, max_age_ms: int) -> bool:
        """Whether a peer said that it has read nothing of late, nor a newer version."""
        reading = peer.configuration
        if reading is None:  # it has just started, or is of an earlier release
            return peer.restoring
        return reading.age_ms > max_age_ms and not reading.is_after(
            self._routes.version
        )
