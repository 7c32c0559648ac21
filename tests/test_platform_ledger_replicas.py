"""Replicas that read one submission log in different ways compared with an oracle.

Some replicas apply each record as it came, others restore the newest record of each
key from pages that are read while records are appended, and go on from there.
"""

import base64
import collections
import dataclasses
import json
import math
import os
import random
import types

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from foxtailbank.clock import ManualClock
from foxtailbank.keyed_log import LogSlice
from foxtailbank.metrics import Metrics
from foxtailbank.submissions.item_recorder import ItemRecorder
from foxtailbank.submissions.item_run import ItemRun
from foxtailbank.submissions.records import (
    AttemptFailed,
    Ended,
    Item,
    ItemEnded,
    Part,
    RecordUnreadable,
    RefusedAttempt,
    Submitted,
    TakenOver,
    decode,
    encode,
)
from foxtailbank.submissions.retirement import RETENTION_MS, Retirement
from foxtailbank.submissions.submission_table import SubmissionTable
from foxtailbank_platform.store import KeyedTopic, StoreClient
from serving_fakes import make_logs

LONG = os.environ.get("FUZZ_LONG") == "1"
REPLICA_COUNT = 4
ROUTE_NAMES = ("r", "q")
ITEM_TOKENS = 10
MS_PER_OFFSET = RETENTION_MS // 30
# Callers send a submission again, and VMs wait to append it, for a fraction of the
# retention time.
OFFSETS_PER_NAME_GROUP = 12
OFFSETS_UNTIL_WITHDRAWN = 10

replicas = st.integers(0, REPLICA_COUNT - 1)
submission_ids = st.sampled_from(["s1", "s2", "s3", "s4"])
item_ids = st.sampled_from(["a", "b", "c"])
limits = st.sampled_from([0, 30, 50])
outcomes = st.sampled_from(["completed", "given up", "failed", "progress"])


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accepted:
    """An accepted submission as callers see it.

    `key` is the log key that created it; each acceptance of an id has another one.
    """

    key: str
    route: str
    owner: str
    tokens_by_item: dict[str, int]
    generation: int = 0
    results: tuple[tuple[str, bool, str], ...] = ()
    failures_by_item: dict[str, int] = dataclasses.field(default_factory=dict)
    ended: bool = False

    @property
    def waiting_tokens(self):
        listed = {item_id for item_id, _, _ in self.results}
        tokens = sum(n for i, n in self.tokens_by_item.items() if i not in listed)
        return 0 if self.ended else tokens


class Oracle:
    """Accepted submissions at each offset, by records in the order of the log."""

    def __init__(self):
        self.states = [{}]
        self.refused_keys = set()
        self._parts_by_attempt = collections.defaultdict(list)

    def apply(self, stored):
        state = dict(self.states[-1])
        kind, submission_id, _ = stored.key.split("/", 2)
        known = state.get(submission_id)
        if stored.value:
            changed = self._changed(stored, known, state)
            if changed is not None:
                state[submission_id] = changed
        elif kind == "submitted" and known is not None and known.key == stored.key:
            del state[submission_id]
        self.states.append(state)

    def _changed(self, stored, known, state):
        try:
            record = decode(stored.value)
        except RecordUnreadable:
            return None
        if isinstance(record, Part):
            attempt = (record.submission_id, record.attempt)
            self._parts_by_attempt[attempt] += record.items
        if isinstance(record, Submitted):
            return self._accepted(stored.key, record, known, state)
        if known is None:
            return None
        match record:
            case ItemEnded():
                listed = {item_id for item_id, _, _ in known.results}
                if record.item_id in known.tokens_by_item.keys() - listed:
                    result = (record.item_id, record.completed, record.text)
                    results = (*known.results, result)
                    return dataclasses.replace(known, results=results)
            case AttemptFailed():
                failures = dict(known.failures_by_item)
                failures[record.item_id] = failures.get(record.item_id, 0) + 1
                return dataclasses.replace(known, failures_by_item=failures)
            case Ended():
                return dataclasses.replace(known, ended=True)
            case TakenOver(generation=generation, owner=owner):
                if generation == known.generation + 1:
                    return dataclasses.replace(
                        known, generation=generation, owner=owner
                    )
        return None

    def _accepted(self, key, record, known, state):
        attempt = (record.submission_id, record.attempt)
        items = [*self._parts_by_attempt.pop(attempt, ()), *record.items]
        if known is not None:
            return None
        tokens_by_item = {item.item_id: item.tokens for item in items}
        tokens = waiting_tokens(state, record.route) + sum(tokens_by_item.values())
        if record.waiting_limit and tokens > record.waiting_limit:
            self.refused_keys.add(key)
            return None
        return Accepted(
            key=key,
            route=record.route,
            owner=record.owner,
            tokens_by_item=tokens_by_item,
        )


