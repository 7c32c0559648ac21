"""Commands ``catalogue``: list, get, put, delete, history, hash."""

import argparse
import getpass
import pathlib
import typing as t

import msgspec

from foxtailbank.batch_upload import STDIN_NAME
from foxtailbank.catalogue_file import parse_catalogue
from foxtailbank.cli_check import decode_file
from foxtailbank.cli_context import Context, Row
from foxtailbank.cli_failure import CommandFailed
from foxtailbank.cli_group import Commands, add_command, add_group
from foxtailbank.entry import key_hash
from foxtailbank.exit_code import ExitCode
from foxtailbank.problem import CheckFailed
from foxtailbank.urls import query_string, quote_segment

_CONFLICT_NEXT_STEP = "read it with `catalogue get`, merge your change and put it again"


class StoredEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Catalogue entry as returned by the administration API.

    Attributes
    ----------
    name : str
        Name of the entry.
    version : int
        Current version, which an edit must be based on.
    entry : dict
        Content of the entry.
    """

    name: str
    version: int
    entry: Row


class EntryListReply(msgspec.Struct, frozen=True, kw_only=True):
    """List of all catalogue entries."""

    entries: tuple[StoredEntry, ...]
    applied_offset: int = -1


class HistoryReply(msgspec.Struct, frozen=True, kw_only=True):
    """Edit history of an entry, oldest first."""

    history: tuple[Row, ...]


class EditReply(msgspec.Struct, frozen=True, kw_only=True):
    """Version created by an edit."""

    version: int


def add_catalogue(commands: Commands) -> None:
    """Add the ``catalogue`` commands."""
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
    _add_name_argument(parser)
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
    _add_name_argument(parser)
    parser.add_argument(
        "file", help="TOML or JSON file of the entry; - for JSON on stdin"
    )
    parser.add_argument("--by", help="editor recorded in the history (default $USER)")
    _add_based_on_option(parser)
    parser = add_command(
        group,
        "delete",
        _delete,
        help_text="delete an entry",
        examples=["foxtailbank catalogue delete tributes --based-on 8193"],
    )
    _add_name_argument(parser)
    _add_based_on_option(parser)
    parser = add_command(
        group,
        "history",
        _history,
        help_text="list the latest edits of an entry",
        examples=["foxtailbank catalogue history tributes"],
        prints_table=True,
    )
    _add_name_argument(parser)
    add_command(
        group,
        "hash",
        _hash,
        help_text="print the hash of a key read from a prompt or a pipe",
        examples=["foxtailbank catalogue hash"],
        connects=False,
    )


def _add_name_argument(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("name", metavar="NAME", help="name of the entry")


def _add_based_on_option(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--based-on",
        type=int,
        metavar="VERSION",
        help="version that the edit replaces, 0 for a new entry "
        "(default: the current version)",
    )


def _list(options: argparse.Namespace, context: Context) -> ExitCode:
    reply = context.create_client(options).call_admin_api(
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
    path = f"/admin/catalogue/{quote_segment(options.name)}"
    context.write_json(
        context.create_client(options).call_admin_api("GET", path, reply=StoredEntry)
    )
    return ExitCode.OK


def _put(options: argparse.Namespace, context: Context) -> ExitCode:
    entry = _read_entry(options, context)
    by = _editor_name(options, context)
    client = context.create_client(options)
    based_on = options.based_on
    if based_on is None:
        based_on = _fetch_current_version(client, options.name)
    reply = _send_edit(
        lambda: client.call_admin_api(
            "PUT",
            f"/admin/catalogue/{quote_segment(options.name)}",
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


def _editor_name(options: argparse.Namespace, context: Context) -> str:
    return options.by or context.environment.get("USER", "")


def _delete(options: argparse.Namespace, context: Context) -> ExitCode:
    client = context.create_client(options)
    based_on = options.based_on
    if based_on is None:
        based_on = _fetch_current_version(client, options.name)
    path = (
        f"/admin/catalogue/{quote_segment(options.name)}"
        f"{query_string(based_on=based_on)}"
    )
    reply = _send_edit(lambda: client.call_admin_api("DELETE", path, reply=EditReply))
    context.write(f"{options.name}: deleted by version {reply.version}")
    return ExitCode.OK


def _history(options: argparse.Namespace, context: Context) -> ExitCode:
    path = f"/admin/catalogue/{quote_segment(options.name)}/history"
    reply = context.create_client(options).call_admin_api(
        "GET", path, reply=HistoryReply
    )
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
        raw = _unwrap_entry(raw, options.name)
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
            detail=f"{options.file} contains no entry {options.name}",
            next_step="use the same name in the file and on the command line",
        )
    return t.cast(Row, msgspec.to_builtins(entries[options.name]))


def _unwrap_entry(raw: Row, name: str) -> Row:
    """Return the entry inside the output of ``catalogue get``, else `raw` itself."""
    if "version" in raw and raw.get("name") == name and "entry" in raw:
        return t.cast(Row, raw["entry"])
    return raw


def _fetch_current_version(client: t.Any, name: str) -> int:
    path = f"/admin/catalogue/{quote_segment(name)}"
    try:
        return int(client.call_admin_api("GET", path, reply=StoredEntry).version)
    except CommandFailed as failure:
        if failure.exit_code is ExitCode.NOT_FOUND:
            return 0
        raise


def _send_edit(send: t.Callable[[], EditReply]) -> EditReply:
    try:
        return send()
    except CommandFailed as failure:
        if failure.exit_code is ExitCode.CONFLICT:
            failure.next_step = _CONFLICT_NEXT_STEP
        raise
