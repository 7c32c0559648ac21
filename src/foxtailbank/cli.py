"""Command line for operators and callers."""

import argparse
import collections.abc
import os
import sys
import typing as t

from foxtailbank import __version__
from foxtailbank.cli_batch import add_batch
from foxtailbank.cli_catalogue import add_catalogue
from foxtailbank.cli_check import add_check
from foxtailbank.cli_context import Context
from foxtailbank.cli_explain import add_explain
from foxtailbank.cli_failure import CommandFailed, failure_lines
from foxtailbank.cli_fleet import add_fleet
from foxtailbank.cli_report import add_report
from foxtailbank.cli_story import add_story
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.exit_code import ExitCode, format_exit_codes


def build_parser() -> argparse.ArgumentParser:
    """Build the parser with all commands."""
    parser = argparse.ArgumentParser(
        prog="foxtailbank",
        description="Operate and use a foxtailbank fleet.",
        epilog="example:\n  foxtailbank catalogue list --address 127.0.0.1:8401\n\n"
        + format_exit_codes(),
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(dest="group", required=True, metavar="COMMAND")
    add_check(commands)
    add_catalogue(commands)
    add_batch(commands)
    add_fleet(commands)
    add_report(commands)
    add_story(commands)
    add_explain(commands)
    return parser


def run(arguments: collections.abc.Sequence[str], context: Context) -> int:
    """Run one command.

    Parameters
    ----------
    arguments : sequence of str
        Command-line arguments without the program name.
    context : Context
        Streams, environment and time source.

    Returns
    -------
    int
        An `ExitCode`.
    """
    options = build_parser().parse_args(arguments)
    try:
        return int(options.run(options, context))
    except CommandFailed as failure:
        return _print_failure(failure, context)
    except FoxtailbankError as error:
        internal = CommandFailed(exit_code=ExitCode.INTERNAL, detail=error.detail)
        return _print_failure(internal, context)
    except KeyboardInterrupt:
        return int(ExitCode.INTERRUPTED)


def _print_failure(failure: CommandFailed, context: Context) -> int:
    for line in failure_lines(failure):
        context.write_progress(line)
    return int(failure.exit_code)


def main(arguments: collections.abc.Sequence[str] | None = None) -> int:
    """Entry point of the program.

    Parameters
    ----------
    arguments : sequence of str, optional
        Command-line arguments without the program name; ``sys.argv[1:]`` if None.

    Returns
    -------
    int
        An `ExitCode`.
    """
    argv: t.Sequence[str] = sys.argv[1:] if arguments is None else arguments
    context = Context(
        stdin=sys.stdin.buffer,
        stdout=sys.stdout,
        stderr=sys.stderr,
        environment=os.environ,
    )
    try:
        return run(argv, context)
    except BrokenPipeError:
        sys.stderr.close()
        return int(ExitCode.OK)


if __name__ == "__main__":
    sys.exit(main())
