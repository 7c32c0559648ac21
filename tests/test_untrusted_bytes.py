"""Readers of foreign bytes raise nothing but the error of their boundary.

Guards against one odd entry, record, datagram or body that ends processes.
"""

import base64
import json
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from foxtailbank.address import AddressInvalid, parse_address
from foxtailbank.exceptions import FrameInvalid, InvalidRequest
from foxtailbank.fleet import load_report
from foxtailbank.fleet.load_table import WorkerLoad
from foxtailbank.fleet.stream_origin import StreamOrigin, StreamReport
from foxtailbank.headers import encode_headers
from foxtailbank.http1.client_channel import _max_idle_ms
from foxtailbank.http1.server_request import ServerRequest
from foxtailbank.keyed_log import StoreResponseLost
from foxtailbank.relay import relay_messages
from foxtailbank.submissions import records
from foxtailbank_platform import settings as platform_settings
from foxtailbank_platform.framing import FrameUnreadable, decode_slice
from foxtailbank_platform.manifest import ManifestUnreadable, decode_manifest
from foxtailbank_platform.store import _NewestPage, _Response, decode_response
from foxtailbank_platform.submission_wire import decode_submission
from foxtailbank_platform.worker_client import _decode_reservation
from foxtailbank_platform.worker_list import EntryUnreadable, decode_entry
from platform_deployment import make_manifest, make_submission
from serving_fakes import make_report

MAX_DECODE_S = 1.0
DEEP = b"[" * 4_000
DIGITS = b"9" * 5_000
ENTRY = {
    "service": "s",
    "address": "127.0.0.1:80",
    "zone": "z",
    "version": "v",
    "slots": 4,
    "state": "ready",
    "born": 1,
    "sequence": 1,
}
DATAGRAM = load_report.encode(
    make_report(
        "vm1",
        load_by_worker={f"w{n}": WorkerLoad(online=2, batch=1) for n in range(8)},
        streams=(StreamReport(key=3, origin=StreamOrigin(service="s")),),
        questions=(1, 2, 3),
    )
)


def submit_body(body):
    request = ServerRequest(
        method="POST", target="/b/1", headers=(), body=body, arrived_ms=0
    )
    return decode_submission(request, submission_id="j", host="h")


def relay_header(data):
    return relay_messages.decode(
        base64.urlsafe_b64encode(data).decode(), relay_messages.RelayedAttempt
    )


READERS = [
    pytest.param(lambda data: decode_entry("w", data), EntryUnreadable, id="entry"),
    pytest.param(decode_manifest, ManifestUnreadable, id="manifest"),
    pytest.param(records.decode, records.RecordUnreadable, id="record"),
    pytest.param(submit_body, InvalidRequest, id="submission"),
    pytest.param(load_report.decode, FrameInvalid, id="datagram"),
    pytest.param(relay_header, relay_messages.RelayMessageInvalid, id="relay"),
    pytest.param(
        lambda data: decode_response(_Response(status=200, body=data), _NewestPage),
        StoreResponseLost,
        id="page",
    ),
    pytest.param(lambda data: decode_slice(data, start=0), FrameUnreadable, id="slice"),
    pytest.param(_decode_reservation, Exception, id="reservation"),
]
SOUND = [
    json.dumps(ENTRY).encode(),
    json.dumps(make_manifest()).encode(),
    make_submission(),
    records.encode(records.Ended(submission_id="j"), key_suffix="x").value,
    DATAGRAM,
]


def read(reader, failure, data):
    """Read bytes; fail unless it returns or raises its error, soon."""
    started = time.monotonic()
    try:
        reader(data)
    except failure as error:
        assert len(error.detail) < 1_000
    assert time.monotonic() - started < MAX_DECODE_S


@pytest.mark.parametrize(("reader", "failure"), READERS)
@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b'{"service":"s","notes":' + DEEP, id="nested"),
        pytest.param(b'{"a":' + b'{"a":' * 3_000, id="nested-objects"),
        pytest.param(DEEP + b"]" * 4_000, id="closed-nesting"),
        pytest.param(b'{"slots":' + DIGITS + b"}", id="many-digits"),
        pytest.param(b'{"version":1e400,"tokens":-1e400}', id="large-number"),
        pytest.param(b'"\\ud800"', id="surrogate"),
        pytest.param(b"\x91" * 4_000, id="nested-packed"),
        pytest.param(b"\xdf\xff\xff\xff\xff", id="made-up-length"),
        pytest.param(DATAGRAM[:-1], id="cut-datagram"),
        pytest.param(b"\x00\xff" * 30_000, id="inflating-datagram"),
        pytest.param(b"", id="empty"),
    ],
)
def test_odd_bytes_raise_the_error_of_their_boundary(reader, failure, data):
    read(reader, failure, data)


