"""What callers ask about batch submissions."""

import dataclasses
import typing as t

import anyio

from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.exceptions import FoxtailbankError, Ran
from foxtailbank.forward.route import Route
from foxtailbank.keyed_log import KeyedRecord
from foxtailbank.log_follower import LogFollower
from foxtailbank.submissions.append_queue import AppendQueue
from foxtailbank.submissions.book import SubmissionBook
from foxtailbank.submissions.records import (
    Ended,
    Item,
    Listed,
    Part,
    Submitted,
    encode,
)
from foxtailbank.submissions.submission import Submission

APPEND_WAIT_MS = 3_000  # a caller's deadline for a submission is longer
PART_SHARE = 0.8  # of the largest record; keys and names take the rest
MAX_PAGE_BYTES = 900_000
RETRY_AFTER_MS = 700


class StateUnknown(FoxtailbankError):
    """The store is away, so that nothing can be promised."""

    code = "state_unknown"
    status = 503


class OutcomeUnknown(FoxtailbankError):
    """The store was asked and has not answered; it may still do it."""

    code = "outcome_unknown"
    status = 504

    def __init__(self, *, detail: str = "") -> None:
        super().__init__(detail=detail, ran=Ran.UNKNOWN)


class SubmissionTooLarge(FoxtailbankError):
    """More tokens would wait than the entry allows."""

    code = "too_many_waiting_tokens"
    status = 429


class SubmissionUnknown(FoxtailbankError):
    """No submission of that id was accepted, or its time has passed."""

    code = "submission_unknown"
    status = 404


class ItemUnknown(FoxtailbankError):
    """The submission has no such item that is still to run."""

    code = "item_unknown"
    status = 404


