"""Helpers to add commands and command groups to the parser."""

import argparse
import collections.abc
import typing as t

from foxtailbank.cli_connection import add_connection_options
from foxtailbank.cli_context import Context
from foxtailbank.exit_code import ExitCode

Command: t.TypeAlias = t.Callable[[argparse.Namespace, Context], ExitCode]
# Quoted because _SubParsersAction is generic only for type checkers.
Commands: t.TypeAlias = "argparse._SubParsersAction[argparse.ArgumentParser]"


def add_command(
    commands: Commands,
    name: str,
    run: Command,
    *,
    help_text: str,
    examples: collections.abc.Sequence[str],
    connects: bool = True,
    prints_table: bool = False,
) -> argparse.ArgumentParser:
    """Add one command.

    Parameters
    ----------
    commands : argparse action
        Group or top-level parser action to add the command to.
    name : str
        Name on the command line.
    run : callable
        Runs the command.
    help_text : str
        One-line description in lower case, without a full stop.
    examples : sequence of str
        Example command lines shown at the end of the help.
    connects : bool
        Whether the command takes the connection options.
    prints_table : bool
        Whether the command takes ``--json``.

    Returns
    -------
    argparse.ArgumentParser
        Parser to add the command's own arguments to.
    """
    lines = "\n".join(f"  {example}" for example in examples)
    parser = commands.add_parser(
        name,
        help=help_text,
        description=help_text[:1].upper() + help_text[1:] + ".",
        epilog=f"example{'s' if len(examples) > 1 else ''}:\n{lines}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    if prints_table:
        parser.add_argument(
            "--json", action="store_true", help="print JSON instead of a table"
        )
    if connects:
        add_connection_options(parser)
    parser.set_defaults(run=run)
    return parser


def add_group(commands: Commands, name: str, *, help_text: str) -> Commands:
    """Add a command group and return the action to add its commands to."""
    parser = commands.add_parser(
        name, help=help_text, description=help_text[:1].upper() + help_text[1:] + "."
    )
    return parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
