"""How long an online request may wait for a slot, and when a refused one may retry.

Designed for short bursts of requests: callers refused at the peak retry once, after the
burst. A retry is allowed a longer wait, since a second refusal is likely to be final.
"""

import random

FIRST_ATTEMPT_WAIT_SHARE = 0.5  # of the target; the rest is for the prefill
RETRY_WAIT_SHARE = 0.4  # of the remaining time; the rest is for the run
RETRY_BELOW_SHARE = 0.9  # of the timeout; a retry after a refusal has less left
MIN_RETRY_AFTER_MS = 500
MAX_RETRY_AFTER_MS = 1_400


def max_wait_ms(
    *, target_ms: int, timeout_ms: int, remaining_ms: float, is_repeat: bool = False
) -> float:
    """Return the longest wait for a slot that still leaves time for the run.

    Parameters
    ----------
    target_ms : int
        Time within which the first byte is due.
    timeout_ms : int
        Timeout of the route.
    remaining_ms : float
        Remaining time of the caller.
    is_repeat : bool
        Whether the request is known to continue an earlier one.
    """
    if is_repeat or remaining_ms < RETRY_BELOW_SHARE * timeout_ms:
        return RETRY_WAIT_SHARE * remaining_ms
    return FIRST_ATTEMPT_WAIT_SHARE * target_ms


def excess_wait_ms(rng: random.Random) -> float:
    """Return how long the excess of a customer waits at least before it retries.

    Callers that are refused for other reasons return before.

    Parameters
    ----------
    rng : random.Random
        Spreads the retries.
    """
    return rng.uniform(MAX_RETRY_AFTER_MS, 2 * MAX_RETRY_AFTER_MS)


def retry_after_ms(*, wait_ms: float, remaining_ms: float, rng: random.Random) -> int:
    """Return the time after which a refused caller may retry.

    Parameters
    ----------
    wait_ms : float
        Expected wait for a slot.
    remaining_ms : float
        Remaining time of the caller, which honours up to a third of it.
    rng : random.Random
        Spreads the retries.
    """
    spread_ms = rng.uniform(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
    return int(min(max(wait_ms, spread_ms), 0.3 * remaining_ms))