def waiting_tokens(state, route):
    return sum(s.waiting_tokens for s in state.values() if s.route == route)


class CompactedLog:
    """A log and the newest record of each key."""

    def __init__(self):
        self.records = []
        self.newest_by_key = {}
        self.oracle = Oracle()
        self.clock = ManualClock()

    @property
    def end(self):
        return len(self.records)

    def append(self, records):
        for record in records:
            stored = dataclasses.replace(record, offset=self.end)
            self.records.append(stored)
            self.newest_by_key[stored.key] = stored
            if not stored.value:
                del self.newest_by_key[stored.key]
            self.oracle.apply(stored)
            self.clock.advance(MS_PER_OFFSET)


@types.coroutine
def wait_one_step():
    yield


class PagingStore(StoreClient):
    """Returns the newest records in pages and waits for a step before each."""

    def __init__(self, *, log, page_size):
        super().__init__(address="127.0.0.1:9", clock=ManualClock())
        self._log = log
        self._page_size = page_size
        self.last_page_end = 0

    async def call(self, method, path, query, body, wait_ms, *, transfer_ms=0):
        assert (method, path) == ("GET", "log-newest")
        await wait_one_step()
        after = query.get("after", "")
        keys = sorted(key for key in self._log.newest_by_key if key > after)
        page = [self._log.newest_by_key[key] for key in keys[: self._page_size]]
        items = [
            {
                "key": record.key,
                "value": base64.b64encode(record.value).decode(),
                "offset": record.offset,
            }
            for record in page
        ]
        self.last_page_end = self._log.end
        answer = {
            "items": items,
            "has_more": len(keys) > len(page),
            "end": self._log.end,
        }
        return types.SimpleNamespace(status=200, body=json.dumps(answer).encode())


class Reading:
    """A reading of the newest records that goes on one page at a time."""

    def __init__(self, *, log, page_size):
        self.start = log.end
        self.store = PagingStore(log=log, page_size=page_size)
        self._coroutine = KeyedTopic(store=self.store, topic="t").read_newest()
        self._coroutine.send(None)

    def read_page(self):
        """Return all records after the last page, None before it."""
        try:
            self._coroutine.send(None)
        except StopIteration as done:
            return done.value
        return None

    def close(self):
        self._coroutine.close()


class CapturedAppends:
    """Appends of one process that wait to be sent, first in, first out."""

    def __init__(self, log):
        self.waiting = collections.deque()
        self._log = log

    def put(self, records, *, urgent):
        last_end = self._log.end + OFFSETS_UNTIL_WITHDRAWN if urgent else math.inf
        self.waiting.append((records, last_end))

    def send_first(self):
        """Append the first records unless they were withdrawn."""
        records, last_end = self.waiting.popleft()
        if self._log.end <= last_end:
            self._log.append(records)


