"""Reads of results, from a state that is recent enough for what they say."""

from foxtailbank.clock import Clock
from foxtailbank.events import Event
from foxtailbank.log_follower import LogFollower
from foxtailbank.logs import LogFields, Logs
from foxtailbank.submissions.failures import (
    RETRY_AFTER_MS,
    StateUnknown,
    unknown_on_failure,
)
from foxtailbank.submissions.result_page import PageTexts, ResultPage, page_from
from foxtailbank.submissions.submission import Submission
from foxtailbank.submissions.submission_table import SubmissionTable

# Half of the time after which VMs must agree on results; the rest is for the way of an
# answer to its caller, which may wait on this VM's link.
MAX_STATE_AGE_MS = 500
CALLER_SLACK_MS = 1_300  # that callers wait beyond their limit, less the way to them


class ResultReader:
    """Returns pages of results of submissions.

    Parameters
    ----------
    table : SubmissionTable
        Holds the ledger.
    follower : LogFollower
        Applies new log records to the ledger.
    texts : PageTexts
        Outputs that are not in the ledger.
    logs : Logs
        Receives a line for each page without a result at the asked position, and for
        each other that ends before the last item and is from an old state.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        table: SubmissionTable,
        follower: LogFollower,
        texts: PageTexts,
        logs: Logs,
        clock: Clock,
    ) -> None:
        self._table = table
        self._follower = follower
        self._texts = texts
        self._logs = logs
        self._clock = clock

    async def read(
        self, submission: Submission, position: int, deadline_ms: int
    ) -> ResultPage:
        """Return results, waiting for the first one.

        Known results are returned at once; to return none takes a recent state.

        Parameters
        ----------
        submission : Submission
            Whose results.
        position : int
            Of the first result, from 0 on.
        deadline_ms : int
            Until when to wait for a result.

        Raises
        ------
        StateUnknown
            The log could not be read to its end in time, or an output could not.
        """
        while submission.is_open and len(submission.results) <= position:
            left_ms = deadline_ms - self._clock.now_ms()
            if left_ms <= 0:
                break
            await self._follower.wait_for_change(left_ms)
            submission = self._newest(submission)
        if len(submission.results) <= position < len(submission.items_by_id):
            submission = await self._reread(submission, position)
        page = page_from(submission, position)
        self._log_end(page, submission)
        if not page.results:
            return page  # not later than its state allows
        left_ms = deadline_ms + CALLER_SLACK_MS - self._clock.now_ms()
        return await self._texts.fill(page, timeout_ms=left_ms)

    def _newest(self, submission: Submission) -> Submission:
        """Return the submission as it is now, also after a restore."""
        return self._table.ledger.get(submission.submission_id) or submission

    async def _reread(self, submission: Submission, position: int) -> Submission:
        """Return a submission that has a result there, or is from a recent state."""
        failure: StateUnknown | None = None
        try:
            with unknown_on_failure():
                await self._follower.refresh(MAX_STATE_AGE_MS)
        except StateUnknown as error:
            failure = error
        submission = self._newest(submission)
        if len(submission.results) > position:
            return submission
        if failure is not None:
            raise failure
        if not self._follower.is_recent(MAX_STATE_AGE_MS):
            raise StateUnknown(
                detail="the log was read too slowly", retry_after_ms=RETRY_AFTER_MS
            )
        return submission

    def _log_end(self, page: ResultPage, submission: Submission) -> None:
        """Log the state that an answer is from which ends before others may."""
        if not page.results:
            self._write(Event.RESULT_NOT_FOUND, page, submission)
            return
        is_last_known = page.next_position == len(submission.results) < page.total
        if is_last_known and not self._follower.is_recent(MAX_STATE_AGE_MS):
            self._write(Event.RESULTS_FROM_OLD_STATE, page, submission)

    def _write(self, event: Event, page: ResultPage, submission: Submission) -> None:
        unread_count = self._follower.known_end - self._follower.next_offset
        fields = LogFields(
            job_id=submission.submission_id,
            reason=(
                f"position {page.next_position} of {page.total}, "
                f"{unread_count} records unread"
            ),
            count=len(submission.results),
            offset=self._follower.next_offset,
            age_ms=self._follower.state_age_ms,
        )
        self._logs.write(event, fields=fields)
