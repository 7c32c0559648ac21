"""State of a chunk that several ledger records contribute to."""

import typing as t

from foxtailbank.ledger_image import (
    PartialChunkImage,
    bitmap_from_bytes,
    bitmap_to_bytes,
)


class PartialChunk:
    """A chunk that has claims or results but was not ended by a single record.

    Attributes
    ----------
    done : int
        Bitmap of the items that have ended.
    unknown : int
        Bitmap of the items that failed with an unknown outcome.
    claimed : dict of str to int
        Bitmap of claimed items by claimant.
    won : dict of int to int
        Bitmap of items by the payload offset of their valid result.
    """

    __slots__ = ("claimed", "done", "unknown", "won")

    def __init__(self) -> None:
        self.done = 0
        self.unknown = 0
        self.claimed: dict[str, int] = {}
        self.won: dict[int, int] = {}

    @classmethod
    def from_image(cls, image: PartialChunkImage) -> "PartialChunk":
        """Restore a chunk from its snapshot image."""
        partial = cls()
        partial.done = bitmap_from_bytes(image.done)
        partial.unknown = bitmap_from_bytes(image.unknown)
        for claimant, items in image.claimed:
            partial.claimed[claimant] = bitmap_from_bytes(items)
        for offset, items in image.won:
            partial.won[offset] = bitmap_from_bytes(items)
        return partial

    def copy(self) -> "PartialChunk":
        """Return an independent copy."""
        copy = PartialChunk()
        copy.done = self.done
        copy.unknown = self.unknown
        copy.claimed = self.claimed.copy()
        copy.won = self.won.copy()
        return copy

    def image(self, chunk: int) -> PartialChunkImage:
        """Return the state as stored in snapshots."""
        return PartialChunkImage(
            chunk=chunk,
            done=bitmap_to_bytes(self.done),
            unknown=bitmap_to_bytes(self.unknown),
            claimed=[
                (claimant, bitmap_to_bytes(bits))
                for claimant, bits in self.claimed.items()
            ],
            won=[(offset, bitmap_to_bytes(bits)) for offset, bits in self.won.items()],
        )

    def release(self, bitmap: int, claimant: str) -> None:
        """Remove items from a claimant's claimed items."""
        remaining = self.claimed[claimant] & ~bitmap
        if remaining:
            self.claimed[claimant] = remaining
        else:
            del self.claimed[claimant]

    def move(self, new_offsets_by_old: t.Mapping[int, int]) -> int:
        """Update the offsets of moved payload records; return how many changed."""
        moved = [offset for offset in self.won if offset in new_offsets_by_old]
        for offset in moved:
            target = new_offsets_by_old[offset]
            self.won[target] = self.won.get(target, 0) | self.won.pop(offset)
        return len(moved)

    @property
    def claimed_by_anyone(self) -> int:
        """Bitmap of the items claimed by any claimant."""
        bitmap = 0
        for claimed in self.claimed.values():
            bitmap |= claimed
        return bitmap
