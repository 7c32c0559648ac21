"""Typed messages between entry VMs."""

import dataclasses
import enum

from foxtailbank import log_service


class PeerMessage:
    """Base of every message that a peer link carries."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Hello(PeerMessage):
    """First message of each side of a connection."""

    vm_id: str
    zone: str = ""
    incarnation: int = 0
    schema_version: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ping(PeerMessage):
    """Asks the other side for a sign of life."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Done(PeerMessage):
    """Answer without content."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unsupported(PeerMessage):
    """Answer to a message kind that the receiver does not know.

    Attributes
    ----------
    schema_version : int
        Schema version of the receiver.
    """

    schema_version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused(PeerMessage):
    """Answer to a request that was not carried out."""

    code: str
    detail: str = ""
    retry_after_ms: int = 0


class MemberStatus(enum.IntEnum):
    """What is known of a VM; at equal versions the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class MemberRecord:
    """One VM as gossiped.

    Attributes
    ----------
    vm_id, zone, address : str
        Name, availability zone, and IP number with port.
    incarnation : int
        Grows with each start of the VM.
    revision : int
        Grows within an incarnation each time the VM refutes a suspicion.
    status : MemberStatus
        Alive, suspect, dead or left.
    """

    vm_id: str
    zone: str
    address: str
    incarnation: int = 0
    revision: int = 0
    status: MemberStatus = MemberStatus.ALIVE


class FactKind(enum.IntEnum):
    """Kinds of facts that heartbeats carry to every VM."""

    DRAINING = 0
    QUARANTINE = 1
    CATALOGUE_APPLIED = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fact:
    """One small fact.

    Attributes
    ----------
    kind : FactKind
        What the fact is about.
    subject : str
        Endpoint, fingerprint or VM.
    version : int
        The higher version of a subject wins.
    remaining_ms : int
        Milliseconds for which the fact holds from now on.
    is_cleared : bool
        Whether the fact is withdrawn.
    """

    kind: FactKind
    subject: str
    version: int
    remaining_ms: int
    is_cleared: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class PoolLoad:
    """Load of one endpoint pool as a VM sees it."""

    pool: str
    in_flight: int
    capacity: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ZoneDigest:
    """Summary of one availability zone's VMs.

    Attributes
    ----------
    zone : str
        Availability zone.
    count : int
        VMs believed live.
    view_hash : int
        Hash over the live VMs; equal for equal views.
    catalogue_offset : int
        Catalogue offset that all of them have applied; -1 if unknown.
    """

    zone: str
    count: int
    view_hash: int
    catalogue_offset: int = -1


@dataclasses.dataclass(frozen=True, kw_only=True)
class ZoneAge:
    """How long ago the sender's zone was in contact with a zone."""

    zone: str
    age_ms: int


class HeartbeatKind(enum.IntEnum):
    """What a heartbeat asks or answers."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2
    VIEW_REQUEST = 3
    VIEW_PART = 4


@dataclasses.dataclass(frozen=True, kw_only=True)
class Heartbeat(PeerMessage):
    """One UDP datagram of the membership protocol.

    Attributes
    ----------
    kind : HeartbeatKind
        What it asks or answers.
    sender : MemberRecord
        The sender's own record.
    sequence : int
        Grows with each datagram of the sender's incarnation.
    recipient : str
        VM that it is meant for; empty if only the address is known.
    recipient_incarnation : int
        Incarnation that an acknowledgement is meant for.
    echo : int
        Sequence of the datagram that is answered.
    subject : MemberRecord or None
        VM that an indirect probe is about.
    updates : tuple of MemberRecord
        Piggybacked records, or the content of a view part.
    facts : tuple of Fact
        Piggybacked facts.
    loads : tuple of PoolLoad
        The sender's load by pool.
    digests : tuple of ZoneDigest
        Summaries of zones.
    contacts : tuple of ZoneAge
        Contact ages of the sender's zone; only in an acknowledgement.
    catalogue_offset, ledger_offset : int
        Offsets that the sender has applied; -1 if none.
    view_zone : str
        Zone of a view request or part.
    after_id, through_id : str
        A view part is complete for ids above ``after_id`` up to ``through_id``;
        an empty ``through_id`` means all further ids.
    facts_hash : int
        Hash over the facts that the sender holds for the whole fleet.
    """

    kind: HeartbeatKind
    sender: MemberRecord
    sequence: int = 0
    recipient: str = ""
    recipient_incarnation: int = 0
    echo: int = 0
    subject: MemberRecord | None = None
    updates: tuple[MemberRecord, ...] = ()
    facts: tuple[Fact, ...] = ()
    loads: tuple[PoolLoad, ...] = ()
    digests: tuple[ZoneDigest, ...] = ()
    contacts: tuple[ZoneAge, ...] = ()
    catalogue_offset: int = -1
    ledger_offset: int = -1
    view_zone: str = ""
    after_id: str = ""
    through_id: str = ""
    facts_hash: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class CatalogueRecords(PeerMessage):
    """Records of the catalogue stream, in order of offset.

    Attributes
    ----------
    from_offset : int
        Offset up to which the records leave no gap.
    records : tuple of LogRecord
        Records from that offset on.
    end_offset : int
        Offset after the sender's last applied record.
    """

    from_offset: int
    records: tuple[log_service.LogRecord, ...] = ()
    end_offset: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class LedgerRecords(PeerMessage):
    """Records of the ledger stream; attributes as in `CatalogueRecords`."""

    from_offset: int
    records: tuple[log_service.LogRecord, ...] = ()
    end_offset: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class RecordsRequest(PeerMessage):
    """Asks for a stream's records from an offset on."""

    stream: str
    from_offset: int
    max_bytes: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class SnapshotRequest(PeerMessage):
    """Asks for one part of a snapshot of a stream's state."""

    stream: str
    index: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class SnapshotPart(PeerMessage):
    """One part of a snapshot; parts of one snapshot share offset and digest."""

    stream: str
    covers_offset: int
    index: int
    count: int
    digest: int
    content: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class OnlineDispatched(PeerMessage):
    """Tells an endpoint's batch owner of online requests on it.

    Attributes
    ----------
    endpoint_id : str
        The endpoint.
    count : int
        Requests that went to it; negative for those that left it.
    """

    endpoint_id: str
    count: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuarantineMark(PeerMessage):
    """Tells that a request fingerprint is quarantined for a while."""

    fingerprint: str
    remaining_ms: int
    reason: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class DrainNotice(PeerMessage):
    """Tells that an endpoint is leaving."""

    endpoint_id: str
    remaining_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class CancelNotice(PeerMessage):
    """Tells that a job's cancellation is on the ledger."""

    job_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class PayloadRequest(PeerMessage):
    """Asks for a range of a payload record."""

    offset: int
    first_byte: int = 0
    max_bytes: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Payload(PeerMessage):
    """A range of a payload record."""

    offset: int
    first_byte: int = 0
    total_bytes: int = 0
    is_found: bool = False
    content: bytes = b""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report(PeerMessage):
    """A named JSON document."""

    name: str
    content: bytes
