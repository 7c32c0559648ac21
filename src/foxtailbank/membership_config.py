"""Configuration of the membership protocol."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class MembershipConfig:
    """Timeouts and limits of the protocol.

    Attributes
    ----------
    period_ms : int
        Time between probes of this VM's zone.
    ack_timeout_ms : int
        Time without an answer after which other VMs are asked to probe.
    indirect_timeout_ms : int
        Additional time without an answer after which the VM is suspected.
    indirect_count : int
        Number of VMs asked for an indirect probe.
    suspicion_ms : int
        Time a suspected VM has to refute the suspicion.
    zone_unreachable_ms, unreachable_per_zone_ms : int
        Time without contact after which a zone counts as unreachable, and the
        time added for each other zone, since zones are contacted in rotation.
    view_interval_ms : int
        Minimum time between two requests for a zone's view.
    budget_bytes_per_s : int
        Maximum bytes sent per second, headers included.
    datagram_bytes : int
        Maximum size of a datagram with piggybacked content.
    """

    period_ms: int = 1000
    ack_timeout_ms: int = 300
    indirect_timeout_ms: int = 500
    indirect_count: int = 2
    suspicion_ms: int = 3000
    zone_unreachable_ms: int = 5000
    unreachable_per_zone_ms: int = 600
    view_interval_ms: int = 2000
    budget_bytes_per_s: int = 2800
    datagram_bytes: int = 480

    def unreachable_ms(self, other_zone_count: int) -> int:
        """Return the time without contact after which a zone is unreachable."""
        return self.zone_unreachable_ms + (
            other_zone_count * self.unreachable_per_zone_ms
        )
