"""Periodic work of the daemon."""

import logging
import typing as t

import anyio

from foxtailbank.clock import MS_PER_S
from foxtailbank.exceptions import FoxtailbankError

_log = logging.getLogger(__name__)


async def every(
    *, period_ms: int, work: t.Callable[[], t.Awaitable[None]], name: str
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
    """
    while True:
        try:
            await work()
        except FoxtailbankError as failure:
            _log.info("task_failed", extra={"task": name, "reason": failure.code})
        except Exception:
            _log.exception("task_broken", extra={"task": name})
        await anyio.sleep(period_ms / MS_PER_S)
