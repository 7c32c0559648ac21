"""How old the configuration may be, by what this VM and its peers have read.

The store may turn away some VMs while it serves the others and the operator. Such a VM
hears from its peers whether they still read the version that it has.
"""

from foxtailbank.clock import Clock
from foxtailbank.fleet.peer_table import PeerTable
from foxtailbank.forward.route_table import RouteTable


class ConfigurationAge:
    """Time since the current version of the configuration was known to be the newest.

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
        age_ms = self._peers.configuration_age_ms(
            self._routes.version, self._clock.now_ms()
        )
        return age_ms is not None and age_ms <= max_age_ms
