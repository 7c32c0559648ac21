import pytest

from foxtailbank.job_state import JobStatus
from foxtailbank.job_view import JobCounts, build_job_view
from foxtailbank.retired_job import RetiredJob


@pytest.mark.parametrize(
    ("status", "ended", "completed", "pending"),
    [
        (JobStatus.FINISHED, 400, 398, 0),
        (JobStatus.CANCELLED, 12, 10, 388),
    ],
)
def test_retired_job_counts_items_ended_before_the_job(
    status, ended, completed, pending
):
    job = RetiredJob(
        job_id="job",
        owner="o",
        entry="notices",
        key="",
        digest="d",
        status=status,
        item_count=400,
        failed_count=2,
        manifest_offset=1,
        accepted_offset=0,
        oldest_offset=1,
        ended_count=ended,
    )
    counts = build_job_view(job, now_ms=0).counts
    assert counts == JobCounts(
        total=400, completed=completed, failed=2, pending=pending
    )
