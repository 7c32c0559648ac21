"""Memory-efficient detection of duplicate 64-bit digests."""

import array
import itertools

_BUCKET_BITS = 6
_BUCKET_SHIFT = 64 - _BUCKET_BITS


class DigestSet:
    """Digests in buckets; sorting one bucket at a time bounds the extra memory."""

    def __init__(self) -> None:
        self._buckets = [array.array("Q") for _ in range(1 << _BUCKET_BITS)]

    def add(self, digest: int) -> None:
        """Add a 64-bit digest."""
        self._buckets[digest >> _BUCKET_SHIFT].append(digest)

    def duplicates(self) -> frozenset[int]:
        """Return the digests that were added more than once."""
        duplicates: set[int] = set()
        for bucket in self._buckets:
            if len(set(bucket)) == len(bucket):
                continue
            pairs = itertools.pairwise(sorted(bucket))
            duplicates.update(left for left, right in pairs if left == right)
        return frozenset(duplicates)
