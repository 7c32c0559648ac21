"""Decides what to append anew before the log's retention takes it."""

import dataclasses
import typing as t

from foxtailbank.job_state import JobState
from foxtailbank.ledger import Ledger
from foxtailbank.log_service import LogBounds

SNAPSHOT_DUTY = "snapshot"
RENEW_WINDOW_PART = 4
FLOOR_WINDOW_PART = 16

Owns: t.TypeAlias = t.Callable[[str], bool]


@dataclasses.dataclass(frozen=True, kw_only=True)
class RetentionView:
    """What is known of a stream's retention.

    Attributes
    ----------
    bounds : LogBounds
        Extent of the stream.
    aged_offset : int
        Records before it are old enough to be appended anew, going by the time
        at which this VM saw them; 0 if it does not know.
    """

    bounds: LogBounds
    aged_offset: int = 0

    @property
    def renew_before(self) -> int:
        """Offset before which records are appended anew.

        Once the stream has lost records, the oldest quarter of what is left
        counts as well: a fresh VM does not know when they were appended.
        """
        if self.bounds.earliest == 0:
            return self.aged_offset
        window = self.bounds.end - self.bounds.earliest
        return max(self.aged_offset, self.bounds.earliest + window // RENEW_WINDOW_PART)


@dataclasses.dataclass(frozen=True, kw_only=True)
class RetentionAction:
    """Base of what has to be done."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class WriteSnapshot(RetentionAction):
    """Write a snapshot of the ledger as it stands now."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RaisePayloadFloor(RetentionAction):
    """Record `PayloadFloorRaised`."""

    before_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RenewPayload(RetentionAction):
    """Append payload records of a job anew, then `PayloadMoved`.

    Attributes
    ----------
    offsets : tuple of int
        Offsets of the records, ascending.
    """

    job_id: str
    offsets: tuple[int, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class RenewManifest(RetentionAction):
    """Renew what a retired job's manifest names, write it anew, `ManifestMoved`.

    Attributes
    ----------
    manifest_offset : int
        Offset of the manifest.
    """

    job_id: str
    manifest_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RenewAnswer(RetentionAction):
    """Append a call's answer anew, then `CallPayloadMoved`."""

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
    owns: Owns,
) -> WriteSnapshot | None:
    """Return whether this VM has to write a snapshot.

    Parameters
    ----------
    ledger : Ledger
        Replayed state.
    ledger_view, payload_view : RetentionView
        What is known of the two streams.
    interval_records : int
        Number of ledger records after which a new snapshot is due.
    owns : callable
        Tells whether this VM has a duty; two VMs that both think so write two
        snapshots, of which readers use the one that covers more.
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
    *, ledger: Ledger, payload_view: RetentionView, owns: Owns
) -> RaisePayloadFloor | None:
    """Return whether this VM has to raise the payload floor.

    Parameters
    ----------
    ledger : Ledger
        Replayed state.
    payload_view : RetentionView
        What is known of the payload stream.
    owns : callable
        Tells whether this VM has a duty.
    """
    before = payload_view.renew_before
    bounds = payload_view.bounds
    step = max(1, (bounds.end - bounds.earliest) // FLOOR_WINDOW_PART)
    if before < ledger.payload_floor.before_offset + step or not owns(SNAPSHOT_DUTY):
        return None
    return RaisePayloadFloor(before_offset=before)


def renewal_actions(
    *, ledger: Ledger, payload_view: RetentionView, owns: Owns
) -> t.Iterator[RetentionAction]:
    """Yield what this VM has to do for jobs and calls.

    Two VMs that both think that they own a job append the same payload twice;
    `PayloadMoved` names the offset that it replaces, so one of them has effect.

    Parameters
    ----------
    ledger : Ledger
        Replayed state; may change only between uses of this function.
    payload_view : RetentionView
        What is known of the payload stream.
    owns : callable
        Tells whether this VM looks after a job (by id) or an owner's calls (by
        owner).
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
            yield RenewAnswer(owner=owner, key=key, payload_offset=call.payload_offset)


def _job_actions(job: JobState, before: int) -> t.Iterator[RetentionAction]:
    if job.ended:
        yield RetireJob(job_id=job.job_id)
        return
    offsets = job.payload_offsets_before(before)
    if offsets:
        yield RenewPayload(job_id=job.job_id, offsets=offsets)
