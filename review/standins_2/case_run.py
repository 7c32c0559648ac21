"""Runs a case once: exit status, record and temporary folder."""

import asyncio
import collections.abc
import os
import pathlib
import tempfile
import typing as t

from review.standins_2.fleet import Fleet
from review.standins_2.record import Record

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
RECORD_NAME = "record.txt"


class Play(t.Protocol):
    """What a case does with a deployment."""

    def __call__(
        self, fleet: Fleet, *, trouble: bool
    ) -> collections.abc.Coroutine[None, None, int]:
        """Return the exit status."""


def run_case(script: str, play: Play) -> int:
    """Play a case once and return its exit status.

    Parameters
    ----------
    script : str
        File of the case; the record is written beside it.
    play : callable
        Plays it; without the disruption if TROUBLE is 0.
    """
    return asyncio.run(_run(script, play))


async def _run(script: str, play: Play) -> int:
    record = Record(pathlib.Path(script).with_name(RECORD_NAME))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as directory:
        try:
            async with Fleet(pathlib.Path(directory), record) as fleet:
                status = await play(fleet, trouble=trouble)
        except Exception as error:
            record.write("could not run", why=repr(error))
            status = COULD_NOT_RUN
    record.write("exit", status=status)
    return status
