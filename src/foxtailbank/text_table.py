"""Tables of plain text."""

import dataclasses
import typing as t


@dataclasses.dataclass(frozen=True, kw_only=True)
class Column:
    """One column of a table.

    Attributes
    ----------
    title : str
        Its head.
    is_number : bool
        Whether it is aligned to the right.
    """

    title: str
    is_number: bool = False


def render_table(columns: t.Sequence[Column], rows: t.Iterable[t.Sequence[str]]) -> str:
    """Return a table with aligned columns.

    Parameters
    ----------
    columns : sequence of Column
        Heads.
    rows : iterable of sequence of str
        Cells, as many as there are columns.

    Returns
    -------
    str
        Lines without trailing blanks; only the head if there are no rows.
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
