"""Command ``check``: validate settings and catalogue files offline."""

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
from foxtailbank.problem import CheckFailed, Problem, make_problem
from foxtailbank.settings import load_settings


class FileCheckResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of checking one file.

    Attributes
    ----------
    file : str
        Path as given on the command line.
    kind : str
        ``settings`` or ``catalogue``; empty if not known.
    entries : int
        Number of valid catalogue entries.
    problems : tuple of Problem
        Empty if the file is valid.
    """

    file: str
    kind: str = ""
    entries: int = 0
    problems: tuple[Problem, ...] = ()


def add_check(commands: Commands) -> None:
    """Add the ``check`` command."""
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
    results = [_check_file(name) for name in options.files]
    if options.json:
        context.write_json(results)
    else:
        for result in results:
            context.write(_format_result(result))
    problems = [
        Problem(key=f"{r.file}: {p.key}", value=p.value, reason=p.reason)
        for r in results
        for p in r.problems
    ]
    if problems:
        raise CommandFailed(
            exit_code=ExitCode.INVALID_INPUT,
            detail=f"{len(problems)} problem{'s' if len(problems) > 1 else ''} found",
            problems=tuple(problems),
        )
    return ExitCode.OK


def _format_result(result: FileCheckResult) -> str:
    if result.problems:
        return f"{result.file}: invalid"
    if result.kind == "catalogue":
        return f"{result.file}: valid catalogue, entries: {result.entries}"
    return f"{result.file}: valid settings"


def _check_file(name: str) -> FileCheckResult:
    path = pathlib.Path(name)
    try:
        raw = _decode_existing(path)
        if "vm" in raw or "platform" in raw:
            return _check_settings_file(name, path)
        entries = parse_catalogue(raw, name=path.stem)
    except CheckFailed as failure:
        return FileCheckResult(file=name, kind="catalogue", problems=failure.problems)
    return FileCheckResult(file=name, kind="catalogue", entries=len(entries))


def _check_settings_file(name: str, path: pathlib.Path) -> FileCheckResult:
    try:
        load_settings(path)
    except CheckFailed as failure:
        return FileCheckResult(file=name, kind="settings", problems=failure.problems)
    except SettingsInvalid as failure:
        problems = (make_problem("(file)", name, failure.detail),)
        return FileCheckResult(file=name, kind="settings", problems=problems)
    return FileCheckResult(file=name, kind="settings")


def _decode_existing(path: pathlib.Path) -> dict[str, t.Any]:
    return decode_file(path, path.read_bytes) if path.is_file() else _fail_missing(path)


def _fail_missing(path: pathlib.Path) -> dict[str, t.Any]:
    raise CheckFailed(problems=(make_problem("(file)", str(path), "no such file"),))


def decode_file(path: pathlib.Path, read: t.Callable[[], bytes]) -> dict[str, t.Any]:
    """Decode a file that holds a TOML or JSON table.

    Parameters
    ----------
    path : Path
        Decoded as TOML if the suffix is ``.toml``, otherwise as JSON.
    read : callable
        Returns the content of the file.

    Returns
    -------
    dict
        The decoded table.

    Raises
    ------
    CheckFailed
        The content cannot be read or decoded, or is not a table.
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
    raise CheckFailed(problems=(make_problem("(file)", str(path), reason),))
