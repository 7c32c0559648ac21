"""Commands ``catalogue``: list, get, put, delete, history, hash."""

import argparse
import getpass
import pathlib
import typing as t

import msgspec

from foxtailbank.batch_upload import STDIN_NAME
from foxtailbank.catalogue_file import parse_catalogue
from foxtailbank.cli_check import decode_file
from foxtailbank.cli_client import query, quoted
from foxtailbank.cli_context import Context, Row
from foxtailbank.cli_failure import CommandFailed
from foxtailbank.cli_group import Commands, add_command, add_group
from foxtailbank.entry import key_hash
from foxtailbank.exit_code import ExitCode
from foxtailbank.problem import CheckFailed

_CONFLICT_STEP = "read it with `catalogue get`, merge your change and put it again"


class StoredEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An entry as the administration API gives it.

    Attributes
    ----------
    name : str
        Its name.
    version : int
        Version to base an edit on.
    entry : dict
        Its content.
    """

    name: str
    version: int
    entry: Row


class EntryListReply(msgspec.Struct, frozen=True, kw_only=True):
    """All entries."""

    entries: tuple[StoredEntry, ...]
    applied_offset: int = -1


class HistoryReply(msgspec.Struct, frozen=True, kw_only=True):
    """Edits of an entry, oldest first."""

    history: tuple[Row, ...]


class EditReply(msgspec.Struct, frozen=True, kw_only=True):
    """Version that an edit made."""

    version: int


def add_catalogue(commands: Commands) -> None:
    """Add the group."""
    group = add_group(commands, "catalogue", help_text="read and edit the catalogue")
    add_command(
        group,
        "list",
        _list,
        help_text="list all entries",
        examples=["foxtailbank catalogue list --json"],
        prints_table=True,
    )
    parser = add_command(
        group,
        "get",
        _get,
        help_text="print an entry and its version as JSON",
        examples=["foxtailbank catalogue get tributes"],
    )
    _add_name(parser)
    parser = add_command(
        group,
        "put",
        _put,
        help_text="create or replace an entry",
        examples=[
            "foxtailbank catalogue put tributes entry.toml",
            "foxtailbank catalogue put tributes entry.json --based-on 8193",
        ],
    )
    _add_name(parser)
    parser.add_argument("file", help="TOML or JSON file of the entry; - for JSON stdin")
    parser.add_argument("--by", help="who edits, for the history (default $USER)")
    _add_based_on(parser)
    parser = add_command(
        group,
        "delete",
        _delete,
        help_text="delete an entry",
        examples=["foxtailbank catalogue delete tributes --based-on 8193"],
    )
    _add_name(parser)
    _add_based_on(parser)
    parser = add_command(
        group,
        "history",
        _history,
        help_text="list the latest edits of an entry",
        examples=["foxtailbank catalogue history tributes"],
        prints_table=True,
    )
    _add_name(parser)
    add_command(
        group,
        "hash",
        _hash,
        help_text="print the hash of a key, which is asked for or read from a pipe",
        examples=["foxtailbank catalogue hash"],
        connects=False,
    )


def _add_name(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("name", metavar="NAME", help="name of the entry")


def _add_based_on(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--based-on",
        type=int,
        metavar="VERSION",
        help="version that the edit replaces, 0 for a new entry; "
        "the current one if not given",
    )


def _list(options: argparse.Namespace, context: Context) -> ExitCode:
    reply = context.client(options).admin(
        "GET", "/admin/catalogue", reply=EntryListReply
    )
    if options.json:
        context.write_json(reply)
        return ExitCode.OK
    columns = ("owner", "work_class", "kind", "pool", "model", "idempotent")
    rows: list[Row] = []
    for stored in reply.entries:
        row: Row = {"name": stored.name, "version": stored.version}
        row.update({name: stored.entry.get(name) for name in columns})
        rows.append(row)
    context.write_rows(rows, empty="The catalogue is empty.")
    return ExitCode.OK


def _get(options: argparse.Namespace, context: Context) -> ExitCode:
    path = f"/admin/catalogue/{quoted(options.name)}"
    context.write_json(context.client(options).admin("GET", path, reply=StoredEntry))
    return ExitCode.OK


def _put(options: argparse.Namespace, context: Context) -> ExitCode:
    entry = _read_entry(options, context)
    by = _editor(options, context)
    client = context.client(options)
    based_on = options.based_on
    if based_on is None:
        based_on = _current_version(client, options.name)
    reply = _edit(
        lambda: client.admin(
            "PUT",
            f"/admin/catalogue/{quoted(options.name)}",
            reply=EditReply,
            body={
                "entry": entry,
                "based_on": based_on,
                "by": by,
            },
        )
    )
    context.write(f"{options.name}: version {reply.version} (was {based_on})")
    return ExitCode.OK


def _editor(options: argparse.Namespace, context: Context) -> str:
    return options.by or context.environment.get("USER", "")


def _delete(options: argparse.Namespace, context: Context) -> ExitCode:
    client = context.client(options)
    based_on = options.based_on
    if based_on is None:
        based_on = _current_version(client, options.name)
    path = f"/admin/catalogue/{quoted(options.name)}{query(based_on=based_on)}"
    reply = _edit(lambda: client.admin("DELETE", path, reply=EditReply))
    context.write(f"{options.name}: deleted by version {reply.version}")
    return ExitCode.OK


def _history(options: argparse.Namespace, context: Context) -> ExitCode:
    path = f"/admin/catalogue/{quoted(options.name)}/history"
    reply = context.client(options).admin("GET", path, reply=HistoryReply)
    if options.json:
        context.write_json(reply)
        return ExitCode.OK
    columns = ("version", "based_on", "by", "at_ms", "edit_id")
    rows: list[Row] = []
    for item in reply.history:
        row: Row = {"edit": "put" if item.get("entry") else "delete"}
        row.update({name: item.get(name) for name in columns})
        rows.append(row)
    context.write_rows(rows, empty=f"No edits of {options.name} are known.")
    return ExitCode.OK


def _hash(options: argparse.Namespace, context: Context) -> ExitCode:
    if context.stdin.isatty():
        key = getpass.getpass("key: ")
    else:
        key = context.stdin.read().decode().strip()
    if not key:
        raise CommandFailed(exit_code=ExitCode.INVALID_INPUT, detail="the key is empty")
    context.write(key_hash(key))
    return ExitCode.OK


def _read_entry(options: argparse.Namespace, context: Context) -> Row:
    path = pathlib.Path(options.file)
    is_stdin = options.file == STDIN_NAME
    try:
        raw = decode_file(path, context.stdin.read if is_stdin else path.read_bytes)
        raw = _unwrapped(raw, options.name)
        entries = parse_catalogue(raw, name=options.name)
    except CheckFailed as failure:
        raise CommandFailed(
            exit_code=ExitCode.INVALID_INPUT,
            detail=f"{options.file} is not a valid entry; nothing was sent",
            problems=failure.problems,
        ) from None
    if options.name not in entries:
        raise CommandFailed(
            exit_code=ExitCode.INVALID_INPUT,
            detail=f"{options.file} holds no entry {options.name}",
            next_step="the names in file and command must be the same",
        )
    return t.cast(Row, msgspec.to_builtins(entries[options.name]))


def _unwrapped(raw: Row, name: str) -> Row:
    """Return the entry of what `get` printed, or the table itself."""
    if "version" in raw and raw.get("name") == name and "entry" in raw:
        return t.cast(Row, raw["entry"])
    return raw


def _current_version(client: t.Any, name: str) -> int:
    path = f"/admin/catalogue/{quoted(name)}"
    try:
        return int(client.admin("GET", path, reply=StoredEntry).version)
    except CommandFailed as failure:
        if failure.exit_code is ExitCode.NOT_FOUND:
            return 0
        raise


def _edit(send: t.Callable[[], EditReply]) -> EditReply:
    try:
        return send()
    except CommandFailed as failure:
        if failure.exit_code is ExitCode.CONFLICT:
            failure.next_step = _CONFLICT_STEP
        raise
