"""Periodic work of the daemon."""

import traceback
import typing as t

import anyio

from foxtailbank.clock import MS_PER_S
from foxtailbank.events import Event
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.logs import LogFields, Logs
from foxtailbank.settings_sections import LogLevel


async def every(
    *,
    period_ms: int,
    work: t.Callable[[], t.Awaitable[None]],
    name: str,
    logs: Logs,
) -> None:
    """Do work again and again; a failure is logged and does not end it.

    Parameters
    ----------
    period_ms : int
        Pause between two runs, in milliseconds.
    work : callable
        Coroutine function without arguments.
    name : str
        Name of the work in the log.
    logs : Logs
        Takes a line when the work starts to fail, and when it fails otherwise.
    """
    last_reason = ""
    while True:
        reason = ""
        try:
            await work()
        except FoxtailbankError as failure:
            reason = failure.code
            if reason != last_reason:
                fields = LogFields(task=name, reason=f"{reason}: {failure.detail}")
                logs.write(Event.TASK_FAILED, level=LogLevel.WARNING, fields=fields)
        except Exception as error:
            reason = type(error).__name__
            if reason != last_reason:
                fields = LogFields(task=name, reason=describe(error))
                logs.write(Event.INTERNAL_ERROR, level=LogLevel.ERROR, fields=fields)
        last_reason = reason
        await anyio.sleep(period_ms / MS_PER_S)


def describe(error: BaseException) -> str:
    """Return an unexpected error with the place where it was raised.

    Parameters
    ----------
    error : BaseException
        The error; of a group, its first member is described.
    """
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    frame = traceback.extract_tb(error.__traceback__)[-1]
    return f"{error!r} at {frame.name}:{frame.lineno}"
