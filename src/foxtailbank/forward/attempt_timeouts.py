"""How long one attempt of an online request waits for its worker."""

from foxtailbank.forward.route import Route, RouteKind

MAX_EVENT_GAP_MS = 1_500  # callers give up after two seconds
MIN_SAFE_TIMEOUT_MS = 250
SAFE_TIMEOUT_FACTOR = 5  # times the mean run time; few requests take longer


def head_timeout_ms(
    route: Route, *, slot_wait_ms: float, mean_ms: float, remaining_ms: float
) -> float:
    """Return how long an attempt that may be repeated waits for the answer's head.

    Parameters
    ----------
    route : Route
        Route of the request.
    slot_wait_ms : float
        Expected wait for a slot.
    mean_ms : float
        Mean run time of a request to the worker's service.
    remaining_ms : float
        Remaining time of the caller.
    """
    if route.kind is RouteKind.SAFE:
        wait_ms = max(SAFE_TIMEOUT_FACTOR * mean_ms, MIN_SAFE_TIMEOUT_MS)
        return min(remaining_ms, slot_wait_ms + wait_ms)
    return min(remaining_ms, slot_wait_ms + MAX_EVENT_GAP_MS)
