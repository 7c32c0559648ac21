"""Drops closed submissions from the log when their retention time has passed."""

import anyio

from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.events import Event
from foxtailbank.keyed_log import KeyedRecord
from foxtailbank.logs import LogFields, Logs
from foxtailbank.submissions.append_queue import AppendQueue
from foxtailbank.submissions.submission import Submission
from foxtailbank.submissions.submission_table import SubmissionTable

CHECK_PERIOD_MS = 5_000
RETENTION_MS = 180_000  # results must be readable for 120 s; VM clocks differ


class Retirement:
    """Drops the log keys of closed submissions.

    Parameters
    ----------
    owner_id : str
        This process, as ``vm/incarnation``.
    table : SubmissionTable
        Holds the ledger.
    appends : AppendQueue
        Queue for the submission log.
    logs : Logs
        Receives a line for each submission that is dropped.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        owner_id: str,
        table: SubmissionTable,
        appends: AppendQueue,
        logs: Logs,
        clock: Clock,
    ) -> None:
        self._owner_id = owner_id
        self._table = table
        self._appends = appends
        self._logs = logs
        self._clock = clock
        self._retired_keys: set[str] = set()

    async def run(self) -> None:
        """Retire expired submissions until cancelled."""
        while True:
            await anyio.sleep(CHECK_PERIOD_MS / MS_PER_S)
            self.retire_expired()

    def retire_expired(self) -> None:
        """Retire the closed submissions whose retention time has passed.

        Submissions of another process are retired by any VM after twice that time,
        as their owner may have departed.
        """
        now_ms = self._clock.wall_ms()
        self._retired_keys &= {s.created_key for s in self._table.ledger.all()}
        for submission in self._table.ledger.all():
            kept_ms = (
                RETENTION_MS if submission.owner == self._owner_id else 2 * RETENTION_MS
            )
            age_ms = now_ms - submission.arrived_wall_ms
            if submission.is_open or age_ms < kept_ms:
                continue
            if submission.created_key not in self._retired_keys:
                self._retire(submission)

    def _retire(self, submission: Submission) -> None:
        created_key = submission.created_key
        self._retired_keys.add(created_key)
        # The record that created the submission is dropped last.
        keys = [*sorted(submission.record_keys - {created_key}), created_key]
        records = tuple(KeyedRecord(key=key, value=b"") for key in keys)
        self._appends.put(records, urgent=False)
        fields = LogFields(job_id=submission.submission_id, count=len(records))
        self._logs.write(Event.SUBMISSION_RETIRED, fields=fields)
