"""Table of batch jobs, built by replaying the ledger."""

import dataclasses
import typing as t

from foxtailbank.chunk_check import PayloadFloor, check_chunks
from foxtailbank.item_set import bitmap_to_ranges, ranges_to_bitmap
from foxtailbank.job_state import (
    JobState,
    JobStatus,
)
from foxtailbank.ledger_events import (
    EntryIgnored,
    IgnoreReason,
    ItemsClaimWon,
    ItemsEnded,
    ItemsReleasedEvent,
    JobAdded,
    JobCancelledEvent,
    JobConflict,
    JobFinished,
    JobRepeated,
    JobRetiredEvent,
    LedgerEvent,
    ManifestMovedEvent,
    PayloadMovedEvent,
    ResultsApplied,
)
from foxtailbank.records import (
    ChunkResults,
    ClaimsAbandoned,
    ItemsClaimed,
    ItemsReleased,
    JobAccepted,
    JobCancelled,
    JobRetired,
    ManifestMoved,
    PayloadMoved,
)
from foxtailbank.retired_job import RetiredJob, retire

Events: t.TypeAlias = tuple[LedgerEvent, ...]


class JobTable:
    """Jobs by id and by idempotency key; applies job records to them.

    Attributes
    ----------
    jobs_by_id : dict of str to JobState
        Jobs that have not been retired.
    retired_by_id : dict of str to RetiredJob
        Retired jobs that are still retained.
    job_ids_by_key : dict of (str, str) to str
        Job ids by owner and idempotency key.

    Parameters
    ----------
    floor : PayloadFloor
        Checks that payload records referred to by new entries are retained.
    """

    def __init__(self, *, floor: PayloadFloor) -> None:
        self._floor = floor
        self.jobs_by_id: dict[str, JobState] = {}
        self.retired_by_id: dict[str, RetiredJob] = {}
        self.job_ids_by_key: dict[tuple[str, str], str] = {}

    def accept(self, index: int, offset: int, entry: JobAccepted) -> LedgerEvent:
        """Add a job unless its key or id is already in use."""
        known_id = self._known_job_id(entry)
        if known_id is not None:
            if self._job_digest(known_id) == entry.digest:
                return JobRepeated(index=index, job_id=known_id)
            return JobConflict(index=index, job_id=known_id)
        refusal = check_chunks(entry, self._floor)
        if refusal is not None:
            return EntryIgnored(index=index, reason=refusal)
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

    def cancel(self, index: int, entry: JobCancelled) -> LedgerEvent:
        """End a running job."""
        job = self._running_job(entry.job_id)
        if isinstance(job, IgnoreReason):
            return EntryIgnored(index=index, reason=job)
        job.cancel()
        return JobCancelledEvent(index=index, job_id=entry.job_id)

    def _resolve_items(
        self, entry: ItemsClaimed | ItemsReleased | ClaimsAbandoned | ChunkResults
    ) -> tuple[JobState, int] | IgnoreReason:
        job = self._running_job(entry.job_id)
        if isinstance(job, IgnoreReason):
            return job
        if not 0 <= entry.chunk < job.chunk_count:
            return IgnoreReason.OUT_OF_RANGE
        bitmap = ranges_to_bitmap(entry.items, size=job.chunk(entry.chunk).count)
        if not bitmap:
            return IgnoreReason.OUT_OF_RANGE
        return job, bitmap

    def claim(self, index: int, entry: ItemsClaimed) -> LedgerEvent:
        """Grant items of a non-idempotent job to their first claimant."""
        selected = self._resolve_items(entry)
        if isinstance(selected, IgnoreReason):
            return EntryIgnored(index=index, reason=selected)
        job, bitmap = selected
        granted = (
            0 if job.idempotent else job.claim(entry.chunk, bitmap, entry.claimant)
        )
        if not granted:
            return EntryIgnored(index=index, reason=IgnoreReason.NOTHING_NEW)
        return ItemsClaimWon(
            index=index,
            job_id=entry.job_id,
            chunk=entry.chunk,
            items=bitmap_to_ranges(granted),
            claimant=entry.claimant,
        )

    def release(self, index: int, entry: ItemsReleased) -> LedgerEvent:
        """Make items that did not run claimable again."""
        selected = self._resolve_items(entry)
        if isinstance(selected, IgnoreReason):
            return EntryIgnored(index=index, reason=selected)
        job, bitmap = selected
        released = job.release(entry.chunk, bitmap, entry.claimant)
        if not released:
            return EntryIgnored(index=index, reason=IgnoreReason.NOTHING_NEW)
        return ItemsReleasedEvent(
            index=index,
            job_id=entry.job_id,
            chunk=entry.chunk,
            items=bitmap_to_ranges(released),
        )

    def abandon(self, index: int, entry: ClaimsAbandoned) -> Events:
        """End the items of a lost claimant with an unknown outcome."""
        selected = self._resolve_items(entry)
        if isinstance(selected, IgnoreReason):
            return (EntryIgnored(index=index, reason=selected),)
        job, bitmap = selected
        lost = job.abandon(entry.chunk, bitmap, entry.claimant)
        if not lost:
            return (EntryIgnored(index=index, reason=IgnoreReason.NOTHING_NEW),)
        ended = ItemsEnded(
            index=index,
            job_id=entry.job_id,
            chunk=entry.chunk,
            items=bitmap_to_ranges(lost),
        )
        return (ended, *_finish_events(index, job))

    def apply_results(self, index: int, entry: ChunkResults) -> Events:
        """End items whose first valid results are in the entry."""
        selected = self._resolve_items(entry)
        if isinstance(selected, IgnoreReason):
            return (EntryIgnored(index=index, reason=selected),)
        job, bitmap = selected
        failed = ranges_to_bitmap(entry.failed, size=job.chunk(entry.chunk).count)
        if failed is None:
            return (EntryIgnored(index=index, reason=IgnoreReason.OUT_OF_RANGE),)
        refusal = self._floor.check_offset(entry.payload_offset)
        if refusal is not None:
            return (EntryIgnored(index=index, reason=refusal),)
        ended = job.apply_results(
            entry.chunk, bitmap, failed, entry.payload_offset, entry.claimant
        )
        if not ended:
            return (EntryIgnored(index=index, reason=IgnoreReason.NOTHING_NEW),)
        applied = ResultsApplied(
            index=index,
            job_id=entry.job_id,
            chunk=entry.chunk,
            items=bitmap_to_ranges(ended),
            payload_offset=entry.payload_offset,
            failed_count=(ended & failed).bit_count(),
        )
        return (applied, *_finish_events(index, job))

    def retire(self, index: int, entry: JobRetired) -> LedgerEvent:
        """Replace an ended job's state by a reference to its manifest."""
        job = self.jobs_by_id.get(entry.job_id)
        if job is None:
            retired = entry.job_id in self.retired_by_id
            reason = IgnoreReason.JOB_ENDED if retired else IgnoreReason.UNKNOWN_JOB
            return EntryIgnored(index=index, reason=reason)
        if not job.ended:
            return EntryIgnored(index=index, reason=IgnoreReason.JOB_NOT_ENDED)
        refusal = self._floor.check_offset(entry.manifest_offset)
        if refusal is not None:
            return EntryIgnored(index=index, reason=refusal)
        del self.jobs_by_id[entry.job_id]
        self.retired_by_id[entry.job_id] = retire(job, entry.manifest_offset)
        return JobRetiredEvent(
            index=index, job_id=entry.job_id, manifest_offset=entry.manifest_offset
        )

    def move_payloads(self, index: int, entry: PayloadMoved) -> LedgerEvent:
        """Update a job's references to payload records that were appended again."""
        to_by_from = {move.from_offset: move.to_offset for move in entry.moves}
        for refusal in map(self._floor.check_offset, to_by_from.values()):
            if refusal is not None:
                return EntryIgnored(index=index, reason=refusal)
        job = self._running_job(entry.job_id)
        if isinstance(job, IgnoreReason):
            return EntryIgnored(index=index, reason=job)
        moved = job.move_payloads(to_by_from)
        if not moved:
            return EntryIgnored(index=index, reason=IgnoreReason.NOTHING_NEW)
        return PayloadMovedEvent(index=index, job_id=entry.job_id, moved_count=moved)

    def move_manifest(self, index: int, entry: ManifestMoved) -> LedgerEvent:
        """Update the manifest of a retired job that was appended again."""
        retired = self.retired_by_id.get(entry.job_id)
        if retired is None:
            return EntryIgnored(index=index, reason=IgnoreReason.UNKNOWN_JOB)
        if retired.manifest_offset != entry.from_offset:
            return EntryIgnored(index=index, reason=IgnoreReason.NOTHING_NEW)
        refusal = self._floor.check_offset(min(entry.to_offset, entry.oldest_offset))
        if refusal is not None:
            return EntryIgnored(index=index, reason=refusal)
        self.retired_by_id[entry.job_id] = dataclasses.replace(
            retired,
            manifest_offset=entry.to_offset,
            oldest_offset=entry.oldest_offset,
        )
        return ManifestMovedEvent(
            index=index, job_id=entry.job_id, manifest_offset=entry.to_offset
        )

    def forget_retired(self, before_offset: int) -> int:
        """Remove retired jobs accepted before an offset; return their number."""
        expired = [
            job
            for job in self.retired_by_id.values()
            if job.accepted_offset < before_offset
        ]
        for job in expired:
            del self.retired_by_id[job.job_id]
            self.job_ids_by_key.pop((job.owner, job.key), None)
        return len(expired)


def _finish_events(index: int, job: JobState) -> Events:
    if job.status is not JobStatus.FINISHED:
        return ()
    return (JobFinished(index=index, job_id=job.job_id),)
