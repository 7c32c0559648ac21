"""Several VMs replay one log through faults and are held against an oracle."""

import asyncio
import collections
import os
import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from fakes import FakeLog
from foxtailbank import ledger_events as ev
from foxtailbank import records
from foxtailbank.item_set import bitmap_of, positions_of, ranges_of
from foxtailbank.ledger import Ledger
from foxtailbank.ledger_replay import LedgerReplay
from foxtailbank.ledger_resync import LedgerResync, LogSnapshotSource
from foxtailbank.log_service import LogRecord
from foxtailbank.payload_store import PayloadStore
from foxtailbank.snapshot import image_of
from foxtailbank.snapshot_store import SnapshotStore
from ledger_entries import abandon, call, cancel, claim, complete, job, ranges, release
from ledger_oracle import Oracle, simplify, view_of

LONG = os.environ.get("FUZZ_LONG") == "1"
VM_COUNT = 3
LEDGER = "ledger"
STRETCH = 120
OUTCOMES = ("ok", "ok", "ok", "lost", "refused", "late")

vms = st.integers(0, VM_COUNT - 1)
small = st.integers(0, 3)
spans = st.tuples(st.integers(0, 4), st.integers(1, 5)).map(
    lambda span: (span[0], min(span[1], 5 - span[0]))
)


class Vm:
    """One VM: its replay, and a writer with one append in flight."""

    def __init__(self, incarnation, store):
        self.incarnation = incarnation
        self.replay = LedgerReplay(ledger=Ledger())
        self.replay.listen(self._see)
        self.resync = LedgerResync(
            replay=self.replay, sources=[LogSnapshotSource(store=store)]
        )
        self.queue = collections.deque()
        self.sequence = 0
        self.in_flight = None
        self.image = None
        self.dispatched = []

    @property
    def next_offset(self):
        return self.replay.ledger.next_offset

    def record(self, size):
        """Return the record in flight; start a new one if there is none."""
        if self.in_flight is None:
            entries = [self.queue.popleft() for _ in range(size) if self.queue]
            self.sequence += 1
            self.in_flight = records.encode(
                records.Envelope(
                    schema=records.SCHEMA,
                    incarnation=self.incarnation,
                    sequence=self.sequence,
                    entries=tuple(entries),
                )
            )
        return self.in_flight

    def _see(self, envelope, events):
        if envelope.incarnation != self.incarnation:
            return
        if envelope.sequence == self.sequence:
            self.in_flight = None
        for event in events:
            if isinstance(event, ev.CallClaimWon):
                self._win_call(event)
            if isinstance(event, ev.ItemsClaimWon):
                self._win_items(event)

    def _win_call(self, event):
        """Dispatch the call or give it up unrun; either is told to the ledger."""
        fate = self.next_offset % 3
        if fate == 0:
            self.queue.append(release(self.incarnation, key=event.key))
            return
        self.dispatched.append(("call", event.key))
        if fate == 1:
            self.queue.append(
                complete(self.incarnation, event.key, at=self.next_offset + 95)
            )
            self.queue.append(
                complete(self.incarnation, event.key, at=self.next_offset + 900)
            )

    def _win_items(self, event):
        """Dispatch the items, and tell or do not tell; or give them up unrun."""
        if self.next_offset % 3 == 0:
            self.queue.append(
                records.ItemsReleased(
                    job_id=event.job_id,
                    chunk=event.chunk,
                    items=event.items,
                    claimant=self.incarnation,
                )
            )
            return
        for run in event.items:
            for position in range(run.first, run.first + run.count):
                self.dispatched.append((event.job_id, event.chunk, position))
        if self.next_offset % 2:
            self.queue.append(
                records.ChunkResults(
                    job_id=event.job_id,
                    chunk=event.chunk,
                    items=event.items,
                    payload_offset=95 + self.next_offset,
                    claimant=self.incarnation,
                )
            )


