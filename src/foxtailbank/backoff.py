"""Exponential backoff with jitter."""

import random


class Backoff:
    """Produces exponentially growing retry delays with jitter.

    Parameters
    ----------
    initial_ms : int
        Upper bound of the first delay, in milliseconds.
    max_ms : int
        Upper bound of every delay, in milliseconds.
    rng : random.Random
        Source of jitter, so that VMs do not all retry at the same time.
    """

    def __init__(self, *, initial_ms: int, max_ms: int, rng: random.Random) -> None:
        self._initial_ms = initial_ms
        self._max_ms = max_ms
        self._rng = rng
        self._bound_ms = initial_ms

    def next_ms(self) -> float:
        """Return the next delay in milliseconds, between half and all of its bound."""
        bound_ms = self._bound_ms
        self._bound_ms = min(2 * bound_ms, self._max_ms)
        return self._rng.uniform(bound_ms / 2, bound_ms)

    def reset(self) -> None:
        """Restart from the initial delay."""
        self._bound_ms = self._initial_ms
