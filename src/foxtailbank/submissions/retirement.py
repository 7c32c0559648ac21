"""Drops closed submissions from the log when their retention time has passed.

Records of refused attempts are replaced before that. A VM that replays the newest
records would accept them once the submissions that filled the limit are dropped.
"""

import anyio

from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.events import Event
from foxtailbank.keyed_log import KeyedRecord
from foxtailbank.logs import LogFields, Logs
from foxtailbank.submissions.append_queue import AppendQueue
from foxtailbank.submissions.records import encode_refused
from foxtailbank.submissions.result_texts import ResultTexts
from foxtailbank.submissions.submission import Submission
from foxtailbank.submissions.submission_table import (
    SubmissionTable,
    UnmarkedAttempt,
)

CHECK_PERIOD_MS = 5_000  # lets a running restore end before records are dropped
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
    texts : ResultTexts
        Drops outputs that are kept apart from that log.
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
        texts: ResultTexts,
        logs: Logs,
        clock: Clock,
    ) -> None:
        self._owner_id = owner_id
        self._table = table
        self._appends = appends
        self._texts = texts
        self._logs = logs
        self._clock = clock
        self._retired_keys: set[str] = set()
        self._expired_keys: set[str] = set()
        self._marked_keys: set[str] = set()

    async def run(self) -> None:
        """Retire expired submissions until cancelled."""
        while True:
            await anyio.sleep(CHECK_PERIOD_MS / MS_PER_S)
            self.retire_expired()

    def retire_expired(self) -> None:
        """Retire the closed submissions whose retention time has passed.

        Submissions of another process are retired by any VM after twice that time,
        as their owner may have departed. Each is retired one check after it expired;
        refused attempts are marked in between.
        """
        expired = [s for s in self._table.ledger.all() if self._is_expired(s)]
        self._mark_attempts(including_others=bool(expired))
        expired_keys = {submission.created_key for submission in expired}
        self._retired_keys &= expired_keys
        for submission in expired:
            is_due = submission.created_key in self._expired_keys
            if is_due and submission.created_key not in self._retired_keys:
                self._retire(submission)
        self._expired_keys = expired_keys

    def _is_expired(self, submission: Submission) -> bool:
        is_own = submission.owner == self._owner_id
        kept_ms = RETENTION_MS if is_own else 2 * RETENTION_MS
        age_ms = self._clock.wall_ms() - submission.arrived_wall_ms
        return not submission.is_open and age_ms >= kept_ms

    def _mark_attempts(self, *, including_others: bool) -> None:
        unmarked_by_key = self._table.unmarked_by_key
        self._marked_keys &= unmarked_by_key.keys()
        for attempt in unmarked_by_key.values():
            if attempt.key in self._marked_keys:
                continue
            if including_others or attempt.owner == self._owner_id:
                self._mark(attempt)

    def _mark(self, attempt: UnmarkedAttempt) -> None:
        self._marked_keys.add(attempt.key)
        records = [KeyedRecord(key=key, value=b"") for key in sorted(attempt.part_keys)]
        records.append(encode_refused(attempt.refused, key=attempt.key))
        self._appends.put_split(tuple(records))

    def _retire(self, submission: Submission) -> None:
        created_key = submission.created_key
        self._retired_keys.add(created_key)
        # The record that created the submission is dropped last.
        keys = [*sorted(submission.record_keys - {created_key}), created_key]
        records = tuple(KeyedRecord(key=key, value=b"") for key in keys)
        self._appends.put_split(records)
        self._texts.drop(submission.text_keys)
        fields = LogFields(job_id=submission.submission_id, count=len(records))
        self._logs.write(Event.SUBMISSION_RETIRED, fields=fields)
