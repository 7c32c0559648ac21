"""Latencies, counters and gauges of one VM, and their Prometheus exposition."""

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
    """Measured latency; the value is the ``signal`` label."""

    FIRST_TOKEN = "first_token"
    TOKEN_GAP = "token_gap"
    CALL = "call"
    BATCH_ITEM = "batch_item"


class Count(enum.Enum):
    """Counter; the value is the exposed metric name without prefix."""

    CALLS = "calls"
    REFUSALS = "refusals"
    RESUMED_STREAMS = "resumed_streams"
    RETRIES = "retries"
    RELAYED_CALLS = "relayed_calls"
    RESERVATIONS_REFUSED = "reservations_refused"
    BELIEVED_FREE_REFUSALS = "believed_free_refusals"
    PREEMPTED_ITEMS = "preempted_items"
    FINISHED_ITEMS = "finished_items"
    FAILED_ITEMS = "failed_items"
    LOG_APPENDS = "log_appends"
    PEER_BYTES = "peer_bytes"
    RATE_ADMITTED = "rate_admitted"
    RATE_REFUSED = "rate_refused"
    CONNECTIONS_CLOSED = "connections_closed"
    STORE_CALLS = "store_calls"
    STORE_REPEATS = "store_repeats"
    STORE_BYTES = "store_bytes"
    RESULT_TEXTS = "result_texts"
    REQUESTS_REFUSED = "requests_refused"


class Gauge(enum.Enum):
    """Gauge that is read on each scrape; the value is the name without prefix."""

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
    CONNECTIONS = "connections"
    CONNECTION_BYTES = "connection_bytes"
    STORE_CALLS_IN_FLIGHT = "store_calls_in_flight"


class Metrics:
    """Registry of the metrics of one VM.

    Memory is bounded: entries beyond `MAX_ENTRIES` and reasons beyond `MAX_REASONS`
    are counted under the label ``(other)``.
    """

    def __init__(self) -> None:
        self._recorder_by_entry_and_signal: dict[tuple[str, str], LatencyRecorder] = {}
        self._buckets_by_signal: dict[str, LatencyBuckets] = {}
        self._counts: collections.Counter[tuple[str, str, str]] = collections.Counter()
        self._entry_labels: set[str] = set()
        self._reason_labels: set[str] = set()
        self._reader_by_gauge: dict[Gauge, t.Callable[[], float]] = {}
        self._registry = CollectorRegistry()
        self._registry.register(_MetricsCollector(self))

    def record(self, *, entry: str, signal: Signal, value_ms: float) -> None:
        """Record one latency.

        Parameters
        ----------
        entry : str
            Catalogue entry.
        signal : Signal
            Which latency was measured.
        value_ms : float
            The latency in milliseconds.
        """
        name = signal.value
        recorder = self._recorder_by_entry_and_signal.get((entry, name))
        if recorder is None:
            recorder = self._new_recorder(entry, name)
        value_ms = clamp_ms(value_ms)
        recorder.record(value_ms)
        self._buckets_by_signal[name].record(value_ms)

    def _new_recorder(self, entry: str, signal: str) -> LatencyRecorder:
        self._buckets_by_signal.setdefault(signal, LatencyBuckets())
        key = (_bounded_label(entry, self._entry_labels, MAX_ENTRIES), signal)
        if key not in self._recorder_by_entry_and_signal:
            self._recorder_by_entry_and_signal[key] = LatencyRecorder()
        return self._recorder_by_entry_and_signal[key]

    def count(
        self, count: Count, *, entry: str = "", reason: str = "", by: int = 1
    ) -> None:
        """Increase a counter.

        Parameters
        ----------
        count : Count
            Counter to increase.
        entry : str
            Catalogue entry, if the event concerns one.
        reason : str
            Stable code from a small set of values.
        by : int
            Amount to add.
        """
        key = (count.value, entry, reason)
        if key not in self._counts:
            entry = _bounded_label(entry, self._entry_labels, MAX_ENTRIES)
            key = (
                count.value,
                entry,
                _bounded_label(reason, self._reason_labels, MAX_REASONS),
            )
        self._counts[key] += by

    def register_gauge(self, gauge: Gauge, reader: t.Callable[[], float]) -> None:
        """Set the function that reads a gauge.

        Parameters
        ----------
        gauge : Gauge
            Gauge to expose.
        reader : callable
            Called on each scrape; must be fast.
        """
        self._reader_by_gauge[gauge] = reader

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format (`CONTENT_TYPE`)."""
        return generate_latest(self._registry)

    def latency_reports(self) -> tuple[LatencyReport, ...]:
        """Return all latencies in a form that can be merged across VMs."""
        return tuple(
            LatencyReport(entry=entry, signal=signal, content=recorder.encode())
            for (entry, signal), recorder in self._recorder_by_entry_and_signal.items()
        )

    def families(self) -> t.Iterator[Metric]:
        """Yield the metric families of the exposition."""
        yield from self._latency_families()
        yield from self._counter_families()
        for gauge, reader in self._reader_by_gauge.items():
            name = f"{PREFIX}_{gauge.value}"
            yield GaugeMetricFamily(name, _help_text(gauge.value), value=reader())

    def _latency_families(self) -> t.Iterator[Metric]:
        """Yield a histogram for each signal and a summary for each entry.

        Histograms for every entry would make the exposition too long for frequent
        scrapes; the latency reports contain them.
        """
        overall = HistogramMetricFamily(
            f"{PREFIX}_latency_seconds", "Latency of all entries", labels=["signal"]
        )
        for signal, buckets in self._buckets_by_signal.items():
            buckets_s = _cumulative_buckets(buckets.counts)
            overall.add_metric([signal], buckets_s, buckets.sum_ms / MS_PER_S)
        yield overall
        by_entry = SummaryMetricFamily(
            f"{PREFIX}_entry_latency_seconds", "Latency", labels=["entry", "signal"]
        )
        for (entry, signal), recorder in self._recorder_by_entry_and_signal.items():
            sum_s = recorder.sum_ms / MS_PER_S
            by_entry.add_metric([entry, signal], recorder.count, sum_s)
        yield by_entry

    def _counter_families(self) -> t.Iterator[Metric]:
        families: dict[str, CounterMetricFamily] = {}
        for (count, entry, reason), value in self._counts.items():
            if count not in families:
                families[count] = CounterMetricFamily(
                    f"{PREFIX}_{count}", _help_text(count), labels=["entry", "reason"]
                )
            families[count].add_metric([entry, reason], value)
        yield from families.values()


class _MetricsCollector(Collector):
    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> t.Iterator[Metric]:
        return self._metrics.families()


def _bounded_label(label: str, labels: set[str], limit: int) -> str:
    if label in labels:
        return label
    if len(labels) >= limit:
        return OTHER
    labels.add(label)
    return label


def _cumulative_buckets(counts: t.Sequence[int]) -> list[tuple[str, float]]:
    buckets = []
    total = 0
    for bound_ms, count in zip(BUCKETS_MS, counts, strict=False):
        total += count
        buckets.append((str(bound_ms / MS_PER_S), float(total)))
    buckets.append(("+Inf", float(total + counts[-1])))
    return buckets


def _help_text(name: str) -> str:
    return name.replace("_", " ").capitalize()
