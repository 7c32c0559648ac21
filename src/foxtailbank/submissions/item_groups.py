"""Division of a submission's items into records."""

import typing as t

import msgspec

from foxtailbank.keyed_log import KeyedRecord
from foxtailbank.submissions.append_queue import AppendTooLarge
from foxtailbank.submissions.records import Item, Part, encode, item_bytes

BODY_LENGTH_BYTES = 8  # at most, of the length of a body in a record


def encode_parts(
    submission_id: str, attempt: str, groups: t.Iterable[tuple[Item, ...]]
) -> tuple[KeyedRecord, ...]:
    """Return the records of the groups that precede a submission's last record."""
    return tuple(
        encode(
            Part(submission_id=submission_id, attempt=attempt, items=group),
            key_suffix=f"{attempt}/{number}",
        )
        for number, group in enumerate(groups)
    )


def split_items(items: tuple[Item, ...], group_bytes: int) -> list[tuple[Item, ...]]:
    """Return items in groups, each of which fits into a record.

    Parameters
    ----------
    items : tuple of Item
        Items of a submission.
    group_bytes : int
        Greatest size of a group as it is stored, in bytes.

    Raises
    ------
    AppendTooLarge
        An item is too large beside its body, which no worker takes either.
    """
    groups: list[tuple[Item, ...]] = []
    group: list[Item] = []
    size = 0
    for item in items:
        for piece in _split_item(item, group_bytes):
            piece_bytes = item_bytes(piece)
            if group and size + piece_bytes > group_bytes:
                groups.append(tuple(group))
                group = []
                size = 0
            group.append(piece)
            size += piece_bytes
    groups.append(tuple(group))
    return groups


def _split_item(item: Item, piece_bytes: int) -> t.Iterator[Item]:
    """Yield an item, or the pieces of one that is too large for a record.

    Raises
    ------
    AppendTooLarge
        It is too large beside its body, which no worker takes either.
    """
    if item_bytes(item) <= piece_bytes:
        yield item
        return
    head_bytes = item_bytes(msgspec.structs.replace(item, body=b""))
    chunk_bytes = piece_bytes - head_bytes - BODY_LENGTH_BYTES
    if chunk_bytes <= 0:
        raise AppendTooLarge(detail=f"an item of {head_bytes} bytes beside its body")
    yield msgspec.structs.replace(item, body=item.body[:chunk_bytes])
    for start in range(chunk_bytes, len(item.body), chunk_bytes):
        yield Item(
            item_id=item.item_id,
            target="",
            headers=(),
            body=item.body[start : start + chunk_bytes],
            tokens=0,
        )
