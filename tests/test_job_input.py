import random

import pytest

from foxtailbank import job_input as ji
from foxtailbank.job_input import DuplicateCheck, JobInputParser


def item(custom_id, extra=""):
    return b'{"custom_id": "%s", "body": {"prompt": "x%s"}}' % (
        custom_id.encode(),
        extra.encode(),
    )


def parse(data, *, sizes=(1 << 30,), **options):
    """Parse `data`, fed in parts whose sizes repeat the given ones."""
    parser = JobInputParser(**options)
    chunks = []
    offset = part_count = 0
    while offset < len(data):
        size = sizes[part_count % len(sizes)]
        chunks.extend(parser.feed(data[offset : offset + size]))
        offset += size
        part_count += 1
    last, summary = parser.finish()
    return [*chunks, *last], summary


VALID_INPUT = b"\n".join(item(f"c{n}", "æ" if n % 3 else "") for n in range(25)) + b"\n"


@pytest.mark.parametrize("sizes", [(1,), (7, 1, 64), (1000,), (1 << 30,)])
@pytest.mark.parametrize("ending", [b"\n", b"\r\n", b"\n\n  \n"])
def test_split_and_line_endings_do_not_change_chunks(sizes, ending):
    expected, summary = parse(VALID_INPUT, max_chunk_items=10)
    data = VALID_INPUT.replace(b"\n", ending)
    assert parse(data, sizes=sizes, max_chunk_items=10) == (expected, summary)
    assert [(c.first, c.count) for c in expected] == [(0, 10), (10, 10), (20, 5)]
    assert b"\n".join(c.data for c in expected) + b"\n" == VALID_INPUT
    assert summary.item_count == 25
    assert not summary.repeated_digests


@pytest.mark.parametrize(
    ("malformed", "error"),
    [
        (b"{", ji.InvalidLine),
        (b"[1]", ji.InvalidLine),
        (b"null", ji.InvalidLine),
        (b'{"custom_id": "a", "body": {}} more', ji.InvalidLine),
        (b'{"custom_id": "a", "body": {"x": }}', ji.InvalidLine),
        (b'{"custom_id": "a", "body": {"x": ' + b"[" * 5000, ji.InvalidLine),
        (b'{"custom_id": "a", "x": ' + b"[" * 5000 + b"]" * 5000, ji.InvalidLine),
        (b'{"custom_id": "a", "body": {"x": "\xff"}}', ji.InvalidUtf8),
        (b'{"body": {}}', ji.InvalidCustomId),
        (b'{"custom_id": "", "body": {}}', ji.InvalidCustomId),
        (b'{"custom_id": 5, "body": {}}', ji.InvalidCustomId),
        (b'{"custom_id": null, "body": {}}', ji.InvalidCustomId),
        (b'{"custom_id": "\\ud800", "body": {}}', ji.InvalidLine),
        (b'{"custom_id": "%s", "body": {}}' % (b"a" * 257), ji.InvalidCustomId),
        (b'{"custom_id": "%s", "body": {}}' % ("æ" * 200).encode(), ji.InvalidCustomId),
        (b'{"custom_id": "a"}', ji.InvalidItemBody),
        (b'{"custom_id": "a", "body": null}', ji.InvalidItemBody),
        (b'{"custom_id": "a", "body": "x"}', ji.InvalidItemBody),
        (item("a", "y" * 2000), ji.LineTooLong),
    ],
)
@pytest.mark.parametrize("sizes", [(1,), (1 << 30,)])
@pytest.mark.parametrize("end", [b"", b"\n" + item("after") + b"\n"])
def test_error_gives_number_of_malformed_line(malformed, error, sizes, end):
    limit = 1000 if error is ji.LineTooLong else 20_000
    data = item("first") + b"\n\n" + item("second") + b"\n" + malformed + end
    with pytest.raises(error) as caught:
        parse(data, sizes=sizes, max_line_bytes=limit)
    assert type(caught.value) is error
    assert caught.value.line == 4
    assert caught.value.status in {400, 413}


@pytest.mark.parametrize(
    ("data", "error"),
    [(b"", ji.EmptyJob), (b"\n \n", ji.EmptyJob), (VALID_INPUT, ji.TooManyItems)],
)
def test_item_count_is_bounded(data, error):
    with pytest.raises(error):
        parse(data, max_items=24)


def test_unterminated_line_is_rejected_at_size_limit():
    parser = JobInputParser(max_line_bytes=1000)
    with pytest.raises(ji.LineTooLong):
        for _ in range(12):
            parser.feed(b"x" * 100)


def test_chunks_are_bounded_in_bytes():
    chunks, _ = parse(VALID_INPUT, max_chunk_bytes=200)
    assert sum(c.count for c in chunks) == 25
    assert all(len(c.data) <= 200 for c in chunks)


def test_error_gives_line_of_duplicate():
    ids = [f"c{n}" for n in range(3000)]
    random.Random(1).shuffle(ids)
    ids[2000] = ids[100]
    chunks, summary = parse(b"\n".join(map(item, ids)))
    assert len(summary.repeated_digests) == 1
    check = DuplicateCheck(repeated_digests=summary.repeated_digests)
    with pytest.raises(ji.DuplicateCustomId) as caught:
        for chunk in chunks:
            check.feed(chunk)
    assert caught.value.line == 2001


def test_digest_collision_is_not_a_duplicate(monkeypatch):
    monkeypatch.setattr(ji, "_id_digest", lambda custom_id: len(custom_id))
    chunks, summary = parse(VALID_INPUT)
    assert summary.repeated_digests == {2, 3}
    check = DuplicateCheck(repeated_digests=summary.repeated_digests)
    for chunk in chunks:
        check.feed(chunk)
