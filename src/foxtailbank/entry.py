"""Catalogue entries: access of customers to pools of endpoints, and its limits."""

import dataclasses
import enum
import hashlib
import typing as t

import msgspec

from foxtailbank.names import Name

KeyHash = t.Annotated[str, msgspec.Meta(pattern=r"^sha256:[0-9a-f]{64}$")]
Version = t.Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Rate = t.Annotated[float, msgspec.Meta(gt=0, le=10_000_000)]
Count = t.Annotated[int, msgspec.Meta(ge=1, le=10_000_000)]
Milliseconds = t.Annotated[int, msgspec.Meta(ge=1, le=604_800_000)]
Bytes = t.Annotated[int, msgspec.Meta(ge=1, le=4 << 30)]
Share = t.Annotated[float, msgspec.Meta(gt=0, lt=1)]


class WorkClass(enum.Enum):
    """Class of work that an entry permits."""

    ONLINE = "online"
    BATCH = "batch"


class EntryKind(enum.Enum):
    """Kind of endpoint that serves an entry."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryLimits:
    """Limits that apply to the fleet as a whole.

    Attributes
    ----------
    requests_per_s : float
        Calls or batch items per second.
    concurrency : int
        Calls or batch items in flight at once.
    tokens_per_s : float
        Generated tokens per second.
    max_tokens : int
        Maximum tokens of one response.
    deadline_ms : int
        Maximum deadline of a call or a job, in milliseconds.
    body_bytes : int
        Maximum body of a call or a batch item, in bytes.
    """

    requests_per_s: Rate = 50.0
    concurrency: Count = 32
    tokens_per_s: Rate = 20_000.0
    max_tokens: Count = 4_096
    deadline_ms: Milliseconds = 60_000
    body_bytes: Bytes = 1 << 20


@dataclasses.dataclass(frozen=True, kw_only=True)
class Objective:
    """Service-level objective of an entry.

    Attributes
    ----------
    good_share : float
        Share of events that must meet the objective, between 0 and 1.
    ttft_ms : int
        Maximum time to the first token, or to the response of a service.
    gap_ms : int
        Maximum mean time between tokens; not used for services.
    """

    good_share: Share = 0.95
    ttft_ms: Milliseconds = 790
    gap_ms: Milliseconds = 57


@dataclasses.dataclass(frozen=True, kw_only=True)
class Adapter:
    """Adapter that the entry's engines should have loaded.

    Attributes
    ----------
    name : str
        Name of the adapter.
    version : str
        Version of the adapter.
    """

    name: Name
    version: Version


@dataclasses.dataclass(frozen=True, kw_only=True)
class DesiredState:
    """State that orders bring the entry's engines to.

    Attributes
    ----------
    model_version : str
        Version of the model; empty leaves it unchanged.
    replicas : int
        Number of engines that load the model; 0 means all of the pool.
    adapters : tuple of Adapter
        Adapters to load.
    role : str
        Role to set; empty leaves it unchanged.
    """

    model_version: t.Annotated[str, msgspec.Meta(max_length=64)] = ""
    replicas: t.Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 0
    adapters: tuple[Adapter, ...] = ()
    role: t.Annotated[str, msgspec.Meta(max_length=64)] = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """Access of one owner to one pool of endpoints.

    Attributes
    ----------
    name : str
        Unique name of the entry.
    owner : str
        Customer that owns the entry.
    work_class : WorkClass
        Online or batch.
    kind : EntryKind
        Model engine or other service.
    pool : str
        Model or service of the endpoint VMs that serve the entry.
    model : str
        Model name that callers give; empty for services.
    key_hashes : tuple of str
        ``"sha256:"`` and the hexadecimal digest of each accepted key.
    limits : EntryLimits
        Limits across the whole fleet.
    idempotent : bool
        Whether a call may be sent more than once.
    objective : Objective
        Service-level objective.
    desired : DesiredState or None
        Desired state of the engines; with None, no orders are sent.
    """

    name: Name
    owner: Name
    work_class: WorkClass
    kind: EntryKind
    pool: Name
    key_hashes: tuple[KeyHash, ...]
    model: t.Annotated[str, msgspec.Meta(max_length=128)] = ""
    limits: EntryLimits = EntryLimits()
    idempotent: bool = True
    objective: Objective = Objective()
    desired: DesiredState | None = None


def key_hash(key: str) -> str:
    """Return the hash by which the catalogue stores a key.

    Parameters
    ----------
    key : str
        The key that a caller presents.

    Returns
    -------
    str
        ``"sha256:"`` and 64 hexadecimal digits.
    """
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()
