"""Plain-text tables."""

import dataclasses
import typing as t


@dataclasses.dataclass(frozen=True, kw_only=True)
class Column:
    """One column of a table.

    Attributes
    ----------
    title : str
        Column heading.
    is_number : bool
        Whether cells are right-aligned.
    """

    title: str
    is_number: bool = False


def render_table(columns: t.Sequence[Column], rows: t.Iterable[t.Sequence[str]]) -> str:
    """Render a table with aligned columns.

    Parameters
    ----------
    columns : sequence of Column
        Headings and alignment.
    rows : iterable of sequence of str
        One cell for each column.

    Returns
    -------
    str
        Lines without trailing spaces; only the headings if there are no rows.
    """
    lines = [[column.title for column in columns], *[list(row) for row in rows]]
    widths = [max(len(line[i]) for line in lines) for i in range(len(columns))]
    rendered = []
    for line in lines:
        cells = [
            cell.rjust(width) if column.is_number else cell.ljust(width)
            for column, cell, width in zip(columns, line, widths, strict=True)
        ]
        rendered.append("  ".join(cells).rstrip())
    return "\n".join(rendered)