class Replica:
    """A process: its table and what it writes."""

    def __init__(self, owner_id, log):
        self.owner_id = owner_id
        self.log = log
        self.table = SubmissionTable(logs=make_logs())
        self.appends = CapturedAppends(log)
        self.recorder = ItemRecorder(
            owner_id=owner_id,
            appends=self.appends,
            clock=log.clock,
            logs=make_logs(),
            metrics=Metrics(),
        )
        self.retirement = Retirement(
            owner_id=owner_id,
            table=self.table,
            appends=self.appends,
            logs=make_logs(),
            clock=log.clock,
        )
        self.next_offset = 0
        self.reading = None
        self.exact_from = 0
        self.runs_by_key = {}
        self._taken_over = set()
        self._suffix_count = 0

    def suffix(self):
        self._suffix_count += 1
        return f"{self.owner_id}/{self._suffix_count}"

    def submit(self, submission_id, item_ids, route, limit, part_count):
        if self.table.ledger.get(submission_id) is not None:
            return
        attempt = self.suffix()
        items = [
            Item(item_id=i, target="/", headers=(), body=b"b", tokens=ITEM_TOKENS)
            for i in item_ids
        ]
        records = []
        for number, item in enumerate(items[:part_count]):
            part = Part(submission_id=submission_id, attempt=attempt, items=(item,))
            records.append(encode(part, key_suffix=f"{attempt}/{number}"))
        submitted = Submitted(
            submission_id=submission_id,
            attempt=attempt,
            route=route,
            host="h",
            target="/",
            arrived_wall_ms=self.log.clock.wall_ms(),
            waiting_limit=limit,
            owner=self.owner_id,
            items=tuple(items[part_count:]),
        )
        records.append(encode(submitted, key_suffix=attempt))
        self.appends.put(tuple(records), urgent=True)

    def end(self, submission_id):
        if self.table.ledger.get(submission_id) is not None:
            record = Ended(submission_id=submission_id)
            stored = encode(record, key_suffix=self.suffix())
            self.appends.put((stored,), urgent=True)

    def take_over(self, submission_id):
        submission = self.table.ledger.get(submission_id)
        if submission is None or submission.owner == self.owner_id:
            return
        generation = submission.generation + 1
        if not submission.is_open or (submission_id, generation) in self._taken_over:
            return
        self._taken_over.add((submission_id, generation))
        record = TakenOver(
            submission_id=submission_id, generation=generation, owner=self.owner_id
        )
        stored = encode(record, key_suffix=f"{self.owner_id}/{generation}")
        self.appends.put((stored,), urgent=False)

    def run_item(self, submission_id, item_id, outcome):
        run = self.runs_by_key.get((submission_id, item_id))
        if run is None or run.is_done:
            return
        run.send_count += 1
        if outcome == "failed":
            self.recorder.record_attempt_failure(run, "r")
            return
        run.texts.append(self.suffix())
        if outcome == "progress":
            self.recorder.save_progress(run)
        else:
            completed = outcome == "completed"
            self.recorder.record_end(run, completed=completed, reason=outcome)

    def follow(self, count):
        if self.reading is not None:
            return
        records = self.log.records[self.next_offset : self.next_offset + count]
        self.next_offset += len(records)
        self.table.apply_records(LogSlice(records=tuple(records), end=self.log.end))
        self._sync_runs()

    def start_reading(self, page_size):
        if self.reading is None:
            self.reading = Reading(log=self.log, page_size=page_size)

    def read_page(self):
        newest = self.reading.read_page() if self.reading is not None else None
        if newest is None:
            return
        self.exact_from = self.reading.store.last_page_end
        self.reading = None
        self.table.restore(newest)
        self.next_offset = newest.end
        self._sync_runs()

    def close(self):
        if self.reading is not None:
            self.reading.close()

    def _sync_runs(self):
        wanted = {
            (submission.submission_id, item.item_id): ItemRun(
                submission=submission, item=item, due_ms=0
            )
            for submission in self.table.ledger.all()
            if submission.owner == self.owner_id
            for item in submission.waiting_items()
        }
        self.runs_by_key = {
            key: self.runs_by_key.get(key, run) for key, run in wanted.items()
        }


def visible(submission):
    """Return what the ledger's state of a submission has in common with the oracle."""
    return {
        "route": submission.route,
        "owner": submission.owner,
        "tokens_by_item": {
            i.item_id: i.tokens for i in submission.items_by_id.values()
        },
        "generation": submission.generation,
        "results": tuple((r.item_id, r.completed, r.text) for r in submission.results),
        "failures_by_item": submission.failures_by_id,
        "ended": submission.ended,
    }


def expected_view(accepted):
    view = dict(vars(accepted))
    del view["key"]
    return view


