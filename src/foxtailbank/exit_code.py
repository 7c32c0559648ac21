"""Exit codes of the command line."""

import enum


class ExitCode(enum.IntEnum):
    """Exit code of a command.

    Each kind of failure has its own code, so that scripts can decide what to retry.
    """

    OK = 0
    INTERNAL = 1
    USAGE = 2
    INVALID_INPUT = 3
    REFUSED = 4
    NOT_FOUND = 5
    CONFLICT = 6
    UNAVAILABLE = 7
    LIMITED = 8
    ITEMS_FAILED = 9
    TIMED_OUT = 10
    INTERRUPTED = 130


EXIT_CODE_MEANINGS = {
    ExitCode.OK: "done",
    ExitCode.INTERNAL: "unexpected failure",
    ExitCode.USAGE: "wrong use of the command line",
    ExitCode.INVALID_INPUT: "a file, setting, entry or request is invalid",
    ExitCode.REFUSED: "the key is missing, unknown or not permitted",
    ExitCode.NOT_FOUND: "no such entry, job or fingerprint",
    ExitCode.CONFLICT: "someone else changed it first, or the job was cancelled",
    ExitCode.UNAVAILABLE: "the entry VM or the platform gave no answer; try again",
    ExitCode.LIMITED: "a limit is used up; try again later",
    ExitCode.ITEMS_FAILED: "the job ended and some of its items failed",
    ExitCode.TIMED_OUT: "the job had not ended when --timeout-s was over",
    ExitCode.INTERRUPTED: "interrupted by Ctrl-C",
}


def format_exit_codes() -> str:
    """Return the exit codes and their meanings for the help text."""
    lines = [
        f"  {code.value:>3}  {meaning}" for code, meaning in EXIT_CODE_MEANINGS.items()
    ]
    return "exit codes:\n" + "\n".join(lines)
