"""Command ``report burn``: error-budget burn of service-level objectives."""

import argparse
import pathlib

from foxtailbank.burn_merge import BurnReport
from foxtailbank.burn_report import burn_html, burn_table
from foxtailbank.cli_context import Context
from foxtailbank.cli_failure import CommandFailed
from foxtailbank.cli_group import Commands, add_command, add_group
from foxtailbank.exit_code import ExitCode


def add_report(commands: Commands) -> None:
    """Add the ``report`` commands."""
    group = add_group(commands, "report", help_text="reports over the fleet")
    parser = add_command(
        group,
        "burn",
        _burn,
        help_text="error-budget burn of service-level objectives over all VMs",
        examples=[
            "foxtailbank report burn",
            "foxtailbank report burn --html burn.html",
        ],
        prints_table=True,
    )
    parser.add_argument("--html", metavar="FILE", help="write an HTML page with plots")


def _burn(options: argparse.Namespace, context: Context) -> ExitCode:
    client = context.create_client(options)
    report = client.call_admin_api("GET", "/admin/report/burn", reply=BurnReport)
    if options.html:
        _write_html(pathlib.Path(options.html), burn_html(report))
        context.write_progress(f"wrote {options.html}")
    if options.json:
        context.write_json(report)
    elif not options.html:
        context.write(burn_table(report))
    if report.unreachable_vms:
        names = ", ".join(report.unreachable_vms)
        context.write_progress(f"foxtailbank: warning: no answer from {names}")
    return ExitCode.OK


def _write_html(path: pathlib.Path, page: str) -> None:
    try:
        path.write_text(page, encoding="utf-8")
    except OSError as error:
        raise CommandFailed(
            exit_code=ExitCode.INVALID_INPUT,
            detail=f"{path} cannot be written: {error.strerror}",
        ) from None
