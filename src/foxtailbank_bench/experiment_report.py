"""Summary, table and plot of the results of an experiment."""

import pathlib
import statistics
import typing as t

import msgspec

from foxtailbank.text_table import Column, render_table
from foxtailbank_bench.policy_run import PolicyResult
from foxtailbank_bench.scenario import Scenario

MAX_P99_RATIO = 1.10
MIN_BATCH_SHARE_WITH_ONLINE = 0.90
MIN_BATCH_SHARE_ALONE = 0.97
MAX_PREEMPTION_MS = 100
TARGETS = (
    f"Targets: online p99 TTFT and gap with backlog <= {MAX_P99_RATIO:.2f} times "
    f"those without; batch >= {MIN_BATCH_SHARE_WITH_ONLINE:.0%} of what online leaves, "
    f">= {MIN_BATCH_SHARE_ALONE:.0%} of the engines' maximum without online; yielded "
    f"within {MAX_PREEMPTION_MS} ms after a burst."
)


class Spread(msgspec.Struct, frozen=True, kw_only=True):
    """Median and range over seeds.

    Attributes
    ----------
    median, low, high : float
        Median, minimum and maximum of the values.
    count : int
        Number of values.
    """

    median: float
    low: float
    high: float
    count: int


class PolicySummary(msgspec.Struct, frozen=True, kw_only=True):
    """Summary of one policy over all seeds.

    Attributes
    ----------
    ttft_p50_ms, ttft_p99_ms, gap_p50_ms, gap_p99_ms : Spread
        Online latency with a batch backlog, in milliseconds.
    ttft_ratio, gap_ratio : Spread
        p99 with a batch backlog divided by p99 without, for the same seed and policy.
    batch_share, batch_share_alone : Spread
        Batch tokens per second as a share of the engines' maximum less the online
        tokens per second; with and without online load.
    yield_ms : Spread or None
        Time from a burst to the last batch stream that it preempted, in milliseconds;
        None if no burst preempted any.
    failed : int
        Online requests without a complete response.
    """

    policy: str
    ttft_p50_ms: Spread
    ttft_p99_ms: Spread
    gap_p50_ms: Spread
    gap_p99_ms: Spread
    ttft_ratio: Spread
    gap_ratio: Spread
    batch_share: Spread
    batch_share_alone: Spread
    yield_ms: Spread | None
    failed: int


class ExperimentReport(msgspec.Struct, frozen=True, kw_only=True):
    """Results of all policies on one scenario."""

    scenario: str
    targets: str
    load_average: float
    summaries: tuple[PolicySummary, ...]
    results: tuple[PolicyResult, ...]


def spread(values: t.Iterable[float]) -> Spread:
    """Return median and range of the values, of which there must be at least one."""
    samples = list(values)
    return Spread(
        median=statistics.median(samples),
        low=min(samples),
        high=max(samples),
        count=len(samples),
    )


def summarise(scenario: Scenario, result: PolicyResult) -> PolicySummary:
    """Return the summary of a policy.

    Parameters
    ----------
    scenario : Scenario
        Scenario of the run; gives the engines' maximum throughput.
    result : PolicyResult
        Results of all phases.
    """
    max_tokens_per_s = scenario.max_tokens_per_s
    both = result.both
    pairs = list(zip(both, result.alone, strict=True))
    delays_ms = [delay_ms for phase in both for delay_ms in phase.yield_ms]
    return PolicySummary(
        policy=result.policy,
        ttft_p50_ms=spread(b.online.ttft.p50_ms for b in both),
        ttft_p99_ms=spread(b.online.ttft.p99_ms for b in both),
        gap_p50_ms=spread(b.online.gap.p50_ms for b in both),
        gap_p99_ms=spread(b.online.gap.p99_ms for b in both),
        ttft_ratio=spread(b.online.ttft.p99_ms / a.ttft.p99_ms for b, a in pairs),
        gap_ratio=spread(b.online.gap.p99_ms / a.gap.p99_ms for b, a in pairs),
        batch_share=spread(
            b.batch_tokens_per_s
            / (max_tokens_per_s - b.online.tokens / b.online.took_s)
            for b in both
        ),
        batch_share_alone=spread([result.batch_alone_tokens_per_s / max_tokens_per_s]),
        yield_ms=spread(delays_ms) if delays_ms else None,
        failed=sum(load.failed for load in (*result.alone, *(b.online for b in both))),
    )