@dataclasses.dataclass(frozen=True, kw_only=True)
class NewSubmission:
    """A submission as a caller sent it.

    Attributes
    ----------
    submission_id : str
        Chosen by the caller.
    host, target : str
        Where it was sent.
    items : tuple of Item
        What is to run.
    """

    submission_id: str
    host: str
    target: str
    items: tuple[Item, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResultPage:
    """Results from a position on.

    Attributes
    ----------
    total : int
        Items of the submission.
    next_position : int
        Where the next page starts.
    results : tuple of Listed
        In the order of their positions.
    """

    total: int
    next_position: int
    results: tuple[Listed, ...]


class SubmissionService:
    """Accepts, shows and ends submissions.

    Parameters
    ----------
    me : str
        This process, as ``vm/incarnation``.
    book : SubmissionBook
        The ledger.
    follower : LogFollower
        Keeps the book in step with the log.
    appends : AppendQueue
        Writes to the log.
    record_bytes : int
        Largest record.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        me: str,
        book: SubmissionBook,
        follower: LogFollower,
        appends: AppendQueue,
        record_bytes: int,
        clock: Clock,
    ) -> None:
        self._me = me
        self._book = book
        self._follower = follower
        self._appends = appends
        self._part_bytes = int(record_bytes * PART_SHARE)
        self._clock = clock
        self._arrivals = 0

    async def submit(self, new: NewSubmission, route: Route) -> None:
        """Accept a submission; returns once it is durable.

        Raises
        ------
        SubmissionTooLarge
            It does not fit at present; nothing of it will run for this attempt.
        StateUnknown
            The store is away; nothing was written.
        OutcomeUnknown
            It may yet be accepted.
        """
        if self._book.ledger.get(new.submission_id) is not None:
            return
        self._check_store()
        tokens = sum(item.tokens for item in new.items)
        if route.waiting_tokens and tokens > route.waiting_tokens:
            raise self._too_large()
        if self._surely_full(route, tokens):
            raise self._too_large()
        end = await self._append(self._records_of(new, route))
        if not await self._follower.wait_for(end, APPEND_WAIT_MS):
            raise OutcomeUnknown(detail="the log could not be read back")
        if self._book.ledger.get(new.submission_id) is None:
            raise self._too_large()

    async def results(
        self, submission_id: str, *, position: int, wait_ms: int
    ) -> ResultPage:
        """Return results, waiting for the first one.

        Raises
        ------
        SubmissionUnknown
            The log has no such submission.
        StateUnknown
            The log can't be read to its end.
        """
        submission = await self._known(submission_id)
        deadline_ms = self._clock.now_ms() + wait_ms
        while submission.is_open and len(submission.results) <= position:
            left_ms = deadline_ms - self._clock.now_ms()
            if left_ms <= 0:
                break
            await self._follower.wait_change(left_ms)
            submission = self._book.ledger.get(submission_id) or submission
        return _page(submission, position)

    async def body(self, submission_id: str, item_id: str) -> bytes:
        """Return the body of an item that has no result yet.

        Raises
        ------
        SubmissionUnknown, ItemUnknown, StateUnknown
            There is none, or it can't be told.
        """
        submission = await self._known(submission_id)
        item = submission.items_by_id.get(item_id)
        if item is None or submission.ended:
            raise ItemUnknown(detail=item_id)
        return item.body

    async def end(self, submission_id: str) -> None:
        """End a submission; returns once that is durable.

        Raises
        ------
        SubmissionUnknown, StateUnknown, OutcomeUnknown
            It was not ended, or it can't be told.
        """
        submission = await self._known(submission_id)
        if submission.ended:
            return
        self._check_store()
        record = encode(Ended(submission_id=submission_id), unique=self._unique())
        end = await self._append((record,))
        await self._follower.wait_for(end, APPEND_WAIT_MS)

    def _check_store(self) -> None:
        if not self._follower.started or not self._appends.available:
            raise StateUnknown(
                detail="the store is away", retry_after_ms=RETRY_AFTER_MS
            )

    def _surely_full(self, route: Route, tokens: int) -> bool:
        waiting = self._book.ledger.waiting_tokens(route.name)
        if not route.waiting_tokens or self._follower.failing:
            return False
        return waiting + tokens > route.waiting_tokens

    def _too_large(self) -> SubmissionTooLarge:
        return SubmissionTooLarge(
            detail="too many tokens wait", retry_after_ms=RETRY_AFTER_MS
        )

    async def _known(self, submission_id: str) -> Submission:
        submission = self._book.ledger.get(submission_id)
        if submission is not None:
            return submission
        try:
            await self._follower.sync()
        except FoxtailbankError as failure:
            raise StateUnknown(
                detail=failure.detail, retry_after_ms=RETRY_AFTER_MS
            ) from failure
        submission = self._book.ledger.get(submission_id)
        if submission is None:
            raise SubmissionUnknown(detail=submission_id)
        return submission

    async def _append(self, records: tuple[KeyedRecord, ...]) -> int:
        pending = self._appends.put(records, urgent=True)
        if not await _wait(pending.done, APPEND_WAIT_MS):
            if self._appends.withdraw(pending):
                raise StateUnknown(
                    detail="the store is slow", retry_after_ms=RETRY_AFTER_MS
                )
            raise OutcomeUnknown(detail="the store has not answered")
        if pending.end < 0:
            raise StateUnknown(
                detail="the store refused", retry_after_ms=RETRY_AFTER_MS
            )
        return pending.end

    def _records_of(self, new: NewSubmission, route: Route) -> tuple[KeyedRecord, ...]:
        attempt = self._unique()
        groups = list(_grouped(new.items, self._part_bytes))
        parts = [
            Part(submission_id=new.submission_id, attempt=attempt, items=group)
            for group in groups[:-1]
        ]
        submitted = Submitted(
            submission_id=new.submission_id,
            attempt=attempt,
            route=route.name,
            host=new.host,
            target=new.target,
            arrived_wall_ms=self._clock.wall_ms(),
            waiting_limit=route.waiting_tokens,
            owner=self._me,
            items=groups[-1],
        )
        stored = [
            encode(part, unique=f"{attempt}/{number}")
            for number, part in enumerate(parts)
        ]
        stored.append(encode(submitted, unique=attempt))
        return tuple(stored)

    def _unique(self) -> str:
        self._arrivals += 1
        return f"{self._me}/{self._arrivals}"


async def _wait(event: anyio.Event, timeout_ms: float) -> bool:
    with anyio.move_on_after(timeout_ms / MS_PER_S):
        await event.wait()
    return bool(event.is_set())


def _grouped(items: tuple[Item, ...], group_bytes: int) -> t.Iterator[tuple[Item, ...]]:
    group: list[Item] = []
    size = 0
    for item in items:
        item_bytes = len(item.body) + 512
        if group and size + item_bytes > group_bytes:
            yield tuple(group)
            group = []
            size = 0
        group.append(item)
        size += item_bytes
    yield tuple(group)


def _page(submission: Submission, position: int) -> ResultPage:
    chosen: list[Listed] = []
    size = 0
    for result in submission.results[position:]:
        size += len(result.text.encode()) + 200
        if chosen and size > MAX_PAGE_BYTES:
            break
        chosen.append(result)
    return ResultPage(
        total=len(submission.items_by_id),
        next_position=position + len(chosen),
        results=tuple(chosen),
    )
