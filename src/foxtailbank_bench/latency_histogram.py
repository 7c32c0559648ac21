"""Latency histogram of a load generator."""

import typing as t

import msgspec
from hdrh.histogram import HdrHistogram

MAX_US = 600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1_000
MEDIAN_PERCENTILE = 50.0
TAIL_PERCENTILE = 99.0


class Percentiles(msgspec.Struct, frozen=True, kw_only=True):
    """Median and 99th percentile of a latency.

    Attributes
    ----------
    p50_ms, p99_ms : float
        Percentiles in milliseconds; 0 without values.
    count : int
        Number of values.
    """

    p50_ms: float
    p99_ms: float
    count: int


class LatencyHistogram:
    """HDR histogram in microseconds, with three significant digits."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_US, SIGNIFICANT_DIGITS)

    def record_s(self, value_s: float) -> None:
        """Record a value in seconds, clamped to the range of the histogram."""
        value_us = min(MAX_US, max(1, round(value_s * US_PER_S)))
        self._histogram.record_value(value_us)

    def percentiles(self) -> Percentiles:
        """Return the percentiles and the number of values."""
        return Percentiles(
            p50_ms=self._percentile_ms(MEDIAN_PERCENTILE),
            p99_ms=self._percentile_ms(TAIL_PERCENTILE),
            count=t.cast(int, self._histogram.get_total_count()),
        )

    def _percentile_ms(self, percentile: float) -> float:
        if not self._histogram.get_total_count():
            return 0.0
        value_us = self._histogram.get_value_at_percentile(percentile)
        return float(value_us) / US_PER_MS
