"""Command ``check``: settings and catalogue files, without a connection."""

import argparse
import pathlib
import typing as t

import msgspec

from foxtailbank.catalogue_file import parse_catalogue
from foxtailbank.cli_context import Context
from foxtailbank.cli_failure import CommandFailed
from foxtailbank.cli_group import Commands, add_command
from foxtailbank.exceptions import SettingsInvalid
from foxtailbank.exit_code import ExitCode
from foxtailbank.problem import CheckFailed, Problem, problem
from foxtailbank.settings import load_settings


class FileVerdict(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome for one file.

    Attributes
    ----------
    file : str
        As given.
    kind : str
        ``settings`` or ``catalogue``; empty if it could not be told.
    entries : int
        Number of catalogue entries.
    problems : tuple of Problem
        Empty if the file is valid.
    """

    file: str
    kind: str = ""
    entries: int = 0
    problems: tuple[Problem, ...] = ()


def add_check(commands: Commands) -> None:
    """Add the command."""
    parser = add_command(
        commands,
        "check",
        _run,
        help_text="check settings and catalogue files without a connection",
        examples=[
            "foxtailbank check settings.toml",
            "foxtailbank check --json catalogue.toml entry.json",
        ],
        connects=False,
        prints_table=True,
    )
    parser.add_argument("files", nargs="+", metavar="FILE", help="TOML or JSON file")


def _run(options: argparse.Namespace, context: Context) -> ExitCode:
    verdicts = [_check(name) for name in options.files]
    if options.json:
        context.write_json(verdicts)
    else:
        for verdict in verdicts:
            context.write(_line(verdict))
    problems = [
        Problem(key=f"{v.file}: {p.key}", value=p.value, reason=p.reason)
        for v in verdicts
        for p in v.problems
    ]
    if problems:
        raise CommandFailed(
            exit_code=ExitCode.INVALID_INPUT,
            detail=f"{len(problems)} problem{'s' if len(problems) > 1 else ''} found",
            problems=tuple(problems),
        )
    return ExitCode.OK


def _line(verdict: FileVerdict) -> str:
    if verdict.problems:
        return f"{verdict.file}: invalid"
    if verdict.kind == "catalogue":
        return f"{verdict.file}: valid catalogue, entries: {verdict.entries}"
    return f"{verdict.file}: valid settings"


def _check(name: str) -> FileVerdict:
    path = pathlib.Path(name)
    try:
        raw = _decode(path)
        if "vm" in raw or "platform" in raw:
            return _check_settings(name, path)
        entries = parse_catalogue(raw, name=path.stem)
    except CheckFailed as failure:
        return FileVerdict(file=name, kind="catalogue", problems=failure.problems)
    return FileVerdict(file=name, kind="catalogue", entries=len(entries))


def _check_settings(name: str, path: pathlib.Path) -> FileVerdict:
    try:
        load_settings(path)
    except CheckFailed as failure:
        return FileVerdict(file=name, kind="settings", problems=failure.problems)
    except SettingsInvalid as failure:
        problems = (problem("(file)", name, failure.detail),)
        return FileVerdict(file=name, kind="settings", problems=problems)
    return FileVerdict(file=name, kind="settings")


def _decode(path: pathlib.Path) -> dict[str, t.Any]:
    return decode_file(path, path.read_bytes) if path.is_file() else _missing(path)


def _missing(path: pathlib.Path) -> dict[str, t.Any]:
    raise CheckFailed(problems=(problem("(file)", str(path), "no such file"),))


def decode_file(path: pathlib.Path, read: t.Callable[[], bytes]) -> dict[str, t.Any]:
    """Decode a TOML or JSON table.

    Parameters
    ----------
    path : Path
        A name that ends in ``.toml`` is TOML, any other is JSON.
    read : callable
        Returns the content.

    Returns
    -------
    dict
        The table.

    Raises
    ------
    CheckFailed
        The content cannot be read or decoded.
    """
    decode = msgspec.toml.decode if path.suffix == ".toml" else msgspec.json.decode
    try:
        raw = decode(read())
    except OSError as error:
        reason = f"cannot be read: {error.strerror}"
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        reason = str(error)
    else:
        if isinstance(raw, dict):
            return raw
        reason = "expected a table"
    raise CheckFailed(problems=(problem("(file)", str(path), reason),))
