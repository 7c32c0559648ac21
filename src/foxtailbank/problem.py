"""Validation problems, which are collected and reported together."""

import dataclasses
import typing as t

from foxtailbank.exceptions import SettingsInvalid

MAX_VALUE_CHARS = 80
HIDDEN = "(hidden)"
_SECRET_WORDS = ("secret", "password", "token_value", "key")
_PUBLIC_NAMES = frozenset({"key_file", "secret_file"})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Problem:
    """One problem with a setting or a catalogue entry.

    Attributes
    ----------
    key : str
        Dotted path of the value, such as ``"limits.body_bytes"``.
    value : str
        The value as written, truncated; secrets are hidden.
    reason : str
        What is wrong and what is expected.
    """

    key: str
    value: str
    reason: str


class CheckFailed(SettingsInvalid):
    """Validation failed; the detail lists all problems.

    Parameters
    ----------
    problems : tuple of Problem
        All problems found.
    source : str
        File or entry that was checked.
    """

    def __init__(self, *, problems: tuple[Problem, ...], source: str = "") -> None:
        lines = [f"{p.key} = {p.value}: {p.reason}" for p in problems]
        prefix = f"{source}: " if source else ""
        super().__init__(detail=prefix + "; ".join(lines))
        self.problems = problems
        self.source = source


def make_problem(key: str, value: t.Any, reason: str) -> Problem:
    """Return a problem whose value reveals no secret.

    Parameters
    ----------
    key : str
        Dotted path of the value.
    value : object
        The value as decoded.
    reason : str
        What is wrong.

    Returns
    -------
    Problem
        Its value is truncated, or hidden if the key is that of a secret.
    """
    return Problem(key=key, value=_format_value(key, value), reason=reason)


def _format_value(key: str, value: t.Any) -> str:
    if value == "":
        return ""
    name = key.rpartition(".")[2]
    if _is_secret(name):
        return HIDDEN
    if isinstance(value, dict):
        return "{" + ", ".join(str(k) for k in value)[:MAX_VALUE_CHARS] + "}"
    text = value if isinstance(value, str) else repr(value)
    if len(text) > MAX_VALUE_CHARS:
        return text[: MAX_VALUE_CHARS - 1] + "…"
    return text


def _is_secret(name: str) -> bool:
    if name in _PUBLIC_NAMES:
        return False
    return any(word in name.lower() for word in _SECRET_WORDS)
