"""Replicas that read one submission log in different ways compared with an oracle.

Some replicas apply each record as it came, others restore the newest record of each
key from pages that are read while records are appended, and go on from there.
"""

import os
import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from foxtailbank.submissions.records import (
    RefusedAttempt,
    decode,
)
from foxtailbank.submissions.retirement import RETENTION_MS
from platform_ledger_replicas import (
    OFFSETS_PER_NAME_GROUP,
    REPLICA_COUNT,
    ROUTE_NAMES,
    CompactedLog,
    Replica,
    expected_view,
    visible,
    waiting_tokens,
)

LONG = os.environ.get("FUZZ_LONG") == "1"

replicas = st.integers(0, REPLICA_COUNT - 1)
submission_ids = st.sampled_from(["s1", "s2", "s3", "s4"])
item_ids = st.sampled_from(["a", "b", "c"])
limits = st.sampled_from([0, 30, 50])
outcomes = st.sampled_from(["completed", "given up", "failed", "progress"])


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
