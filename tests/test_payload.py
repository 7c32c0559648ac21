import pytest

from foxtailbank.payload import (
    PayloadInvalid,
    PayloadKind,
    decode_payload,
    encode_payload,
)
from foxtailbank.records import UnsupportedRecord

DATA = encode_payload(kind=PayloadKind.INPUT, body=b"a\nb", job_id="j1", part=2)
EXPECTED = {"kind": PayloadKind.INPUT, "job_id": "j1", "part": 2}


def test_round_trip():
    assert decode_payload(DATA, **EXPECTED).body == b"a\nb"


@pytest.mark.parametrize(
    ("data", "changes", "error"),
    [
        (DATA, {"kind": PayloadKind.RESULTS}, PayloadInvalid),
        (DATA, {"job_id": "j2"}, PayloadInvalid),
        (DATA, {"part": 1}, PayloadInvalid),
        (DATA[:-1], {}, PayloadInvalid),
        (DATA + b"c", {}, PayloadInvalid),
        (b"", {}, PayloadInvalid),
        (b"\xff\n", {}, PayloadInvalid),
        (b"[1]\nbody", {}, PayloadInvalid),
        (b'[9, "other"]\nbody', {}, UnsupportedRecord),
    ],
)
def test_damaged_or_mismatched_record_is_rejected(data, changes, error):
    with pytest.raises(error):
        decode_payload(data, **(EXPECTED | changes))
