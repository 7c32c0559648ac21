"""How long one request occupies a slot of a worker."""

DEFAULT_MS = 300.0
SMOOTHING_FACTOR = 0.1  # averages over about the last ten requests


class ServiceTimes:
    """Moving average of run times by service."""

    def __init__(self) -> None:
        self._mean_ms_by_service: dict[str, float] = {}

    def record(self, service: str, duration_ms: float) -> None:
        """Add the run time of one finished request, in milliseconds."""
        mean_ms = self._mean_ms_by_service.get(service, duration_ms)
        mean_ms += SMOOTHING_FACTOR * (duration_ms - mean_ms)
        self._mean_ms_by_service[service] = mean_ms

    def mean_ms(self, service: str) -> float:
        """Return the average in milliseconds, or `DEFAULT_MS` before any request."""
        return self._mean_ms_by_service.get(service, DEFAULT_MS)
