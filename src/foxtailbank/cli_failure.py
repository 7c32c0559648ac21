"""Failures of commands: cause, next step and exit code."""

import typing as t

import msgspec

from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.exit_code import ExitCode
from foxtailbank.problem import Problem

_NEXT_STEPS = {
    ExitCode.INVALID_INPUT: "correct what is named and run the command again",
    ExitCode.REFUSED: "give a valid key by flag, environment or profile",
    ExitCode.NOT_FOUND: "check the name; list what there is",
    ExitCode.CONFLICT: "read the current state and decide anew",
    ExitCode.UNAVAILABLE: "try another entry VM with --address, or wait",
    ExitCode.LIMITED: "wait, or have the entry's limits raised",
    ExitCode.TIMED_OUT: "the job goes on; run the command again to keep waiting",
}
_EXIT_CODE_BY_STATUS = {
    400: ExitCode.INVALID_INPUT,
    401: ExitCode.REFUSED,
    403: ExitCode.REFUSED,
    404: ExitCode.NOT_FOUND,
    409: ExitCode.CONFLICT,
    413: ExitCode.INVALID_INPUT,
    422: ExitCode.INVALID_INPUT,
    429: ExitCode.LIMITED,
    502: ExitCode.UNAVAILABLE,
    503: ExitCode.UNAVAILABLE,
    504: ExitCode.UNAVAILABLE,
}


class CommandFailed(FoxtailbankError):
    """A command could not do what it was asked to.

    Parameters
    ----------
    exit_code : ExitCode
        Kind of failure.
    detail : str
        The cause.
    next_step : str
        What to do; the usual step for the kind of failure if empty.
    problems : tuple of Problem
        What is wrong with the input, one by one.
    retry_after_ms : int
        Milliseconds after which a new try is welcome; 0 if not told.
    """

    code = "command_failed"

    def __init__(
        self,
        *,
        exit_code: ExitCode,
        detail: str,
        next_step: str = "",
        problems: tuple[Problem, ...] = (),
        retry_after_ms: int = 0,
    ) -> None:
        super().__init__(detail=detail, retry_after_ms=retry_after_ms)
        self.exit_code = exit_code
        self.next_step = next_step or _NEXT_STEPS.get(exit_code, "")
        self.problems = problems


class ErrorReply(msgspec.Struct, frozen=True, kw_only=True):
    """Error of an entry VM, as it stands in the body of an answer.

    Attributes
    ----------
    code : str
        Stable code.
    message : str
        What happened.
    ran : str
        Whether the request ran.
    retry_after_ms : int
        When a new try is welcome.
    problems : tuple of Problem
        What is wrong with the input.
    """

    code: str = ""
    message: str = ""
    ran: str = ""
    retry_after_ms: int = 0
    problems: tuple[Problem, ...] = ()


class _ErrorBody(msgspec.Struct, frozen=True):
    error: ErrorReply


def failure_of_answer(status: int, body: bytes, *, what: str) -> CommandFailed:
    """Describe an answer that is not a success.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes
        Body of the answer.
    what : str
        What was asked for, ``"GET /admin/vms"``.

    Returns
    -------
    CommandFailed
        With the exit code that fits the status.
    """
    exit_code = _EXIT_CODE_BY_STATUS.get(status, ExitCode.INTERNAL)
    try:
        error = msgspec.json.decode(body, type=_ErrorBody).error
    except (msgspec.DecodeError, UnicodeDecodeError):
        detail = f"{what}: answer {status} without a reason"
        return CommandFailed(exit_code=exit_code, detail=detail)
    detail = f"{what}: {error.code or status}: {error.message}".rstrip(": ")
    if error.ran == "no":
        detail += " (not run)"
    if error.ran == "unknown" and exit_code is ExitCode.UNAVAILABLE:
        detail += " (it may have run)"
    return CommandFailed(
        exit_code=exit_code,
        detail=detail,
        problems=error.problems,
        retry_after_ms=error.retry_after_ms,
    )


def failure_lines(failure: CommandFailed) -> t.Iterator[str]:
    """Yield the lines that are written to standard error."""
    yield f"foxtailbank: error: {failure.detail}"
    for item in failure.problems:
        value = f" = {item.value}" if item.value else ""
        yield f"  {item.key}{value}: {item.reason}"
    if failure.retry_after_ms:
        yield f"  come back in {failure.retry_after_ms} ms"
    if failure.next_step:
        yield f"  next: {failure.next_step}"
