"""What callers are told of a batch job."""

import dataclasses

from foxtailbank.job_state import JobState
from foxtailbank.retired_job import RetiredJob


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobCounts:
    """Items of a job by how they stand.

    Attributes
    ----------
    total, completed, failed, pending : int
        Number of items.
    """

    total: int
    completed: int
    failed: int
    pending: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobView:
    """One job.

    Attributes
    ----------
    id : str
        The job.
    status : str
        ``running``, ``finished`` or ``cancelled``.
    entry : str
        Catalogue entry.
    counts : JobCounts
        Items.
    deadline_ms : int or None
        Civil time by which results are due; None for a job of the past.
    expected_finish_ms : int or None
        Estimate on the same scale; None when unknown.
    """

    id: str
    status: str
    entry: str
    counts: JobCounts
    deadline_ms: int | None = None
    expected_finish_ms: int | None = None


def view_of(job: JobState | RetiredJob, *, now_ms: int) -> JobView:
    """Return what a caller is told of a job.

    Parameters
    ----------
    job : JobState or RetiredJob
        The job.
    now_ms : int
        Civil time in milliseconds.
    """
    ended = job.ended_count
    counts = JobCounts(
        total=job.item_count,
        completed=ended - job.failed_count,
        failed=job.failed_count,
        pending=job.item_count - ended,
    )
    if isinstance(job, RetiredJob):
        return JobView(
            id=job.job_id, status=job.status.value, entry=job.entry, counts=counts
        )
    return JobView(
        id=job.job_id,
        status=job.status.value,
        entry=job.entry,
        counts=counts,
        deadline_ms=job.deadline_ms,
        expected_finish_ms=_expected_finish_ms(job, now_ms),
    )


def _expected_finish_ms(job: JobState, now_ms: int) -> int | None:
    if job.ended or not job.ended_count:
        return None
    elapsed_ms = max(1, now_ms - job.at_ms)
    left = job.item_count - job.ended_count
    return now_ms + elapsed_ms * left // job.ended_count
