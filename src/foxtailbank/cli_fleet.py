"""Commands ``vms``, ``endpoints``, ``jobs`` and ``quarantine``."""

import argparse

import msgspec

from foxtailbank.cli_client import quoted
from foxtailbank.cli_context import Context, Row
from foxtailbank.cli_group import Command, Commands, add_command, add_group
from foxtailbank.exit_code import ExitCode


class VmsReply(msgspec.Struct, frozen=True, kw_only=True):
    """Entry VMs."""

    vms: tuple[Row, ...]


class EndpointsReply(msgspec.Struct, frozen=True, kw_only=True):
    """Endpoints."""

    endpoints: tuple[Row, ...]


class JobsReply(msgspec.Struct, frozen=True, kw_only=True):
    """Batch jobs."""

    jobs: tuple[Row, ...]


class QuarantineReply(msgspec.Struct, frozen=True, kw_only=True):
    """Requests that are refused since they took down endpoints."""

    quarantined: tuple[Row, ...]


class ClearedReply(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of clearing a fingerprint; further fields are not used."""


def add_fleet(commands: Commands) -> None:
    """Add the commands."""
    _add_list(commands, "vms", _vms, "list entry VMs and what they apply")
    _add_list(commands, "endpoints", _endpoints, "list endpoints and their load")
    _add_list(commands, "jobs", _jobs, "list batch jobs")
    group = add_group(
        commands, "quarantine", help_text="requests refused for taking down endpoints"
    )
    add_command(
        group,
        "list",
        _quarantine,
        help_text="list quarantined fingerprints",
        examples=["foxtailbank quarantine list --json"],
        prints_table=True,
    )
    parser = add_command(
        group,
        "clear",
        _clear,
        help_text="permit a fingerprint again before it expires",
        examples=["foxtailbank quarantine clear 9f2c51d0aa34be17"],
    )
    parser.add_argument("fingerprint", help="as `quarantine list` prints it")


def _add_list(commands: Commands, name: str, run: Command, help_text: str) -> None:
    add_command(
        commands,
        name,
        run,
        help_text=help_text,
        examples=[f"foxtailbank {name}", f"foxtailbank {name} --json"],
        prints_table=True,
    )


def _write(
    options: argparse.Namespace,
    context: Context,
    reply: msgspec.Struct,
    rows: tuple[Row, ...],
    empty: str,
) -> ExitCode:
    if options.json:
        context.write_json(reply)
    else:
        context.write_rows(rows, empty=empty)
    return ExitCode.OK


def _vms(options: argparse.Namespace, context: Context) -> ExitCode:
    reply = context.client(options).admin("GET", "/admin/vms", reply=VmsReply)
    return _write(options, context, reply, reply.vms, "No entry VM is known.")


def _endpoints(options: argparse.Namespace, context: Context) -> ExitCode:
    client = context.client(options)
    reply = client.admin("GET", "/admin/endpoints", reply=EndpointsReply)
    return _write(options, context, reply, reply.endpoints, "No endpoint is known.")


def _jobs(options: argparse.Namespace, context: Context) -> ExitCode:
    reply = context.client(options).admin("GET", "/admin/jobs", reply=JobsReply)
    return _write(options, context, reply, reply.jobs, "No batch job is known.")


def _quarantine(options: argparse.Namespace, context: Context) -> ExitCode:
    client = context.client(options)
    reply = client.admin("GET", "/admin/quarantine", reply=QuarantineReply)
    return _write(options, context, reply, reply.quarantined, "Nothing is quarantined.")


def _clear(options: argparse.Namespace, context: Context) -> ExitCode:
    path = f"/admin/quarantine/{quoted(options.fingerprint)}"
    context.client(options).admin("DELETE", path, reply=ClearedReply)
    context.write(f"{options.fingerprint}: cleared")
    return ExitCode.OK