class ReplicaMachine(RuleBasedStateMachine):
    def __init__(self, with_retirement=True):
        super().__init__()
        self.with_retirement = with_retirement
        self.log = CompactedLog()
        self.started_count = 0
        self.replicas = []
        for _ in range(REPLICA_COUNT):
            self.replicas.append(self._new_replica())

    def teardown(self):
        for replica in self.replicas:
            replica.close()

    def _name(self, submission_id):
        """Return an id that changes every OFFSETS_PER_NAME_GROUP offsets."""
        return f"{submission_id}.{self.log.end // OFFSETS_PER_NAME_GROUP}"

    def _new_replica(self):
        self.started_count += 1
        return Replica(f"vm/{self.started_count}", self.log)

    @rule(
        replica=replicas,
        submission_id=submission_ids,
        items=st.sets(item_ids, min_size=1),
        route=st.sampled_from(ROUTE_NAMES),
        limit=limits,
        part_count=st.integers(0, 2),
    )
    def submit(self, replica, submission_id, items, route, limit, part_count):
        self.replicas[replica].submit(
            self._name(submission_id), sorted(items), route, limit, part_count
        )

    @rule(replica=replicas, submission_id=submission_ids)
    def end(self, replica, submission_id):
        self.replicas[replica].end(self._name(submission_id))

    @rule(replica=replicas, submission_id=submission_ids)
    def take_over(self, replica, submission_id):
        self.replicas[replica].take_over(self._name(submission_id))

    @rule(
        replica=replicas,
        submission_id=submission_ids,
        item_id=item_ids,
        outcome=outcomes,
    )
    def run_item(self, replica, submission_id, item_id, outcome):
        self.replicas[replica].run_item(self._name(submission_id), item_id, outcome)

    @rule(replica=replicas)
    def retire(self, replica):
        replica = self.replicas[replica]
        # A check follows the one before by longer than a restore or an append takes.
        is_quiet = not any(r.reading for r in self.replicas)
        if self.with_retirement and is_quiet and not replica.appends.waiting:
            replica.retirement.retire_expired()

    @rule(replica=replicas, count=st.integers(1, 3))
    def send(self, replica, count):
        appends = self.replicas[replica].appends
        for _ in range(min(count, len(appends.waiting))):
            appends.send_first()

    @rule(replica=replicas, count=st.integers(1, 12))
    def follow(self, replica, count):
        self.replicas[replica].follow(count)

    @rule(replica=replicas, page_size=st.integers(1, 6))
    def start_reading(self, replica, page_size):
        self.replicas[replica].start_reading(page_size)

    @rule(replica=replicas, count=st.integers(1, 6))
    def read_pages(self, replica, count):
        for _ in range(count):
            self.replicas[replica].read_page()

    @rule(replica=replicas, page_size=st.integers(1, 6))
    def restart(self, replica, page_size):
        self.replicas[replica].close()
        self.replicas[replica] = self._new_replica()
        self.replicas[replica].start_reading(page_size)

    def burst(self, seed, steps):
        """Run many random steps."""
        rng = random.Random(seed)
        for _ in range(steps):
            (step,) = rng.choices(self.MICRO_STEPS, self.WEIGHTS)
            step(self, rng)
            self.check_replicas()

    def _micro_write(self, rng):
        replica = rng.randrange(REPLICA_COUNT)
        submission_id = f"s{rng.randint(1, 4)}"
        items = rng.sample("abc", rng.randint(1, 3))
        route = rng.choice(ROUTE_NAMES)
        limit = rng.choice([0, 30, 50])
        kind = rng.randrange(12)
        if kind < 3:
            self.submit(replica, submission_id, items, route, limit, rng.randrange(3))
        elif kind < 4:
            self.end(replica, submission_id)
        elif kind < 6:
            self.take_over(replica, submission_id)
        else:
            outcome = rng.choice(["completed", "given up", "failed", "progress"])
            keys = sorted(self.replicas[replica].runs_by_key)
            if keys:
                self.replicas[replica].run_item(*rng.choice(keys), outcome)

    def _micro_send(self, rng):
        self.send(rng.randrange(REPLICA_COUNT), rng.randint(1, 6))

    def _micro_read(self, rng):
        self.follow(rng.randrange(REPLICA_COUNT), rng.randint(1, 12))
        self.read_pages(rng.randrange(REPLICA_COUNT), rng.randint(1, 6))

    def _micro_retire(self, rng):
        self.retire(rng.randrange(REPLICA_COUNT))

    def _micro_rare(self, rng):
        replica, kind = rng.randrange(REPLICA_COUNT), rng.randrange(4)
        if kind < 3:
            self.start_reading(replica, rng.randint(1, 12))
        else:
            self.restart(replica, rng.randint(1, 12))

    MICRO_STEPS = (_micro_write, _micro_send, _micro_read, _micro_retire, _micro_rare)
    WEIGHTS = (24, 16, 20, 20, 1)

    @invariant()
    def replicas_match_the_oracle(self):
        self.check_replicas()

    def check_replicas(self):
        for replica in self.replicas:
            self._check(replica)

    def _check(self, replica):
        state = self.log.oracle.states[replica.next_offset]
        ledger = replica.table.ledger
        found = {s.submission_id: visible(s) for s in ledger.all()}
        expected = {i: expected_view(accepted) for i, accepted in state.items()}
        if replica.next_offset < replica.exact_from:
            # Pages were read until that offset, so what was retired before it may
            # be missing already.
            later = self.log.oracle.states[replica.exact_from]
            for submission_id, accepted in state.items():
                kept = later.get(submission_id)
                if kept is None or kept.key != accepted.key:
                    expected.pop(submission_id)
                    found.pop(submission_id, None)
        assert found == expected
        for route in ROUTE_NAMES:
            assert ledger.waiting_tokens(route) == waiting_tokens(state, route)