@pytest.mark.parametrize(("reader", "failure"), READERS)
@settings(max_examples=300, deadline=None)
@given(
    data=st.one_of(
        st.binary(max_size=200),
        st.tuples(
            st.sampled_from(SOUND),
            st.lists(st.tuples(st.integers(0, 4_000), st.integers(0, 255))),
            st.integers(0, 4_000),
        ).map(lambda drawn: mutate(*drawn)),
    )
)
def test_mutated_bytes_raise_the_error_of_their_boundary(reader, failure, data):
    read(reader, failure, data)


def mutate(data, changes, length):
    mutated = bytearray(data)
    for position, byte in changes:
        mutated[position % len(mutated)] = byte
    return bytes(mutated[: length or None])


@pytest.mark.parametrize(
    "changes",
    [
        {"address": "127.0.0.1:" + "9" * 5_000},
        {"address": "127.0.0.1:0"},
        {"address": "127.0.0.1:-1"},
        {"address": "127.0.0.1:70000"},
        {"address": "127.0.0.1:²"},
        {"address": "0.0.0.0:80"},
        {"address": "224.0.0.1:80"},
        {"address": "example.com:80"},
        {"slots": 0},
        {"slots": 10**30},
        {"sequence": 10**30},
        {"born": -1},
        {"born": 10**30},
        {"state": "resting"},
        {"service": ["s"]},
        {"service": "s" * 200_000},
        {"version": "v" * 200_000},
    ],
)
# An entry of another writer is checked before it is used anywhere.
def test_an_entry_with_an_odd_value_names_no_worker(changes):
    with pytest.raises(EntryUnreadable):
        decode_entry("w", json.dumps({**ENTRY, **changes}).encode())


def test_a_sound_entry_names_a_worker():
    worker, sequence = decode_entry("w", json.dumps(ENTRY).encode())
    assert (worker.slots, sequence) == (4, 1)


@pytest.mark.parametrize("worker_id", ["w\r\nX-A: b", "w" * 300, "\x00"])
# The id of an entry goes out in a header of each request to that worker.
def test_an_id_that_can_not_be_sent_names_no_worker(worker_id):
    with pytest.raises(EntryUnreadable):
        decode_entry(worker_id, json.dumps(ENTRY).encode())


@pytest.mark.parametrize("weight", [-1, 1e300])
def test_a_manifest_with_odd_weights_is_refused(weight):
    manifest = make_manifest()
    manifest["routes"][0]["backends"] = [{"service": "s", "weight": weight}]
    with pytest.raises(ManifestUnreadable):
        decode_manifest(json.dumps(manifest).encode())


@pytest.mark.parametrize("value", ["timeout=²", "timeout=" + "9" * 5_000, "timeout="])
# Digits that `int` refuses ended the process that ran an item there.
def test_an_odd_keep_alive_is_ignored(value):
    assert _max_idle_ms(value) > 0


@pytest.mark.parametrize("text", ["127.0.0.1:" + "1" * 5_000, "[::1]:²", ":", "é:1"])
def test_an_odd_address_is_invalid(text):
    with pytest.raises(AddressInvalid):
        parse_address(text)


@pytest.mark.parametrize(
    "changes",
    [
        {"headers": {"X-A": "a\r\nX-B: b"}},
        {"headers": {"X A": "a"}},
        {"headers": {"Ó": "a"}},
        {"path": "no-slash"},
        {"path": "/b/\x00"},
        {"id": "i\n"},
        {"id": ""},
        {"tokens": 10**30},
        {"body": "é"},
    ],
)
# What can't be sent to a worker is refused before it is accepted.
def test_an_item_that_can_not_be_sent_is_refused(changes):
    body = json.loads(make_submission(count=1))
    body["items"][0].update(changes)
    with pytest.raises(InvalidRequest):
        submit_body(json.dumps(body).encode())


# Letters outside of ASCII in headers and paths are sent, as UTF-8 and percent-encoded.
def test_an_item_with_letters_outside_of_ascii_is_sent_right():
    body = json.loads(make_submission(count=1))
    body["items"][0].update(
        headers={"X-Office": "Reykjavík", "X-Sign": "✓", "Host": "x"}, path="/b/þjón a"
    )
    (item,) = submit_body(json.dumps(body).encode()).items
    assert item.target == "/b/%C3%BEj%C3%B3n%20a"
    assert encode_headers(item.headers) == [
        (b"X-Office", "Reykjavík".encode()),
        (b"X-Sign", "✓".encode()),
    ]


@pytest.mark.parametrize(
    "line", ["bounds.grace_s=inf", "bounds.pass_ms=nan", "port_range=²", "a=\udcff"]
)
def test_odd_settings_are_named_or_ignored(line):
    text = (
        "node_name=vm1\nzone=z\nip=127.0.0.1\nlisten.front=127.0.0.1:1\n"
        "listen.ready=127.0.0.1:2\nport_range=7660,7675\n"
        f"platform.address=127.0.0.1:3\n{line}\n"
    )
    if line.startswith("a="):
        assert platform_settings.decode_settings(text).vm_id == "vm1"
        return
    with pytest.raises(platform_settings.SettingsInvalid):
        platform_settings.decode_settings(text)
