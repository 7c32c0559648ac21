"""Actions that the membership protocol returns: datagrams to send and changes."""

import dataclasses

from foxtailbank import peer_messages as pm


class MembershipAction:
    """Base class of the actions."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class SendHeartbeat(MembershipAction):
    """A datagram is to be sent.

    Attributes
    ----------
    to : str
        IP number and port.
    payload : Heartbeat
        Heartbeat to send.
    """

    to: str
    payload: pm.Heartbeat


@dataclasses.dataclass(frozen=True, kw_only=True)
class MemberJoined(MembershipAction):
    """A VM, or a new incarnation of it, is live."""

    record: pm.MemberRecord


@dataclasses.dataclass(frozen=True, kw_only=True)
class MemberSuspected(MembershipAction):
    """A VM of this zone did not answer probes; it may still refute the suspicion."""

    record: pm.MemberRecord


@dataclasses.dataclass(frozen=True, kw_only=True)
class MemberDead(MembershipAction):
    """A VM was declared dead."""

    record: pm.MemberRecord


@dataclasses.dataclass(frozen=True, kw_only=True)
class MemberLeft(MembershipAction):
    """A VM left the fleet in an orderly way."""

    record: pm.MemberRecord


@dataclasses.dataclass(frozen=True, kw_only=True)
class ZoneReachabilityChanged(MembershipAction):
    """Contact with an availability zone was lost or regained."""

    zone: str
    is_reachable: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class FactLearned(MembershipAction):
    """A fact that was new to this VM was received."""

    fact: pm.Fact


@dataclasses.dataclass(frozen=True, kw_only=True)
class IncarnationRaised(MembershipAction):
    """Own incarnation was raised above another one seen for this VM's id."""

    incarnation: int
