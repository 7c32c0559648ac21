"""Prefix cache of the engine stand-in."""

import collections

import xxhash

from foxtailbank.endpoint import CacheEvent

BLOCK_BYTES = 256
BYTES_PER_TOKEN = 4
MAX_EVENTS = 4_096


def prefix_digests(prompt: bytes) -> tuple[str, ...]:
    """Return the digests of a prompt's prefixes of whole blocks.

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
    """Return how many tokens a text counts for."""
    return -(-len(text) // BYTES_PER_TOKEN)


class PrefixCache:
    """Blocks of prompt prefixes; the least recently used ones are evicted.

    Parameters
    ----------
    max_blocks : int
        Most blocks held.
    """

    def __init__(self, *, max_blocks: int) -> None:
        self._max_blocks = max_blocks
        self._chain_by_digest: collections.OrderedDict[str, tuple[str, ...]]
        self._chain_by_digest = collections.OrderedDict()
        self._events: collections.deque[tuple[int, CacheEvent]]
        self._events = collections.deque(maxlen=MAX_EVENTS)
        self._sequence = 0

    def cached_blocks(self, chain: tuple[str, ...]) -> int:
        """Return how many blocks from a prompt's start are held."""
        for count, digest in enumerate(chain):
            if digest not in self._chain_by_digest:
                return count
        return len(chain)

    def store(self, chain: tuple[str, ...], *, now_ms: int) -> None:
        """Hold a prompt's blocks.

        Parameters
        ----------
        chain : tuple of str
            Digests of the prompt's prefixes, shortest first.
        now_ms : int
            Time of the event, in milliseconds.
        """
        # The longest prefix goes in first, so that it is the first to leave.
        for count in range(min(len(chain), self._max_blocks), 0, -1):
            digest = chain[count - 1]
            if digest not in self._chain_by_digest:
                self._chain_by_digest[digest] = chain[:count]
                self._note(digest, stored=True, now_ms=now_ms)
            self._chain_by_digest.move_to_end(digest)
        while len(self._chain_by_digest) > self._max_blocks:
            digest, _ = self._chain_by_digest.popitem(last=False)
            self._note(digest, stored=False, now_ms=now_ms)

    def clear(self, *, now_ms: int) -> None:
        """Evict everything."""
        for digest in self._chain_by_digest:
            self._note(digest, stored=False, now_ms=now_ms)
        self._chain_by_digest.clear()

    def export(self, prefix: str) -> bytes:
        """Return a held prefix's content; empty if it is not held."""
        chain = self._chain_by_digest.get(prefix)
        if chain is None:
            return b""
        return "\n".join(chain).encode()

    def load(self, content: bytes, *, now_ms: int) -> None:
        """Hold what another cache exported."""
        self.store(tuple(content.decode("ascii").split("\n")), now_ms=now_ms)

    def events(self, *, since: int, until_ms: int) -> tuple[CacheEvent, ...]:
        """Return the events after a number and up to a time.

        Parameters
        ----------
        since : int
            Highest number known already.
        until_ms : int
            Time of the latest event shown, in milliseconds.
        """
        return tuple(
            event
            for at_ms, event in self._events
            if event.sequence > since and at_ms <= until_ms
        )

    def _note(self, digest: str, *, stored: bool, now_ms: int) -> None:
        self._sequence += 1
        event = CacheEvent(sequence=self._sequence, prefix=digest, stored=stored)
        self._events.append((now_ms, event))
