"""Parsing of catalogue files."""

import typing as t

from foxtailbank.entry import Entry
from foxtailbank.entry_check import check_entry, parse_entry
from foxtailbank.problem import CheckFailed, Problem, make_problem


def parse_catalogue(raw: dict[str, t.Any], *, name: str = "") -> dict[str, Entry]:
    """Parse and check a single entry, or a table ``entries`` of several.

    Parameters
    ----------
    raw : dict
        Decoded TOML or JSON.
    name : str
        Name of a single entry whose table has none.

    Returns
    -------
    dict of str to Entry
        The entries by name.

    Raises
    ------
    CheckFailed
        Lists every problem of every entry.
    """
    if "entries" not in raw:
        entry = parse_entry(raw, name="" if "name" in raw else name)
        return {entry.name: entry}
    tables = raw["entries"]
    if not isinstance(tables, dict):
        found = make_problem("entries", tables, "expected a table of entries by name")
        raise CheckFailed(problems=(found,))
    problems: list[Problem] = [
        make_problem(key, value, "unknown key beside entries")
        for key, value in raw.items()
        if key != "entries"
    ]
    entries = _parse_entries(tables, problems)
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


def _parse_entries(
    tables: dict[str, t.Any], problems: list[Problem]
) -> dict[str, Entry]:
    entries = {}
    for name, table in tables.items():
        try:
            entries[name] = parse_entry(table, name=name, path=f"entries.{name}")
        except CheckFailed as failure:
            problems.extend(failure.problems)
    return entries
