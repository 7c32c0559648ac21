"""Commands ``vms``, ``endpoints``, ``jobs`` and ``quarantine``."""

import argparse

import msgspec

from foxtailbank.cli_context import Context, Row
from foxtailbank.cli_group import Command, Commands, add_command, add_group
from foxtailbank.exit_code import ExitCode
from foxtailbank.urls import quote_segment


class VmsReply(msgspec.Struct, frozen=True, kw_only=True):
    """List of entry VMs."""

    vms: tuple[Row, ...]


class EndpointsReply(msgspec.Struct, frozen=True, kw_only=True):
    """List of endpoints."""

    endpoints: tuple[Row, ...]


class JobsReply(msgspec.Struct, frozen=True, kw_only=True):
    """List of batch jobs."""

    jobs: tuple[Row, ...]


class QuarantineReply(msgspec.Struct, frozen=True, kw_only=True):
    """Requests that are rejected because they crashed endpoints."""

    quarantined: tuple[Row, ...]


class ClearedReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to clearing a fingerprint; its fields are ignored."""


def add_fleet(commands: Commands) -> None:
    """Add the ``vms``, ``endpoints``, ``jobs`` and ``quarantine`` commands."""
    _add_list(commands, "vms", _vms, "list entry VMs and their state")
    _add_list(commands, "endpoints", _endpoints, "list endpoints and their load")
    _add_list(commands, "jobs", _jobs, "list batch jobs")
    group = add_group(
        commands, "quarantine", help_text="requests rejected for crashing endpoints"
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
        help_text="remove a fingerprint from quarantine before it expires",
        examples=["foxtailbank quarantine clear 9f2c51d0aa34be17"],
    )
    parser.add_argument("fingerprint", help="fingerprint printed by `quarantine list`")


def _add_list(commands: Commands, name: str, run: Command, help_text: str) -> None:
    add_command(
        commands,
        name,
        run,
        help_text=help_text,
        examples=[f"foxtailbank {name}", f"foxtailbank {name} --json"],
        prints_table=True,
    )


def _write_list(
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
    reply = context.create_client(options).call_admin_api(
        "GET", "/admin/vms", reply=VmsReply
    )
    return _write_list(options, context, reply, reply.vms, "No entry VM is known.")


def _endpoints(options: argparse.Namespace, context: Context) -> ExitCode:
    client = context.create_client(options)
    reply = client.call_admin_api("GET", "/admin/endpoints", reply=EndpointsReply)
    return _write_list(
        options, context, reply, reply.endpoints, "No endpoint is known."
    )


def _jobs(options: argparse.Namespace, context: Context) -> ExitCode:
    reply = context.create_client(options).call_admin_api(
        "GET", "/admin/jobs", reply=JobsReply
    )
    return _write_list(options, context, reply, reply.jobs, "No batch job is known.")


def _quarantine(options: argparse.Namespace, context: Context) -> ExitCode:
    client = context.create_client(options)
    reply = client.call_admin_api("GET", "/admin/quarantine", reply=QuarantineReply)
    return _write_list(
        options, context, reply, reply.quarantined, "Nothing is quarantined."
    )


def _clear(options: argparse.Namespace, context: Context) -> ExitCode:
    path = f"/admin/quarantine/{quote_segment(options.fingerprint)}"
    context.create_client(options).call_admin_api("DELETE", path, reply=ClearedReply)
    context.write(f"{options.fingerprint}: cleared")
    return ExitCode.OK
