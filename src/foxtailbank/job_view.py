"""Representation of batch jobs in API responses."""

import dataclasses

from foxtailbank.job_state import JobState
from foxtailbank.retired_job import RetiredJob


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobCounts:
    """Number of items of a job by state.

    Attributes
    ----------
    total, completed, failed, pending : int
        ``completed`` items ended with a response, ``pending`` ones have not ended.
    """

    total: int
    completed: int
    failed: int
    pending: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobView:
    """A job as shown to callers.

    Attributes
    ----------
    id : str
        Id of the job.
    status : str
        ``running``, ``finished`` or ``cancelled``.
    entry : str
        Name of the catalogue entry.
    counts : JobCounts
        Number of items by state.
    deadline_ms : int or None
        Time by which results are due, in milliseconds since the Unix epoch; None for
        a retired job.
    expected_finish_ms : int or None
        Estimated finish, in milliseconds since the Unix epoch; None if unknown.
    """

    id: str
    status: str
    entry: str
    counts: JobCounts
    deadline_ms: int | None = None
    expected_finish_ms: int | None = None


def build_job_view(job: JobState | RetiredJob, *, now_ms: int) -> JobView:
    """Return the representation of a job for its caller.

    Parameters
    ----------
    job : JobState or RetiredJob
        The job.
    now_ms : int
        Current time, in milliseconds since the Unix epoch.
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
    remaining = job.item_count - job.ended_count
    return now_ms + elapsed_ms * remaining // job.ended_count