class LedgerMachine(RuleBasedStateMachine):
    def __init__(self, forgetful=False):
        super().__init__()
        self.forgetful = forgetful
        self.runner = asyncio.Runner()
        self.log = FakeLog()
        self.oracle = Oracle()
        payloads = PayloadStore(log=self.log, stream="payload", rng=random.Random(1))
        self.store = SnapshotStore(
            log=self.log, ledger_stream=LEDGER, payloads=payloads
        )
        self.started = 0
        self.vms = []
        for _ in range(VM_COUNT):
            self.vms.append(self._new_vm())
        self.late = []
        self.payload_offset = 0
        self.covered = 0
        self.expiring = False
        self.runs = collections.Counter()

    def teardown(self):
        self.runner.close()

    def _new_vm(self):
        self.started += 1
        return Vm(f"vm{self.started}", self.store)

    def _land(self, data):
        offset = self.log.put(LEDGER, data)
        try:
            envelope = records.decode(data)
        except records.MalformedRecord:
            envelope = None
        self.oracle.apply(offset, envelope)
        for entry in envelope.entries if envelope else ():
            if isinstance(entry, records.Snapshot):
                self.covered = max(self.covered, entry.covers_offset + 1)

    def _name(self, kind, which):
        """Return a name of which there are four for each stretch of the log."""
        return f"{kind}{which}.{len(self.oracle.states) // STRETCH}"

    def _new_offset(self):
        self.payload_offset += 1
        return 100 + self.payload_offset

    @rule(vm=vms, which=small, key=small, digest=small, chunks=st.integers(1, 3))
    def submit_job(self, vm, which, key, digest, chunks):
        entry = job(
            self._name("job", which),
            counts=(5,) * chunks,
            key=self._name("k", key) if key else "",
            digest=f"d{digest % 2}",
            idempotent=which % 2 == 0,
            chunks=tuple(
                records.ChunkRef(self._new_offset(), 5 * n, 5) for n in range(chunks)
            ),
        )
        self.vms[vm].queue.append(entry)

    @rule(vm=vms, which=small, chunk=small, span=spans, fail=st.booleans())
    def submit_results(self, vm, which, chunk, span, fail):
        entry = records.ChunkResults(
            job_id=self._name("job", which),
            chunk=chunk,
            items=ranges(span),
            payload_offset=self._new_offset(),
            failed=ranges((span[0], 1)) if fail else (),
            claimant=self.vms[vm].incarnation,
        )
        self.vms[vm].queue.append(entry)

    @rule(vm=vms, which=small, chunk=small, span=spans)
    def submit_claim(self, vm, which, chunk, span):
        vm = self.vms[vm]
        entry = claim(
            span, job_id=self._name("job", which), chunk=chunk, claimant=vm.incarnation
        )
        vm.queue.append(entry)

    @rule(vm=vms, lost=st.integers(1, 8), which=small, chunk=small, span=spans)
    def submit_abandon(self, vm, lost, which, chunk, span):
        entry = abandon(
            span, job_id=self._name("job", which), chunk=chunk, claimant=f"vm{lost}"
        )
        self.vms[vm].queue.append(entry)

    @rule(vm=vms, key=small, digest=small)
    def submit_call(self, vm, key, digest):
        vm = self.vms[vm]
        digest = "odd" if digest == 0 else "usual"
        vm.queue.append(call(vm.incarnation, digest=digest, key=self._name("k", key)))

    @rule(vm=vms, which=small, choice=st.integers(0, 5))
    def submit_other(self, vm, which, choice):
        vm = self.vms[vm]
        job_id = self._name("job", which)
        ledger = vm.replay.ledger
        retired = ledger.retired_by_id.get(job_id)
        manifest = retired.manifest_offset if retired else 0
        entries = [
            cancel(job_id),
            records.JobRetired(job_id=job_id, manifest_offset=self._new_offset()),
            records.ManifestMoved(
                job_id=job_id,
                from_offset=manifest,
                to_offset=self._new_offset(),
                oldest_offset=self._new_offset(),
            ),
            records.FenceTaken(scope="e", holder=vm.incarnation, lease_ms=1),
            records.PayloadMoved(job_id=job_id, moves=self._moves(ledger, job_id)),
            records.PayloadFloorRaised(before_offset=self.payload_offset + 95),
        ]
        vm.queue.append(entries[choice])

    def _moves(self, ledger, job_id):
        state = ledger.jobs_by_id.get(job_id)
        if state is None:
            return ()
        offsets = state.payload_offsets_before(10**9)[::2]
        return tuple(records.PayloadMove(at, self._new_offset()) for at in offsets)

    @precondition(lambda self: len(self.oracle.states) > 30)
    @rule(vm=vms, ago=st.integers(5, 20))
    def submit_expiry(self, vm, ago):
        self.expiring = True
        before = len(self.oracle.states) - ago
        self.vms[vm].queue.append(records.HistoryExpired(before_offset=before))

    @rule(
        vm=vms,
        size=st.integers(1, 4),
        outcome=st.sampled_from(OUTCOMES),
    )
    def send(self, vm, size, outcome):
        vm = self.vms[vm]
        data = vm.record(size)
        if outcome == "late":
            self.late.append(data)
        if outcome in {"ok", "lost"}:
            self._land(data)
        if outcome == "ok":
            vm.in_flight = None

    @precondition(lambda self: self.late)
    @rule(which=st.integers(0, 100))
    def land_late_copy(self, which):
        self._land(self.late.pop(which % len(self.late)))

    @rule()
    def land_junk(self):
        self._land(b"junk")

    @rule(vm=vms, count=st.integers(1, 12))
    def replay(self, vm, count):
        vm = self.vms[vm]
        if vm.next_offset < self.log.earliest_by_stream[LEDGER]:
            self.runner.run(vm.resync(vm.next_offset))
        before = vm.next_offset
        stream = self.log.records_by_stream[LEDGER]
        earliest = self.log.earliest_by_stream[LEDGER]
        start = max(before - count // 4, earliest)
        for offset in range(start, min(before + count, len(stream))):
            vm.replay.apply(LogRecord(offset=offset, data=stream[offset]))
        if count % 4 == 0 and earliest < before:
            stale = LogRecord(offset=before - 1, data=stream[before - 1])
            vm.replay.apply(stale)
        assert vm.next_offset >= before
        self.runs.update(vm.dispatched)
        vm.dispatched.clear()

    @rule(vm=vms)
    def crash(self, vm):
        self.vms[vm] = self._new_vm()

    @rule(vm=vms)
    def take_image(self, vm):
        vm = self.vms[vm]
        if vm.next_offset:
            vm.image = image_of(vm.replay.ledger)

    @rule(vm=vms)
    def write_snapshot(self, vm):
        """The image may be old: the VM may have been paused in between."""
        vm = self.vms[vm]
        if vm.image is not None:
            vm.queue.append(self.runner.run(self.store.write(vm.image)))
            vm.image = None

    @precondition(lambda self: self.covered)
    @rule(keep=st.integers(0, 10))
    def expire(self, keep):
        earliest = max(self.log.earliest_by_stream[LEDGER], self.covered - keep)
        self.log.expire(LEDGER, earliest)

    @rule(seed=st.integers(0, 2**32), steps=st.integers(1, 60))
    def burst(self, seed, steps):
        """Take many steps at once, with the log's faults in between."""
        rng = random.Random(seed)
        for _ in range(steps):
            (step,) = rng.choices(self.MICRO_STEPS, self.WEIGHTS)
            step(self, rng)
            self.check_vms()
        self.check_runs()

    def _micro_submit(self, rng):
        vm, which, chunk = rng.randrange(VM_COUNT), rng.randrange(4), rng.randrange(2)
        span = rng.choice([(0, 5), (0, 5), (0, 2), (1, 3), (4, 1)])
        kind = rng.randrange(14)
        if kind < 3:
            chunks = which % 2 + 1
            self.submit_job(vm, which, rng.randrange(4), rng.randrange(8) // 7, chunks)
        elif kind < 6:
            self.submit_results(vm, which, chunk, span, rng.random() < 0.2)
        elif kind < 8:
            self.submit_claim(vm, which | 1, chunk, span)
        elif kind < 9:
            self.submit_abandon(vm, self._some_claimant(rng), which | 1, chunk, span)
        elif kind < 11:
            self.submit_call(vm, which, rng.randrange(8))
        elif kind < 13 or not self.forgetful:
            self.submit_other(vm, which, rng.randrange(6))
        elif len(self.oracle.states) > 30:
            self.submit_expiry(vm, rng.randint(5, 20))

    def _some_claimant(self, rng):
        """Return the number of a VM that holds a claim, if there is one."""
        jobs = self.oracle.state["jobs"].values()
        holders = [who for job_ in jobs for who in job_["claims"].values()]
        number = rng.choice(holders).removeprefix("vm") if holders else self.started
        return int(number)

    def _micro_send(self, rng):
        outcome = rng.choice(OUTCOMES)
        self.send(rng.randrange(VM_COUNT), rng.randint(1, 4), outcome)

    def _micro_replay(self, rng):
        self.replay(rng.randrange(VM_COUNT), rng.randint(1, 12))

    def _micro_fault(self, rng):
        kind = rng.randrange(8)
        if kind == 0:
            self.crash(rng.randrange(VM_COUNT))
        elif kind == 1:
            self.land_junk()
        elif kind < 4 and self.late:
            self.land_late_copy(rng.randrange(100))
        elif kind < 5 and self.covered:
            self.expire(rng.randrange(10))
        elif kind < 7:
            self.take_image(rng.randrange(VM_COUNT))
        else:
            self.write_snapshot(rng.randrange(VM_COUNT))

    MICRO_STEPS = (_micro_submit, _micro_send, _micro_replay, _micro_fault)
    WEIGHTS = (6, 5, 4, 2)

    @invariant()
    def every_vm_holds_what_the_log_says(self):
        self.check_vms()

    def check_vms(self):
        for vm in self.vms:
            expected = simplify(self.oracle.states[vm.next_offset])
            assert view_of(vm.replay.ledger) == expected

    @invariant()
    def nothing_billed_runs_twice(self):
        self.check_runs()

    def check_runs(self):
        if not self.expiring:
            assert not [what for what, count in self.runs.items() if count > 1]


LedgerMachine.TestCase.settings = settings(
    max_examples=1000 if LONG else 60,
    stateful_step_count=60 if LONG else 20,
    deadline=None,
    derandomize=not LONG,
    database=None,
)
TestLedger = LedgerMachine.TestCase


@pytest.mark.parametrize("seed", range(300 if LONG else 24))
def test_long_interleavings(seed):
    machine = LedgerMachine(forgetful=seed % 3 == 0)
    try:
        machine.burst(seed, 1500 if LONG else 400)
    finally:
        machine.teardown()


def test_bitmap_and_ranges_agree():
    for bitmap in range(512):
        assert bitmap_of(ranges_of(bitmap), size=9) == bitmap
        assert sum(1 << p for p in positions_of(bitmap)) == bitmap
