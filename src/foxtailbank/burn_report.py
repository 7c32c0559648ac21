"""Text, JSON and HTML renderings of the burn report."""

import html

import msgspec

from foxtailbank.burn_merge import BurnReport, BurnRow
from foxtailbank.burn_plot import budget_svg, history_svg
from foxtailbank.burn_window import DAY_MS, HOUR_MS, MINUTE_MS, WINDOWS
from foxtailbank.text_table import Column, render_table
from foxtailbank.utc_text import format_utc

_COLUMNS = (
    Column(title="OWNER"),
    Column(title="ENTRY"),
    Column(title="OBJECTIVE", is_number=True),
    Column(title="GOOD", is_number=True),
    Column(title="BAD", is_number=True),
    *(Column(title=f"BURN {shape.name}", is_number=True) for shape in WINDOWS),
    Column(title="BUDGET LEFT", is_number=True),
    Column(title="USED UP IN", is_number=True),
    Column(title="STATUS"),
    Column(title="WORST REASONS"),
)

_STYLE = """
body { font: 15px/1.45 system-ui, sans-serif; margin: 2rem auto; max-width: 92rem;
  padding: 0 1rem; color: #1b1f24; background: #fff; }
h1 { font-size: 1.5rem; } h2 { font-size: 1.15rem; margin-top: 2rem; }
table { border-collapse: collapse; width: 100%; font-variant-numeric: tabular-nums; }
th, td { padding: .35rem .6rem; border-bottom: 1px solid #d9dee3; text-align: left; }
th { font-weight: 600; white-space: nowrap; } .n { text-align: right; }
.exhausted td, .fast-burn td { background: #fdecea; }
.slow-burn td { background: #fff6e0; }
.missing { border-left: 4px solid #b3261e; padding: .4rem .8rem; background: #fdecea; }
td { white-space: nowrap; } td:last-child { white-space: normal; }
.wide { overflow-x: auto; } svg { max-width: 100%; height: auto; }
"""


def burn_table(report: BurnReport) -> str:
    """Render the report as plain text.

    Parameters
    ----------
    report : BurnReport
        Report of the whole fleet.

    Returns
    -------
    str
        A line with the included VMs, a line with the unreachable VMs if there are
        any, and a table.
    """
    lines = [f"Burn of objectives at {format_utc(report.at_ms)}, {_vms_text(report)}"]
    if report.unreachable_vms:
        lines.append(_missing_vms_text(report))
    rows = [_cells(row) for row in report.rows]
    return "\n".join([*lines, "", render_table(_COLUMNS, rows)])


def burn_json(report: BurnReport) -> str:
    """Render the report as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(report)).decode()


def burn_html(report: BurnReport) -> str:
    """Render the report as a self-contained HTML page.

    Parameters
    ----------
    report : BurnReport
        Report of the whole fleet.

    Returns
    -------
    str
        HTML document with inline styles and plots.

    Raises
    ------
    PlotsUnavailable
        The plotting library is not installed.
    """
    title = f"Service-level burn, {format_utc(report.at_ms)}"
    missing = ""
    if report.unreachable_vms:
        missing = f'<p class="missing">{html.escape(_missing_vms_text(report))}</p>'
    parts = [
        "<!doctype html>",
        '<html lang="en"><head><meta charset="utf-8">',
        '<meta name="viewport" content="width=device-width">',
        f"<title>{html.escape(title)}</title><style>{_STYLE}</style></head><body>",
        f"<h1>{html.escape(title)}</h1>",
        f"<p>Events of {html.escape(_vms_text(report))}.</p>{missing}",
        f'<div class="wide">{_html_table(report)}</div>',
        "<h2>Error budget left over three days</h2>",
        budget_svg(report),
        "<h2>Share of bad events over the last six hours</h2>",
        history_svg(report),
        "</body></html>",
    ]
    return "\n".join(parts) + "\n"


def _html_table(report: BurnReport) -> str:
    titles = [column.title for column in _COLUMNS]
    lines = [f"<table><tr>{_html_cells('th', titles)}</tr>"]
    for row in report.rows:
        css_class = row.status.value.replace(" ", "-")
        cells = _html_cells("td", _cells(row))
        lines.append(f'<tr class="{css_class}">{cells}</tr>')
    return "\n".join([*lines, "</table>"])


def _html_cells(tag: str, cells: list[str]) -> str:
    parts = []
    for column, cell in zip(_COLUMNS, cells, strict=True):
        css_class = "n" if column.is_number else "t"
        parts.append(f'<{tag} class="{css_class}">{html.escape(cell)}</{tag}>')
    return "".join(parts)


def _cells(row: BurnRow) -> list[str]:
    longest = row.longest_window
    reasons = ", ".join(f"{item.reason} {item.count}" for item in row.reasons)
    return [
        row.owner,
        row.entry,
        f"{100 * row.good_share:g}%",
        str(longest.good),
        str(longest.bad),
        *(
            f"{window.burn_rate:.2f}" if window.has_events else "-"
            for window in row.windows
        ),
        f"{row.budget_left:.1%}" if longest.has_events else "-",
        _duration_text(row.exhausted_in_ms),
        row.status.value,
        reasons,
    ]


def _duration_text(duration_ms: int | None) -> str:
    if duration_ms is None:
        return "never"
    if duration_ms == 0:
        return "now"
    for unit_ms, name in ((DAY_MS, "d"), (HOUR_MS, "h"), (MINUTE_MS, "min")):
        if duration_ms >= unit_ms:
            return f"{duration_ms / unit_ms:.1f} {name}"
    return "1 min"


def _vms_text(report: BurnReport) -> str:
    count = len(report.vms)
    return f"{count} VM{'' if count == 1 else 's'} ({', '.join(report.vms)})"


def _missing_vms_text(report: BurnReport) -> str:
    names = ", ".join(report.unreachable_vms)
    return f"Incomplete: not reachable, so their events are missing: {names}"