ReplicaMachine.TestCase.settings = settings(
    max_examples=1000 if LONG else 60,
    stateful_step_count=60 if LONG else 40,
    deadline=None,
    derandomize=not LONG,
    database=None,
)
TestReplicas = ReplicaMachine.TestCase


# A replica that restored once disagrees with the others after a long history.
@pytest.mark.parametrize("with_retirement", [False, True])
@pytest.mark.parametrize("seed", range(60 if LONG else 8))
def test_long_interleavings(seed, with_retirement):
    machine = ReplicaMachine(with_retirement=with_retirement)
    try:
        machine.burst(seed, 1500 if LONG else 700)
    finally:
        machine.teardown()


def two_replicas():
    log = CompactedLog()
    return log, Replica("vm/1", log), Replica("vm/2", log)


def send_all(replica, *readers):
    while replica.appends.waiting:
        replica.appends.send_first()
    for reader in (replica, *readers):
        reader.follow(replica.log.end)


def restored(log):
    replica = Replica("vm/9", log)
    replica.start_reading(500)
    replica.read_page()
    return {s.submission_id: visible(s) for s in replica.table.ledger.all()}


def followed(replica):
    return {s.submission_id: visible(s) for s in replica.table.ledger.all()}


# A submission answered 429 was accepted by VMs that restored after the submissions
# that had filled the limit were retired.
@pytest.mark.parametrize("part_count", [0, 1])
def test_refused_submission_stays_refused_after_retirement(part_count):
    log, first, second = two_replicas()
    first.submit("s1", "abc", "r", 30, part_count)
    send_all(first)
    second.submit("s2", "ab", "r", 30, part_count)
    send_all(second, first)
    assert list(followed(first)) == ["s1"]
    first.end("s1")
    send_all(first, second)
    log.clock.advance(2 * RETENTION_MS)
    for _ in range(3):
        for replica in (second, first):
            replica.retirement.retire_expired()
            send_all(replica, first, second)
    assert followed(first) == followed(second) == {}
    assert restored(log) == {}


# VMs that restored counted fewer failures, as a process that took an item over again
# wrote the key of an earlier failure.
def test_failures_after_a_second_takeover_are_counted():
    log, first, second = two_replicas()
    first.submit("s1", "a", "r", 0, 0)
    send_all(first, second)
    for replica in (second, first):
        first.run_item("s1", "a", "failed")
        send_all(first, second)
        replica.take_over("s1")
        send_all(replica, first, second)
    first.run_item("s1", "a", "failed")
    send_all(first, second)
    assert followed(first)["s1"]["failures_by_item"] == {"a": 2}
    assert restored(log) == followed(first)


# A submission that came again after its retirement was dropped by VMs that followed
# the log, as another VM retired the earlier one late.
def test_late_retirement_keeps_a_submission_that_came_again():
    log, first, second = two_replicas()
    for _ in range(2):
        first.submit("s1", "a", "r", 0, 0)
        send_all(first, second)
        first.end("s1")
        send_all(first, second)
        log.clock.advance(2 * RETENTION_MS)
        for _ in range(2):
            second.retirement.retire_expired()
            first.retirement.retire_expired()
            send_all(first)
    first.submit("s1", "a", "r", 0, 0)
    send_all(first)
    send_all(second, first)
    assert "s1" in followed(first)
    assert restored(log) == followed(first)


# Parts of retired submissions stayed in the log and in the memory of all VMs.
def test_retirement_drops_parts():
    log, first, _ = two_replicas()
    first.submit("s1", "abc", "r", 0, 2)
    send_all(first)
    first.end("s1")
    send_all(first)
    log.clock.advance(RETENTION_MS)
    for _ in range(2):
        first.retirement.retire_expired()
        send_all(first)
    assert not log.newest_by_key


# Refused submissions stayed in the log for good, with the bodies of their items.
@pytest.mark.parametrize("part_count", [0, 1])
def test_refused_submission_is_replaced_at_the_next_check(part_count):
    log, first, second = two_replicas()
    first.submit("s1", "abc", "r", 30, 0)
    send_all(first, second)
    second.submit("s2", "ab", "r", 30, part_count)
    send_all(second, first)
    for replica in (first, second):
        replica.retirement.retire_expired()
    assert not first.appends.waiting
    send_all(second, first)
    kept = [r.value for key, r in log.newest_by_key.items() if "/s2/" in key]
    assert [type(decode(value)) for value in kept] == [RefusedAttempt]
    for replica in (first, second):
        replica.retirement.retire_expired()
        assert not replica.appends.waiting
