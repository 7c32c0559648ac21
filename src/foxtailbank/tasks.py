"""Periodic background tasks of the daemon."""

import dataclasses
import traceback
import typing as t

import anyio

from foxtailbank.clock import MS_PER_S
from foxtailbank.events import Event
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.logs import LogFields, Logs
from foxtailbank.settings_sections import LogLevel

MIN_RESTART_PAUSE_MS = 100
MAX_RESTART_PAUSE_MS = 1_600
MAX_REPR_CHARS = 160
INNERMOST_FRAMES = 3  # of a trace that a log line names


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeriodicTask:
    """Work that is repeated at a fixed pause.

    Attributes
    ----------
    name : str
        Name of the task in log lines.
    period_ms : int
        Pause between the end of a run and the next start, in milliseconds.
    work : callable
        Coroutine function without arguments.
    """

    name: str
    period_ms: int
    work: t.Callable[[], t.Awaitable[None]]


async def run_periodically(task: PeriodicTask, logs: Logs) -> None:
    """Run a task periodically; failures are logged and do not stop it.

    Parameters
    ----------
    task : PeriodicTask
        Task to run.
    logs : Logs
        Receives a line when failures begin and when their reason changes.
    """
    last_reason = ""
    while True:
        reason = ""
        try:
            await task.work()
        except FoxtailbankError as failure:
            reason = failure.code
            if reason != last_reason:
                fields = LogFields(task=task.name, reason=f"{reason}: {failure.detail}")
                logs.write(Event.TASK_FAILED, level=LogLevel.WARNING, fields=fields)
        except Exception as error:
            reason = type(error).__name__
            if reason != last_reason:
                fields = LogFields(task=task.name, reason=describe_error(error))
                logs.write(Event.INTERNAL_ERROR, level=LogLevel.ERROR, fields=fields)
        last_reason = reason
        await anyio.sleep(task.period_ms / MS_PER_S)


async def run_supervised(
    name: str, work: t.Callable[[], t.Awaitable[None]], logs: Logs
) -> None:
    """Run a task until it returns or is cancelled; after an error, run it again.

    Parameters
    ----------
    name : str
        Name of the task in log lines.
    work : callable
        Coroutine function without arguments.
    logs : Logs
        Receives a line for each error.
    """
    pause_ms = MIN_RESTART_PAUSE_MS
    while True:
        try:
            await work()
            return
        except Exception as error:
            fields = LogFields(
                task=name, reason=describe_error(error), wait_ms=pause_ms
            )
            logs.write(Event.INTERNAL_ERROR, level=LogLevel.ERROR, fields=fields)
        await anyio.sleep(pause_ms / MS_PER_S)
        pause_ms = min(2 * pause_ms, MAX_RESTART_PAUSE_MS)


def describe_error(error: BaseException) -> str:
    """Describe an unexpected error and where it was raised.

    Parameters
    ----------
    error : BaseException
        The error; of a group, the first member is described.
    """
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    frames = traceback.extract_tb(error.__traceback__)[-INNERMOST_FRAMES:]
    trace = " < ".join(f"{frame.name}:{frame.lineno}" for frame in reversed(frames))
    return f"{repr(error)[:MAX_REPR_CHARS]} at {trace}"
