"""Latencies of a load generator, in microseconds."""

import typing as t

import msgspec
from hdrh.histogram import HdrHistogram

MAX_US = 600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1_000
MEDIAN = 50.0
TAIL = 99.0


class Percentiles(msgspec.Struct, frozen=True, kw_only=True):
    """Median and tail of one latency in milliseconds.

    Attributes
    ----------
    p50_ms, p99_ms : float
        Percentiles; 0 without values.
    count : int
        Number of values.
    """

    p50_ms: float
    p99_ms: float
    count: int


class LatencyHistogram:
    """HDR histogram with a resolution of three digits."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_US, SIGNIFICANT_DIGITS)

    def record_s(self, value_s: float) -> None:
        """Take in a value in seconds."""
        value_us = min(MAX_US, max(1, round(value_s * US_PER_S)))
        self._histogram.record_value(value_us)

    def percentiles(self) -> Percentiles:
        """Return what is reported of it."""
        return Percentiles(
            p50_ms=self._at(MEDIAN),
            p99_ms=self._at(TAIL),
            count=t.cast(int, self._histogram.get_total_count()),
        )

    def _at(self, percentile: float) -> float:
        if not self._histogram.get_total_count():
            return 0.0
        value_us = self._histogram.get_value_at_percentile(percentile)
        return float(value_us) / US_PER_MS
