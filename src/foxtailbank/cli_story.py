"""Command ``story``: print the log lines about one request."""

import argparse
import pathlib
import typing as t

from foxtailbank import request_timeline
from foxtailbank.cli_context import Context
from foxtailbank.cli_failure import CommandFailed
from foxtailbank.cli_group import Commands, add_command
from foxtailbank.exit_code import ExitCode
from foxtailbank.request_timeline import LogLine, RequestTimeline
from foxtailbank.text_table import Column, render_table


def add_story(commands: Commands) -> None:
    """Add the ``story`` command."""
    parser = add_command(
        commands,
        "story",
        _run,
        help_text="print the log lines about one request, submission or item",
        examples=[
            "foxtailbank story 83b3 vm-1.log vm-2.log",
            "foxtailbank story --json 83b3 logs/*.log",
        ],
        connects=False,
        prints_table=True,
    )
    parser.add_argument("id", help="id of the request, submission or item")
    parser.add_argument("files", nargs="+", metavar="FILE", help="log file of a VM")


def _run(options: argparse.Namespace, context: Context) -> ExitCode:
    paths = [pathlib.Path(name) for name in options.files]
    try:
        timeline = request_timeline.build_timeline(options.id, paths)
    except OSError as error:
        raise CommandFailed(
            exit_code=ExitCode.INVALID_INPUT,
            detail=f"{error.filename} cannot be read: {error.strerror}",
        ) from None
    if options.json:
        context.write_json(timeline)
    else:
        context.write(_render(timeline))
    if timeline.unreadable:
        context.write_progress(
            f"foxtailbank: warning: {timeline.unreadable} lines are no log"
        )
    return ExitCode.OK if timeline.lines else ExitCode.NOT_FOUND


def _render(timeline: RequestTimeline) -> str:
    if not timeline.lines:
        return f"no line names {timeline.request_id}"
    parts = [_render_lines(timeline.lines)]
    if timeline.around:
        window_s = request_timeline.CONTEXT_WINDOW_S
        parts.append(f"state changes up to {window_s:.0f} s before and after:")
        parts.append(_render_lines(timeline.around))
    return "\n".join(parts)


def _render_lines(lines: t.Sequence[LogLine]) -> str:
    columns = [Column(title=name) for name in ("time", "vm", "event", "fields")]
    rows = [
        [
            line.at.strftime("%H:%M:%S.%f")[:-3],
            line.vm,
            line.event,
            " ".join(f"{name}={value}" for name, value in line.fields),
        ]
        for line in lines
    ]
    return render_table(columns, rows)
