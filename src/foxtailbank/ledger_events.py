"""What applying a ledger record changed."""

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
    """The entry had no effect, on any VM."""

    reason: IgnoreReason


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobAdded(LedgerEvent):
    """A job was accepted."""

    job_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobRepeated(LedgerEvent):
    """The same job had been accepted before as `job_id`."""

    job_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobConflict(LedgerEvent):
    """The key had been used for different content, in job `job_id`."""

    job_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobCancelledEvent(LedgerEvent):
    """A job was cancelled."""

    job_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ItemsClaimWon(LedgerEvent):
    """The claimant alone may run these items.

    Attributes
    ----------
    items : tuple of ItemRange
        Only those that nobody had claimed or ended before.
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
    """Items ended by the results of a payload record.

    Attributes
    ----------
    items : tuple of ItemRange
        Only those that had not ended before.
    failed_count : int
        How many of them ended as failures.
    """

    job_id: str
    chunk: int
    items: tuple[ItemRange, ...]
    payload_offset: int
    failed_count: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ItemsEnded(LedgerEvent):
    """Items ended as failures of unknown outcome."""

    job_id: str
    chunk: int
    items: tuple[ItemRange, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobFinished(LedgerEvent):
    """Every item of a job has ended."""

    job_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobRetiredEvent(LedgerEvent):
    """A job's state was replaced by its manifest."""

    job_id: str
    manifest_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class PayloadMovedEvent(LedgerEvent):
    """References of a job now lead to records that were appended anew.

    Attributes
    ----------
    moved_count : int
        Number of references that changed.
    """

    job_id: str
    moved_count: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ManifestMovedEvent(LedgerEvent):
    """A retired job's manifest now lies at `manifest_offset`."""

    job_id: str
    manifest_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallClaimWon(LedgerEvent):
    """The claimant alone may dispatch the call."""

    owner: str
    key: str
    claimant: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallClaimLost(LedgerEvent):
    """The call had been claimed before, by `holder`."""

    owner: str
    key: str
    claimant: str
    holder: str
    completed: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallConflict(LedgerEvent):
    """The key had been used for a call with different content."""

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
    """The call's answer is recorded for good."""

    owner: str
    key: str
    status: int
    payload_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallMovedEvent(LedgerEvent):
    """The call's answer now lies at `payload_offset`."""

    owner: str
    key: str
    payload_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class FenceGranted(LedgerEvent):
    """A scope has a new holder.

    Attributes
    ----------
    number : int
        Fencing number; grows with every grant of the scope.
    previous_holder : str
        Empty if there was none.
    previous_lease_ms : int
        Lease that the new holder has to wait out, in milliseconds.
    """

    scope: str
    holder: str
    number: int
    lease_ms: int
    previous_holder: str
    previous_lease_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class HistoryForgotten(LedgerEvent):
    """Calls and retired jobs were forgotten."""

    call_count: int
    job_count: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class PayloadFloorMoved(LedgerEvent):
    """New references to payload before an offset are refused from here on."""

    before_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class SnapshotWritten(LedgerEvent):
    """A snapshot that covers more than those before lies in the payload stream."""

    covers_offset: int
