"""Deterministic replay of the ledger stream."""

import dataclasses
import typing as t

from foxtailbank.call_state import CallTable
from foxtailbank.item_set import bitmap_of, ranges_of
from foxtailbank.job_state import (
    JobState,
    JobStatus,
    has_valid_chunks,
    is_payload_offset,
)
from foxtailbank.ledger_events import (
    EntryIgnored,
    FenceGranted,
    HistoryForgotten,
    IgnoreReason,
    ItemsClaimWon,
    ItemsEnded,
    JobAdded,
    JobCancelledEvent,
    JobConflict,
    JobFinished,
    JobRepeated,
    JobRetiredEvent,
    LedgerEvent,
    PayloadMovedEvent,
    ResultsApplied,
    SnapshotWritten,
)
from foxtailbank.records import (
    CallClaimed,
    CallCompleted,
    CallPayloadMoved,
    CallReleased,
    ChunkResults,
    ClaimsAbandoned,
    Entry,
    Envelope,
    FenceTaken,
    HistoryExpired,
    ItemsClaimed,
    JobAccepted,
    JobCancelled,
    JobRetired,
    PayloadMoved,
    Snapshot,
)

MAX_INCARNATIONS = 4096

Events: t.TypeAlias = tuple[LedgerEvent, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RetiredJob:
    """A job that has ended and is described by its manifest.

    Attributes
    ----------
    manifest_offset : int
        Offset of the manifest in the payload stream.
    accepted_offset : int
        Offset of the record that accepted the job.
    """

    job_id: str
    owner: str
    entry: str
    key: str
    digest: str
    status: JobStatus
    item_count: int
    failed_count: int
    manifest_offset: int
    accepted_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Fence:
    """Who may give orders in a scope.

    Attributes
    ----------
    number : int
        Fencing number.
    lease_ms : int
        How long the holder may act, in milliseconds.
    """

    holder: str
    number: int
    lease_ms: int


class Ledger:
    """State that follows from the records of the ledger stream alone.

    Every VM that applied the same records holds the same state, whatever else
    happened to it.

    Attributes
    ----------
    next_offset : int
        Offset after the last record applied; it never decreases.
    jobs_by_id : dict of str to JobState
        Jobs that have not been retired.
    retired_by_id : dict of str to RetiredJob
        Jobs that have been retired and not been forgotten.
    job_ids_by_key : dict of (str, str) to str
        Job by owner and idempotency key.
    calls : CallTable
        Keyed calls.
    fences_by_scope : dict of str to Fence
        Current holders of orders.
    snapshot : Snapshot or None
        The recorded snapshot that covers most.
    sequences_by_incarnation : dict of str to int
        Last sequence applied, least recently seen first.
    """

    def __init__(self) -> None:
        self.next_offset = 0
        self.jobs_by_id: dict[str, JobState] = {}
        self.retired_by_id: dict[str, RetiredJob] = {}
        self.job_ids_by_key: dict[tuple[str, str], str] = {}
        self.calls = CallTable()
        self.fences_by_scope: dict[str, Fence] = {}
        self.snapshot: Snapshot | None = None
        self.sequences_by_incarnation: dict[str, int] = {}

    def apply(self, offset: int, envelope: Envelope) -> Events:
        """Apply one record.

        Parameters
        ----------
        offset : int
            Offset of the record.
        envelope : Envelope
            Content of the record.

        Returns
        -------
        tuple of LedgerEvent
            What changed; empty for a record that was applied before.
        """
        if offset < self.next_offset:
            return ()
        self.next_offset = offset + 1
        if self._is_duplicate(envelope):
            return ()
        events: list[LedgerEvent] = []
        for index, entry in enumerate(envelope.entries):
            events.extend(self._apply_entry(index, offset, entry))
        return tuple(events)

    def skip(self, offset: int) -> None:
        """Pass over a record that has no readable envelope."""
        self.next_offset = max(self.next_offset, offset + 1)

    def job_id_for_key(self, owner: str, key: str) -> str | None:
        """Return the job accepted under an owner's idempotency key."""
        return self.job_ids_by_key.get((owner, key))

    def _is_duplicate(self, envelope: Envelope) -> bool:
        sequences = self.sequences_by_incarnation
        last = sequences.pop(envelope.incarnation, 0)
        sequences[envelope.incarnation] = max(last, envelope.sequence)
        if len(sequences) > MAX_INCARNATIONS:
            del sequences[next(iter(sequences))]
        return envelope.sequence <= last

    def _apply_entry(self, index: int, offset: int, entry: Entry) -> Events:
        match entry:
            case ChunkResults():
                return self._apply_results(index, entry)
            case ItemsClaimed():
                return (self._claim_items(index, entry),)
            case ClaimsAbandoned():
                return self._abandon_claims(index, entry)
            case JobAccepted():
                return (self._accept_job(index, offset, entry),)
            case JobCancelled():
                return (self._cancel_job(index, entry),)
            case JobRetired():
                return (self._retire_job(index, entry),)
            case PayloadMoved():
                return (self._move_payload(index, entry),)
            case CallClaimed():
                return (self.calls.claim(index, offset, entry),)
            case CallReleased():
                return (self.calls.release(index, entry),)
            case CallCompleted():
                return (self._complete_call(index, entry),)
            case CallPayloadMoved():
                return (self._move_call(index, entry),)
            case FenceTaken():
                return (self._take_fence(index, offset, entry),)
            case HistoryExpired():
                return (self._expire_history(index, entry),)
            case Snapshot():
                return (self._note_snapshot(index, offset, entry),)
        raise AssertionError(entry)

    def _accept_job(self, index: int, offset: int, entry: JobAccepted) -> LedgerEvent:
        known_id = self._known_job_id(entry)
        if known_id is not None:
            if self._job_digest(known_id) == entry.digest:
                return JobRepeated(index=index, job_id=known_id)
            return JobConflict(index=index, job_id=known_id)
        if not has_valid_chunks(entry):
            return EntryIgnored(index=index, reason=IgnoreReason.OUT_OF_RANGE)
        job = JobState(accepted=entry, accepted_offset=offset)
        self.jobs_by_id[entry.job_id] = job
        if entry.key:
            self.job_ids_by_key[entry.owner, entry.key] = entry.job_id
        return JobAdded(index=index, job_id=entry.job_id)

    def _known_job_id(self, entry: JobAccepted) -> str | None:
        if entry.key:
            known_id = self.job_ids_by_key.get((entry.owner, entry.key))
            if known_id is not None:
                return known_id
        if entry.job_id in self.jobs_by_id or entry.job_id in self.retired_by_id:
            return entry.job_id
        return None

    def _job_digest(self, job_id: str) -> str:
        job = self.jobs_by_id.get(job_id) or self.retired_by_id[job_id]
        return job.digest

    def _running_job(self, job_id: str) -> JobState | IgnoreReason:
        job = self.jobs_by_id.get(job_id)
        if job is None:
            if job_id in self.retired_by_id:
                return IgnoreReason.JOB_ENDED
            return IgnoreReason.UNKNOWN_JOB
        if job.ended:
            return IgnoreReason.JOB_ENDED
        return job

    def _cancel_job(self, index: int, entry: JobCancelled) -> LedgerEvent:
        job = self._running_job(entry.job_id)
        if isinstance(job, IgnoreReason):
            return EntryIgnored(index=index, reason=job)
        job.status = JobStatus.CANCELLED
        return JobCancelledEvent(index=index, job_id=entry.job_id)

    def _select(
        self, entry: ItemsClaimed | ClaimsAbandoned | ChunkResults
    ) -> tuple[JobState, int] | IgnoreReason:
        job = self._running_job(entry.job_id)
        if isinstance(job, IgnoreReason):
            return job
        if not 0 <= entry.chunk < job.chunk_count:
            return IgnoreReason.OUT_OF_RANGE
        bitmap = bitmap_of(entry.items, size=job.chunk(entry.chunk).count)
        if not bitmap:
            return IgnoreReason.OUT_OF_RANGE
        return job, bitmap

    def _claim_items(self, index: int, entry: ItemsClaimed) -> LedgerEvent:
        selected = self._select(entry)
        if isinstance(selected, IgnoreReason):
            return EntryIgnored(index=index, reason=selected)
        job, bitmap = selected
        won = 0 if job.idempotent else job.claim(entry.chunk, bitmap, entry.claimant)
        if not won:
            return EntryIgnored(index=index, reason=IgnoreReason.NOTHING_NEW)
        return ItemsClaimWon(
            index=index,
            job_id=entry.job_id,
            chunk=entry.chunk,
            items=ranges_of(won),
            claimant=entry.claimant,
        )

    def _abandon_claims(self, index: int, entry: ClaimsAbandoned) -> Events:
        selected = self._select(entry)
        if isinstance(selected, IgnoreReason):
            return (EntryIgnored(index=index, reason=selected),)
        job, bitmap = selected
        lost = job.abandon(entry.chunk, bitmap, entry.claimant)
        if not lost:
            return (EntryIgnored(index=index, reason=IgnoreReason.NOTHING_NEW),)
        ended = ItemsEnded(
            index=index, job_id=entry.job_id, chunk=entry.chunk, items=ranges_of(lost)
        )
        return (ended, *_finished(index, job))

    def _apply_results(self, index: int, entry: ChunkResults) -> Events:
        selected = self._select(entry)
        if isinstance(selected, IgnoreReason):
            return (EntryIgnored(index=index, reason=selected),)
        job, bitmap = selected
        failed = bitmap_of(entry.failed, size=job.chunk(entry.chunk).count)
        if failed is None or not is_payload_offset(entry.payload_offset):
            return (EntryIgnored(index=index, reason=IgnoreReason.OUT_OF_RANGE),)
        won = job.win(entry.chunk, bitmap, failed, entry.payload_offset, entry.claimant)
        if not won:
            return (EntryIgnored(index=index, reason=IgnoreReason.NOTHING_NEW),)
        applied = ResultsApplied(
            index=index,
            job_id=entry.job_id,
            chunk=entry.chunk,
            items=ranges_of(won),
            payload_offset=entry.payload_offset,
            failed_count=(won & failed).bit_count(),
        )
        return (applied, *_finished(index, job))

    def _retire_job(self, index: int, entry: JobRetired) -> LedgerEvent:
        job = self.jobs_by_id.get(entry.job_id)
        if job is None:
            retired = entry.job_id in self.retired_by_id
            reason = IgnoreReason.JOB_ENDED if retired else IgnoreReason.UNKNOWN_JOB
            return EntryIgnored(index=index, reason=reason)
        if not job.ended:
            return EntryIgnored(index=index, reason=IgnoreReason.JOB_NOT_ENDED)
        if not is_payload_offset(entry.manifest_offset):
            return EntryIgnored(index=index, reason=IgnoreReason.OUT_OF_RANGE)
        del self.jobs_by_id[entry.job_id]
        self.retired_by_id[entry.job_id] = _retire(job, entry.manifest_offset)
        return JobRetiredEvent(
            index=index, job_id=entry.job_id, manifest_offset=entry.manifest_offset
        )

    def _move_payload(self, index: int, entry: PayloadMoved) -> LedgerEvent:
        to_by_from = {move.from_offset: move.to_offset for move in entry.moves}
        if not all(map(is_payload_offset, to_by_from.values())):
            return EntryIgnored(index=index, reason=IgnoreReason.OUT_OF_RANGE)
        moved = self._move_references(entry.job_id, to_by_from)
        if isinstance(moved, IgnoreReason):
            return EntryIgnored(index=index, reason=moved)
        return PayloadMovedEvent(index=index, job_id=entry.job_id, moved_count=moved)

    def _move_references(
        self, job_id: str, to_by_from: dict[int, int]
    ) -> int | IgnoreReason:
        job = self.jobs_by_id.get(job_id)
        if job is not None:
            return job.move(to_by_from) or IgnoreReason.NOTHING_NEW
        retired = self.retired_by_id.get(job_id)
        if retired is None:
            return IgnoreReason.UNKNOWN_JOB
        target = to_by_from.get(retired.manifest_offset)
        if target is None:
            return IgnoreReason.NOTHING_NEW
        self.retired_by_id[job_id] = dataclasses.replace(
            retired, manifest_offset=target
        )
        return 1

    def _complete_call(self, index: int, entry: CallCompleted) -> LedgerEvent:
        if not is_payload_offset(entry.payload_offset):
            return EntryIgnored(index=index, reason=IgnoreReason.OUT_OF_RANGE)
        return self.calls.complete(index, entry)

    def _move_call(self, index: int, entry: CallPayloadMoved) -> LedgerEvent:
        if not is_payload_offset(entry.to_offset):
            return EntryIgnored(index=index, reason=IgnoreReason.OUT_OF_RANGE)
        return self.calls.move(index, entry)

    def _take_fence(self, index: int, offset: int, entry: FenceTaken) -> LedgerEvent:
        previous = self.fences_by_scope.get(entry.scope)
        # the offset keeps numbers growing should the state ever start anew
        number = max(previous.number if previous else 0, offset) + 1
        self.fences_by_scope[entry.scope] = Fence(
            holder=entry.holder, number=number, lease_ms=entry.lease_ms
        )
        return FenceGranted(
            index=index,
            scope=entry.scope,
            holder=entry.holder,
            number=number,
            lease_ms=entry.lease_ms,
            previous_holder=previous.holder if previous else "",
            previous_lease_ms=previous.lease_ms if previous else 0,
        )

    def _expire_history(self, index: int, entry: HistoryExpired) -> LedgerEvent:
        expired = [
            job
            for job in self.retired_by_id.values()
            if job.accepted_offset < entry.before_offset
        ]
        for job in expired:
            del self.retired_by_id[job.job_id]
            self.job_ids_by_key.pop((job.owner, job.key), None)
        return HistoryForgotten(
            index=index,
            call_count=self.calls.forget(entry.before_offset),
            job_count=len(expired),
        )

    def _note_snapshot(self, index: int, offset: int, entry: Snapshot) -> LedgerEvent:
        if not 0 <= entry.covers_offset < offset:
            return EntryIgnored(index=index, reason=IgnoreReason.OUT_OF_RANGE)
        if self.snapshot and self.snapshot.covers_offset >= entry.covers_offset:
            return EntryIgnored(index=index, reason=IgnoreReason.NOTHING_NEW)
        self.snapshot = entry
        return SnapshotWritten(index=index, covers_offset=entry.covers_offset)


def _finished(index: int, job: JobState) -> Events:
    if job.status is not JobStatus.FINISHED:
        return ()
    return (JobFinished(index=index, job_id=job.job_id),)


def _retire(job: JobState, manifest_offset: int) -> RetiredJob:
    return RetiredJob(
        job_id=job.job_id,
        owner=job.owner,
        entry=job.entry,
        key=job.key,
        digest=job.digest,
        status=job.status,
        item_count=job.item_count,
        failed_count=job.failed_count,
        manifest_offset=manifest_offset,
        accepted_offset=job.accepted_offset,
    )
