"""Sections of a daemon's settings."""

import dataclasses
import enum
import typing as t

import msgspec

from foxtailbank.names import Name

Count = t.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Bytes = t.Annotated[int, msgspec.Meta(ge=1024, le=4 << 30)]
Milliseconds = t.Annotated[int, msgspec.Meta(ge=1, le=86_400_000)]

KIB = 1024
MIB = 1024 * KIB


class LogLevel(enum.Enum):
    """Least severity that is written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclasses.dataclass(frozen=True, kw_only=True)
class VmSection:
    """The entry VM itself.

    Attributes
    ----------
    id : str
        Unique name of the VM.
    zone : str
        Availability zone that it stands in.
    zones : tuple of str
        All availability zones of the deployment.
    http_address : str
        Where callers and operators connect.
    peer_address : str
        Where other entry VMs connect; TCP and UDP on the same port number.
    """

    id: Name
    zone: Name
    zones: tuple[Name, ...]
    http_address: str
    peer_address: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformSection:
    """The platform's services.

    Attributes
    ----------
    log_address : str
        Append-only log.
    vm_list_address : str
        List of live and leaving VMs.
    weight_store_address : str
        Weight store.
    """

    log_address: str
    vm_list_address: str
    weight_store_address: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeersSection:
    """The other entry VMs.

    Attributes
    ----------
    secret_file : str
        File with the secret that all entry VMs share.
    seeds : tuple of str
        Peer addresses to begin with; the VM's own may be among them.
    """

    secret_file: str
    seeds: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class AdminSection:
    """The administration API.

    Attributes
    ----------
    key_file : str
        File with the operators' key.
    """

    key_file: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitsSection:
    """Bounds on what one VM takes at once.

    Attributes
    ----------
    body_bytes : int
        Largest body of an online or service call.
    header_bytes : int
        Largest sum of a call's headers.
    batch_body_bytes : int
        Largest body of a batch job.
    online_in_flight : int
        Online and service calls in flight.
    batch_in_flight : int
        Batch items in flight.
    result_buffer_bytes : int
        Batch results held while the log is down.
    connections : int
        Open connections from callers.
    """

    body_bytes: Bytes = 4 * MIB
    header_bytes: Bytes = 32 * KIB
    batch_body_bytes: Bytes = 1024 * MIB
    online_in_flight: Count = 512
    batch_in_flight: Count = 256
    result_buffer_bytes: Bytes = 8 * MIB
    connections: Count = 2048


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogsSection:
    """The daemon's own log lines.

    Attributes
    ----------
    level : LogLevel
        Least severity that is written.
    """

    level: LogLevel = LogLevel.INFO


@dataclasses.dataclass(frozen=True, kw_only=True)
class TimingSection:
    """Periods and time limits, all in milliseconds.

    Attributes
    ----------
    heartbeat_ms : int
        Period of heartbeats to peers.
    peer_timeout_ms : int
        Silence after which a peer counts as unreachable.
    vm_list_period_ms : int
        Period of reading the platform's VM list.
    log_wait_ms : int
        How long the log may hold back an empty answer.
    log_retention_ms : int
        How long the log keeps a record, by the platform's word.
    log_append_timeout_ms : int
        Time limit of one append.
    connect_timeout_ms : int
        Time limit of opening a connection to an endpoint.
    first_chunk_timeout_ms : int
        Longest wait for the head of an endpoint's answer.
    chunk_timeout_ms : int
        Longest silence between two chunks of a stream.
    load_period_ms : int
        Period of reading endpoints' load reports.
    lease_ms : int
        Lease of a holder of fenced orders.
    quarantine_ms : int
        How long a crash-inducing request stays refused.
    drain_notice_ms : int
        Time between reporting not ready and closing the listeners.
    hand_over_ms : int
        Longest wait for batch results to be recorded at a planned stop.
    drain_timeout_ms : int
        Longest wait for requests in flight at a planned stop.
    keep_alive_ms : int
        How long an idle connection of a caller stays open.
    batch_view_ms : int
        Age of the log view after which batch starts nothing new.
    """

    heartbeat_ms: Milliseconds = 200
    peer_timeout_ms: Milliseconds = 1_500
    vm_list_period_ms: Milliseconds = 1_000
    log_wait_ms: Milliseconds = 1_000
    log_retention_ms: Milliseconds = 86_400_000
    log_append_timeout_ms: Milliseconds = 2_000
    connect_timeout_ms: Milliseconds = 500
    first_chunk_timeout_ms: Milliseconds = 10_000
    chunk_timeout_ms: Milliseconds = 2_000
    load_period_ms: Milliseconds = 500
    lease_ms: Milliseconds = 5_000
    quarantine_ms: Milliseconds = 600_000
    drain_notice_ms: Milliseconds = 2_000
    hand_over_ms: Milliseconds = 10_000
    drain_timeout_ms: Milliseconds = 60_000
    keep_alive_ms: Milliseconds = 75_000
    batch_view_ms: Milliseconds = 5_000


class RouterChoice(enum.Enum):
    """How online requests find an endpoint."""

    AFFINITY = "affinity"
    LEAST_LOADED = "least_loaded"
    FIFO = "fifo"


class BatchLimitChoice(enum.Enum):
    """How many batch streams an endpoint may hold."""

    ADAPTIVE = "adaptive"
    STATIC = "static"
    UNLIMITED = "unlimited"


@dataclasses.dataclass(frozen=True, kw_only=True)
class PolicySection:
    """Policies; all but the defaults are baselines of experiments.

    Attributes
    ----------
    router : RouterChoice
        How online requests find an endpoint.
    batch_limit : BatchLimitChoice
        How many batch streams an endpoint may hold.
    static_batch_streams : int
        That number with the static limit.
    yield_notice : bool
        Whether batch owners are told of each online request.
    """

    router: RouterChoice = RouterChoice.AFFINITY
    batch_limit: BatchLimitChoice = BatchLimitChoice.ADAPTIVE
    static_batch_streams: Count = 8
    yield_notice: bool = True
