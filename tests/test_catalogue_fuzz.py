"""Compares replicas with a simple reference replay.

Operators edit concurrently, records are appended and delivered twice, retention
deletes records, and replicas are restored from snapshots and peers.
"""

import os

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from entry_samples import make_entry
from foxtailbank.catalogue import Catalogue
from foxtailbank.catalogue_records import (
    MAX_EDITS_PER_RECORD,
    SCHEMA,
    CatalogueEnvelope,
    EntryDeleted,
    EntryPut,
    decode_envelope,
    encode_envelope,
)
from foxtailbank.catalogue_restore import catch_up
from foxtailbank.catalogue_state import encode_snapshot, state_digest
from foxtailbank.log_service import LogRecord
from foxtailbank.sentinels import Missing

LONG = os.environ.get("FUZZ_LONG") == "1"
VMS = 3
OPERATORS = st.integers(min_value=0, max_value=2)
VM = st.integers(min_value=0, max_value=VMS - 1)
EDIT = st.tuples(
    st.sampled_from(["a", "b", "c"]),
    st.sampled_from(["owner-1", "owner-2"]),
    st.sampled_from(["key-1", "key-2"]),
    st.booleans(),
    st.integers(min_value=0, max_value=3),
)


def reference_replay(log):
    """Replay a whole log; return (version, owner, key) by name for each offset."""
    current, seen, by_offset = {}, set(), []
    for offset, envelope in enumerate(log):
        number = (envelope.incarnation, envelope.sequence)
        edits = () if number in seen else envelope.entries
        seen.add(number)
        for index, edit in enumerate(edits):
            if not isinstance(edit, EntryPut | EntryDeleted):
                continue
            version = current[edit.name][0] if edit.name in current else 0
            if edit.based_on != version:
                continue
            if isinstance(edit, EntryDeleted):
                current.pop(edit.name, None)
                continue
            owner, key = edit.entry.owner, edit.entry.key_hashes[0]
            others = [v for n, v in current.items() if n != edit.name]
            if any(v[2] == key and v[1] != owner for v in others):
                continue
            version = offset * MAX_EDITS_PER_RECORD + index + 1
            current[edit.name] = (version, owner, key)
        by_offset.append(dict(current))
    return by_offset


class CatalogueMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.log = []
        self.earliest = 0
        self.vms = [Catalogue() for _ in range(VMS)]
        self.highest = [-1] * VMS
        self.sequences = [0] * VMS
        self.versions = [0]

    def _append(self, operator, edits):
        self.sequences[operator] += 1
        envelope = CatalogueEnvelope(
            schema=SCHEMA,
            incarnation=f"vm-{operator}",
            sequence=self.sequences[operator],
            entries=tuple(edits),
        )
        self.log.append(envelope)

    def _records(self, first, end):
        return [
            LogRecord(offset=offset, data=encode_envelope(self.log[offset]))
            for offset in range(first, end)
        ]

    @rule(
        operator=OPERATORS,
        edits=st.lists(EDIT, min_size=1, max_size=3),
        is_behind=st.booleans(),
    )
    def edit(self, operator, edits, is_behind):
        if not is_behind:
            self.deliver(operator, len(self.log))
        envelope_edits = []
        for name, owner, key, delete, back in edits:
            current = self.vms[operator].version(name)
            based_on = current if back else self.versions[-back % len(self.versions)]
            if delete:
                envelope_edits.append(
                    EntryDeleted(name=name, based_on=based_on, edit_id="e")
                )
                continue
            entry = make_entry(name, owner=owner, key=key)
            put = EntryPut(name=name, entry=entry, based_on=based_on, edit_id="e")
            envelope_edits.append(put)
        self._append(operator, envelope_edits)

    @rule(back=st.integers(min_value=1, max_value=4))
    def resend_after_lost_answer(self, back):
        if len(self.log) >= back:
            self.log.append(self.log[-back])

    @rule(vm=VM, count=st.integers(min_value=1, max_value=4))
    def deliver(self, vm, count):
        catalogue = self.vms[vm]
        first = catalogue.applied_offset + 1
        for offset in range(first, min(first + count, len(self.log))):
            catalogue.apply(offset, self.log[offset])
            self.versions.extend(
                catalogue.version(name) for name in catalogue.entries_by_name
            )

    @rule(vm=VM, back=st.integers(min_value=0, max_value=5))
    def deliver_again(self, vm, back):
        offset = self.vms[vm].applied_offset - back
        if offset >= 0:
            assert self.vms[vm].apply(offset, self.log[offset]) == ()

    @rule(vm=VM, peer=VM)
    def restore_from_peer(self, vm, peer):
        self.vms[vm].restore(self.vms[peer].state())

    @rule(operator=OPERATORS)
    def append_snapshot(self, operator):
        self._append(operator, [encode_snapshot(self.vms[operator].state())])

    @rule(count=st.integers(min_value=1, max_value=5))
    def expire(self, count):
        self.earliest = min(self.earliest + count, len(self.log))

    @rule(vm=VM, is_new=st.booleans())
    def read_from_log(self, vm, is_new):
        catalogue = Catalogue() if is_new else self.vms[vm]
        records = self._records(self.earliest, len(self.log))
        before = catalogue.applied_offset
        outcome = catch_up(catalogue, records, earliest=self.earliest)
        if isinstance(outcome, Missing):
            assert catalogue.applied_offset == before
            return
        assert catalogue.applied_offset == max(before, len(self.log) - 1)
        if is_new and catalogue.applied_offset >= self.highest[vm]:
            self.vms[vm] = catalogue

    @invariant()
    def every_vm_agrees_with_the_oracle(self):
        by_offset = reference_replay(self.log)
        digests = {}
        for vm, catalogue in enumerate(self.vms):
            offset = catalogue.applied_offset
            assert offset >= self.highest[vm]
            self.highest[vm] = offset
            expected = by_offset[offset] if offset >= 0 else {}
            found = {
                name: (catalogue.version(name), entry.owner, entry.key_hashes[0])
                for name, entry in catalogue.entries_by_name.items()
            }
            assert found == expected
            for _, owner, key in expected.values():
                assert catalogue.owner_of_key(key) == owner
            digest = state_digest(catalogue.state())
            assert digests.setdefault(offset, digest) == digest

    def teardown(self):
        for envelope in self.log:
            assert decode_envelope(encode_envelope(envelope)) == envelope


CatalogueMachine.TestCase.settings = settings(
    max_examples=2_000 if LONG else 100,
    stateful_step_count=40,
    deadline=None,
    derandomize=not LONG,
)
TestCatalogue = CatalogueMachine.TestCase
