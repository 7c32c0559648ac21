"""Command ``story``: what the logs tell of one request."""

import argparse
import pathlib
import typing as t

from foxtailbank import story
from foxtailbank.cli_context import Context
from foxtailbank.cli_failure import CommandFailed
from foxtailbank.cli_group import Commands, add_command
from foxtailbank.exit_code import ExitCode
from foxtailbank.story import LogLine, Story
from foxtailbank.text_table import Column, render_table


def add_story(commands: Commands) -> None:
    """Add the command."""
    parser = add_command(
        commands,
        "story",
        _run,
        help_text="what log files tell of one request, submission or item",
        examples=[
            "foxtailbank story 83b3 vm-1.log vm-2.log",
            "foxtailbank story --json 83b3 logs/*.log",
        ],
        connects=False,
        prints_table=True,
    )
    parser.add_argument("id", help="id of the request, submission or item")
    parser.add_argument("files", nargs="+", metavar="FILE", help="log of a VM")


def _run(options: argparse.Namespace, context: Context) -> ExitCode:
    paths = [pathlib.Path(name) for name in options.files]
    try:
        told = story.tell(options.id, paths)
    except OSError as error:
        raise CommandFailed(
            exit_code=ExitCode.INVALID_INPUT,
            detail=f"{error.filename} cannot be read: {error.strerror}",
        ) from None
    if options.json:
        context.write_json(told)
    else:
        context.write(_text(told))
    if told.unreadable:
        context.progress(f"foxtailbank: warning: {told.unreadable} lines are no log")
    return ExitCode.OK if told.lines else ExitCode.NOT_FOUND


def _text(told: Story) -> str:
    if not told.lines:
        return f"no line names {told.request_id}"
    parts = [_table(told.lines)]
    if told.around:
        parts.append(f"around it, up to {story.AROUND_S:.0f} s:")
        parts.append(_table(told.around))
    return "\n".join(parts)


def _table(lines: t.Sequence[LogLine]) -> str:
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
