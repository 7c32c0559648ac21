"""Copy of the ledger on one VM, updated from the log."""

import dataclasses
import functools
import typing as t

from foxtailbank.events import Event
from foxtailbank.keyed_log import KeyedRecord, LogSlice
from foxtailbank.log_follower import LogState
from foxtailbank.logs import LogFields, Logs
from foxtailbank.record_isolation import apply_each
from foxtailbank.settings_sections import LogLevel
from foxtailbank.submissions.ledger import Effect, Ledger
from foxtailbank.submissions.records import (
    PART_KIND,
    PROGRESS_KIND,
    ItemEndedApart,
    Part,
    Record,
    RecordUnreadable,
    RefusedAttempt,
    Submitted,
    decode,
    key_segment,
)

_REFUSED = frozenset((Effect.TOO_MANY_TOKENS, Effect.INCOMPLETE))
_EVENT_BY_EFFECT = {
    Effect.ACCEPTED: Event.SUBMISSION_ACCEPTED,
    Effect.TOO_MANY_TOKENS: Event.SUBMISSION_REFUSED,
    Effect.INCOMPLETE: Event.SUBMISSION_REFUSED,
    Effect.ENDED: Event.SUBMISSION_ENDED,
    Effect.TAKEN_OVER: Event.SUBMISSION_TAKEN_OVER,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class UnmarkedAttempt:
    """A refused `Submitted` whose key still holds that record.

    Attributes
    ----------
    key : str
        Its log key.
    owner : str
        Process that wrote it, as ``vm/incarnation``.
    refused : RefusedAttempt
        Record that is to replace it.
    part_keys : frozenset of str
        Log keys of its parts.
    """

    key: str
    owner: str
    refused: RefusedAttempt
    part_keys: frozenset[str]


class SubmissionTable(LogState):
    """Applies the log to the ledger and notifies listeners of changes.

    Parameters
    ----------
    logs : Logs
        Receives a line for each submission event and each unreadable record.
    on_read : callable, optional
        Called with the size in bytes of records that were read as they were appended.

    Attributes
    ----------
    ledger : Ledger
        All submissions, as of the last record read.
    unmarked_by_key : dict of str to UnmarkedAttempt
        Refused attempts that a replay could still accept, by log key.
    stored_bytes : int
        Size of the newest record of each key, which a VM that starts reads at once.
    text_bytes : int
        Size of the outputs in the log of texts that belong to these records.
    """

    def __init__(
        self, *, logs: Logs, on_read: t.Callable[[int], None] | None = None
    ) -> None:
        self.ledger = Ledger()
        self.unmarked_by_key: dict[str, UnmarkedAttempt] = {}
        self._logs = logs
        self._on_read = on_read
        self._listeners: list[t.Callable[[], None]] = []
        self._part_keys_by_attempt: dict[tuple[str, str], set[str]] = {}
        self._id_by_segment: dict[str, str] = {}  # of ids that are not in their keys
        self._bytes_by_key: dict[str, int] = {}
        self._text_bytes_by_key: dict[str, int] = {}
        self.stored_bytes = 0
        self.text_bytes = 0

    def on_change(self, listener: t.Callable[[], None]) -> None:
        """Call a function each time records have been applied."""
        self._listeners.append(listener)

    def restore(self, newest: LogSlice) -> None:
        """Rebuild the ledger from the newest record of each key."""
        self.ledger = Ledger()
        self.unmarked_by_key = {}
        self._part_keys_by_attempt = {}
        self._id_by_segment = {}
        self._bytes_by_key = {}
        self._text_bytes_by_key = {}
        self.stored_bytes = 0
        self.text_bytes = 0
        self._apply_all(newest, is_replay=True)

    def apply_records(self, part: LogSlice) -> None:
        """Apply the records that follow."""
        if self._on_read is not None:
            self._on_read(sum(record.size_bytes for record in part.records))
        self._apply_all(part, is_replay=False)

    def _apply_all(self, part: LogSlice, *, is_replay: bool) -> None:
        apply = functools.partial(self._apply, is_replay=is_replay)
        apply_each(part.records, apply, task="submissions", logs=self._logs)
        self._notify()

    def _apply(self, stored: KeyedRecord, *, is_replay: bool) -> None:
        self.unmarked_by_key.pop(stored.key, None)
        self._count_bytes(stored)
        if not stored.value:
            self._forget(stored)
            return
        try:
            record = decode(stored.value)
        except RecordUnreadable as failure:
            fields = LogFields(
                task="submissions", offset=stored.offset, reason=failure.detail
            )
            self._logs.write(Event.RECORD_SKIPPED, level=LogLevel.ERROR, fields=fields)
            return
        if isinstance(record, ItemEndedApart):
            self._text_bytes_by_key[stored.key] = record.text_at.size_bytes
            self.text_bytes += record.text_at.size_bytes
        effect = self.ledger.apply(record)
        self._remember_key(stored.key, record, effect)
        event = _EVENT_BY_EFFECT.get(effect)
        if event is None or is_replay:
            return
        fields = LogFields(
            job_id=record.submission_id,
            offset=stored.offset,
            owner=getattr(record, "owner", ""),
            reason=effect.value,
        )
        self._logs.write(event, level=LogLevel.DEBUG, fields=fields)

    def _count_bytes(self, stored: KeyedRecord) -> None:
        self.stored_bytes -= self._bytes_by_key.pop(stored.key, 0)
        self.text_bytes -= self._text_bytes_by_key.pop(stored.key, 0)
        if stored.value:
            self._bytes_by_key[stored.key] = stored.size_bytes
            self.stored_bytes += stored.size_bytes

    def _remember_key(self, key: str, record: Record, effect: Effect) -> None:
        if isinstance(record, Part):
            attempt = (record.submission_id, record.attempt)
            self._part_keys_by_attempt.setdefault(attempt, set()).add(key)
            return
        keys = {key}
        if isinstance(record, Submitted | RefusedAttempt):
            attempt = (record.submission_id, record.attempt)
            keys |= self._part_keys_by_attempt.pop(attempt, set())
        segment = key_segment(record.submission_id)
        if segment != record.submission_id:
            self._id_by_segment[segment] = record.submission_id
        if isinstance(record, Submitted) and effect in _REFUSED:
            self.unmarked_by_key[key] = UnmarkedAttempt(
                key=key,
                owner=record.owner,
                refused=RefusedAttempt(
                    submission_id=record.submission_id, attempt=record.attempt
                ),
                part_keys=frozenset(keys - {key}),
            )
        submission = self.ledger.get(record.submission_id)
        if submission is None:
            return
        submission.record_keys |= keys
        if isinstance(record, ItemEndedApart):
            submission.text_keys.add(record.text_at.key)
        if effect is Effect.ACCEPTED:
            submission.created_key = key

    def _forget(self, stored: KeyedRecord) -> None:
        kind, _, rest = stored.key.partition("/")
        if kind == PART_KIND:
            self._forget_part(stored.key)
        segment, _, suffix = rest.partition("/")
        submission_id = self._id_by_segment.get(segment, segment)
        submission = self.ledger.get(submission_id)
        if submission is None:
            return
        submission.record_keys.discard(stored.key)
        # Another arrival of the id may have been accepted since.
        if stored.key == submission.created_key:
            self.ledger.forget(submission_id)
            self._id_by_segment.pop(segment, None)
        elif kind == PROGRESS_KIND:
            for item_id in tuple(submission.progress_by_id):
                if key_segment(item_id) == suffix:
                    self.ledger.forget_progress(submission_id, item_id)

    def _forget_part(self, key: str) -> None:
        """Forget the attempt of a part that was dropped before its `Submitted` came."""
        for attempt, keys in tuple(self._part_keys_by_attempt.items()):
            if key in keys:
                del self._part_keys_by_attempt[attempt]
                self.ledger.forget_parts(*attempt)

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
