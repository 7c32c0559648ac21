"""State of a chunk that several records have a part in."""

import typing as t

from foxtailbank.ledger_image import (
    PartialImage,
    bitmap_of_bytes,
    bytes_of_bitmap,
)


class PartialChunk:
    """A chunk that is neither untouched nor ended by a single record.

    Attributes
    ----------
    done : int
        Bitmap of the items that have ended.
    unknown : int
        Bitmap of the items that ended as failures of unknown outcome.
    claimed : dict of str to int
        Bitmap of the items claimed, by claimant.
    won : dict of int to int
        Bitmap of the items whose result is valid, by payload offset.
    """

    __slots__ = ("claimed", "done", "unknown", "won")

    def __init__(self) -> None:
        self.done = 0
        self.unknown = 0
        self.claimed: dict[str, int] = {}
        self.won: dict[int, int] = {}

    @classmethod
    def from_image(cls, image: PartialImage) -> "PartialChunk":
        """Return the chunk that an image was taken of."""
        partial = cls()
        partial.done = bitmap_of_bytes(image.done)
        partial.unknown = bitmap_of_bytes(image.unknown)
        for claimant, items in image.claimed:
            partial.claimed[claimant] = bitmap_of_bytes(items)
        for offset, items in image.won:
            partial.won[offset] = bitmap_of_bytes(items)
        return partial

    def copy(self) -> "PartialChunk":
        """Return a copy that later records do not change."""
        copy = PartialChunk()
        copy.done = self.done
        copy.unknown = self.unknown
        copy.claimed = self.claimed.copy()
        copy.won = self.won.copy()
        return copy

    def image(self, chunk: int) -> PartialImage:
        """Return the state in the form that snapshots hold."""
        return PartialImage(
            chunk=chunk,
            done=bytes_of_bitmap(self.done),
            unknown=bytes_of_bitmap(self.unknown),
            claimed=[
                (who, bytes_of_bitmap(bits)) for who, bits in self.claimed.items()
            ],
            won=[(offset, bytes_of_bitmap(bits)) for offset, bits in self.won.items()],
        )

    def release(self, bitmap: int, claimant: str) -> None:
        """Take items back from a claimant."""
        left = self.claimed[claimant] & ~bitmap
        if left:
            self.claimed[claimant] = left
        else:
            del self.claimed[claimant]

    def move(self, to_by_from: t.Mapping[int, int]) -> int:
        """Lead results to records appended anew; return how many changed."""
        moved = [offset for offset in self.won if offset in to_by_from]
        for offset in moved:
            target = to_by_from[offset]
            self.won[target] = self.won.get(target, 0) | self.won.pop(offset)
        return len(moved)

    @property
    def claimed_by_anyone(self) -> int:
        """Bitmap of the items that somebody claimed."""
        bitmap = 0
        for claimed in self.claimed.values():
            bitmap |= claimed
        return bitmap
