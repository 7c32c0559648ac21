"""Ledger state compared with a simple model and with a replay of the newest records.

The newest record of each key is the complete history, so replaying only those must give
the same state as the whole log.
"""

import dataclasses

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from foxtailbank.keyed_log import KeyedRecord, LogSlice
from foxtailbank.submissions.ledger import Effect, Ledger
from foxtailbank.submissions.records import (
    AttemptFailed,
    Ended,
    Item,
    ItemEnded,
    Part,
    Progress,
    Submitted,
    TakenOver,
    encode,
)
from foxtailbank.submissions.submission_table import SubmissionTable
from serving_fakes import make_logs

LIMIT = 60


def make_item(item_id, tokens=10):
    return Item(item_id=item_id, target="/p/x", headers=(), body=b"b", tokens=tokens)


def make_submitted(submission_id="s1", *, attempt="1", items=("a", "b"), limit=LIMIT):
    return Submitted(
        submission_id=submission_id,
        attempt=attempt,
        route="r",
        host="h",
        target="/p/",
        arrived_wall_ms=0,
        waiting_limit=limit,
        owner="vm/1",
        items=tuple(make_item(item) for item in items),
    )


def item_ended(submission_id, item_id, text="t"):
    return ItemEnded(
        submission_id=submission_id, item_id=item_id, completed=True, text=text
    )


@pytest.mark.parametrize(
    ("records", "effects"),
    [
        pytest.param(
            [make_submitted(), make_submitted(attempt="2")],
            [Effect.ACCEPTED, Effect.NONE],
            id="accepted-once",
        ),
        pytest.param(
            [make_submitted(items="abcdef"), make_submitted("s2")],
            [Effect.ACCEPTED, Effect.TOO_MANY_TOKENS],
            id="too-many-tokens",
        ),
        pytest.param(
            [
                make_submitted(items="abcdef"),
                Ended(submission_id="s1"),
                make_submitted("s2"),
            ],
            [Effect.ACCEPTED, Effect.ENDED, Effect.ACCEPTED],
            id="ending-frees-tokens",
        ),
        pytest.param(
            [make_submitted(), item_ended("s1", "a"), item_ended("s1", "a", "other")],
            [Effect.ACCEPTED, Effect.ITEM_ENDED, Effect.NONE],
            id="first-result-counts",
        ),
        pytest.param(
            [item_ended("s1", "a"), make_submitted(), item_ended("s1", "z")],
            [Effect.NONE, Effect.ACCEPTED, Effect.NONE],
            id="results-of-unknown-items",
        ),
        pytest.param(
            [
                make_submitted(),
                TakenOver(submission_id="s1", generation=1, owner="b/1"),
                TakenOver(submission_id="s1", generation=1, owner="c/1"),
            ],
            [Effect.ACCEPTED, Effect.TAKEN_OVER, Effect.NONE],
            id="first-takeover-counts",
        ),
        pytest.param(
            [
                Part(submission_id="s1", attempt="1", items=(make_item("z", 50),)),
                make_submitted(),
            ],
            [Effect.NONE, Effect.TOO_MANY_TOKENS],
            id="parts-count-too",
        ),
        pytest.param(
            [make_submitted(), AttemptFailed(submission_id="s1", item_id="a")],
            [Effect.ACCEPTED, Effect.FAILED],
            id="failed-attempt",
        ),
    ],
)
def test_effects(records, effects):
    ledger = Ledger()
    assert [ledger.apply(record) for record in records] == effects


def test_progress_is_kept_until_the_item_ends():
    ledger = Ledger()
    ledger.apply(make_submitted())
    progress = Progress(
        submission_id="s1", item_id="a", after_event="2", texts=("x", "y")
    )
    ledger.apply(progress)
    assert ledger.get("s1").progress_by_id == {"a": progress}
    ledger.apply(item_ended("s1", "a"))
    assert ledger.get("s1").progress_by_id == {}


