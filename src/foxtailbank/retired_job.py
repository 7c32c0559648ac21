"""What the ledger keeps of a batch job that has ended."""

import dataclasses

from foxtailbank.job_state import JobState, JobStatus


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RetiredJob:
    """A job that has ended and is described by its manifest.

    Attributes
    ----------
    manifest_offset : int
        Offset of the manifest in the payload stream.
    accepted_offset : int
        Offset of the record that accepted the job.
    oldest_offset : int
        Lowest offset of a payload record that the manifest names.
    ended_count : int
        Items that ended before the job did.
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
    oldest_offset: int
    ended_count: int


def retire(job: JobState, manifest_offset: int) -> RetiredJob:
    """Return what is kept of a job that has ended."""
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
        oldest_offset=min(job.retained_offsets(), default=manifest_offset),
        ended_count=job.ended_count,
    )
