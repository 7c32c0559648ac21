"""What the membership protocol asks of its shell, and tells the system."""

import dataclasses

from foxtailbank import peer_messages as pm


class MembershipAction:
    """Base of the actions."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class SendHeartbeat(MembershipAction):
    """Send a datagram.

    Attributes
    ----------
    to : str
        IP number and port.
    payload : Heartbeat
        Content.
    """

    to: str
    payload: pm.Heartbeat


@dataclasses.dataclass(frozen=True, kw_only=True)
class MemberJoined(MembershipAction):
    """A VM, or a new incarnation of it, is live."""

    record: pm.MemberRecord


@dataclasses.dataclass(frozen=True, kw_only=True)
class MemberSuspected(MembershipAction):
    """A VM of this zone gave no sign of life; it may refute that."""

    record: pm.MemberRecord


@dataclasses.dataclass(frozen=True, kw_only=True)
class MemberDead(MembershipAction):
    """A VM is taken to be dead."""

    record: pm.MemberRecord


@dataclasses.dataclass(frozen=True, kw_only=True)
class MemberLeft(MembershipAction):
    """A VM left in order."""

    record: pm.MemberRecord


@dataclasses.dataclass(frozen=True, kw_only=True)
class ZoneReachabilityChanged(MembershipAction):
    """Contact with an availability zone was lost or regained."""

    zone: str
    is_reachable: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class FactLearned(MembershipAction):
    """A fact is new to this VM."""

    fact: pm.Fact


@dataclasses.dataclass(frozen=True, kw_only=True)
class IncarnationRaised(MembershipAction):
    """Another incarnation of this VM's id was heard of, and is now exceeded."""

    incarnation: int
