"""Circuit breaker for one endpoint."""

import enum

FAILURES_TO_OPEN = 3
OPEN_MS = 1000
OPEN_MAX_MS = 16_000


class BreakerState(enum.Enum):
    """Whether requests may be sent to an endpoint."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CircuitBreaker:
    """Stops requests to a failing endpoint and probes it with a single request.

    Parameters
    ----------
    failures_to_open : int
        Consecutive failures that open the circuit.
    open_ms : int
        Time until the first probe, in milliseconds; doubles after each failed probe.
    open_max_ms : int
        Maximum time until a probe, in milliseconds.
    """

    def __init__(
        self,
        *,
        failures_to_open: int = FAILURES_TO_OPEN,
        open_ms: int = OPEN_MS,
        open_max_ms: int = OPEN_MAX_MS,
    ) -> None:
        self._failures_to_open = failures_to_open
        self._initial_open_ms = open_ms
        self._open_max_ms = open_max_ms
        self._open_ms = open_ms
        self._failures = 0
        self._opened_at_ms: int | None = None
        self._probe_started_ms: int | None = None

    def state(self, now_ms: int) -> BreakerState:
        """Return the current state.

        Parameters
        ----------
        now_ms : int
            Current time in milliseconds.

        Returns
        -------
        BreakerState
            ``HALF_OPEN`` only while a probe is due and none is in flight.
        """
        if self._opened_at_ms is None:
            return BreakerState.CLOSED
        if now_ms - self._opened_at_ms < self._open_ms:
            return BreakerState.OPEN
        if self._probe_pending(now_ms):
            return BreakerState.OPEN
        return BreakerState.HALF_OPEN

    def on_dispatch(self, now_ms: int) -> None:
        """Record a dispatch; in the half-open state it counts as the probe."""
        if self.state(now_ms) is BreakerState.HALF_OPEN:
            self._probe_started_ms = now_ms

    def on_success(self) -> None:
        """Close the circuit after a response or a passed health check."""
        self._failures = 0
        self._opened_at_ms = None
        self._probe_started_ms = None
        self._open_ms = self._initial_open_ms

    def on_failure(self, now_ms: int) -> None:
        """Record a failed request or health check."""
        self._failures += 1
        if self._opened_at_ms is not None:
            self._on_failed_probe(now_ms)
        elif self._failures >= self._failures_to_open:
            self._opened_at_ms = now_ms

    def on_death(self, now_ms: int) -> None:
        """Open the circuit immediately; connections are refused or were all reset."""
        if self._opened_at_ms is None:
            self._opened_at_ms = now_ms
        else:
            self._on_failed_probe(now_ms)

    def _on_failed_probe(self, now_ms: int) -> None:
        # A failed health check counts as a failed probe once a probe is due.
        if self._probe_started_ms is None and now_ms < self._probe_due_ms():
            return
        self._probe_started_ms = None
        self._opened_at_ms = now_ms
        self._open_ms = min(self._open_max_ms, self._open_ms * 2)

    def _probe_due_ms(self) -> int:
        return (self._opened_at_ms or 0) + self._open_ms

    def _probe_pending(self, now_ms: int) -> bool:
        if self._probe_started_ms is None:
            return False
        return now_ms - self._probe_started_ms < self._open_max_ms
