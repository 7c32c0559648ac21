"""Sections of the daemon settings."""

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
    """Minimum severity of log lines."""

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
        Unique id of the VM.
    zone : str
        Availability zone of the VM.
    zones : tuple of str
        All availability zones of the deployment.
    http_address : str
        Address that callers and operators connect to.
    peer_address : str
        Address that other entry VMs connect to; TCP and UDP use the same port number.
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
        Address of the append-only log.
    vm_list_address : str
        Address of the service that lists live and draining VMs.
    weight_store_address : str
        Address of the weight store.
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
        File with the secret shared by all entry VMs.
    seeds : tuple of str
        Peer addresses for bootstrap; may include the VM's own address.
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
    """Limits of one VM.

    Attributes
    ----------
    body_bytes : int
        Maximum body size of an online or service call.
    header_bytes : int
        Maximum total size of a call's headers.
    batch_body_bytes : int
        Maximum body size of a batch job.
    online_in_flight : int
        Maximum number of online and service calls in flight.
    batch_in_flight : int
        Maximum number of batch items in flight.
    result_buffer_bytes : int
        Maximum size of the batch results buffered while the log is unavailable.
    connections : int
        Maximum number of open connections from callers.
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
    """The daemon's own log output.

    Attributes
    ----------
    level : LogLevel
        Minimum severity of the lines that are written.
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
        Time without a heartbeat after which a peer counts as unreachable.
    vm_list_period_ms : int
        Period of polling the platform's VM list.
    log_wait_ms : int
        Longest time that the log may hold a read open while it has no new record.
    log_retention_ms : int
        How long the platform guarantees that the log keeps a record.
    log_append_timeout_ms : int
        Timeout of one append to the log.
    connect_timeout_ms : int
        Timeout of opening a connection to an endpoint.
    first_chunk_timeout_ms : int
        Longest wait for the response head (status and headers) of an endpoint.
    chunk_timeout_ms : int
        Longest wait between two chunks of a stream.
    load_period_ms : int
        Period of polling the load reports of endpoints.
    lease_ms : int
        How long the holder of a fence may issue orders for the scope of the fence.
    quarantine_ms : int
        How long a request that crashed endpoints is rejected.
    drain_notice_ms : int
        Delay between reporting not ready and closing the listeners.
    hand_over_ms : int
        Longest wait at shutdown for batch results to be recorded.
    drain_timeout_ms : int
        Longest wait at shutdown for requests in flight.
    keep_alive_ms : int
        How long an idle connection of a caller stays open.
    batch_view_ms : int
        Age of the VM's view of the log beyond which it starts no batch items, unless
        it had contact with all peers within that time.
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
    """Routing policy of online requests."""

    AFFINITY = "affinity"
    LEAST_LOADED = "least_loaded"
    FIFO = "fifo"


class BatchLimitChoice(enum.Enum):
    """Policy that limits the batch streams of an endpoint."""

    ADAPTIVE = "adaptive"
    STATIC = "static"
    UNLIMITED = "unlimited"


@dataclasses.dataclass(frozen=True, kw_only=True)
class PolicySection:
    """Policies; values other than the defaults are baselines for experiments.

    Attributes
    ----------
    router : RouterChoice
        Routing policy of online requests.
    batch_limit : BatchLimitChoice
        Policy that limits the batch streams of an endpoint.
    static_batch_streams : int
        Batch streams per endpoint under the static limit.
    yield_notice : bool
        Whether the VM that runs batch on an endpoint is notified of each online
        request there.
    """

    router: RouterChoice = RouterChoice.AFFINITY
    batch_limit: BatchLimitChoice = BatchLimitChoice.ADAPTIVE
    static_batch_streams: Count = 8
    yield_notice: bool = True
