"""Sets of item positions in a chunk: ranges on the wire, bitmaps in memory."""

import typing as t

import msgspec


class ItemRange(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A range of consecutive item positions in a chunk.

    Attributes
    ----------
    first : int
        First position, starting at 0.
    count : int
        Number of positions, at least 1.
    """

    first: int
    count: int


def ranges_to_bitmap(ranges: t.Iterable[ItemRange], *, size: int) -> int | None:
    """Return the bitmap of the positions in some ranges.

    Parameters
    ----------
    ranges : iterable of ItemRange
        May overlap.
    size : int
        Number of positions in the chunk.

    Returns
    -------
    int or None
        Bit ``i`` represents position ``i``; None if a range is empty or exceeds the
        chunk.
    """
    bitmap = 0
    for item_range in ranges:
        first, count = item_range.first, item_range.count
        if first < 0 or count < 1 or first + count > size:
            return None
        bitmap |= ((1 << count) - 1) << first
    return bitmap


def bitmap_to_ranges(bitmap: int) -> tuple[ItemRange, ...]:
    """Return the minimal ranges covering a bitmap, in ascending order."""
    ranges = []
    first = 0
    while bitmap:
        zeros = (bitmap & -bitmap).bit_length() - 1
        bitmap >>= zeros
        first += zeros
        ones = (~bitmap & (bitmap + 1)).bit_length() - 1
        ranges.append(ItemRange(first, ones))
        bitmap >>= ones
        first += ones
    return tuple(ranges)


def bitmap_positions(bitmap: int) -> t.Iterator[int]:
    """Yield the positions in a bitmap in ascending order."""
    for item_range in bitmap_to_ranges(bitmap):
        yield from range(item_range.first, item_range.first + item_range.count)


def full_bitmap(size: int) -> int:
    """Return the bitmap of all positions in a chunk of `size` items."""
    return (1 << size) - 1
