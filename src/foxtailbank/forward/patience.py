"""How long an online request may wait for a place, and when a refused one returns.

Answers the pattern of short waves: callers refused at the crest return once, when the
wave has passed, and then rather wait than be refused for good.
"""

import random

FIRST_TRY_SHARE = 0.5  # of the target, the rest is for the prompt
RETURN_SHARE = 0.4  # of the time left; the answer itself needs the rest
RETURNED_BELOW = 0.9  # of the route's timeout: so little is left after a refusal
MIN_RETRY_AFTER_MS = 500
MAX_RETRY_AFTER_MS = 1_400


def longest_wait_ms(*, target_ms: int, timeout_ms: int, left_ms: float) -> float:
    """Return the longest wait for a place that still serves the caller.

    Parameters
    ----------
    target_ms : int
        Time within which the first byte is due.
    timeout_ms : int
        The route's timeout.
    left_ms : float
        Time that the caller still waits.
    """
    if left_ms < RETURNED_BELOW * timeout_ms:
        return RETURN_SHARE * left_ms
    return FIRST_TRY_SHARE * target_ms


def retry_after_ms(*, wait_ms: float, left_ms: float, rng: random.Random) -> int:
    """Return when a refused caller may return.

    Parameters
    ----------
    wait_ms : float
        Expected wait for a place.
    left_ms : float
        Time that the caller still waits; it honours up to a third of that.
    rng : random.Random
        Spreads the returns.
    """
    spread_ms = rng.uniform(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
    return int(min(max(wait_ms, spread_ms), 0.3 * left_ms))
