"""Prefix cache of the engine stand-in."""

import collections

import xxhash

from foxtailbank.endpoint import CacheEvent

BLOCK_BYTES = 256
BYTES_PER_TOKEN = 4
MAX_EVENTS = 4_096


def prefix_digests(prompt: bytes) -> tuple[str, ...]:
    """Return the digests of a prompt's prefixes that are multiples of a block.

    Parameters
    ----------
    prompt : bytes
        Prompt text in UTF-8.

    Returns
    -------
    tuple of str
        Item ``k`` is the hex xxh64 of the first ``(k + 1) * BLOCK_BYTES`` bytes.
    """
    state = xxhash.xxh64()
    digests = []
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        state.update(prompt[start : start + BLOCK_BYTES])
        digests.append(state.hexdigest())
    return tuple(digests)


def token_count(text: bytes) -> int:
    """Return the number of tokens of a text: one per 4 bytes, rounded up."""
    return -(-len(text) // BYTES_PER_TOKEN)


class PrefixCache:
    """LRU cache of prompt prefix blocks.

    Parameters
    ----------
    max_blocks : int
        Maximum number of blocks.
    """

    def __init__(self, *, max_blocks: int) -> None:
        self._max_blocks = max_blocks
        self._chain_by_digest: collections.OrderedDict[str, tuple[str, ...]]
        self._chain_by_digest = collections.OrderedDict()
        self._events: collections.deque[tuple[int, CacheEvent]]
        self._events = collections.deque(maxlen=MAX_EVENTS)
        self._sequence = 0

    def cached_blocks(self, chain: tuple[str, ...]) -> int:
        """Return the number of consecutive cached blocks from a prompt's start."""
        for count, digest in enumerate(chain):
            if digest not in self._chain_by_digest:
                return count
        return len(chain)

    def store(self, chain: tuple[str, ...], *, now_ms: int) -> None:
        """Add a prompt's blocks, evicting the least recently used ones.

        Parameters
        ----------
        chain : tuple of str
            Digests of the prompt's prefixes, shortest first.
        now_ms : int
            Time of the event, in milliseconds.
        """
        # The longest prefix is inserted first, so that LRU eviction removes it before
        # the shorter prefixes that it builds on.
        for count in range(min(len(chain), self._max_blocks), 0, -1):
            digest = chain[count - 1]
            if digest not in self._chain_by_digest:
                self._chain_by_digest[digest] = chain[:count]
                self._record_event(digest, stored=True, now_ms=now_ms)
            self._chain_by_digest.move_to_end(digest)
        while len(self._chain_by_digest) > self._max_blocks:
            digest, _ = self._chain_by_digest.popitem(last=False)
            self._record_event(digest, stored=False, now_ms=now_ms)

    def clear(self, *, now_ms: int) -> None:
        """Evict everything."""
        for digest in self._chain_by_digest:
            self._record_event(digest, stored=False, now_ms=now_ms)
        self._chain_by_digest.clear()

    def export_blocks(self, prefix: str) -> bytes:
        """Return a prefix's content; empty if it is not cached."""
        chain = self._chain_by_digest.get(prefix)
        if chain is None:
            return b""
        return "\n".join(chain).encode()

    def import_blocks(self, content: bytes, *, now_ms: int) -> None:
        """Add blocks that another cache exported."""
        self.store(tuple(content.decode("ascii").split("\n")), now_ms=now_ms)

    def events(self, *, since: int, until_ms: int) -> tuple[CacheEvent, ...]:
        """Return events by sequence number and time.

        Parameters
        ----------
        since : int
            Only events with a higher sequence number are returned.
        until_ms : int
            Only events up to this time are returned, in milliseconds.
        """
        return tuple(
            event
            for at_ms, event in self._events
            if event.sequence > since and at_ms <= until_ms
        )

    def _record_event(self, digest: str, *, stored: bool, now_ms: int) -> None:
        self._sequence += 1
        event = CacheEvent(sequence=self._sequence, prefix=digest, stored=stored)
        self._events.append((now_ms, event))
