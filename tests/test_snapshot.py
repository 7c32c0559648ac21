import random
import zlib

import msgspec
import pytest

from fakes import FakeLog
from foxtailbank import records, snapshot
from foxtailbank.ledger import Ledger
from foxtailbank.ledger_image import SnapshotPartImage
from foxtailbank.ledger_replay import LedgerReplay
from foxtailbank.ledger_resync import LedgerResync, LogSnapshotSource
from foxtailbank.log_service import LogRecord
from foxtailbank.log_tailer import ResyncFailed
from foxtailbank.payload_store import PayloadStore
from foxtailbank.records import UnsupportedRecord
from foxtailbank.snapshot import (
    SnapshotAssembler,
    SnapshotInvalid,
    digest_of,
    encode_parts,
    image_of,
)
from foxtailbank.snapshot_store import SnapshotStore
from ledger_entries import (
    abandon,
    call,
    cancel,
    claim,
    complete,
    envelope,
    job,
    release,
    release_items,
    results,
)

HISTORY = [
    job("open", counts=(4, 4), key="k1"),
    job("billed", counts=(4, 4), idempotent=False),
    claim((0, 3), job_id="billed"),
    results((0, 1), job_id="billed", at=510),
    abandon((1, 1), job_id="billed"),
    results((0, 2), job_id="open", at=500, failed=((1, 1),)),
    results((0, 4), job_id="open", chunk=1, at=501),
    job("done", key="k2"),
    results((0, 4), job_id="done", at=502),
    records.JobRetired(job_id="done", manifest_offset=503),
    job("stopped"),
    job("more", counts=(4, 4)),
    job("late"),
    cancel("stopped"),
    call(),
    call("b", key="k2"),
    complete("b", key="k2"),
    call("c", key="k3"),
    release("c", key="k3"),
    records.FenceTaken(scope="e1", holder="a", lease_ms=10),
    records.PayloadFloorRaised(before_offset=100),
]
LATER = [
    job("expired", chunks=(records.ChunkRef(99, 0, 4),)),
    claim((3, 1), job_id="billed"),
    claim((0, 4), job_id="billed", chunk=1, claimant="z"),
    results((0, 4), job_id="more", chunk=1, at=520),
    cancel("late"),
    results((0, 4), job_id="open", at=504),
    results((1, 2), job_id="billed", at=511),
    job("again", key="k2"),
    call("b"),
    call("d", key="k3"),
    records.FenceTaken(scope="e1", holder="b", lease_ms=10),
]


def replayed(entries=HISTORY):
    ledger = Ledger()
    for offset, entry in enumerate(entries):
        ledger.apply(offset, envelope(offset + 1, entry))
    return ledger


def restored(parts, digest):
    assembler = SnapshotAssembler(digest=digest)
    for part in parts:
        assembler.feed(part)
    return assembler.finish()


def state_digest(ledger):
    return digest_of(encode_parts(image_of(ledger)))


def test_restored_state_is_equal_and_replays_alike():
    ledger = replayed()
    parts = list(encode_parts(image_of(ledger)))
    other = restored(parts, digest_of(parts))
    assert list(encode_parts(image_of(other))) == parts
    for offset, entry in enumerate(LATER, ledger.next_offset):
        next_envelope = envelope(offset + 1, entry)
        assert other.apply(offset, next_envelope) == ledger.apply(offset, next_envelope)
    assert state_digest(other) == state_digest(ledger)


RELEASE = release_items((2, 1), job_id="billed")
ABANDON = abandon((2, 1), job_id="billed")
MOVE = records.PayloadMoved(job_id="open", moves=(records.PayloadMove(500, 600),))


@pytest.mark.parametrize(
    "later", [LATER, *([e] for e in (*LATER, RELEASE, ABANDON, MOVE))]
)
def test_image_is_unaffected_by_later_records(later):
    ledger = replayed()
    image = image_of(ledger)
    before = state_digest(replayed())
    for offset, entry in enumerate(later, ledger.next_offset):
        ledger.apply(offset, envelope(offset + 1, entry))
    assert digest_of(encode_parts(image)) == before != state_digest(ledger)


def _flip(parts):
    parts[1] = parts[1][:-1] + bytes([parts[1][-1] ^ 1])


@pytest.mark.parametrize(
    "damage",
    [
        _flip,
        lambda parts: parts.pop(),
        lambda parts: parts.pop(0),
        lambda parts: parts.reverse(),
        lambda parts: parts.append(parts[-1]),
        lambda parts: parts.append(b"junk"),
    ],
)
def test_damaged_parts_are_refused(damage):
    parts = list(encode_parts(image_of(replayed())))
    digest = digest_of(parts)
    damage(parts)
    with pytest.raises(SnapshotInvalid):
        restored(parts, digest)


@pytest.mark.parametrize("missing", [0, 1, 2])
def test_snapshot_encoded_without_a_part_is_refused(missing):
    parts = list(encode_parts(image_of(replayed())))
    del parts[missing]
    with pytest.raises(SnapshotInvalid):
        restored(parts, digest_of(parts))


