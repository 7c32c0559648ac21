"""Builds data classes from decoded TOML or JSON, collecting all problems."""

import dataclasses
import difflib
import functools
import types
import typing as t

import msgspec

from foxtailbank.problem import Problem, make_problem

T = t.TypeVar("T")


def build_dataclass(
    cls: type[T], raw: t.Any, *, problems: list[Problem], path: str = ""
) -> T | None:
    """Build a data class instance, or report all problems in its source.

    Parameters
    ----------
    cls : type
        Data class; value ranges are given by ``msgspec.Meta`` annotations.
    raw : object
        Decoded mapping.
    problems : list of Problem
        Problems found are appended to it.
    path : str
        Dotted path of `raw` within its document.

    Returns
    -------
    object or None
        The instance, or None if there were problems.
    """
    if not isinstance(raw, dict):
        problems.append(make_problem(path or "(document)", raw, "expected a table"))
        return None
    initial_count = len(problems)
    hints = _hints(t.cast(t.Hashable, cls))
    _report_unknown_keys(raw, known=tuple(hints), problems=problems, path=path)
    values: dict[str, t.Any] = {}
    for field in dataclasses.fields(t.cast(t.Any, cls)):
        key = f"{path}.{field.name}" if path else field.name
        if field.name in raw:
            kind = hints[field.name]
            values[field.name] = _convert(kind, raw[field.name], problems, key)
        elif _is_required(field):
            problems.append(make_problem(key, "", "missing; a value is required"))
    if len(problems) > initial_count:
        return None
    return cls(**values)


@functools.cache
def _hints(cls: t.Hashable) -> dict[str, t.Any]:
    return t.get_type_hints(cls, include_extras=True)


def _is_required(field: dataclasses.Field[t.Any]) -> bool:
    return (
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    )


def _report_unknown_keys(
    raw: dict[str, t.Any],
    *,
    known: tuple[str, ...],
    problems: list[Problem],
    path: str,
) -> None:
    for name, value in raw.items():
        if name in known:
            continue
        key = f"{path}.{name}" if path else name
        near = difflib.get_close_matches(name, known, n=1)
        hint = f"; did you mean {near[0]}?" if near else ""
        problems.append(make_problem(key, value, f"unknown key{hint}"))


def _convert(kind: t.Any, value: t.Any, problems: list[Problem], key: str) -> t.Any:
    nested = _nested_dataclass(kind)
    if nested is not None and value is not None:
        return build_dataclass(nested, value, problems=problems, path=key)
    if t.get_origin(kind) is tuple:
        return _convert_list(t.get_args(kind)[0], value, problems, key)
    try:
        return msgspec.convert(value, kind, strict=True)
    except msgspec.ValidationError as error:
        problems.append(make_problem(key, value, _reason(error)))
        return None


def _convert_list(
    kind: t.Any, value: t.Any, problems: list[Problem], key: str
) -> tuple[t.Any, ...]:
    if not isinstance(value, list | tuple):
        problems.append(make_problem(key, value, "expected a list"))
        return ()
    items = []
    for index, item in enumerate(value):
        items.append(_convert(kind, item, problems, f"{key}[{index}]"))
    return tuple(items)


def _nested_dataclass(kind: t.Any) -> type | None:
    options = [kind]
    if t.get_origin(kind) in (t.Union, types.UnionType):
        options = list(t.get_args(kind))
    for option in options:
        if isinstance(option, type) and dataclasses.is_dataclass(option):
            return option
    return None


def _reason(error: msgspec.ValidationError) -> str:
    text = str(error).split(" - at ")[0].replace("`", "")
    return text[:1].lower() + text[1:]
