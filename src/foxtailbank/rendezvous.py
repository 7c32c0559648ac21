"""Unweighted rendezvous hashing; all VMs compute the same scores."""

import xxhash


def score(key: str, name: str) -> int:
    """Return the score of a candidate for a key."""
    return xxhash.xxh64_intdigest(f"{key}/{name}")
