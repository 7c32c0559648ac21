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
    """Feed `data` in pieces of the given sizes, over and over."""
    parser = JobInputParser(**options)
    chunks = []
    at = turn = 0
    while at < len(data):
        size = sizes[turn % len(sizes)]
        chunks.extend(parser.feed(data[at : at + size]))
        at += size
        turn += 1
    last, summary = parser.finish()
    return [*chunks, *last], summary


GOOD = b"\n".join(item(f"c{n}", "æ" if n % 3 else "") for n in range(25)) + b"\n"


@pytest.mark.parametrize("sizes", [(1,), (7, 1, 64), (1000,), (1 << 30,)])
@pytest.mark.parametrize("ending", [b"\n", b"\r\n", b"\n\n  \n"])
def test_pieces_and_line_endings_make_no_difference(sizes, ending):
    whole, summary = parse(GOOD, chunk_items=10)
    data = GOOD.replace(b"\n", ending)
    assert parse(data, sizes=sizes, chunk_items=10) == (whole, summary)
    assert [(c.first, c.count) for c in whole] == [(0, 10), (10, 10), (20, 5)]
    assert b"\n".join(c.data for c in whole) + b"\n" == GOOD
    assert summary.item_count == 25
    assert not summary.suspects


@pytest.mark.parametrize(
    ("bad", "error"),
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
def test_malformed_line_is_named(bad, error, sizes, end):
    bound = 1000 if error is ji.LineTooLong else 20_000
    data = item("first") + b"\n\n" + item("second") + b"\n" + bad + end
    with pytest.raises(error) as caught:
        parse(data, sizes=sizes, max_line_bytes=bound)
    assert type(caught.value) is error
    assert caught.value.line == 4
    assert caught.value.status in {400, 413}


@pytest.mark.parametrize(
    ("data", "error"),
    [(b"", ji.EmptyJob), (b"\n \n", ji.EmptyJob), (GOOD, ji.TooManyItems)],
)
def test_number_of_items_is_bounded(data, error):
    with pytest.raises(error):
        parse(data, max_items=24)


def test_endless_line_is_refused_early():
    parser = JobInputParser(max_line_bytes=1000)
    with pytest.raises(ji.LineTooLong):
        for _ in range(12):
            parser.feed(b"x" * 100)


def test_chunks_are_bounded_in_bytes():
    chunks, _ = parse(GOOD, chunk_bytes=200)
    assert sum(c.count for c in chunks) == 25
    assert all(len(c.data) <= 200 for c in chunks)


def test_duplicate_is_named():
    ids = [f"c{n}" for n in range(3000)]
    random.Random(1).shuffle(ids)
    ids[2000] = ids[100]
    chunks, summary = parse(b"\n".join(map(item, ids)))
    assert len(summary.suspects) == 1
    check = DuplicateCheck(suspects=summary.suspects)
    with pytest.raises(ji.DuplicateCustomId) as caught:
        for chunk in chunks:
            check.feed(chunk)
    assert caught.value.line == 2001


def test_equal_digests_alone_are_no_duplicate(monkeypatch):
    monkeypatch.setattr(ji, "_id_digest", lambda custom_id: len(custom_id))
    chunks, summary = parse(GOOD)
    assert summary.suspects == {2, 3}
    check = DuplicateCheck(suspects=summary.suspects)
    for chunk in chunks:
        check.feed(chunk)
