"""Finds repeated 64-bit digests among many, in little memory."""

import array
import itertools

_BUCKET_BITS = 6
_SHIFT = 64 - _BUCKET_BITS


class DigestSet:
    """Digests in buckets, of which one at a time is looked through."""

    def __init__(self) -> None:
        self._buckets = [array.array("Q") for _ in range(1 << _BUCKET_BITS)]

    def add(self, digest: int) -> None:
        """Add a digest of 64 bits."""
        self._buckets[digest >> _SHIFT].append(digest)

    def repeated(self) -> frozenset[int]:
        """Return the digests that were added more than once."""
        repeated: set[int] = set()
        for bucket in self._buckets:
            if len(set(bucket)) == len(bucket):
                continue
            pairs = itertools.pairwise(sorted(bucket))
            repeated.update(one for one, other in pairs if one == other)
        return frozenset(repeated)
