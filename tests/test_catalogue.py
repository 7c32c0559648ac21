import pytest

from entry_samples import make_entry
from foxtailbank.catalogue import Catalogue
from foxtailbank.catalogue_events import (
    ConflictReason,
    DuplicateDropped,
    EditConflict,
    EntryChanged,
    RecordSkipped,
    ReplayBlocked,
)
from foxtailbank.catalogue_history import MAX_HISTORY_ITEMS, MAX_HISTORY_ITEMS_PER_ENTRY
from foxtailbank.catalogue_records import (
    SCHEMA,
    CatalogueEnvelope,
    EntryDeleted,
    EntryPut,
    MalformedRecord,
    UnsupportedRecord,
    decode_envelope,
    encode_envelope,
)
from foxtailbank.catalogue_state import decode_snapshot, encode_snapshot, state_digest
from foxtailbank.entry import WorkClass, key_hash


def put(name="tributes", *, based_on=0, edit_id="e", entry=None, **changes):
    entry = entry or make_entry(name, **changes)
    return EntryPut(name=name, entry=entry, based_on=based_on, edit_id=edit_id)


def record(*edits, sequence=1, incarnation="vm-1"):
    return CatalogueEnvelope(
        schema=SCHEMA, incarnation=incarnation, sequence=sequence, entries=edits
    )


def test_put_and_lookups():
    catalogue = Catalogue()
    batch = make_entry("notices", work_class=WorkClass.BATCH)
    events = catalogue.apply(0, record(put(), put("notices", entry=batch)))
    assert [type(event) for event in events] == [EntryChanged, EntryChanged]
    hashed = key_hash("demo-key")
    assert catalogue.owner_of_key(hashed) == "mwangaza"
    assert [e.name for e in catalogue.entries_of_key(hashed)] == ["notices", "tributes"]
    found = catalogue.entry_for_model(key_hash=hashed, model="wordsmith")
    assert found == make_entry()
    assert not catalogue.entry_for_model(key_hash=hashed, model="other")
    assert not catalogue.entry_for_model(key_hash=key_hash("x"), model="wordsmith")
    assert catalogue.owner_of_key(key_hash("x")) == ""


def test_first_of_concurrent_edits_wins():
    catalogue = Catalogue()
    (first,) = catalogue.apply(0, record(put()))
    edits = [put(based_on=first.version, edit_id=i, pool=f"p{i}") for i in "ab"]
    accepted, rejected = catalogue.apply(7, record(*edits, sequence=2))
    assert isinstance(accepted, EntryChanged)
    assert accepted.version > first.version
    assert rejected == EditConflict(
        name="tributes",
        edit_id="b",
        based_on=first.version,
        current=accepted.version,
        reason=ConflictReason.VERSION,
    )
    assert catalogue.entry("tributes").pool == "pa"


@pytest.mark.parametrize(
    ("edit", "reason"),
    [
        (put(based_on=9), ConflictReason.VERSION),
        (put(), ConflictReason.VERSION),
        (put("x", based_on=1), ConflictReason.VERSION),
        (put("x", owner="other"), ConflictReason.KEY_OF_OTHER_OWNER),
        (put("x", entry=make_entry("y")), ConflictReason.NAME_DIFFERS),
        (
            EntryDeleted(name="x", based_on=0, edit_id="e"),
            ConflictReason.VERSION,
        ),
    ],
)
def test_conflict_changes_nothing(edit, reason):
    catalogue = Catalogue()
    catalogue.apply(0, record(put()))
    before = catalogue.entries_by_name
    (event,) = catalogue.apply(1, record(edit, sequence=2))
    assert event.reason is reason
    assert catalogue.entries_by_name == before


def test_duplicates_and_old_offsets_are_dropped():
    catalogue = Catalogue()
    catalogue.apply(3, record(put()))
    assert catalogue.apply(3, record(put("x"), sequence=2)) == ()
    assert catalogue.apply(1, record(put("x"), sequence=2)) == ()
    (event,) = catalogue.apply(4, record(put("x"), sequence=1))
    assert event == DuplicateDropped(incarnation="vm-1", sequence=1)
    assert list(catalogue.entries_by_name) == ["tributes"]


def test_newer_schema_blocks_replay_until_restore():
    catalogue = Catalogue()
    catalogue.apply(0, record(put()))
    newer = decode_envelope(b'{"schema": 99, "anything": []}')
    blocked = ReplayBlocked(offset=1, schema=99)
    assert newer == UnsupportedRecord(schema=99)
    assert catalogue.apply(1, newer) == (blocked,)
    assert catalogue.apply(2, record(put("x"), sequence=2)) == (blocked,)
    assert catalogue.applied_offset == 0
    ahead = Catalogue()
    ahead.apply(2, record(put("x")))
    assert catalogue.restore(ahead.state())
    assert catalogue.blocked is None
    assert list(catalogue.entries_by_name) == ["x"]


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff\xff",
        b"[]",
        b'{"schema": "1"}',
        b'{"schema": 1, "incarnation": "a", "sequence": 1, "entries": [{"type": "X"}]}',
        b'{"schema": 1, "incarnation": "\xff", "sequence": 1, "entries": []}',
    ],
)
def test_malformed_records_are_skipped(data):
    decoded = decode_envelope(data)
    assert isinstance(decoded, MalformedRecord)
    catalogue = Catalogue()
    (event,) = catalogue.apply(0, decoded)
    assert isinstance(event, RecordSkipped)
    assert catalogue.applied_offset == 0


def test_envelope_and_snapshot_round_trip():
    catalogue = Catalogue()
    edits = record(put(), EntryDeleted(name="x", based_on=0, edit_id="d"))
    assert decode_envelope(encode_envelope(edits)) == edits
    catalogue.apply(0, edits)
    envelope = record(encode_snapshot(catalogue.state()), sequence=2)
    (snapshot,) = decode_envelope(encode_envelope(envelope)).entries
    restored = Catalogue()
    assert restored.restore(decode_snapshot(snapshot))
    assert state_digest(restored.state()) == state_digest(catalogue.state())
    assert not restored.restore(catalogue.state())


def test_damaged_snapshot_is_rejected():
    snapshot = encode_snapshot(Catalogue().state())
    damaged = type(snapshot)(
        covers_offset=snapshot.covers_offset,
        digest="0" * 32,
        content=snapshot.content,
    )
    assert decode_snapshot(damaged).reason == "damaged_snapshot"


def test_history_is_bounded():
    catalogue = Catalogue()
    for offset in range(MAX_HISTORY_ITEMS_PER_ENTRY + 3):
        based_on = catalogue.version("tributes")
        catalogue.apply(offset, record(put(based_on=based_on), sequence=offset))
    assert len(catalogue.history("tributes")) == MAX_HISTORY_ITEMS_PER_ENTRY
    for number in range(MAX_HISTORY_ITEMS // 2):
        offset = 100 + 2 * number
        name = f"n{number}"
        (event,) = catalogue.apply(offset, record(put(name), sequence=offset))
        deletion = EntryDeleted(name=name, based_on=event.version, edit_id="d")
        catalogue.apply(offset + 1, record(deletion, sequence=offset + 1))
    assert catalogue.history("tributes") == ()
    assert len(catalogue.history("n0")) == 2
    items_by_name = catalogue.state().history_by_name
    assert sum(len(items) for items in items_by_name.values()) == MAX_HISTORY_ITEMS
    restored = Catalogue()
    restored.restore(catalogue.state())
    for vm in (catalogue, restored):
        vm.apply(10_000, record(put("last"), sequence=10_000))
    assert state_digest(restored.state()) == state_digest(catalogue.state())
