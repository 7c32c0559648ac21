"""Command failures with cause, next step and exit code."""

import typing as t

import msgspec

from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.exit_code import ExitCode
from foxtailbank.problem import Problem

_NEXT_STEP_BY_EXIT_CODE = {
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
    """A command failed.

    Parameters
    ----------
    exit_code : ExitCode
        Exit code of the process.
    detail : str
        Cause of the failure.
    next_step : str
        Advice to the user; the default for the exit code if empty.
    problems : tuple of Problem
        Problems found in the input.
    retry_after_ms : int
        Time after which to retry, in milliseconds; 0 if unknown.
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
        self.next_step = next_step or _NEXT_STEP_BY_EXIT_CODE.get(exit_code, "")
        self.problems = problems


class ErrorReply(msgspec.Struct, frozen=True, kw_only=True):
    """Error object in the body of an entry VM's response.

    Attributes
    ----------
    code : str
        Stable error code.
    message : str
        Description of the error.
    ran : str
        Whether the request ran, such as ``no`` or ``unknown``.
    retry_after_ms : int
        Time after which to retry, in milliseconds; 0 if unknown.
    problems : tuple of Problem
        Problems found in the input.
    """

    code: str = ""
    message: str = ""
    ran: str = ""
    retry_after_ms: int = 0
    problems: tuple[Problem, ...] = ()


class _ErrorBody(msgspec.Struct, frozen=True):
    error: ErrorReply


def failure_from_response(status: int, body: bytes, *, operation: str) -> CommandFailed:
    """Convert an unsuccessful response to a failure.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes
        Response body.
    operation : str
        Method and path of the request, such as ``"GET /admin/vms"``.

    Returns
    -------
    CommandFailed
        Failure with the exit code that corresponds to the status.
    """
    exit_code = _EXIT_CODE_BY_STATUS.get(status, ExitCode.INTERNAL)
    try:
        error = msgspec.json.decode(body, type=_ErrorBody).error
    except (msgspec.DecodeError, UnicodeDecodeError):
        detail = f"{operation}: answer {status} without a reason"
        return CommandFailed(exit_code=exit_code, detail=detail)
    detail = f"{operation}: {error.code or status}: {error.message}".rstrip(": ")
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
    """Yield the lines to write to standard error."""
    yield f"foxtailbank: error: {failure.detail}"
    for item in failure.problems:
        value = f" = {item.value}" if item.value else ""
        yield f"  {item.key}{value}: {item.reason}"
    if failure.retry_after_ms:
        yield f"  come back in {failure.retry_after_ms} ms"
    if failure.next_step:
        yield f"  next: {failure.next_step}"
