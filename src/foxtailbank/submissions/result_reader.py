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

MAX_STATE_AGE_MS = 500  # half of the time after which VMs must agree on results
MAX_ANSWER_AGE_MS = 700  # after what was read for the answer, which took up to as long
CALLER_SLACK_MS = 1_300  # that callers wait beyond their limit, less the way to them
# Of failed reads until the store counts as away; queued reads come back sooner.
STORE_AWAY_MS = 2_000


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

        A page that ends with the last known result tells the caller that there are no
        more yet, which takes a recent state, as does a page without results.

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
            The log could not be read to its end.
        """
        while submission.is_open and len(submission.results) <= position:
            left_ms = deadline_ms - self._clock.now_ms()
            if left_ms <= 0:
                break
            await self._follower.wait_for_change(left_ms)
            submission = self._newest(submission)
        page = await self._whole_page(submission, position, deadline_ms)
        self._log_end(submission, page)
        return page

    async def _whole_page(
        self, submission: Submission, position: int, deadline_ms: int
    ) -> ResultPage:
        """Return a page with all texts whose state is still recent then.

        Texts that were read for one round are in memory in the next.
        """
        give_up_ms = deadline_ms + CALLER_SLACK_MS
        while True:
            page = page_from(self._newest(submission), position)
            if page.is_last_known and not self._may_be_short(page):
                page = await self._reread(submission, position)
            left_ms = give_up_ms - self._clock.now_ms()
            page = await self._texts.fill(page, timeout_ms=left_ms)
            if not page.is_last_known or self._may_be_short(page):
                return page
            if self._follower.is_recent(MAX_ANSWER_AGE_MS):
                return page
            if self._clock.now_ms() >= give_up_ms:
                raise StateUnknown(
                    detail="outputs were read too slowly", retry_after_ms=RETRY_AFTER_MS
                )

    def _may_be_short(self, page: ResultPage) -> bool:
        """Return whether to answer with what is known, without a recent state.

        While the store is away no VM can list more; callers get what is ready.
        """
        return bool(page.results) and self._follower.failing_ms >= STORE_AWAY_MS

    async def _reread(self, submission: Submission, position: int) -> ResultPage:
        """Return a page from a recent state, or one up to the last item."""
        failure: StateUnknown | None = None
        try:
            with unknown_on_failure():
                await self._follower.refresh(MAX_STATE_AGE_MS)
        except StateUnknown as error:
            failure = error
        page = page_from(self._newest(submission), position)
        if failure is not None and page.is_last_known:
            raise failure
        return page

    def _newest(self, submission: Submission) -> Submission:
        """Return the submission as it is now, also after a restore."""
        return self._table.ledger.get(submission.submission_id) or submission

    def _log_end(self, submission: Submission, page: ResultPage) -> None:
        """Log the state that an answer is from which ends before others may."""
        if not page.results:
            self._write(Event.RESULT_NOT_FOUND, submission, page)
        elif page.is_last_known and not self._follower.is_recent(MAX_STATE_AGE_MS):
            self._write(Event.RESULTS_FROM_OLD_STATE, submission, page)

    def _write(self, event: Event, submission: Submission, page: ResultPage) -> None:
        unread_count = self._follower.known_end - self._follower.next_offset
        fields = LogFields(
            job_id=submission.submission_id,
            reason=(
                f"position {page.next_position} of {page.total}, "
                f"{unread_count} records unread"
            ),
            count=page.known_count,
            offset=self._follower.next_offset,
            age_ms=self._follower.state_age_ms,
        )
        self._logs.write(event, fields=fields)
