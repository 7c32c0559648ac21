import dataclasses

import pytest

from foxtailbank import log_service, peer_codec
from foxtailbank import peer_messages as pm

SECRET = b"k" * 32
OWN = pm.MemberRecord(vm_id="vm", zone="sv-a", address="127.0.0.1:1", incarnation=7)
RECORD = log_service.LogRecord(offset=4, data=b"\x00data")

MESSAGES = [
    pm.Hello(vm_id="vm", zone="sv-a", incarnation=1 << 60, schema_version=1),
    pm.Ping(),
    pm.Done(),
    pm.Unsupported(schema_version=3),
    pm.Refused(code="overloaded", detail="busy", retry_after_ms=5),
    pm.Heartbeat(
        kind=pm.HeartbeatKind.ACK,
        sender=OWN,
        sequence=9,
        recipient="other",
        recipient_incarnation=3,
        echo=8,
        subject=dataclasses.replace(OWN, status=pm.MemberStatus.SUSPECT),
        updates=(OWN, dataclasses.replace(OWN, status=pm.MemberStatus.LEFT)),
        facts=(
            pm.Fact(
                kind=pm.FactKind.QUARANTINE, subject="f", version=2, remaining_ms=30
            ),
        ),
        loads=(pm.PoolLoad(pool="wordsmith", in_flight=3, capacity=8),),
        digests=(pm.ZoneDigest(zone="sv-a", count=4, view_hash=(1 << 64) - 1),),
        contacts=(pm.ZoneAge(zone="sv-b", age_ms=12),),
        catalogue_offset=5,
        view_zone="sv-b",
        after_id="a",
        through_id="b",
        facts_hash=11,
    ),
    pm.CatalogueRecords(from_offset=4, records=(RECORD,), end_offset=5),
    pm.LedgerRecords(from_offset=4, records=(RECORD, RECORD), end_offset=6),
    pm.RecordsRequest(stream="ledger", from_offset=2, max_bytes=100),
    pm.SnapshotRequest(stream="ledger", index=1),
    pm.SnapshotPart(
        stream="ledger", covers_offset=9, index=1, count=2, digest=3, content=b"s"
    ),
    pm.OnlineDispatched(endpoint_id="wordsmith-1", count=2),
    pm.QuarantineMark(fingerprint="f", remaining_ms=100, reason="crash"),
    pm.DrainNotice(endpoint_id="wordsmith-1", remaining_ms=100),
    pm.ShareRequest(limit_key="owner/x", loan_id="l", units=5),
    pm.ShareGrant(limit_key="owner/x", loan_id="l", units=5, loan_ms=9),
    pm.ShareReturn(limit_key="owner/x", loan_id="l"),
    pm.ShareEpochQuery(epoch=3),
    pm.ShareEpochApplied(holder_id="vm/1", epoch=3),
    pm.CancelNotice(job_id="job"),
    pm.PayloadRequest(offset=3, first_byte=10, max_bytes=20),
    pm.Payload(offset=3, first_byte=10, total_bytes=30, is_found=True, content=b"p"),
    pm.Report(name="burn", content=b"{}"),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda one: type(one).__name__)
def test_message_survives_its_encoding(message):
    envelope = peer_codec.Envelope(message=message, correlation=77, is_reply=True)
    assert peer_codec.decode(peer_codec.encode(envelope)) == envelope


def test_every_kind_is_in_the_table():
    assert {type(one) for one in MESSAGES} == set(peer_codec.KIND_BY_TYPE)
