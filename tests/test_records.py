import msgspec
import pytest

from foxtailbank import records
from ledger_entries import call, cancel, claim, envelope, job, results


@pytest.mark.parametrize(
    "entry",
    [job(counts=(3, 2)), results((0, 3), failed=((1, 1),)), claim((0, 1)), call()],
)
def test_round_trip(entry):
    given = envelope(7, entry, cancel())
    assert records.decode(records.encode(given)) == given


@pytest.mark.parametrize(
    ("data", "error"),
    [
        (b"", records.MalformedRecord),
        (b"\xff\xfe", records.MalformedRecord),
        (b"not a record", records.MalformedRecord),
        (b'{"schema": 1}', records.MalformedRecord),
        (b'["1", "a", 1, []]', records.MalformedRecord),
        (b'[2, "a", 1, []]', records.UnsupportedRecord),
        (b'[2, "a", 1, {"entries": []}, "more"]', records.UnsupportedRecord),
        (b'[1, "a", 1, [["JobPaused", "j1"]]]', records.UnsupportedRecord),
        (b'[1, "a", 1, [["JobCancelled", "j1", 5]]]', records.UnsupportedRecord),
        (b'[1, "a", 1, [["JobCancelled"]]]', records.UnsupportedRecord),
        (b'[1, "a", 1, [], "more"]', records.UnsupportedRecord),
    ],
)
def test_decode_rejects_unreadable_records(data, error):
    with pytest.raises(error):
        records.decode(data)


def test_entry_bytes_are_embedded_unchanged():
    entry = results((0, 4))
    raw = msgspec.json.decode(records.encode(envelope(1, entry)))[3][0]
    assert msgspec.json.encode(raw) == records.encode_entry(entry)