def test_an_unreadable_record_is_skipped():
    book = SubmissionTable(logs=make_logs())
    good = dataclasses.replace(encode(make_submitted(), key_suffix="1"), offset=1)
    bad = KeyedRecord(key="k", value=b"\xff\x00", offset=0)
    book.apply_records(LogSlice(records=(bad, good), end=2))
    assert book.ledger.get("s1") is not None


SUBMISSIONS = st.sampled_from(["s1", "s2", "s3"])
ITEMS = st.sampled_from(["a", "b", "c"])


class LedgerMachine(RuleBasedStateMachine):
    """Applies random records; the model keeps the first result of each item."""

    def __init__(self):
        super().__init__()
        self.book = SubmissionTable(logs=make_logs())
        self.log = []
        self.items = {}
        self.positions = {}
        self.ended = set()

    def put(self, record, unique):
        stored = dataclasses.replace(
            encode(record, key_suffix=unique), offset=len(self.log)
        )
        self.log.append(stored)
        self.book.apply_records(LogSlice(records=(stored,), end=len(self.log)))

    def drop(self, key):
        stored = KeyedRecord(key=key, value=b"", offset=len(self.log))
        self.log.append(stored)
        self.book.apply_records(LogSlice(records=(stored,), end=len(self.log)))

    def waiting(self):
        return sum(
            10
            for submission_id, items in self.items.items()
            if submission_id not in self.ended
            for item in items
            if item not in self.positions[submission_id]
        )

    @rule(submission_id=SUBMISSIONS, items=st.sets(ITEMS, min_size=1))
    def submit(self, submission_id, items):
        fits = self.waiting() + 10 * len(items) <= LIMIT
        record = make_submitted(
            submission_id, attempt=str(len(self.log)), items=sorted(items)
        )
        self.put(record, str(len(self.log)))
        if submission_id not in self.items and fits:
            self.items[submission_id] = items
            self.positions[submission_id] = []

    @rule(submission_id=SUBMISSIONS, item_id=ITEMS, drops_progress=st.booleans())
    def result(self, submission_id, item_id, drops_progress):
        text = str(len(self.log))
        self.put(item_ended(submission_id, item_id, text), f"{item_id}/{len(self.log)}")
        if drops_progress:
            self.drop(f"progress/{submission_id}/{item_id}")
        known = item_id in self.items.get(submission_id, ())
        if known and item_id not in self.positions[submission_id]:
            self.positions[submission_id].append(item_id)

    @rule(submission_id=SUBMISSIONS)
    def end(self, submission_id):
        self.put(Ended(submission_id=submission_id), str(len(self.log)))
        if submission_id in self.items:
            self.ended.add(submission_id)

    @rule(submission_id=SUBMISSIONS, item_id=ITEMS)
    def progress(self, submission_id, item_id):
        record = Progress(
            submission_id=submission_id,
            item_id=item_id,
            after_event=str(len(self.log)),
            texts=("t",),
        )
        self.put(record, item_id)

    @invariant()
    def positions_match_the_model(self):
        ledger = self.book.ledger
        assert {s.submission_id for s in ledger.all()} == set(self.items)
        for submission in ledger.all():
            found = [result.item_id for result in submission.results]
            assert found == self.positions[submission.submission_id]
        assert ledger.waiting_tokens("r") == self.waiting()

    @invariant()
    def the_newest_record_of_each_key_gives_the_same_state(self):
        newest = {record.key: record for record in self.log}
        kept = sorted(
            (record for record in newest.values() if record.value),
            key=lambda record: record.offset,
        )
        other = SubmissionTable(logs=make_logs())
        other.restore(LogSlice(records=tuple(kept), end=len(self.log)))
        assert {s.submission_id: s for s in other.ledger.all()} == {
            s.submission_id: s for s in self.book.ledger.all()
        }


TestLedger = LedgerMachine.TestCase
TestLedger.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