def summary_table(summaries: t.Sequence[PolicySummary]) -> str:
    """Return the summaries as a text table: medians, with ranges in brackets."""
    titles = (
        "TTFT P50 ms",
        "TTFT P99 ms",
        "GAP P50 ms",
        "GAP P99 ms",
        "TTFT P99 RATIO",
        "GAP P99 RATIO",
        "BATCH SHARE",
        "BATCH ALONE",
        "PREEMPT ms",
        "FAILED",
    )
    columns = [Column(title="POLICY")]
    columns += [Column(title=title, is_number=True) for title in titles]
    return render_table(columns, [_summary_cells(summary) for summary in summaries])


def _summary_cells(summary: PolicySummary) -> list[str]:
    return [
        summary.policy,
        _format_spread(summary.ttft_p50_ms, "{:.0f}"),
        _format_spread(summary.ttft_p99_ms, "{:.0f}"),
        _format_spread(summary.gap_p50_ms, "{:.0f}"),
        _format_spread(summary.gap_p99_ms, "{:.0f}"),
        _format_spread(summary.ttft_ratio, "{:.2f}"),
        _format_spread(summary.gap_ratio, "{:.2f}"),
        _format_spread(summary.batch_share, "{:.0%}"),
        _format_spread(summary.batch_share_alone, "{:.0%}"),
        _format_spread(summary.yield_ms, "{:.0f}") if summary.yield_ms else "never",
        str(summary.failed),
    ]


def _format_spread(value: Spread, form: str) -> str:
    median = form.format(value.median)
    if value.count == 1:
        return median
    return f"{median} ({form.format(value.low)}-{form.format(value.high)})"


def write_plot(report: ExperimentReport, file: pathlib.Path) -> None:
    """Write p99 ratios, batch shares and p99 latencies of all policies as PNG."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 3, figsize=(13, 4.2), layout="constrained")
    names = [summary.policy for summary in report.summaries]
    panels = (
        ("online p99 with / without backlog", ("ttft_ratio", "gap_ratio")),
        ("batch throughput, share of available", ("batch_share", "batch_share_alone")),
        ("online p99 with backlog, ms", ("ttft_p99_ms", "gap_p99_ms")),
    )
    targets = (
        (MAX_P99_RATIO,),
        (MIN_BATCH_SHARE_WITH_ONLINE, MIN_BATCH_SHARE_ALONE),
        (),
    )
    for axis, (title, fields), bounds in zip(axes, panels, targets, strict=True):
        for index, field in enumerate(fields):
            _draw_bars(axis, report.summaries, field, index)
        for bound in bounds:
            axis.axhline(bound, color="black", linestyle="--", linewidth=0.8)
        axis.set_title(title)
        axis.set_xticks([n + 0.2 for n in range(len(names))], names, rotation=20)
        axis.margins(y=0.3)
        axis.legend(fontsize=8, loc="upper left")
    axes[0].set_yscale("log")
    axes[2].set_yscale("log")
    figure.suptitle(f"{report.scenario}: medians and ranges over seeds; dashed: target")
    figure.savefig(file, dpi=110)


def _draw_bars(
    axis: t.Any, summaries: t.Sequence[PolicySummary], field: str, index: int
) -> None:
    values: list[Spread] = [getattr(summary, field) for summary in summaries]
    positions = [n + index * 0.4 for n in range(len(values))]
    below = [value.median - value.low for value in values]
    above = [value.high - value.median for value in values]
    medians = [value.median for value in values]
    label = field.replace("_", " ")
    axis.bar(positions, medians, 0.38, yerr=(below, above), capsize=3, label=label)
