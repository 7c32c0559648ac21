"""Pauses between tries that grow and are spread at random."""

import random


class Backoff:
    """Exponential backoff with jitter.

    Parameters
    ----------
    first_ms : int
        Bound of the first pause, in milliseconds.
    max_ms : int
        Bound of every pause, in milliseconds.
    rng : random.Random
        Spreads the pauses, so that VMs do not come back all at once.
    """

    def __init__(self, *, first_ms: int, max_ms: int, rng: random.Random) -> None:
        self._first_ms = first_ms
        self._max_ms = max_ms
        self._rng = rng
        self._bound_ms = first_ms

    def next_ms(self) -> float:
        """Return the next pause in milliseconds: half to all of its bound."""
        bound_ms = self._bound_ms
        self._bound_ms = min(2 * bound_ms, self._max_ms)
        return self._rng.uniform(bound_ms / 2, bound_ms)

    def reset(self) -> None:
        """Start again with short pauses."""
        self._bound_ms = self._first_ms
