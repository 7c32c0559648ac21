"""Results of an experiment as figures, a table and a plot."""

import pathlib
import statistics
import typing as t

import msgspec

from foxtailbank.text_table import Column, render_table
from foxtailbank_bench.policy_run import PolicyResult
from foxtailbank_bench.scenario import Scenario

MAX_TAIL_RATIO = 1.10
MIN_SHARE_WITH_ONLINE = 0.90
MIN_SHARE_ALONE = 0.97
MAX_YIELD_MS = 100
TARGETS = (
    f"Targets: online p99 TTFT and gap with backlog <= {MAX_TAIL_RATIO:.2f} times "
    f"those without; batch >= {MIN_SHARE_WITH_ONLINE:.0%} of what online leaves, "
    f">= {MIN_SHARE_ALONE:.0%} of the engines' maximum without online; yielded "
    f"within {MAX_YIELD_MS} ms after a burst."
)


class Spread(msgspec.Struct, frozen=True, kw_only=True):
    """Median and range over seeds.

    Attributes
    ----------
    median, low, high : float
        Of the values.
    count : int
        How many there were.
    """

    median: float
    low: float
    high: float
    count: int


class PolicySummary(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one policy.

    Attributes
    ----------
    ttft_p50_ms, ttft_p99_ms, gap_p50_ms, gap_p99_ms : Spread
        Online with a backlog.
    ttft_ratio, gap_ratio : Spread
        p99 with a backlog by p99 without, of the same seed and policy.
    batch_share, batch_share_alone : Spread
        Batch tokens a second, of what online leaves of the engines' maximum.
    yield_ms : Spread or None
        Time from a burst to the last batch stream that it displaced.
    failed : int
        Online requests without a whole answer.
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
    """Everything of one run."""

    scenario: str
    targets: str
    load_average: float
    summaries: tuple[PolicySummary, ...]
    results: tuple[PolicyResult, ...]


def spread(values: t.Iterable[float]) -> Spread:
    """Return median and range of at least one value."""
    known = list(values)
    return Spread(
        median=statistics.median(known),
        low=min(known),
        high=max(known),
        count=len(known),
    )


def summarise(scenario: Scenario, result: PolicyResult) -> PolicySummary:
    """Return the figures of a policy.

    Parameters
    ----------
    scenario : Scenario
        Gives the engines' maximum.
    result : PolicyResult
        All phases.
    """
    most = scenario.max_tokens_per_s
    both = result.both
    pairs = list(zip(both, result.alone, strict=True))
    waits = [wait for phase in both for wait in phase.yield_ms]
    return PolicySummary(
        policy=result.policy,
        ttft_p50_ms=spread(b.online.ttft.p50_ms for b in both),
        ttft_p99_ms=spread(b.online.ttft.p99_ms for b in both),
        gap_p50_ms=spread(b.online.gap.p50_ms for b in both),
        gap_p99_ms=spread(b.online.gap.p99_ms for b in both),
        ttft_ratio=spread(b.online.ttft.p99_ms / a.ttft.p99_ms for b, a in pairs),
        gap_ratio=spread(b.online.gap.p99_ms / a.gap.p99_ms for b, a in pairs),
        batch_share=spread(
            b.batch_tokens_per_s / (most - b.online.tokens / b.online.took_s)
            for b in both
        ),
        batch_share_alone=spread([result.batch_alone_tokens_per_s / most]),
        yield_ms=spread(waits) if waits else None,
        failed=sum(one.failed for one in (*result.alone, *(b.online for b in both))),
    )


def table(summaries: t.Sequence[PolicySummary]) -> str:
    """Return the figures as text: median, and range in brackets."""
    titles = (
        "TTFT P50 ms",
        "TTFT P99 ms",
        "GAP P50 ms",
        "GAP P99 ms",
        "TTFT P99 RATIO",
        "GAP P99 RATIO",
        "BATCH OF LEFT",
        "BATCH ALONE",
        "YIELD ms",
        "FAILED",
    )
    columns = [Column(title="POLICY")]
    columns += [Column(title=title, is_number=True) for title in titles]
    return render_table(columns, [_cells(one) for one in summaries])


def _cells(one: PolicySummary) -> list[str]:
    return [
        one.policy,
        _text(one.ttft_p50_ms, "{:.0f}"),
        _text(one.ttft_p99_ms, "{:.0f}"),
        _text(one.gap_p50_ms, "{:.0f}"),
        _text(one.gap_p99_ms, "{:.0f}"),
        _text(one.ttft_ratio, "{:.2f}"),
        _text(one.gap_ratio, "{:.2f}"),
        _text(one.batch_share, "{:.0%}"),
        _text(one.batch_share_alone, "{:.0%}"),
        _text(one.yield_ms, "{:.0f}") if one.yield_ms else "never",
        str(one.failed),
    ]


def _text(value: Spread, form: str) -> str:
    median = form.format(value.median)
    if value.count == 1:
        return median
    return f"{median} ({form.format(value.low)}-{form.format(value.high)})"


def plot(report: ExperimentReport, file: pathlib.Path) -> None:
    """Write tail ratios and batch shares of all policies as PNG."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 3, figsize=(13, 4.2), layout="constrained")
    names = [one.policy for one in report.summaries]
    panels = (
        ("online p99 with / without backlog", ("ttft_ratio", "gap_ratio")),
        ("batch, share of possible", ("batch_share", "batch_share_alone")),
        ("online p99 with backlog, ms", ("ttft_p99_ms", "gap_p99_ms")),
    )
    bounds = ((MAX_TAIL_RATIO,), (MIN_SHARE_WITH_ONLINE, MIN_SHARE_ALONE), ())
    for axis, (title, fields), lines in zip(axes, panels, bounds, strict=True):
        for index, field in enumerate(fields):
            _bars(axis, report.summaries, field, index)
        for bound in lines:
            axis.axhline(bound, color="black", linestyle="--", linewidth=0.8)
        axis.set_title(title)
        axis.set_xticks([n + 0.2 for n in range(len(names))], names, rotation=20)
        axis.margins(y=0.3)
        axis.legend(fontsize=8, loc="upper left")
    axes[0].set_yscale("log")
    axes[2].set_yscale("log")
    figure.suptitle(f"{report.scenario}: medians and ranges over seeds; dashed: target")
    figure.savefig(file, dpi=110)


def _bars(
    axis: t.Any, summaries: t.Sequence[PolicySummary], field: str, index: int
) -> None:
    values: list[Spread] = [getattr(one, field) for one in summaries]
    places = [n + index * 0.4 for n in range(len(values))]
    below = [one.median - one.low for one in values]
    above = [one.high - one.median for one in values]
    medians = [one.median for one in values]
    label = field.replace("_", " ")
    axis.bar(places, medians, 0.38, yerr=(below, above), capsize=3, label=label)
