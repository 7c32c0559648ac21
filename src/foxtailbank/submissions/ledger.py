"""State of all submissions, derived from the log; the same on every VM."""

import collections
import enum
import typing as t

import msgspec

from foxtailbank.submissions.records import (
    AttemptFailed,
    Ended,
    Item,
    ItemEnded,
    Part,
    Progress,
    Record,
    RefusedAttempt,
    Submitted,
    TakenOver,
)
from foxtailbank.submissions.submission import Submission

_Account: t.TypeAlias = tuple[str, str]


class Effect(enum.Enum):
    """Effect of applying a record."""

    ACCEPTED = "accepted"
    TOO_MANY_TOKENS = "too_many_tokens"
    INCOMPLETE = "incomplete"
    ITEM_ENDED = "listed"
    FAILED = "failed"
    ENDED = "ended"
    TAKEN_OVER = "taken"
    NONE = "none"


class Ledger:
    """State of all submissions.

    `apply` depends only on the record and the previous state, so every VM that
    replays the log gets the same decisions and result positions.
    """

    def __init__(self) -> None:
        self._by_id: dict[str, Submission] = {}
        self._parts_by_attempt: dict[tuple[str, str], list[Item]] = {}
        # By customer and entry.
        self._waiting_by_account: collections.Counter[_Account] = collections.Counter()

    def get(self, submission_id: str) -> Submission | None:
        """Return an accepted submission, or None if the id is not known."""
        return self._by_id.get(submission_id)

    def all(self) -> tuple[Submission, ...]:
        """Return all accepted submissions."""
        return tuple(self._by_id.values())

    def waiting_tokens(self, route: str, customer: str = "") -> int:
        """Return the tokens of the remaining items of a customer on an entry."""
        return self._waiting_by_account[(customer, route)]

    def forget(self, submission_id: str) -> None:
        """Remove a submission whose retention time has passed."""
        dropped = self._by_id.pop(submission_id, None)
        if dropped is not None:
            self._waiting_by_account[_account(dropped)] -= dropped.waiting_tokens

    def forget_parts(self, submission_id: str, attempt: str) -> None:
        """Remove parts of a submission whose records were dropped."""
        self._parts_by_attempt.pop((submission_id, attempt), None)

    def forget_progress(self, submission_id: str, item_id: str) -> None:
        """Remove an item's progress whose record was dropped."""
        submission = self._by_id.get(submission_id)
        if submission is not None:
            submission.progress_by_id.pop(item_id, None)

    def apply(self, record: Record) -> Effect:
        """Apply the next record of the log."""
        match record:
            case Part():
                attempt = (record.submission_id, record.attempt)
                self._parts_by_attempt.setdefault(attempt, []).extend(record.items)
                return Effect.NONE
            case Submitted():
                return self._submit(record)
            case RefusedAttempt():
                attempt = (record.submission_id, record.attempt)
                self._parts_by_attempt.pop(attempt, None)
                return Effect.NONE
            case ItemEnded():
                return self._end_item(record)
            case AttemptFailed():
                return self._count_failure(record)
            case Progress():
                return self._save_progress(record)
            case Ended():
                return self._end(record)
            case TakenOver():
                return self._change_owner(record)

    def _submit(self, record: Submitted) -> Effect:
        attempt = (record.submission_id, record.attempt)
        pieces = [*self._parts_by_attempt.pop(attempt, ()), *record.items]
        if record.submission_id in self._by_id:
            return Effect.NONE
        if record.piece_count not in (0, len(pieces)):
            return Effect.INCOMPLETE
        items = _join_pieces(pieces)
        tokens = sum(item.tokens for item in items)
        waiting = self._waiting_by_account[_account(record)]
        if record.waiting_limit and waiting + tokens > record.waiting_limit:
            return Effect.TOO_MANY_TOKENS
        self._waiting_by_account[_account(record)] += tokens
        self._by_id[record.submission_id] = Submission(
            submission_id=record.submission_id,
            route=record.route,
            host=record.host,
            target=record.target,
            arrived_wall_ms=record.arrived_wall_ms,
            owner=record.owner,
            customer=record.customer,
            is_public=record.is_public,
            items_by_id={item.item_id: item for item in items},
        )
        return Effect.ACCEPTED

    def _end_item(self, record: ItemEnded) -> Effect:
        submission = self._by_id.get(record.submission_id)
        if submission is None or record.item_id in submission.ended_item_ids:
            return Effect.NONE
        item = submission.items_by_id.get(record.item_id)
        if item is None:
            return Effect.NONE
        submission.results.append(record)
        submission.ended_item_ids.add(record.item_id)
        submission.items_by_id[record.item_id] = _without_request(item)
        submission.progress_by_id.pop(record.item_id, None)
        if not submission.ended:
            self._waiting_by_account[_account(submission)] -= item.tokens
        return Effect.ITEM_ENDED

    def _count_failure(self, record: AttemptFailed) -> Effect:
        submission = self._by_id.get(record.submission_id)
        if submission is None:
            return Effect.NONE
        failures = submission.failures_by_id
        failures[record.item_id] = failures.get(record.item_id, 0) + 1
        return Effect.FAILED

    def _save_progress(self, record: Progress) -> Effect:
        submission = self._by_id.get(record.submission_id)
        if submission is None or record.item_id in submission.ended_item_ids:
            return Effect.NONE
        submission.progress_by_id[record.item_id] = record
        return Effect.NONE

    def _end(self, record: Ended) -> Effect:
        submission = self._by_id.get(record.submission_id)
        if submission is None or submission.ended:
            return Effect.NONE
        self._waiting_by_account[_account(submission)] -= submission.waiting_tokens
        submission.ended = True
        submission.items_by_id = {
            item_id: _without_request(item)
            for item_id, item in submission.items_by_id.items()
        }
        return Effect.ENDED

    def _change_owner(self, record: TakenOver) -> Effect:
        submission = self._by_id.get(record.submission_id)
        if submission is None or record.generation != submission.generation + 1:
            return Effect.NONE
        submission.generation = record.generation
        submission.owner = record.owner
        return Effect.TAKEN_OVER


def _account(submission: Submission | Submitted) -> _Account:
    """Return whose waiting tokens a submission counts among."""
    return (submission.customer, submission.route)


def _without_request(item: Item) -> Item:
    """Return an item that is not run any more, without what takes memory."""
    return msgspec.structs.replace(item, headers=(), body=b"")


def _join_pieces(pieces: list[Item]) -> list[Item]:
    """Return the items that pieces make up, each with its whole body."""
    bodies_by_id: dict[str, list[bytes]] = {}
    first_by_id: dict[str, Item] = {}
    for piece in pieces:
        first_by_id.setdefault(piece.item_id, piece)
        bodies_by_id.setdefault(piece.item_id, []).append(piece.body)
    return [
        first
        if len(bodies_by_id[item_id]) == 1
        else msgspec.structs.replace(first, body=b"".join(bodies_by_id[item_id]))
        for item_id, first in first_by_id.items()
    ]
