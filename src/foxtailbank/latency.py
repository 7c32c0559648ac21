"""Latency histograms that can be merged across VMs."""

import bisect
import dataclasses
import typing as t

from hdrh.histogram import HdrHistogram

MAX_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
COUNT_BYTES = 4
BUCKETS_MS = (5, 10, 25, 57, 100, 200, 400, 790, 1_500, 3_000, 10_000, 60_000)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LatencyReport:
    """One encoded histogram, as sent to another VM or written to a report.

    Attributes
    ----------
    entry : str
        Catalogue entry.
    signal : str
        Measured quantity.
    content : bytes
        Encoded histogram.
    """

    entry: str
    signal: str
    content: bytes


class LatencyBuckets:
    """Coarse distribution of one latency in fixed buckets, cheap to expose as text.

    Attributes
    ----------
    counts : list of int
        Values in each bucket up to a bound of `BUCKETS_MS`, not cumulative; the last
        one counts all values above.
    sum_ms : float
        Sum of all values in milliseconds.
    """

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_MS) + 1)
        self.sum_ms = 0.0

    def record(self, value_ms: float) -> None:
        """Record a non-negative value."""
        self.counts[bisect.bisect_left(BUCKETS_MS, value_ms)] += 1
        self.sum_ms += value_ms


class LatencyRecorder:
    """Histogram of one latency in milliseconds.

    Attributes
    ----------
    count : int
        Number of values.
    sum_ms : float
        Sum of all values in milliseconds.
    """

    def __init__(self) -> None:
        self._histogram = HdrHistogram(
            1, MAX_MS, SIGNIFICANT_DIGITS, word_size=COUNT_BYTES
        )
        self.count = 0
        self.sum_ms = 0.0

    def record(self, value_ms: float) -> None:
        """Record a value between 0 and `MAX_MS`."""
        self._histogram.record_value(max(round(value_ms), 1))
        self.count += 1
        self.sum_ms += value_ms

    def percentile_ms(self, percentile: float) -> int:
        """Return a percentile in milliseconds, to two significant digits."""
        return int(self._histogram.get_value_at_percentile(percentile))

    def encode(self) -> bytes:
        """Return the histogram in the encoding that `merge_latencies` decodes."""
        return t.cast(bytes, self._histogram.encode())


def clamp_ms(value_ms: float) -> float:
    """Clamp a value to the range that recorders accept."""
    return min(max(value_ms, 0.0), float(MAX_MS))


@dataclasses.dataclass(frozen=True, kw_only=True)
class LatencySummary:
    """Percentiles of one latency across all merged VMs.

    Attributes
    ----------
    entry : str
        Catalogue entry.
    signal : str
        Measured quantity.
    count : int
        Number of values.
    p50_ms, p95_ms, p99_ms, max_ms : int
        Percentiles in milliseconds.
    """

    entry: str
    signal: str
    count: int
    p50_ms: int
    p95_ms: int
    p99_ms: int
    max_ms: int


def merge_latencies(
    reports: t.Iterable[LatencyReport],
) -> tuple[LatencySummary, ...]:
    """Merge histograms of several VMs.

    Parameters
    ----------
    reports : iterable of LatencyReport
        Histograms of all VMs.

    Returns
    -------
    tuple of LatencySummary
        One for each entry and signal, sorted by both.
    """
    merged: dict[tuple[str, str], t.Any] = {}
    for report in reports:
        key = (report.entry, report.signal)
        if key not in merged:
            merged[key] = HdrHistogram(1, MAX_MS, SIGNIFICANT_DIGITS)
        merged[key].decode_and_add(report.content)
    return tuple(_summary(*key, merged[key]) for key in sorted(merged))


def _summary(entry: str, signal: str, histogram: t.Any) -> LatencySummary:
    return LatencySummary(
        entry=entry,
        signal=signal,
        count=histogram.get_total_count(),
        p50_ms=int(histogram.get_value_at_percentile(50)),
        p95_ms=int(histogram.get_value_at_percentile(95)),
        p99_ms=int(histogram.get_value_at_percentile(99)),
        max_ms=int(histogram.get_max_value()),
    )
