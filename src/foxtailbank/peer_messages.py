"""Message types exchanged by entry VMs."""

import dataclasses
import enum

from foxtailbank import log_service


class PeerMessage:
    """Base class of all messages between entry VMs."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Hello(PeerMessage):
    """First message that each side of a connection sends."""

    vm_id: str
    zone: str = ""
    incarnation: int = 0
    schema_version: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ping(PeerMessage):
    """Liveness probe of a connection; answered with `Done`."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Done(PeerMessage):
    """Empty answer."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unsupported(PeerMessage):
    """Answer to a message of a kind that the receiver does not support.

    Attributes
    ----------
    schema_version : int
        Schema version of the receiver.
    """

    schema_version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused(PeerMessage):
    """Answer to a request that was not executed."""

    code: str
    detail: str = ""
    retry_after_ms: int = 0


class MemberStatus(enum.IntEnum):
    """Status of a VM; for records of equal version the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class MemberRecord:
    """State of one VM, as disseminated by gossip.

    Attributes
    ----------
    vm_id, zone, address : str
        Id, availability zone, and IP address with port.
    incarnation : int
        Increases with each start of the VM.
    revision : int
        Increases within an incarnation each time the VM refutes a suspicion.
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
    """Kinds of facts that heartbeats disseminate to all VMs."""

    DRAINING = 0
    QUARANTINE = 1
    CATALOGUE_APPLIED = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fact:
    """Small versioned fact, disseminated by gossip.

    Attributes
    ----------
    kind : FactKind
        Kind of fact.
    subject : str
        Id of the endpoint, request fingerprint or VM that the fact is about.
    version : int
        For the same subject the higher version wins.
    remaining_ms : int
        Milliseconds for which the fact remains valid.
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
    """Load of one endpoint pool as seen by one VM."""

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
        Number of VMs believed to be live.
    view_hash : int
        Hash of the live VMs; equal for equal views.
    catalogue_offset : int
        Catalogue offset applied by all of them; -1 if unknown.
    """

    zone: str
    count: int
    view_hash: int
    catalogue_offset: int = -1


@dataclasses.dataclass(frozen=True, kw_only=True)
class ZoneAge:
    """Time since the sender's zone was last in contact with a zone."""

    zone: str
    age_ms: int


class HeartbeatKind(enum.IntEnum):
    """Purpose of a heartbeat."""

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
        Purpose of the datagram.
    sender : MemberRecord
        The sender's own record.
    sequence : int
        Increases with each datagram within the sender's incarnation.
    recipient : str
        Id of the receiving VM; empty if only its address is known.
    recipient_incarnation : int
        Incarnation of the VM that an acknowledgement is for.
    echo : int
        Sequence number of the datagram that is answered.
    subject : MemberRecord or None
        Target of an indirect probe.
    updates : tuple of MemberRecord
        Piggybacked member records, or the content of a view part.
    facts : tuple of Fact
        Piggybacked facts.
    loads : tuple of PoolLoad
        The sender's load by pool.
    digests : tuple of ZoneDigest
        Summaries of zones.
    contacts : tuple of ZoneAge
        Time since contact with other zones; only in an acknowledgement.
    catalogue_offset, ledger_offset : int
        Last offsets that the sender has applied; -1 if none.
    view_zone : str
        Availability zone that a view request or view part is about.
    after_id, through_id : str
        A view part is complete for the ids after ``after_id`` up to and
        including ``through_id``, or for all later ids if that is empty.
    facts_hash : int
        Hash of the facts that the sender holds for the whole fleet.
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
        Offset from which the records are complete.
    records : tuple of LogRecord
        Records from that offset onwards.
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
    """Requests a stream's records from an offset onwards."""

    stream: str
    from_offset: int
    max_bytes: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class SnapshotRequest(PeerMessage):
    """Requests one part of a snapshot of a stream's state."""

    stream: str
    index: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class SnapshotPart(PeerMessage):
    """One part of a snapshot; all parts of a snapshot share offset and digest."""

    stream: str
    covers_offset: int
    index: int
    count: int
    digest: int
    content: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class OnlineDispatched(PeerMessage):
    """Reports online requests on an endpoint to the VM that runs its batch items.

    Attributes
    ----------
    endpoint_id : str
        Id of the endpoint.
    count : int
        Number of requests dispatched to it; negative for requests that ended.
    """

    endpoint_id: str
    count: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuarantineMark(PeerMessage):
    """Announces that a request fingerprint is quarantined for a limited time."""

    fingerprint: str
    remaining_ms: int
    reason: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class DrainNotice(PeerMessage):
    """Announces that an endpoint is draining."""

    endpoint_id: str
    remaining_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class CancelNotice(PeerMessage):
    """Announces that a job's cancellation has been written to the ledger."""

    job_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class PayloadRequest(PeerMessage):
    """Requests a range of a payload record."""

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
