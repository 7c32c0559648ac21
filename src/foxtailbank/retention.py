"""Decides what to append again before the log's retention deletes it."""

import dataclasses
import typing as t

from foxtailbank.job_state import JobState
from foxtailbank.ledger import Ledger
from foxtailbank.log_service import LogBounds

SNAPSHOT_DUTY = "snapshot"
RENEW_WINDOW_DIVISOR = 4
FLOOR_STEP_DIVISOR = 16

OwnsDuty: t.TypeAlias = t.Callable[[str], bool]


@dataclasses.dataclass(frozen=True, kw_only=True)
class RetentionView:
    """State of a stream with regard to the log's retention.

    Attributes
    ----------
    bounds : LogBounds
        Extent of the stream.
    aged_offset : int
        Records before it are old enough to be renewed, judged by the time at which
        this VM saw them; 0 if unknown.
    """

    bounds: LogBounds
    aged_offset: int = 0

    @property
    def renew_before(self) -> int:
        """Offset before which records are renewed, that is, appended again.

        Once retention has deleted records of the stream, the oldest quarter of the
        remaining ones is renewed as well, since a newly started VM does not know
        when they were appended.
        """
        if self.bounds.earliest == 0:
            return self.aged_offset
        window = self.bounds.end - self.bounds.earliest
        return max(
            self.aged_offset, self.bounds.earliest + window // RENEW_WINDOW_DIVISOR
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class RetentionAction:
    """Base class of the actions that retention requires."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class WriteSnapshot(RetentionAction):
    """Write a snapshot of the ledger's current state."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RaisePayloadFloor(RetentionAction):
    """Append `PayloadFloorRaised`."""

    before_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RenewPayload(RetentionAction):
    """Append payload records of a job again, then `PayloadMoved`.

    Attributes
    ----------
    offsets : tuple of int
        Offsets of the records, in ascending order.
    """

    job_id: str
    offsets: tuple[int, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class RenewManifest(RetentionAction):
    """Renew the records in a retired job's manifest, rewrite it, `ManifestMoved`.

    Attributes
    ----------
    manifest_offset : int
        Offset of the manifest.
    """

    job_id: str
    manifest_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RenewCallPayload(RetentionAction):
    """Append a call's stored response again, then `CallPayloadMoved`."""

    owner: str
    key: str
    payload_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RetireJob(RetentionAction):
    """Write an ended job's manifest, then `JobRetired`."""

    job_id: str


def snapshot_action(
    *,
    ledger: Ledger,
    ledger_view: RetentionView,
    payload_view: RetentionView,
    interval_records: int,
    owns: OwnsDuty,
) -> WriteSnapshot | None:
    """Return the action if this VM has to write a snapshot, else None.

    Parameters
    ----------
    ledger : Ledger
        Replayed state.
    ledger_view, payload_view : RetentionView
        State of the two streams.
    interval_records : int
        Number of ledger records after which a new snapshot is due.
    owns : callable
        Says whether this VM is responsible for a duty, by name. If two VMs both
        believe that they are, both write a snapshot, and readers use the one that
        covers more records.
    """
    if ledger.next_offset == 0 or not owns(SNAPSHOT_DUTY):
        return None
    latest = ledger.snapshot
    if latest is None:
        due = ledger.next_offset >= interval_records or ledger_view.renew_before > 0
        return WriteSnapshot() if due else None
    oldest_part = min(latest.payload_offsets, default=0)
    if (
        ledger.next_offset - latest.covers_offset > interval_records
        or latest.covers_offset < ledger_view.renew_before
        or oldest_part < payload_view.renew_before
    ):
        return WriteSnapshot()
    return None


def floor_action(
    *, ledger: Ledger, payload_view: RetentionView, owns: OwnsDuty
) -> RaisePayloadFloor | None:
    """Return the action if this VM has to raise the payload floor, else None.

    Parameters
    ----------
    ledger : Ledger
        Replayed state.
    payload_view : RetentionView
        State of the payload stream.
    owns : callable
        Says whether this VM is responsible for a duty, by name.
    """
    before = payload_view.renew_before
    bounds = payload_view.bounds
    step = max(1, (bounds.end - bounds.earliest) // FLOOR_STEP_DIVISOR)
    if before < ledger.payload_floor.before_offset + step or not owns(SNAPSHOT_DUTY):
        return None
    return RaisePayloadFloor(before_offset=before)


def renewal_actions(
    *, ledger: Ledger, payload_view: RetentionView, owns: OwnsDuty
) -> t.Iterator[RetentionAction]:
    """Yield the actions that this VM has to perform for jobs and calls.

    If two VMs both believe that they own a job, both append the same payload.
    `PayloadMoved` contains the offset that it replaces, so only the first of the two
    takes effect.

    Parameters
    ----------
    ledger : Ledger
        Replayed state; must not change while the iterator is in use.
    payload_view : RetentionView
        State of the payload stream.
    owns : callable
        Says whether this VM is responsible for a job (by id) or an owner's calls
        (by owner).
    """
    before = payload_view.renew_before
    for job in ledger.jobs_by_id.values():
        if owns(job.job_id):
            yield from _job_actions(job, before)
    for retired in ledger.retired_by_id.values():
        oldest_offset = min(retired.manifest_offset, retired.oldest_offset)
        if oldest_offset < before and owns(retired.job_id):
            yield RenewManifest(
                job_id=retired.job_id, manifest_offset=retired.manifest_offset
            )
    for (owner, key), call in ledger.calls.calls_by_key.items():
        if call.completed and call.payload_offset < before and owns(owner):
            yield RenewCallPayload(
                owner=owner, key=key, payload_offset=call.payload_offset
            )


def _job_actions(job: JobState, before: int) -> t.Iterator[RetentionAction]:
    if job.ended:
        yield RetireJob(job_id=job.job_id)
        return
    offsets = job.payload_offsets_before(before)
    if offsets:
        yield RenewPayload(job_id=job.job_id, offsets=offsets)
