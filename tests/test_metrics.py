import pytest
from prometheus_client.parser import text_string_to_metric_families

from foxtailbank.latency import MAX_MS, merge_latencies
from foxtailbank.metrics import MAX_ENTRIES, OTHER, Count, Gauge, Metrics, Signal


def samples(metrics):
    text = metrics.exposition().decode()
    return {
        (sample.name, *sorted(sample.labels.values())): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


def test_exposition_contains_latencies_counters_and_gauges():
    metrics = Metrics()
    for value_ms in (4, 57, 58, 100_000):
        metrics.record(entry="tributes", signal=Signal.CALL, value_ms=value_ms)
    metrics.count(Count.REFUSALS, entry="tributes", reason="overloaded", by=2)
    metrics.register_gauge(Gauge.PEERS, lambda: 3)
    found = samples(metrics)
    name = "foxtailbank_latency_seconds"
    assert found[f"{name}_bucket", "0.057", "call"] == 2
    assert found[f"{name}_bucket", "+Inf", "call"] == 4
    assert found[f"{name}_sum", "call"] == pytest.approx(100.119)
    name = "foxtailbank_entry_latency_seconds"
    assert found[f"{name}_count", "call", "tributes"] == 4
    assert found[f"{name}_sum", "call", "tributes"] == pytest.approx(100.119)
    assert found["foxtailbank_refusals_total", "overloaded", "tributes"] == 2
    assert found["foxtailbank_peers",] == 3


def test_entries_beyond_the_limit_are_counted_as_other():
    metrics = Metrics()
    for number in range(MAX_ENTRIES + 3):
        for _ in range(2):
            metrics.count(Count.CALLS, entry=f"e{number}")
    found = samples(metrics)
    assert found["foxtailbank_calls_total", "", OTHER] == 6


def test_latencies_merge_over_vms():
    vms = [Metrics(), Metrics()]
    for number in range(1, 1001):
        vms[number % 2].record(entry="a", signal=Signal.CALL, value_ms=number)
    reports = [report for vm in vms for report in vm.latency_reports()]
    (summary,) = merge_latencies(reports)
    assert summary.count == 1000
    assert summary.p50_ms == pytest.approx(500, rel=0.01)
    assert summary.p99_ms == pytest.approx(990, rel=0.01)


@pytest.mark.parametrize("value_ms", [-5, 0, 0.2, MAX_MS * 10, float("inf")])
def test_extreme_values_are_clamped(value_ms):
    metrics = Metrics()
    metrics.record(entry="a", signal=Signal.CALL, value_ms=value_ms)
    (summary,) = merge_latencies(metrics.latency_reports())
    assert summary.count == 1
    assert 1 <= summary.max_ms <= MAX_MS * 1.01
    assert samples(metrics)["foxtailbank_latency_seconds_count", "call"] == 1
