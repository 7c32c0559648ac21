"""SVG plots of the burn report."""

import io
import typing as t

from foxtailbank.burn_merge import BurnReport, BurnRow
from foxtailbank.burn_window import HOUR_MS, SIX_HOURS
from foxtailbank.exceptions import FoxtailbankError

MAX_BARS = 30
MAX_PANELS = 12
PANELS_PER_LINE = 3
WIDTH_INCHES = 11.0
MIN_PLOTTED_BUDGET = -1.0

_GOOD_COLOUR = "#2e7d4f"
_BAD_COLOUR = "#b3261e"
_LINE_COLOUR = "#1f5fa8"
_GRID_COLOUR = "#d9dee3"


class PlotsUnavailable(FoxtailbankError):
    """The plotting library is not installed."""

    code = "plots_unavailable"


def budget_svg(report: BurnReport) -> str:
    """Plot the remaining budget of each entry as a bar chart, worst entry first.

    Parameters
    ----------
    report : BurnReport
        Report of the whole fleet.

    Returns
    -------
    str
        SVG element, without an XML declaration.
    """
    return _svg(budget_figure(report))


def history_svg(report: BurnReport) -> str:
    """Plot the share of bad events over time, one panel for each of the worst entries.

    Parameters
    ----------
    report : BurnReport
        Report of the whole fleet.

    Returns
    -------
    str
        SVG element, without an XML declaration.
    """
    return _svg(history_figure(report))


def budget_figure(report: BurnReport) -> t.Any:
    """Return the matplotlib figure behind `budget_svg`."""
    rows = _rows_with_events(report)[:MAX_BARS]
    figure = _new_figure(height_inches=0.8 + 0.34 * max(len(rows), 1))
    axes = figure.subplots()
    percents = [max(row.budget_left, MIN_PLOTTED_BUDGET) * 100 for row in rows]
    colours = [_GOOD_COLOUR if value > 0 else _BAD_COLOUR for value in percents]
    axes.barh(range(len(rows)), percents, color=colours, height=0.62)
    axes.set_yticks(range(len(rows)), [f"{row.owner} / {row.entry}" for row in rows])
    axes.invert_yaxis()
    axes.axvline(0, color="#1b1f24", linewidth=1)
    axes.set_xlim(MIN_PLOTTED_BUDGET * 100 - 25, 125)
    axes.set_xlabel("budget left, % (overspent below 0; cut off at -100)")
    for index, row in enumerate(rows):
        is_overspent = percents[index] < 0
        axes.annotate(
            f"{row.budget_left:.0%}",
            (percents[index], index),
            xytext=(-4 if is_overspent else 4, 0),
            textcoords="offset points",
            ha="right" if is_overspent else "left",
            va="center",
            fontsize=8,
        )
    _style_axes(axes)
    return figure


def history_figure(report: BurnReport) -> t.Any:
    """Return the matplotlib figure behind `history_svg`."""
    rows = _rows_with_events(report)[:MAX_PANELS]
    lines = max((len(rows) + PANELS_PER_LINE - 1) // PANELS_PER_LINE, 1)
    figure = _new_figure(height_inches=0.4 + 2.1 * lines)
    grid = figure.subplots(lines, PANELS_PER_LINE, sharex=True, squeeze=False)
    panels = list(grid.flat)
    for axes, row in zip(panels, rows, strict=False):
        _draw_history(axes, row)
    for axes in panels[len(rows) :]:
        axes.set_visible(False)
    return figure


def _draw_history(axes: t.Any, row: BurnRow) -> None:
    hours_per_slot = SIX_HOURS.slot_ms / HOUR_MS
    slots = len(row.bad_shares)
    hours = [(index + 1 - slots) * hours_per_slot for index in range(slots)]
    shares = [100 * share if share >= 0 else float("nan") for share in row.bad_shares]
    allowed = 100 * (1 - row.good_share)
    axes.plot(hours, shares, color=_LINE_COLOUR, linewidth=1.3, marker=".")
    axes.axhline(allowed, color=_BAD_COLOUR, linewidth=1, linestyle="--")
    top = max([allowed, *(s for s in shares if s >= 0)])
    axes.set_ylim(-0.04 * top, top * 1.2)
    axes.set_xlim(-SIX_HOURS.length_ms / HOUR_MS, 0.1)
    axes.set_title(f"{row.owner} / {row.entry}", fontsize=9, loc="left")
    axes.set_ylabel("bad, %", fontsize=8)
    axes.set_xlabel("hours; dashed: allowed", fontsize=8)
    axes.tick_params(labelsize=8, labelbottom=True)
    _style_axes(axes)


def _rows_with_events(report: BurnReport) -> list[BurnRow]:
    return [row for row in report.rows if row.longest_window.has_events]


def _new_figure(*, height_inches: float) -> t.Any:
    try:
        import matplotlib
        from matplotlib.figure import Figure
    except ImportError:
        detail = "matplotlib is not installed; install foxtailbank[report]"
        raise PlotsUnavailable(detail=detail) from None
    matplotlib.rcParams["svg.hashsalt"] = "foxtailbank"
    return Figure(figsize=(WIDTH_INCHES, height_inches), layout="constrained")


def _style_axes(axes: t.Any) -> None:
    axes.grid(visible=True, color=_GRID_COLOUR, linewidth=0.6)
    axes.set_axisbelow(True)
    for side in ("top", "right"):
        axes.spines[side].set_visible(False)


def _svg(figure: t.Any) -> str:
    output = io.StringIO()
    figure.savefig(output, format="svg", metadata={"Date": None, "Creator": None})
    text = output.getvalue()
    return text[text.index("<svg") :]
