import dataclasses
import importlib.resources

import capnp
import pytest

from foxtailbank import (
    exceptions,
    log_service,
    peer_codec,
    peer_kinds,
    share_messages,
)
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
    share_messages.ShareRequest(limit_key="owner/x", loan_id="l", units=5),
    share_messages.ShareGrant(limit_key="owner/x", loan_id="l", units=5, loan_ms=9),
    share_messages.ShareReturn(limit_key="owner/x", loan_id="l"),
    share_messages.ShareEpochQuery(epoch=3),
    share_messages.ShareEpochApplied(holder_id="vm/1", epoch=3),
    pm.CancelNotice(job_id="job"),
    pm.PayloadRequest(offset=3, first_byte=10, max_bytes=20),
    pm.Payload(offset=3, first_byte=10, total_bytes=30, is_found=True, content=b"p"),
    pm.Report(name="burn", content=b"{}"),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda one: type(one).__name__)
def test_message_round_trips(message):
    envelope = peer_codec.Envelope(message=message, correlation=77, is_reply=True)
    assert peer_codec.decode(peer_codec.encode(envelope)) == envelope


def test_every_message_type_has_a_kind():
    assert {type(one) for one in MESSAGES} == set(peer_kinds.KIND_BY_TYPE)


def link(secret=SECRET, nonces=(b"c" * 16, b"s" * 16)):
    key = peer_codec.session_key(
        secret=secret, client_nonce=nonces[0], server_nonce=nonces[1]
    )
    return (
        peer_codec.FrameSealer(key=key, direction=b"c"),
        peer_codec.FrameOpener(key=key, direction=b"c"),
    )


def frame_body(sealer, message=MESSAGES[0]):
    frame = sealer.seal(peer_codec.Envelope(message=message))
    header = frame[: peer_codec.LENGTH_STRUCT.size]
    body = frame[peer_codec.LENGTH_STRUCT.size :]
    assert peer_codec.frame_length(header) == len(body)
    return body


def flip(data, index):
    changed = bytearray(data)
    changed[index] ^= 1
    return bytes(changed)


@pytest.mark.parametrize("message", MESSAGES, ids=lambda one: type(one).__name__)
def test_frames_are_opened_in_order(message):
    sealer, opener = link()
    for _ in range(2):
        assert opener.open(frame_body(sealer, message)).message == message


@pytest.mark.parametrize(
    "change",
    [
        lambda body: flip(body, 0),
        lambda body: flip(body, peer_codec.MAC_BYTES),
        lambda body: flip(body, -1),
        lambda body: body[:-1],
        lambda body: body + b"\0",
        lambda body: body[: peer_codec.MAC_BYTES - 1],
        lambda body: b"",
    ],
    ids=["mac", "first", "last", "truncated", "longer", "no-content", "empty"],
)
def test_tampered_frame_is_rejected(change):
    sealer, opener = link()
    with pytest.raises(exceptions.FrameInvalid):
        opener.open(change(frame_body(sealer)))


def test_replayed_or_skipped_frame_is_rejected():
    sealer, opener = link()
    first = frame_body(sealer)
    opener.open(first)
    with pytest.raises(exceptions.FrameInvalid):
        opener.open(first)
    sealer, opener = link()
    frame_body(sealer)
    with pytest.raises(exceptions.FrameInvalid):
        opener.open(frame_body(sealer))


@pytest.mark.parametrize(
    "other",
    [
        {"secret": b"w" * 32},
        {"nonces": (b"x" * 16, b"s" * 16)},
        {"nonces": (b"c" * 16, b"x" * 16)},
    ],
    ids=["secret", "client-nonce", "server-nonce"],
)
def test_frame_of_another_connection_is_rejected(other):
    sealer, _ = link()
    _, opener = link(**other)
    with pytest.raises(exceptions.FrameInvalid):
        opener.open(frame_body(sealer))


def test_frame_of_the_other_direction_is_rejected():
    sealer, _ = link()
    key = peer_codec.session_key(
        secret=SECRET, client_nonce=b"c" * 16, server_nonce=b"s" * 16
    )
    opener = peer_codec.FrameOpener(key=key, direction=b"s")
    with pytest.raises(exceptions.FrameInvalid):
        opener.open(frame_body(sealer))


@pytest.mark.parametrize(
    "length,error",
    [
        (peer_codec.MAX_FRAME_BYTES + 1, exceptions.FrameTooLarge),
        ((1 << 32) - 1, exceptions.FrameTooLarge),
        (peer_codec.MAC_BYTES - 1, exceptions.FrameInvalid),
    ],
)
def test_length_outside_its_bounds_is_rejected(length, error):
    with pytest.raises(error):
        peer_codec.frame_length(peer_codec.LENGTH_STRUCT.pack(length))


