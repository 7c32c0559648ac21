import json

import pytest

from foxtailbank.item_set import bitmap_positions
from foxtailbank.ledger import Ledger
from foxtailbank.manifest import decode_manifest, encode_manifest, manifest_of
from foxtailbank.payload import (
    PayloadInvalid,
    PayloadKind,
    decode_payload,
    encode_payload,
)
from foxtailbank.results import ItemCancelled, merge_chunk
from ledger_entries import abandon, claim, envelope, job, ranges, results

INPUT = b"\n".join(b'{"custom_id": "c%d", "body": {}}' % n for n in range(6))


def payload(tag, *pairs):
    items = ranges(*pairs)
    positions = [p for first, count in pairs for p in range(first, first + count)]
    body = b"\n".join(
        json.dumps({"custom_id": f"c{p}", "by": tag}).encode() for p in positions
    )
    data = encode_payload(
        kind=PayloadKind.RESULTS, body=body, job_id="j1", part=0, items=items
    )
    return decode_payload(data, kind=PayloadKind.RESULTS, job_id="j1")


PAYLOADS = {500: payload("one", (0, 2), (4, 1)), 501: payload("two", (0, 5))}


def replayed(*entries):
    ledger = Ledger()
    ledger.apply(0, envelope(1, job(counts=(6,), idempotent=False), *entries))
    return ledger.jobs_by_id["j1"]


def merged(chunk_results, unknown, unfinished_error=None):
    lines = merge_chunk(
        count=6,
        parts=[(part, PAYLOADS[part.payload_offset]) for part in chunk_results],
        unknown=unknown,
        load_input=lambda: INPUT,
        unfinished_error=unfinished_error,
    )
    return [json.loads(line) for line in lines]


ENTRIES = (
    claim((0, 6)),
    results((0, 2), (4, 1), at=500),
    results((0, 5), at=501),
    abandon((5, 1)),
)


@pytest.mark.parametrize("retired", [False, True])
def test_every_item_has_one_line_in_order(retired):
    state = replayed(*ENTRIES)
    parts, unknown = state.results(0), state.unknown_bitmap(0)
    if retired:
        data = encode_manifest(manifest_of(state))
        chunk = decode_manifest(data, job_id="j1").chunks[0]
        parts, unknown = chunk.results(), chunk.unknown_bitmap()
    lines = merged(parts, unknown)
    assert [line["custom_id"] for line in lines] == [f"c{n}" for n in range(6)]
    assert [line.get("by") for line in lines] == (
        ["one", "one", "two", "two", "one", None]
    )
    assert lines[5]["error"]["code"] == "outcome_unknown"
    assert lines[5]["error"]["ran"] == "unknown"


@pytest.mark.parametrize(
    ("unfinished_error", "count"), [(None, 3), (ItemCancelled(detail="cancelled"), 6)]
)
def test_unfinished_items_have_a_line_only_if_an_error_is_given(
    unfinished_error, count
):
    state = replayed(*ENTRIES[:2])
    lines = merged(state.results(0), 0, unfinished_error)
    assert len(lines) == count
    codes = [line["error"]["code"] for line in lines if "error" in line]
    assert codes == ["item_cancelled"] * (count - 3)


def test_payload_that_lacks_a_valid_line_is_rejected():
    state = replayed(claim((0, 6)), results((0, 6), at=500))
    with pytest.raises(PayloadInvalid):
        merged(state.results(0), 0)


def test_moved_manifest_refers_to_the_new_records():
    manifest = manifest_of(replayed(*ENTRIES)).with_moved_payloads({100: 700, 501: 701})
    chunk = manifest.chunks[0]
    assert chunk.input_offset == 700
    assert [part.payload_offset for part in chunk.parts] == [500, 701]
    assert [list(bitmap_positions(chunk.unknown_bitmap()))] == [[5]]
