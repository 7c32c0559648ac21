"""Operations on batch submissions for callers."""

import anyio

from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.forward.route import Route
from foxtailbank.keyed_log import KeyedRecord
from foxtailbank.log_follower import LogFollower
from foxtailbank.logs import Logs
from foxtailbank.submissions.append_queue import AppendQueue
from foxtailbank.submissions.failures import (
    RETRY_AFTER_MS,
    ItemUnknown,
    OutcomeUnknown,
    StateUnknown,
    StoreFull,
    SubmissionTooLarge,
    SubmissionUnknown,
    unknown_on_failure,
)
from foxtailbank.submissions.item_groups import encode_parts, split_items
from foxtailbank.submissions.new_submission import NewSubmission
from foxtailbank.submissions.records import (
    Ended,
    Submitted,
    encode,
)
from foxtailbank.submissions.result_page import PageTexts, ResultPage
from foxtailbank.submissions.result_reader import MAX_STATE_AGE_MS, ResultReader
from foxtailbank.submissions.submission import Submission
from foxtailbank.submissions.submission_table import SubmissionTable

APPEND_WAIT_MS = 3_000  # shorter than a caller's deadline for a submission


class SubmissionService:
    """Accepts and ends submissions and returns their results.

    Parameters
    ----------
    owner_id : str
        This process, as ``vm/incarnation``.
    table : SubmissionTable
        Holds the ledger.
    follower : LogFollower
        Applies new log records to the ledger.
    appends : AppendQueue
        Queue for the submission log.
    texts : PageTexts
        Outputs that are not in the ledger.
    part_bytes : int
        Size at which the items of a submission are split into records, in bytes.
    max_stored_bytes : int
        Most that may be stored of all submissions, in bytes.
    max_text_bytes : int
        Most that may be stored of outputs beside their records, in bytes.
    logs : Logs
        Receives lines about reads of results.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        owner_id: str,
        table: SubmissionTable,
        follower: LogFollower,
        appends: AppendQueue,
        texts: PageTexts,
        part_bytes: int,
        max_stored_bytes: int,
        max_text_bytes: int,
        logs: Logs,
        clock: Clock,
    ) -> None:
        self._owner_id = owner_id
        self._table = table
        self._follower = follower
        self._appends = appends
        self._part_bytes = part_bytes
        self._max_stored_bytes = max_stored_bytes
        self._max_text_bytes = max_text_bytes
        self._clock = clock
        self._results = ResultReader(
            table=table, follower=follower, texts=texts, logs=logs, clock=clock
        )
        self._suffix_count = 0

    async def submit(self, new: NewSubmission, route: Route) -> None:
        """Accept a submission and return once it is durable.

        Raises
        ------
        SubmissionTooLarge
            It exceeds the entry's token limit; this attempt runs none of its items.
        StateUnknown
            The store is unavailable or was not read in time; nothing was written.
        OutcomeUnknown
            The submission may still be accepted.
        AppendTooLarge
            An item fits into no record; nothing was written.
        """
        if self._table.ledger.get(new.submission_id) is not None:
            return
        self._require_store()
        tokens = sum(item.tokens for item in new.items)
        if self.exceeds_limit(route, new.customer, tokens):
            await self._refresh()
            if self._table.ledger.get(new.submission_id) is not None:
                return
            if self.exceeds_limit(route, new.customer, tokens):
                raise self._too_large()
        records = self._encode_records(new, route)
        self._require_memory(sum(record.size_bytes for record in records))
        end = await self._append_parts(records)
        if not await self._follower.wait_for_offset(end, APPEND_WAIT_MS):
            raise OutcomeUnknown(detail="the log could not be read back")
        if self._table.ledger.get(new.submission_id) is None:
            raise self._too_large()

    def check(
        self, route: Route, customer: str, *, tokens: int, added_bytes: int
    ) -> None:
        """Raise what `submit` would raise for a new submission now; without an effect.

        `submit` first reads the log anew where this raises `SubmissionTooLarge`.
        """
        self._require_store()
        if self.exceeds_limit(route, customer, tokens):
            raise self._too_large()
        self._require_memory(added_bytes)

    async def _append_parts(self, records: tuple[KeyedRecord, ...]) -> int:
        """Append records in order, in as many appends as their sizes take.

        Nothing of a submission counts before its last record is in the log.
        """
        deadline_ms = self._clock.now_ms() + APPEND_WAIT_MS
        *parts, last = self._appends.split(records)
        appended: list[KeyedRecord] = []
        try:
            for part in parts:
                appended += part
                await self._append(part, deadline_ms, is_last=False)
            return await self._append(last, deadline_ms)
        except StateUnknown:
            drops = tuple(KeyedRecord(key=r.key, value=b"") for r in appended)
            self._appends.put_split(drops)
            raise

    async def results(
        self, submission_id: str, *, position: int, wait_ms: int
    ) -> ResultPage:
        """Return results; see `ResultReader.read`.

        Raises
        ------
        SubmissionUnknown
            The log has no such submission.
        StateUnknown
            The log could not be read to its end, or an output could not be read.
        """
        deadline_ms = self._clock.now_ms() + wait_ms
        submission = await self.find(submission_id)
        return await self._results.read(submission, position, deadline_ms)

    async def item_body(self, submission_id: str, item_id: str) -> bytes:
        """Return the request body of an item.

        Raises
        ------
        SubmissionUnknown
            The log has no such submission.
        ItemUnknown
            The submission has ended, or has no such item that is not listed yet.
        StateUnknown
            The log could not be read to its end.
        """
        submission = await self.find(submission_id)
        item = submission.items_by_id.get(item_id)
        is_listed = item_id in submission.ended_item_ids
        if item is None or submission.ended or is_listed:
            raise ItemUnknown(detail=item_id)
        return item.body

    async def end(self, submission_id: str) -> None:
        """End a submission and return once that is durable.

        Raises
        ------
        SubmissionUnknown
            The log has no such submission.
        StateUnknown
            The store is unavailable; the submission was not ended.
        OutcomeUnknown
            The submission may still be ended.
        """
        submission = await self.find(submission_id)
        if submission.ended:
            return
        self._require_store()
        record = encode(
            Ended(submission_id=submission_id), key_suffix=self._unique_suffix()
        )
        end = await self._append((record,), self._clock.now_ms() + APPEND_WAIT_MS)
        await self._follower.wait_for_offset(end, APPEND_WAIT_MS)

    def _require_store(self) -> None:
        is_available = self._appends.is_available and self._appends.has_capacity
        if not self._follower.is_restored or not is_available:
            raise StateUnknown(
                detail="the store is unavailable", retry_after_ms=RETRY_AFTER_MS
            )

    def _require_memory(self, added_bytes: int) -> None:
        """Refuse what no VM or not the store could hold with what is stored."""
        stored_bytes = self._table.stored_bytes + self._appends.waiting_bytes
        text_bytes = self._table.text_bytes
        is_full = stored_bytes + added_bytes > self._max_stored_bytes
        if is_full or text_bytes > self._max_text_bytes:
            raise StoreFull(
                detail=f"{stored_bytes} and {text_bytes} bytes are stored",
                retry_after_ms=RETRY_AFTER_MS,
            )

    def waiting_tokens(self, route: Route, customer: str) -> int:
        """Return the tokens of a customer's accepted items that wait on a route."""
        return self._table.ledger.waiting_tokens(route.name, customer)

    def exceeds_limit(self, route: Route, customer: str, tokens: int) -> bool:
        """Return whether items of so many tokens are too many beside those waiting."""
        waiting = self.waiting_tokens(route, customer)
        return bool(route.waiting_tokens) and waiting + tokens > route.waiting_tokens

    def _too_large(self) -> SubmissionTooLarge:
        return SubmissionTooLarge(
            detail="the entry's limit on waiting tokens is reached",
            retry_after_ms=RETRY_AFTER_MS,
        )

    @property
    def knows_all(self) -> bool:
        """Whether this VM has read all submissions of before its start."""
        return self._follower.has_caught_up

    def get(self, submission_id: str) -> Submission | None:
        """Return a submission, or None if this VM does not know the id."""
        return self._table.ledger.get(submission_id)

    async def find(self, submission_id: str) -> Submission:
        """Return a submission.

        Raises
        ------
        SubmissionUnknown
            The log has no such submission.
        StateUnknown
            The log could not be read to its end.
        """
        submission = self._table.ledger.get(submission_id)
        if submission is not None:
            return submission
        with unknown_on_failure():
            await self._follower.sync()
        submission = self._table.ledger.get(submission_id)
        if submission is not None:
            return submission
        if not self._follower.is_recent(MAX_STATE_AGE_MS):
            raise StateUnknown(
                detail="the log was read too slowly", retry_after_ms=RETRY_AFTER_MS
            )
        raise SubmissionUnknown(detail=submission_id)

    async def _refresh(self) -> None:
        with unknown_on_failure():
            await self._follower.refresh(MAX_STATE_AGE_MS)

    async def _append(
        self,
        records: tuple[KeyedRecord, ...],
        deadline_ms: int,
        *,
        is_last: bool = True,
    ) -> int:
        """Append records together and return the offset after them.

        Parameters
        ----------
        records : tuple of KeyedRecord
            Records for one append.
        deadline_ms : int
            When to give up.
        is_last : bool
            Whether they take effect; if not, their outcome need not be known.
        """
        pending = self._appends.put(records, urgent=True)
        if not await _wait_for(pending.done, deadline_ms - self._clock.now_ms()):
            if self._appends.withdraw(pending) or not is_last:
                raise StateUnknown(
                    detail="the append could not be sent in time",
                    retry_after_ms=RETRY_AFTER_MS,
                )
            raise OutcomeUnknown(detail="the store did not answer in time")
        if pending.end < 0:
            raise StateUnknown(
                detail="the store refused the append", retry_after_ms=RETRY_AFTER_MS
            )
        return pending.end

    def _encode_records(
        self, new: NewSubmission, route: Route
    ) -> tuple[KeyedRecord, ...]:
        attempt = self._unique_suffix()
        groups = split_items(new.items, self._part_bytes)
        submitted = Submitted(
            submission_id=new.submission_id,
            attempt=attempt,
            route=route.name,
            host=new.host,
            target=new.target,
            arrived_wall_ms=self._clock.wall_ms(),
            waiting_limit=route.waiting_tokens,
            owner=self._owner_id,
            items=groups[-1],
            piece_count=sum(map(len, groups)),
            customer=new.customer,
            is_public=route.is_public,
        )
        parts = encode_parts(new.submission_id, attempt, groups[:-1])
        return (*parts, encode(submitted, key_suffix=attempt))

    def _unique_suffix(self) -> str:
        self._suffix_count += 1
        return f"{self._owner_id}/{self._suffix_count}"


async def _wait_for(event: anyio.Event, timeout_ms: float) -> bool:
    with anyio.move_on_after(timeout_ms / MS_PER_S):
        await event.wait()
    return bool(event.is_set())
