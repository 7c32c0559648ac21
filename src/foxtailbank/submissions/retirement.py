"""Drops submissions from the log once nobody may ask for them any more."""

import anyio

from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.events import Event
from foxtailbank.keyed_log import KeyedRecord
from foxtailbank.logs import LogFields, Logs
from foxtailbank.submissions.append_queue import AppendQueue
from foxtailbank.submissions.book import SubmissionBook
from foxtailbank.submissions.records import SUBMITTED_KIND
from foxtailbank.submissions.submission import Submission

PERIOD_MS = 5_000
KEPT_MS = 180_000  # results must be readable for 120 s; clocks of VMs differ


class Retirement:
    """Drops the keys of closed submissions that this VM owns.

    Parameters
    ----------
    me : str
        This process, as ``vm/incarnation``.
    book : SubmissionBook
        The ledger.
    appends : AppendQueue
        Drops keys.
    logs : Logs
        Takes a line for each submission.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        me: str,
        book: SubmissionBook,
        appends: AppendQueue,
        logs: Logs,
        clock: Clock,
    ) -> None:
        self._me = me
        self._book = book
        self._appends = appends
        self._logs = logs
        self._clock = clock
        self._retired: set[str] = set()

    async def run(self) -> None:
        """Look for what has run out until cancelled."""
        while True:
            await anyio.sleep(PERIOD_MS / MS_PER_S)
            self.look()

    def look(self) -> None:
        """Drop what has run out.

        What another process owned is dropped by any VM after twice the time, for
        that process may be gone.
        """
        now_ms = self._clock.wall_ms()
        known = {s.submission_id for s in self._book.ledger.all()}
        self._retired &= known
        for submission in self._book.ledger.all():
            kept_ms = KEPT_MS if submission.owner == self._me else 2 * KEPT_MS
            age_ms = now_ms - submission.arrived_wall_ms
            if submission.is_open or age_ms < kept_ms:
                continue
            if submission.submission_id not in self._retired:
                self._retire(submission)

    def _retire(self, submission: Submission) -> None:
        self._retired.add(submission.submission_id)
        # The record that makes the submission known goes last.
        keys = sorted(submission.keys, key=lambda key: key.startswith(SUBMITTED_KIND))
        records = tuple(KeyedRecord(key=key, value=b"") for key in keys)
        self._appends.put(records, urgent=False)
        fields = LogFields(job_id=submission.submission_id, count=len(records))
        self._logs.write(Event.SUBMISSION_RETIRED, fields=fields)
