"""Merges a chunk's result records into one line per item."""

import typing as t

import msgspec

from foxtailbank.exceptions import FoxtailbankError, OutcomeUnknown
from foxtailbank.item_set import bitmap_positions, ranges_to_bitmap
from foxtailbank.job_input import parse_custom_id
from foxtailbank.job_state import ResultPart
from foxtailbank.payload import Payload, PayloadInvalid


class ItemCancelled(FoxtailbankError):
    """The job was cancelled before the item ended."""

    code = "item_cancelled"
    kind = "cancelled"


class FailureLine(msgspec.Struct, frozen=True, kw_only=True):
    """Result line of an item without a response."""

    custom_id: str
    response: None
    error: "LineError"


class LineError(msgspec.Struct, frozen=True, kw_only=True):
    """Error object of a result line, as in error responses to callers."""

    type: str
    code: str
    message: str
    ran: str


def failure_line(custom_id: str, error: FoxtailbankError) -> bytes:
    """Return the result line of an item that failed.

    Parameters
    ----------
    custom_id : str
        Identifier that the caller gave the item.
    error : FoxtailbankError
        Why the item failed.
    """
    line = FailureLine(
        custom_id=custom_id,
        response=None,
        error=LineError(
            type=error.kind,
            code=error.code,
            message=error.detail,
            ran=error.ran.value,
        ),
    )
    return msgspec.json.encode(line)


def merge_chunk(
    *,
    count: int,
    parts: t.Iterable[tuple[ResultPart, Payload]],
    unknown: int,
    load_input: t.Callable[[], bytes],
    unfinished_error: FoxtailbankError | None = None,
) -> tuple[bytes, ...]:
    """Return a chunk's result lines in item order.

    Parameters
    ----------
    count : int
        Number of items.
    parts : iterable of (ResultPart, Payload)
        Payload records, each with the items whose valid result it holds.
    unknown : int
        Bitmap of items that failed with an unknown outcome.
    load_input : callable
        Returns the chunk's input; called only if an error line has to be written.
    unfinished_error : FoxtailbankError, optional
        Error for items that have not ended; by default they have no line.

    Returns
    -------
    tuple of bytes
        One line for each item that has ended, or for every item if
        `unfinished_error` is given.

    Raises
    ------
    PayloadInvalid
        A payload record does not match its header, lacks a line, or holds a
        second result of an item.
    """
    lines_by_position: dict[int, bytes] = {}
    for part, payload in parts:
        _add_part(lines_by_position, part, payload, count)
    missing = _missing_items(lines_by_position, count, unknown, unfinished_error)
    if missing:
        inputs = load_input().split(b"\n")
        for position, error in missing.items():
            custom_id = parse_custom_id(inputs[position], number=position + 1)
            lines_by_position[position] = failure_line(custom_id, error)
    return tuple(lines_by_position[i] for i in sorted(lines_by_position))


def _add_part(
    lines_by_position: dict[int, bytes], part: ResultPart, payload: Payload, count: int
) -> None:
    lines = payload.body.split(b"\n")
    positions = ranges_to_bitmap(payload.header.items, size=count) or 0
    if len(lines) != positions.bit_count():
        raise PayloadInvalid(
            detail=f"{len(lines)} result lines do not match the header"
        )
    line_by_position = dict(zip(bitmap_positions(positions), lines, strict=True))
    for position in bitmap_positions(ranges_to_bitmap(part.items, size=count) or 0):
        if position not in line_by_position:
            raise PayloadInvalid(
                detail=f"payload has no result line for item {position}"
            )
        if position in lines_by_position:
            raise PayloadInvalid(detail=f"two result records for item {position}")
        lines_by_position[position] = line_by_position[position]


def _missing_items(
    lines_by_position: dict[int, bytes],
    count: int,
    unknown: int,
    unfinished_error: FoxtailbankError | None,
) -> dict[int, FoxtailbankError]:
    missing: dict[int, FoxtailbankError] = {}
    for position in range(count):
        if unknown >> position & 1:
            missing[position] = OutcomeUnknown()
        elif unfinished_error is not None and position not in lines_by_position:
            missing[position] = unfinished_error
    return missing
