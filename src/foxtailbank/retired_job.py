"""Batch jobs whose state has been replaced by a manifest."""

import dataclasses

from foxtailbank.job_state import JobState, JobStatus


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RetiredJob:
    """An ended job whose results are described by a stored manifest.

    Attributes
    ----------
    manifest_offset : int
        Offset of the manifest in the payload stream.
    accepted_offset : int
        Offset of the record that accepted the job.
    oldest_offset : int
        Lowest offset of a payload record that the manifest refers to.
    ended_count : int
        Number of items that ended before the job did; fewer than ``item_count`` in a
        cancelled job.
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
    """Return the retired form of a job that has ended."""
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
