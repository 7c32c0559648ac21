"""Times and bounds of the membership protocol."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class MembershipConfig:
    """Times and bounds of the protocol.

    Attributes
    ----------
    period_ms : int
        Time between probes of this VM's zone.
    ack_timeout_ms : int
        Time after which other VMs are asked to probe.
    indirect_timeout_ms : int
        Further time after which the VM is suspected.
    indirect_count : int
        VMs that are asked to probe.
    suspicion_ms : int
        Time that a suspect has to refute.
    zone_unreachable_ms, unreachable_per_zone_ms : int
        Time without contact after which a zone counts as cut off, and what each
        other zone adds to it, since contacts are made in turn.
    view_interval_ms : int
        Least time between two requests for a zone's view.
    budget_bytes_per_s : int
        Bound on bytes sent, headers included.
    datagram_bytes : int
        Size that piggybacked content may fill.
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
        """Return the time without contact after which a zone counts as cut off."""
        return self.zone_unreachable_ms + (
            other_zone_count * self.unreachable_per_zone_ms
        )