def test_oversized_message_is_not_sealed_and_later_frames_open():
    sealer, opener = link()
    content = bytes(range(256)) * (peer_codec.MAX_FRAME_BYTES // 256)
    with pytest.raises(exceptions.FrameTooLarge):
        frame_body(sealer, pm.Report(name="r", content=content))
    assert opener.open(frame_body(sealer)).message == MESSAGES[0]


# Guards against a connection that the peer closes after a message that was not sent:
# the messages before it in the same write had used up numbers.
@pytest.mark.parametrize("before", [1, 3])
def test_frames_open_after_a_write_with_an_oversized_message(before):
    sealer, opener = link()
    sound = peer_codec.Envelope(message=MESSAGES[0])
    content = bytes(range(256)) * (peer_codec.MAX_FRAME_BYTES // 256)
    oversized = peer_codec.Envelope(message=pm.Report(name="r", content=content))
    with pytest.raises(exceptions.FrameTooLarge):
        sealer.seal_all([*[sound] * before, oversized])
    assert opener.open(frame_body(sealer)).message == MESSAGES[0]


def test_old_schema_version_is_unsupported_and_keeps_the_correlation():
    envelope = peer_codec.Envelope(message=pm.Ping(), correlation=4)
    data = peer_codec.encode(envelope, schema_version=peer_codec.MIN_SCHEMA_VERSION - 1)
    with pytest.raises(peer_codec.UnsupportedMessage) as caught:
        peer_codec.decode(data)
    assert (caught.value.correlation, caught.value.is_reply) == (4, False)


def test_newer_schema_version_with_a_known_kind_is_read():
    envelope = peer_codec.Envelope(message=pm.CancelNotice(job_id="j"), correlation=4)
    data = peer_codec.encode(envelope, schema_version=peer_codec.SCHEMA_VERSION + 1)
    assert peer_codec.decode(data) == envelope


@pytest.fixture(scope="module")
def later_schema(tmp_path_factory):
    """Load a schema with additions that a later version might make."""
    text = (importlib.resources.files("foxtailbank") / "peer.capnp").read_text()
    text = text.replace("@0xb5a1c7d2e93f4068", "@0xb5a1c7d2e93f4069")
    text = text.replace("    report @22", "    later @26 :Ping;\n    report @22")
    text = text.replace("jobId @0 :Text;", "jobId @0 :Text; reason @1 :Text;")
    path = tmp_path_factory.mktemp("schema") / "later.capnp"
    path.write_text(text)
    return capnp.load(str(path))


def test_unknown_kind_is_unsupported_and_keeps_the_correlation(later_schema):
    builder = later_schema.Envelope.new_message()
    builder.schemaVersion = peer_codec.SCHEMA_VERSION + 1
    builder.correlation = 6
    builder.init("later")
    with pytest.raises(peer_codec.UnsupportedMessage) as caught:
        peer_codec.decode(builder.to_bytes_packed())
    assert caught.value.correlation == 6


def test_added_field_of_a_later_version_is_ignored(later_schema):
    builder = later_schema.Envelope.new_message()
    builder.schemaVersion = peer_codec.SCHEMA_VERSION + 1
    notice = builder.init("cancelNotice")
    notice.jobId = "j"
    notice.reason = "withdrawn"
    message = peer_codec.decode(builder.to_bytes_packed()).message
    assert message == pm.CancelNotice(job_id="j")


def test_fact_kind_of_a_later_version_is_skipped(later_schema):
    builder = later_schema.Envelope.new_message()
    builder.schemaVersion = peer_codec.SCHEMA_VERSION + 1
    heartbeat = builder.init("heartbeat")
    facts = heartbeat.init("facts", 2)
    facts[0].kind = 200
    facts[1].kind = int(pm.FactKind.QUARANTINE)
    facts[1].subject = "f"
    message = peer_codec.decode(builder.to_bytes_packed()).message
    assert [one.subject for one in message.facts] == ["f"]


@pytest.mark.parametrize("data", [b"", b"\xff" * 40, b"\x01"], ids=repr)
def test_malformed_bytes_are_rejected(data):
    with pytest.raises((exceptions.FrameInvalid, peer_codec.UnsupportedMessage)):
        peer_codec.decode(data)


HEARTBEAT = next(one for one in MESSAGES if isinstance(one, pm.Heartbeat))


@pytest.mark.parametrize(
    "change,error",
    [
        (lambda one: flip(one, 0), exceptions.FrameInvalid),
        (lambda one: flip(one, -1), exceptions.FrameInvalid),
        (lambda one: one[:20], exceptions.FrameInvalid),
        (lambda one: b"", exceptions.FrameInvalid),
        (lambda one: one + b"\0" * 1400, exceptions.FrameTooLarge),
    ],
    ids=["mac", "content", "truncated", "empty", "oversized"],
)
def test_tampered_datagram_is_rejected(change, error):
    datagram = peer_codec.seal_datagram(HEARTBEAT, secret=SECRET)
    assert peer_codec.open_datagram(datagram, secret=SECRET) == HEARTBEAT
    with pytest.raises(error):
        peer_codec.open_datagram(change(datagram), secret=SECRET)


def test_oversized_heartbeat_is_not_sealed():
    updates = tuple(dataclasses.replace(OWN, vm_id=f"vm-{n}-{n**9}") for n in range(80))
    heartbeat = dataclasses.replace(HEARTBEAT, updates=updates)
    with pytest.raises(exceptions.FrameTooLarge):
        peer_codec.seal_datagram(heartbeat, secret=SECRET)
