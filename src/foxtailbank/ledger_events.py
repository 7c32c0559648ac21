"""State changes caused by applying a ledger record."""

import dataclasses
import enum

from foxtailbank.item_set import ItemRange


class IgnoreReason(enum.Enum):
    """Why an entry had no effect."""

    UNKNOWN_JOB = "unknown_job"
    JOB_ENDED = "job_ended"
    JOB_NOT_ENDED = "job_not_ended"
    OUT_OF_RANGE = "out_of_range"
    NOT_CLAIMANT = "not_claimant"
    NOTHING_NEW = "nothing_new"
    PAYLOAD_EXPIRED = "payload_expired"
    UNKNOWN_CALL = "unknown_call"
    CALL_COMPLETED = "call_completed"


@dataclasses.dataclass(frozen=True, kw_only=True)
class LedgerEvent:
    """Base of the ledger's events.

    Attributes
    ----------
    index : int
        Position in the envelope of the entry that caused the event.
    """

    index: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryIgnored(LedgerEvent):
    """The entry had no effect. All VMs ignore it alike."""

    reason: IgnoreReason


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobAdded(LedgerEvent):
    """A job was accepted."""

    job_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobRepeated(LedgerEvent):
    """The job was already accepted, as `job_id`."""

    job_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobConflict(LedgerEvent):
    """The key was already used by job `job_id`, with different content."""

    job_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobCancelledEvent(LedgerEvent):
    """A job was cancelled."""

    job_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ItemsClaimWon(LedgerEvent):
    """The claimant has the exclusive right to run these items.

    Attributes
    ----------
    items : tuple of ItemRange
        Requested items that were neither claimed nor ended.
    """

    job_id: str
    chunk: int
    items: tuple[ItemRange, ...]
    claimant: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ItemsReleasedEvent(LedgerEvent):
    """Items may be claimed again."""

    job_id: str
    chunk: int
    items: tuple[ItemRange, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResultsApplied(LedgerEvent):
    """Results in a payload record ended some items.

    Attributes
    ----------
    items : tuple of ItemRange
        Items that had not ended before.
    failed_count : int
        Number of `items` that ended as failures.
    """

    job_id: str
    chunk: int
    items: tuple[ItemRange, ...]
    payload_offset: int
    failed_count: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ItemsEnded(LedgerEvent):
    """Items ended as failed because their outcome is unknown."""

    job_id: str
    chunk: int
    items: tuple[ItemRange, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobFinished(LedgerEvent):
    """All items of a job have ended."""

    job_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobRetiredEvent(LedgerEvent):
    """A job's state was replaced by its manifest."""

    job_id: str
    manifest_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class PayloadMovedEvent(LedgerEvent):
    """References of a job were redirected to rewritten payload records.

    Attributes
    ----------
    moved_count : int
        Number of updated references.
    """

    job_id: str
    moved_count: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ManifestMovedEvent(LedgerEvent):
    """A retired job's manifest was moved to `manifest_offset`."""

    job_id: str
    manifest_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallClaimWon(LedgerEvent):
    """The claimant has the exclusive right to dispatch the call."""

    owner: str
    key: str
    claimant: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallClaimLost(LedgerEvent):
    """The call was already claimed by `holder`."""

    owner: str
    key: str
    claimant: str
    holder: str
    completed: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallConflict(LedgerEvent):
    """The key was already used for a call with different content."""

    owner: str
    key: str
    claimant: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallReleasedEvent(LedgerEvent):
    """The call may be claimed again."""

    owner: str
    key: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallDone(LedgerEvent):
    """The call's response is recorded permanently."""

    owner: str
    key: str
    status: int
    payload_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallMovedEvent(LedgerEvent):
    """The call's response was moved to `payload_offset`."""

    owner: str
    key: str
    payload_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class FenceGranted(LedgerEvent):
    """A scope has a new fence holder.

    Attributes
    ----------
    number : int
        Fencing number; increases with every grant of the scope.
    previous_holder : str
        Empty if there was none.
    previous_lease_ms : int
        Lease of the previous holder in milliseconds; the new holder must wait until
        it has expired.
    """

    scope: str
    holder: str
    number: int
    lease_ms: int
    previous_holder: str
    previous_lease_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class HistoryForgotten(LedgerEvent):
    """Expired calls and retired jobs were removed."""

    call_count: int
    job_count: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class PayloadFloorMoved(LedgerEvent):
    """New references to payload below `before_offset` are now rejected."""

    before_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class SnapshotWritten(LedgerEvent):
    """A snapshot covering more than all previous ones was written."""

    covers_offset: int
