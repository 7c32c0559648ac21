"""Files of catalogue entries."""

import typing as t

from foxtailbank.entry import Entry
from foxtailbank.entry_check import check_entry, read_entry
from foxtailbank.problem import CheckFailed, Problem, problem


def parse_catalogue(raw: dict[str, t.Any], *, name: str = "") -> dict[str, Entry]:
    """Check one entry, or a table ``entries`` of many.

    Parameters
    ----------
    raw : dict
        Decoded TOML or JSON.
    name : str
        Name of a single entry that gives none.

    Returns
    -------
    dict of str to Entry
        The entries by name.

    Raises
    ------
    CheckFailed
        With every problem of every entry.
    """
    if "entries" not in raw:
        entry = read_entry(raw, name="" if "name" in raw else name)
        return {entry.name: entry}
    tables = raw["entries"]
    if not isinstance(tables, dict):
        found = problem("entries", tables, "expected a table of entries by name")
        raise CheckFailed(problems=(found,))
    problems: list[Problem] = [
        problem(key, value, "unknown key beside entries")
        for key, value in raw.items()
        if key != "entries"
    ]
    entries = _read_all(tables, problems)
    for entry in entries.values():
        path = f"entries.{entry.name}"
        problems.extend(
            item
            for item in check_entry(entry, others=entries.values(), path=path)
            if item not in problems
        )
    if problems:
        raise CheckFailed(problems=tuple(problems))
    return entries


def _read_all(tables: dict[str, t.Any], problems: list[Problem]) -> dict[str, Entry]:
    entries = {}
    for name, table in tables.items():
        try:
            entries[name] = read_entry(table, name=name, path=f"entries.{name}")
        except CheckFailed as failure:
            problems.extend(failure.problems)
    return entries
