"""Validation of catalogue entries before an edit is appended."""

import typing as t

from foxtailbank.dataclass_builder import build_dataclass
from foxtailbank.entry import Entry, EntryKind, WorkClass
from foxtailbank.problem import CheckFailed, Problem, make_problem


def parse_entry(
    raw: t.Any, *, others: t.Iterable[Entry] = (), name: str = "", path: str = ""
) -> Entry:
    """Build an entry from decoded JSON or TOML and check it.

    Parameters
    ----------
    raw : object
        Decoded mapping.
    others : iterable of Entry
        Entries with which this one must not conflict.
    name : str
        Name of the entry if it is given separately; the mapping may then omit it
        but must not contain a different one.
    path : str
        Prefix of the dotted path that problems are reported under.

    Returns
    -------
    Entry
        The checked entry.

    Raises
    ------
    CheckFailed
        Lists every problem found.
    """
    problems: list[Problem] = []
    if name and isinstance(raw, dict):
        raw = {"name": name} | raw
        if raw["name"] != name:
            reason = f"differs from the name it is stored under, {name}"
            problems.append(make_problem(_join_path(path, "name"), raw["name"], reason))
    entry = build_dataclass(Entry, raw, problems=problems, path=path)
    if entry is not None:
        problems.extend(check_entry(entry, others=others, path=path))
    if entry is None or problems:
        raise CheckFailed(problems=tuple(problems), source=name)
    return entry


def check_entry(
    entry: Entry, *, others: t.Iterable[Entry] = (), path: str = ""
) -> tuple[Problem, ...]:
    """Check an entry for consistency, and for conflicts with other entries.

    Parameters
    ----------
    entry : Entry
        Types and ranges of its values have been checked.
    others : iterable of Entry
        Entries with which this one must not conflict; one of the same name is
        ignored.
    path : str
        Prefix of the dotted path that problems are reported under.

    Returns
    -------
    tuple of Problem
        All problems found.
    """
    problems = [
        *_check_kind(entry, path),
        *_check_keys(entry, path),
        *_check_desired(entry, path),
    ]
    for other in others:
        if other.name != entry.name:
            problems.extend(_check_pair(entry, other, path))
    return tuple(problems)


def _join_path(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _check_kind(entry: Entry, path: str) -> t.Iterator[Problem]:
    if entry.kind is EntryKind.ENGINE and not entry.model:
        reason = "missing; an engine entry names the model that callers ask for"
        yield make_problem(_join_path(path, "model"), "", reason)
    if entry.kind is EntryKind.SERVICE and entry.model:
        reason = "a service entry names no model"
        yield make_problem(_join_path(path, "model"), entry.model, reason)
    if entry.kind is EntryKind.ENGINE and entry.work_class is WorkClass.ONLINE:
        objective = entry.objective
        if objective.ttft_ms > entry.limits.deadline_ms:
            reason = f"exceeds limits.deadline_ms ({entry.limits.deadline_ms})"
            yield make_problem(
                _join_path(path, "objective.ttft_ms"), objective.ttft_ms, reason
            )


def _check_keys(entry: Entry, path: str) -> t.Iterator[Problem]:
    key = _join_path(path, "key_hashes")
    if not entry.key_hashes:
        yield make_problem(key, "", "at least one key hash is required")
    if len(set(entry.key_hashes)) != len(entry.key_hashes):
        yield make_problem(key, "", "a key hash is listed twice")


def _check_desired(entry: Entry, path: str) -> t.Iterator[Problem]:
    desired = entry.desired
    if desired is None:
        return
    if entry.kind is EntryKind.SERVICE:
        reason = "a service takes no orders; only engine entries have it"
        yield make_problem(_join_path(path, "desired"), "", reason)
    names = [adapter.name for adapter in desired.adapters]
    if len(set(names)) != len(names):
        yield make_problem(
            _join_path(path, "desired.adapters"), names, "an adapter is listed twice"
        )


def _check_pair(entry: Entry, other: Entry, path: str) -> t.Iterator[Problem]:
    if not set(entry.key_hashes) & set(other.key_hashes):
        return
    if entry.owner != other.owner:
        reason = f"a key belongs to another owner's entry, {other.name}"
        yield make_problem(_join_path(path, "key_hashes"), "", reason)
    elif _serve_same_requests(entry, other):
        reason = f"entry {other.name} already serves this model, class and key"
        yield make_problem(_join_path(path, "model"), entry.model, reason)


def _serve_same_requests(entry: Entry, other: Entry) -> bool:
    if entry.kind is not EntryKind.ENGINE or other.kind is not EntryKind.ENGINE:
        return False
    return entry.model == other.model and entry.work_class is other.work_class
