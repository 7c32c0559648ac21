"""Latencies, counters and gauges of one VM, and their text exposition."""

import collections
import enum
import typing as t

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
    SummaryMetricFamily,
)
from prometheus_client.registry import Collector

from foxtailbank.clock import MS_PER_S
from foxtailbank.latency import (
    BUCKETS_MS,
    LatencyBuckets,
    LatencyRecorder,
    LatencyReport,
    clamp_ms,
)

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
MAX_ENTRIES = 256
MAX_REASONS = 64
OTHER = "(other)"
PREFIX = "foxtailbank"


class Signal(enum.Enum):
    """What a latency was measured of."""

    FIRST_TOKEN = "first_token"
    TOKEN_GAP = "token_gap"
    CALL = "call"
    BATCH_ITEM = "batch_item"


class Count(enum.Enum):
    """What is counted; the value is the name that is exposed."""

    CALLS = "calls"
    REFUSALS = "refusals"
    RESUMED_STREAMS = "resumed_streams"
    RETRIES = "retries"
    RESERVATIONS_REFUSED = "reservations_refused"
    PREEMPTED_ITEMS = "preempted_items"
    FINISHED_ITEMS = "finished_items"
    FAILED_ITEMS = "failed_items"
    LOG_APPENDS = "log_appends"
    PEER_BYTES = "peer_bytes"


class Gauge(enum.Enum):
    """What is read when the metrics are asked for."""

    ONLINE_IN_FLIGHT = "online_in_flight"
    BATCH_IN_FLIGHT = "batch_in_flight"
    CATALOGUE_OFFSET = "catalogue_offset"
    LEDGER_OFFSET = "ledger_offset"
    LOG_AGE_MS = "log_age_ms"
    PEERS = "peers"
    ENDPOINTS = "endpoints"
    QUARANTINED = "quarantined"
    LOOP_LAG_MS = "loop_lag_ms"
    READY = "ready"


class Metrics:
    """Collects what happens on a VM.

    Memory is bounded: entries and reasons beyond their bound are taken together
    as ``(other)``.
    """

    def __init__(self) -> None:
        self._recorders: dict[tuple[str, str], LatencyRecorder] = {}
        self._buckets_by_signal: dict[str, LatencyBuckets] = {}
        self._counts: collections.Counter[tuple[str, str, str]] = collections.Counter()
        self._entries: set[str] = set()
        self._reasons: set[str] = set()
        self._readers: dict[Gauge, t.Callable[[], float]] = {}
        self._registry = CollectorRegistry()
        self._registry.register(_MetricsCollector(self))

    def record(self, *, entry: str, signal: Signal, value_ms: float) -> None:
        """Record one latency.

        Parameters
        ----------
        entry : str
            Catalogue entry.
        signal : Signal
            What was measured.
        value_ms : float
            The latency in milliseconds.
        """
        name = signal.value
        recorder = self._recorders.get((entry, name))
        if recorder is None:
            recorder = self._new_recorder(entry, name)
        value_ms = clamp_ms(value_ms)
        recorder.record(value_ms)
        self._buckets_by_signal[name].record(value_ms)

    def _new_recorder(self, entry: str, signal: str) -> LatencyRecorder:
        self._buckets_by_signal.setdefault(signal, LatencyBuckets())
        key = (_bounded(entry, self._entries, MAX_ENTRIES), signal)
        if key not in self._recorders:
            self._recorders[key] = LatencyRecorder()
        return self._recorders[key]

    def count(
        self, count: Count, *, entry: str = "", reason: str = "", by: int = 1
    ) -> None:
        """Add to a counter.

        Parameters
        ----------
        count : Count
            What is counted.
        entry : str
            Catalogue entry, if it concerns one.
        reason : str
            Stable code, from a small set.
        by : int
            How much to add.
        """
        key = (count.value, entry, reason)
        if key not in self._counts:
            entry = _bounded(entry, self._entries, MAX_ENTRIES)
            key = (count.value, entry, _bounded(reason, self._reasons, MAX_REASONS))
        self._counts[key] += by

    def read_gauge(self, gauge: Gauge, reader: t.Callable[[], float]) -> None:
        """Say how a gauge is read.

        Parameters
        ----------
        gauge : Gauge
            The gauge.
        reader : callable
            Called whenever the metrics are asked for; must be quick.
        """
        self._readers[gauge] = reader

    def exposition(self) -> bytes:
        """Return everything in the usual text form, of `CONTENT_TYPE`."""
        return generate_latest(self._registry)

    def latency_reports(self) -> tuple[LatencyReport, ...]:
        """Return all latencies in a form that can be merged with other VMs'."""
        return tuple(
            LatencyReport(entry=entry, signal=signal, content=recorder.encode())
            for (entry, signal), recorder in self._recorders.items()
        )

    def families(self) -> t.Iterator[Metric]:
        """Yield the metric families of the exposition."""
        yield from self._latency_families()
        yield from self._count_families()
        for gauge, reader in self._readers.items():
            name = f"{PREFIX}_{gauge.value}"
            yield GaugeMetricFamily(name, _help(gauge.value), value=reader())

    def _latency_families(self) -> t.Iterator[Metric]:
        """Yield the distribution of each signal, and mean values of each entry.

        Distributions of every entry would make the text too long to be asked for
        often; they are in the latency reports.
        """
        whole = HistogramMetricFamily(
            f"{PREFIX}_latency_seconds", "Latency of all entries", labels=["signal"]
        )
        for signal, buckets in self._buckets_by_signal.items():
            bounds = _cumulated(buckets.counts)
            whole.add_metric([signal], bounds, buckets.sum_ms / MS_PER_S)
        yield whole
        by_entry = SummaryMetricFamily(
            f"{PREFIX}_entry_latency_seconds", "Latency", labels=["entry", "signal"]
        )
        for (entry, signal), recorder in self._recorders.items():
            sum_s = recorder.sum_ms / MS_PER_S
            by_entry.add_metric([entry, signal], recorder.count, sum_s)
        yield by_entry

    def _count_families(self) -> t.Iterator[Metric]:
        families: dict[str, CounterMetricFamily] = {}
        for (count, entry, reason), value in self._counts.items():
            if count not in families:
                families[count] = CounterMetricFamily(
                    f"{PREFIX}_{count}", _help(count), labels=["entry", "reason"]
                )
            families[count].add_metric([entry, reason], value)
        yield from families.values()


class _MetricsCollector(Collector):
    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> t.Iterator[Metric]:
        return self._metrics.families()


def _bounded(name: str, names: set[str], bound: int) -> str:
    if name in names:
        return name
    if len(names) >= bound:
        return OTHER
    names.add(name)
    return name


def _cumulated(counts: t.Sequence[int]) -> list[tuple[str, float]]:
    buckets = []
    total = 0
    for bound_ms, count in zip(BUCKETS_MS, counts, strict=False):
        total += count
        buckets.append((str(bound_ms / MS_PER_S), float(total)))
    buckets.append(("+Inf", float(total + counts[-1])))
    return buckets


def _help(name: str) -> str:
    return name.replace("_", " ").capitalize()
