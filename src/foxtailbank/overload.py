"""Overload control: refuses requests that can't be served in time."""

import dataclasses

from foxtailbank.exceptions import Overloaded

INITIAL_SERVICE_MS = 1000.0
MIN_RETRY_MS = 50
MAX_CORRECTION = 20.0
_SERVICE_WEIGHT = 0.1
_RAISE_WEIGHT = 0.2
_LOWER_WEIGHT = 0.02
_DECAY_WEIGHT = 0.002


@dataclasses.dataclass(frozen=True, kw_only=True)
class PoolLoad:
    """Total load of the endpoints that may serve a request.

    Attributes
    ----------
    slots : int
        Number of online streams that the endpoints can run at once within their
        objectives.
    in_flight : int
        Number of online streams on the endpoints, including queued ones.
    """

    slots: int
    in_flight: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class OverloadRefusal:
    """Refusal of a request whose response would be too late.

    Attributes
    ----------
    expected_wait_ms : int
        Expected wait for a slot, in milliseconds.
    retry_after_ms : int
        Time after which a retry is expected to get a slot in time, in milliseconds.
    """

    expected_wait_ms: int
    retry_after_ms: int

    def error(self) -> Overloaded:
        """Return the error to send to the caller."""
        return Overloaded(
            detail=f"expected wait of {self.expected_wait_ms} ms exceeds the limit",
            retry_after_ms=self.retry_after_ms,
        )


class OverloadControl:
    """Refuses a request immediately if its expected wait exceeds its limit.

    Nothing is queued here: a request is either sent to an endpoint now or refused.
    The limit on the expected wait bounds the queues of the endpoints. The expected
    wait is corrected by the measured waits of admitted requests, since requests that
    end in clusters make waits longer than the mean service time suggests.

    Parameters
    ----------
    initial_service_ms : float
        Initial estimate of the time that a request occupies a slot, in milliseconds.
    """

    def __init__(self, *, initial_service_ms: float = INITIAL_SERVICE_MS) -> None:
        self._service_ms = initial_service_ms
        self._correction = 1.0

    def on_end(self, service_ms: float) -> None:
        """Record how long a request occupied its slot, in milliseconds."""
        self._service_ms += _SERVICE_WEIGHT * (service_ms - self._service_ms)
        self._correction += _DECAY_WEIGHT * (1.0 - self._correction)

    def on_first_token(self, *, expected_wait_ms: int, wait_ms: float) -> None:
        """Update the correction from the measured wait of an admitted request.

        Parameters
        ----------
        expected_wait_ms : int
            Result of `expected_wait_ms` when the request was admitted.
        wait_ms : float
            Time that the request waited for a slot, in milliseconds.
        """
        if expected_wait_ms == 0:
            return
        factor = self._correction * wait_ms / expected_wait_ms
        factor = min(MAX_CORRECTION, max(1.0, factor))
        weight = _RAISE_WEIGHT if factor > self._correction else _LOWER_WEIGHT
        self._correction += weight * (factor - self._correction)

    def expected_wait_ms(self, load: PoolLoad) -> int:
        """Return the expected wait for a slot, in milliseconds.

        Parameters
        ----------
        load : PoolLoad
            Current load of the endpoints.
        """
        ahead = load.in_flight - load.slots + 1
        if ahead <= 0:
            return 0
        wait_ms = ahead * self._service_ms / max(1, load.slots)
        return round(self._correction * wait_ms)

    def check(
        self,
        load: PoolLoad,
        *,
        first_token_ms: int,
        deadline_ms: int | None,
        now_ms: int,
    ) -> OverloadRefusal | None:
        """Return a refusal, or None if the request can be served in time.

        Parameters
        ----------
        load : PoolLoad
            Current load of the endpoints.
        first_token_ms : int
            Objective for the time to first token, in milliseconds.
        deadline_ms : int or None
            Deadline for the complete response, on the same clock as `now_ms`.
        now_ms : int
            Current time in milliseconds.
        """
        wait_ms = self.expected_wait_ms(load)
        max_wait_ms = float(first_token_ms)
        if deadline_ms is not None:
            max_wait_ms = min(max_wait_ms, deadline_ms - now_ms - self._service_ms)
        if wait_ms <= max_wait_ms and (deadline_ms is None or now_ms < deadline_ms):
            return None
        return OverloadRefusal(
            expected_wait_ms=wait_ms,
            retry_after_ms=max(MIN_RETRY_MS, round(wait_ms - max(0.0, max_wait_ms))),
        )
