"""How long a worker's place is taken by one request."""

DEFAULT_MS = 300.0
WEIGHT = 0.1  # about the last ten requests


class ServiceTimes:
    """Moving average of run times by service."""

    def __init__(self) -> None:
        self._mean_ms_by_service: dict[str, float] = {}

    def record(self, service: str, duration_ms: float) -> None:
        """Take the run time of one finished request, in milliseconds."""
        mean_ms = self._mean_ms_by_service.get(service, duration_ms)
        mean_ms += WEIGHT * (duration_ms - mean_ms)
        self._mean_ms_by_service[service] = mean_ms

    def mean_ms(self, service: str) -> float:
        """Return the average in milliseconds."""
        return self._mean_ms_by_service.get(service, DEFAULT_MS)
