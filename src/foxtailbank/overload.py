"""Early refusal of requests that can't be served in time."""

import dataclasses

from foxtailbank.exceptions import Overloaded

FIRST_SERVICE_MS = 1000.0
MIN_RETRY_MS = 50
MAX_CORRECTION = 20.0
_WEIGHT = 0.1
_RAISE_WEIGHT = 0.2
_LOWER_WEIGHT = 0.02
_END_WEIGHT = 0.002


@dataclasses.dataclass(frozen=True, kw_only=True)
class PoolLoad:
    """Load of the endpoints that may serve a request.

    Attributes
    ----------
    places : int
        Online streams that the endpoints run at once within the objectives.
    in_flight : int
        Online streams on them, waiting ones included.
    """

    places: int
    in_flight: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class OverloadRefusal:
    """The request would come too late.

    Attributes
    ----------
    expected_wait_ms : int
        How long the request would have waited for a place.
    retry_after_ms : int
        When a new try is expected to find a place in time.
    """

    expected_wait_ms: int
    retry_after_ms: int

    def error(self) -> Overloaded:
        """Return the failure for the caller."""
        return Overloaded(
            detail=f"expected wait of {self.expected_wait_ms} ms is too long",
            retry_after_ms=self.retry_after_ms,
        )


class OverloadControl:
    """Refuses a request at once if its expected wait exceeds what it can bear.

    Nothing is queued: a request either goes to an endpoint now or is refused. What
    endpoints queue is bounded by the expected wait, which is corrected by the waits
    that admitted requests really had: ends that come in clusters make them longer.

    Parameters
    ----------
    first_service_ms : float
        Time that a request holds a place, until ends have been seen.
    """

    def __init__(self, *, first_service_ms: float = FIRST_SERVICE_MS) -> None:
        self._service_ms = first_service_ms
        self._correction = 1.0

    def on_end(self, service_ms: float) -> None:
        """Take in how long a request held its place, in milliseconds."""
        self._service_ms += _WEIGHT * (service_ms - self._service_ms)
        self._correction += _END_WEIGHT * (1.0 - self._correction)

    def on_first_token(self, *, expected_wait_ms: int, wait_ms: float) -> None:
        """Compare the wait of an admitted request with what was expected.

        Parameters
        ----------
        expected_wait_ms : int
            What `expected_wait_ms` said when the request was admitted.
        wait_ms : float
            How long it waited for a place, in milliseconds.
        """
        if expected_wait_ms == 0:
            return
        factor = self._correction * wait_ms / expected_wait_ms
        factor = min(MAX_CORRECTION, max(1.0, factor))
        weight = _RAISE_WEIGHT if factor > self._correction else _LOWER_WEIGHT
        self._correction += weight * (factor - self._correction)

    def expected_wait_ms(self, load: PoolLoad) -> int:
        """Return how long a request would wait for a place.

        Parameters
        ----------
        load : PoolLoad
            Present load of the endpoints.
        """
        ahead = load.in_flight - load.places + 1
        if ahead <= 0:
            return 0
        wait_ms = ahead * self._service_ms / max(1, load.places)
        return round(self._correction * wait_ms)

    def check(
        self,
        load: PoolLoad,
        *,
        first_token_ms: int,
        deadline_ms: int | None,
        now_ms: int,
    ) -> OverloadRefusal | None:
        """Return the refusal of a request, or None if it may go on.

        Parameters
        ----------
        load : PoolLoad
            Present load of the endpoints.
        first_token_ms : int
            Objective for the time to first token, in milliseconds.
        deadline_ms : int or None
            When the whole answer is due, on the scale of `now_ms`.
        now_ms : int
            Present time in milliseconds.
        """
        wait_ms = self.expected_wait_ms(load)
        bearable_ms = float(first_token_ms)
        if deadline_ms is not None:
            bearable_ms = min(bearable_ms, deadline_ms - now_ms - self._service_ms)
        if wait_ms <= bearable_ms and (deadline_ms is None or now_ms < deadline_ms):
            return None
        return OverloadRefusal(
            expected_wait_ms=wait_ms,
            retry_after_ms=max(MIN_RETRY_MS, round(wait_ms - max(0.0, bearable_ms))),
        )