def test_part_with_invalid_values_is_refused():
    image = replayed().jobs_by_id["open"].image()
    invalid = msgspec.structs.replace(image, counts=b"odd")
    part = SnapshotPartImage(schema=snapshot.SCHEMA, jobs=[invalid])
    parts = [zlib.compress(msgspec.msgpack.encode(part))]
    with pytest.raises(SnapshotInvalid):
        restored(parts, digest_of(parts))


def test_parts_of_a_newer_version_are_unsupported(monkeypatch):
    monkeypatch.setattr(snapshot, "SCHEMA", 2)
    parts = list(encode_parts(image_of(replayed())))
    monkeypatch.undo()
    with pytest.raises(UnsupportedRecord):
        restored(parts, digest_of(parts))


class Rig:
    """A log with the history, a snapshot store and the replay of a new VM."""

    def __init__(self):
        self.log = FakeLog()
        self.payloads = PayloadStore(
            log=self.log, stream="payload", rng=random.Random(1), backoff_first_ms=1
        )
        self.store = SnapshotStore(
            log=self.log, ledger_stream="ledger", payloads=self.payloads
        )
        self.full_replay = LedgerReplay(ledger=Ledger())
        for entry in HISTORY:
            self.put(entry)
        self.new_replay = LedgerReplay(ledger=Ledger())
        source = LogSnapshotSource(store=self.store)
        self.resync = LedgerResync(replay=self.new_replay, sources=[source])

    def put(self, entry):
        sequence = len(self.log.records_by_stream["ledger"]) + 1
        data = records.encode(envelope(sequence, entry))
        offset = self.log.put("ledger", data)
        self.full_replay.apply(LogRecord(offset=offset, data=data))

    async def snapshot(self):
        return await self.store.write(image_of(self.full_replay.ledger))

    def catch_up(self):
        stream = self.log.records_by_stream["ledger"]
        start = self.new_replay.ledger.next_offset
        for offset, data in enumerate(stream[start:], start):
            self.new_replay.apply(LogRecord(offset=offset, data=data))
        return state_digest(self.new_replay.ledger) == state_digest(
            self.full_replay.ledger
        )


@pytest.mark.anyio
@pytest.mark.parametrize("earliest", [0, len(HISTORY) + 1])
async def test_new_vm_starts_from_the_snapshot_that_covers_most(earliest):
    rig = Rig()
    early = await rig.snapshot()
    rig.put(LATER[0])
    rig.log.lose_answers = 2
    rig.put(await rig.snapshot())
    rig.put(early)
    rig.put(LATER[1])
    rig.log.expire("ledger", earliest)
    assert await rig.resync(0) == len(HISTORY) + 1
    assert rig.catch_up()


@pytest.mark.anyio
async def test_snapshot_followed_by_expired_records_is_not_used():
    rig = Rig()
    early = await rig.snapshot()
    rig.put(LATER[0])
    rig.put(early)
    rig.log.expire("ledger", len(HISTORY) + 1)
    with pytest.raises(ResyncFailed):
        await rig.resync(0)
    assert rig.new_replay.ledger.next_offset == 0


@pytest.mark.anyio
async def test_late_snapshot_of_a_paused_vm_is_ignored():
    rig = Rig()
    early = await rig.snapshot()
    rig.put(LATER[0])
    late = await rig.snapshot()
    rig.put(late)
    rig.put(early)
    assert rig.full_replay.ledger.snapshot == late
    rig.log.expire("ledger", len(HISTORY) + 1)
    with pytest.raises(ResyncFailed):
        await rig.resync(rig.full_replay.ledger.next_offset)
    assert rig.new_replay.ledger.next_offset == 0


@pytest.mark.anyio
@pytest.mark.parametrize("damage", ["expired", "other digest", "other offset"])
async def test_unusable_snapshot_is_skipped(damage):
    rig = Rig()
    good = await rig.snapshot()
    rig.put(good)
    rig.put(LATER[0])
    bad = await rig.snapshot()
    changes = {
        "expired": {"payload_offsets": (10_000,)},
        "other digest": {"digest": "0"},
        "other offset": {"covers_offset": bad.covers_offset + 1},
    }[damage]
    fields = {name: getattr(bad, name) for name in bad.__struct_fields__}
    rig.put(LATER[1])
    rig.put(records.Snapshot(**(fields | changes)))
    assert await rig.resync(0) == good.covers_offset + 1
    assert rig.catch_up()


@pytest.mark.anyio
@pytest.mark.parametrize("noise", [10, 1500, 6000])
async def test_snapshot_is_found_before_many_records(noise):
    rig = Rig()
    entry = await rig.snapshot()
    rig.put(entry)
    for _ in range(noise):
        rig.put(cancel("nobody"))
    rig.log.put("ledger", b'junk with "Snapshot" in it')
    assert await rig.resync(0) == len(HISTORY)
