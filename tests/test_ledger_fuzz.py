"""Compares VMs that replay one log under injected faults with a reference model."""

import asyncio
import collections
import os
import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from fakes import FakeLog
from foxtailbank import records
from foxtailbank.item_set import bitmap_positions, bitmap_to_ranges, ranges_to_bitmap
from foxtailbank.log_service import LogRecord
from foxtailbank.payload_store import PayloadStore
from foxtailbank.snapshot import image_of
from foxtailbank.snapshot_store import SnapshotStore
from ledger_entries import abandon, call, cancel, claim, job, ranges
from ledger_oracle import Oracle, ledger_view, without_retired_details
from ledger_vm import LEDGER, Vm

LONG = os.environ.get("FUZZ_LONG") == "1"
VM_COUNT = 3
OFFSETS_PER_NAME_GROUP = 120
OUTCOMES = ("ok", "ok", "ok", "lost", "refused", "late")

vms = st.integers(0, VM_COUNT - 1)
small = st.integers(0, 3)
spans = st.tuples(st.integers(0, 4), st.integers(1, 5)).map(
    lambda span: (span[0], min(span[1], 5 - span[0]))
)


class LedgerMachine(RuleBasedStateMachine):
    def __init__(self, with_history_expiry=False):
        super().__init__()
        self.with_history_expiry = with_history_expiry
        self.runner = asyncio.Runner()
        self.log = FakeLog()
        self.oracle = Oracle()
        payloads = PayloadStore(log=self.log, stream="payload", rng=random.Random(1))
        self.store = SnapshotStore(
            log=self.log, ledger_stream=LEDGER, payloads=payloads
        )
        self.started_vm_count = 0
        self.vms = []
        for _ in range(VM_COUNT):
            self.vms.append(self._new_vm())
        self.late_copies = []
        self.payload_offset = 0
        self.snapshot_end = 0
        self.has_submitted_expiry = False
        self.run_counts = collections.Counter()

    def teardown(self):
        self.runner.close()

    def _new_vm(self):
        self.started_vm_count += 1
        return Vm(f"vm{self.started_vm_count}", self.store)

    def _append_to_log(self, data):
        offset = self.log.put(LEDGER, data)
        try:
            envelope = records.decode(data)
        except records.MalformedRecord:
            envelope = None
        self.oracle.apply(offset, envelope)
        for entry in envelope.entries if envelope else ():
            if isinstance(entry, records.Snapshot):
                self.snapshot_end = max(self.snapshot_end, entry.covers_offset + 1)

    def _name(self, kind, number):
        """Return one of four names that change every OFFSETS_PER_NAME_GROUP offsets."""
        return f"{kind}{number}.{len(self.oracle.states) // OFFSETS_PER_NAME_GROUP}"

    def _new_offset(self):
        self.payload_offset += 1
        return 100 + self.payload_offset

    @rule(vm=vms, number=small, key=small, digest=small, chunks=st.integers(1, 3))
    def submit_job(self, vm, number, key, digest, chunks):
        entry = job(
            self._name("job", number),
            counts=(5,) * chunks,
            key=self._name("k", key) if key else "",
            digest=f"d{digest % 2}",
            idempotent=number % 2 == 0,
            chunks=tuple(
                records.ChunkRef(self._new_offset(), 5 * n, 5) for n in range(chunks)
            ),
        )
        self.vms[vm].queue.append(entry)

    @rule(vm=vms, number=small, chunk=small, span=spans, fail=st.booleans())
    def submit_results(self, vm, number, chunk, span, fail):
        entry = records.ChunkResults(
            job_id=self._name("job", number),
            chunk=chunk,
            items=ranges(span),
            payload_offset=self._new_offset(),
            failed=ranges((span[0], 1)) if fail else (),
            claimant=self.vms[vm].incarnation,
        )
        self.vms[vm].queue.append(entry)

    @rule(vm=vms, number=small, chunk=small, span=spans)
    def submit_claim(self, vm, number, chunk, span):
        vm = self.vms[vm]
        entry = claim(
            span, job_id=self._name("job", number), chunk=chunk, claimant=vm.incarnation
        )
        vm.queue.append(entry)

    @rule(vm=vms, lost=st.integers(1, 8), number=small, chunk=small, span=spans)
    def submit_abandon(self, vm, lost, number, chunk, span):
        entry = abandon(
            span, job_id=self._name("job", number), chunk=chunk, claimant=f"vm{lost}"
        )
        self.vms[vm].queue.append(entry)

    @rule(vm=vms, key=small, digest=small)
    def submit_call(self, vm, key, digest):
        vm = self.vms[vm]
        digest = "odd" if digest == 0 else "usual"
        vm.queue.append(call(vm.incarnation, digest=digest, key=self._name("k", key)))

    @rule(vm=vms, number=small, choice=st.integers(0, 5))
    def submit_other(self, vm, number, choice):
        vm = self.vms[vm]
        job_id = self._name("job", number)
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
        self.has_submitted_expiry = True
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
            self.late_copies.append(data)
        if outcome in {"ok", "lost"}:
            self._append_to_log(data)
        if outcome == "ok":
            vm.in_flight = None

    @precondition(lambda self: self.late_copies)
    @rule(index=st.integers(0, 100))
    def insert_late_copy(self, index):
        self._append_to_log(self.late_copies.pop(index % len(self.late_copies)))

    @rule()
    def insert_corrupt_record(self):
        self._append_to_log(b"junk")

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
        self.run_counts.update(vm.dispatched)
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
        """The image may be stale, as after a pause of the VM."""
        vm = self.vms[vm]
        if vm.image is not None:
            vm.queue.append(self.runner.run(self.store.write(vm.image)))
            vm.image = None

    @precondition(lambda self: self.snapshot_end)
    @rule(keep=st.integers(0, 10))
    def expire(self, keep):
        earliest = max(self.log.earliest_by_stream[LEDGER], self.snapshot_end - keep)
        self.log.expire(LEDGER, earliest)

    @rule(seed=st.integers(0, 2**32), steps=st.integers(1, 60))
    def burst(self, seed, steps):
        """Run many random steps, including log faults."""
        rng = random.Random(seed)
        for _ in range(steps):
            (step,) = rng.choices(self.MICRO_STEPS, self.WEIGHTS)
            step(self, rng)
            self.check_vms()
        self.check_runs()

    def _micro_submit(self, rng):
        vm, number, chunk = rng.randrange(VM_COUNT), rng.randrange(4), rng.randrange(2)
        span = rng.choice([(0, 5), (0, 5), (0, 2), (1, 3), (4, 1)])
        kind = rng.randrange(14)
        if kind < 3:
            chunks = number % 2 + 1
            self.submit_job(vm, number, rng.randrange(4), rng.randrange(8) // 7, chunks)
        elif kind < 6:
            self.submit_results(vm, number, chunk, span, rng.random() < 0.2)
        elif kind < 8:
            self.submit_claim(vm, number | 1, chunk, span)
        elif kind < 9:
            self.submit_abandon(vm, self._some_claimant(rng), number | 1, chunk, span)
        elif kind < 11:
            self.submit_call(vm, number, rng.randrange(8))
        elif kind < 13 or not self.with_history_expiry:
            self.submit_other(vm, number, rng.randrange(6))
        elif len(self.oracle.states) > 30:
            self.submit_expiry(vm, rng.randint(5, 20))

    def _some_claimant(self, rng):
        """Return the number of a VM that holds a claim, or else of the newest VM."""
        jobs = self.oracle.state["jobs"].values()
        holders = [who for job_ in jobs for who in job_["claims"].values()]
        number = (
            rng.choice(holders).removeprefix("vm") if holders else self.started_vm_count
        )
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
            self.insert_corrupt_record()
        elif kind < 4 and self.late_copies:
            self.insert_late_copy(rng.randrange(100))
        elif kind < 5 and self.snapshot_end:
            self.expire(rng.randrange(10))
        elif kind < 7:
            self.take_image(rng.randrange(VM_COUNT))
        else:
            self.write_snapshot(rng.randrange(VM_COUNT))

    MICRO_STEPS = (_micro_submit, _micro_send, _micro_replay, _micro_fault)
    WEIGHTS = (6, 5, 4, 2)

    @invariant()
    def vm_states_match_oracle(self):
        self.check_vms()

    def check_vms(self):
        for vm in self.vms:
            expected = without_retired_details(self.oracle.states[vm.next_offset])
            assert ledger_view(vm.replay.ledger) == expected

    @invariant()
    def non_idempotent_work_runs_at_most_once(self):
        self.check_runs()

    def check_runs(self):
        if not self.has_submitted_expiry:
            assert not [what for what, count in self.run_counts.items() if count > 1]


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
    machine = LedgerMachine(with_history_expiry=seed % 3 == 0)
    try:
        machine.burst(seed, 1500 if LONG else 400)
    finally:
        machine.teardown()


def test_bitmap_and_ranges_agree():
    for bitmap in range(512):
        assert ranges_to_bitmap(bitmap_to_ranges(bitmap), size=9) == bitmap
        assert sum(1 << p for p in bitmap_positions(bitmap)) == bitmap
