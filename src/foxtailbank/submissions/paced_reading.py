"""Reads an item's output in fewer, larger pieces.

Answers the pattern of a standing batch on many workers: nobody waits for an item's
single events, and a wake of the loop for each of them would cost as much as the online
streams do. What comes meanwhile waits in the connection.
"""

import typing as t

import anyio

from foxtailbank.clock import MS_PER_S
from foxtailbank.http1.body_source import BodySource

PAUSE_MS = 100  # so many of the newest events run again after a yield


async def parts_of(answer: BodySource, *, gap_ms: float) -> t.AsyncIterator[bytes]:
    """Yield the pieces of an answer's body.

    Parameters
    ----------
    answer : BodySource
        The answer.
    gap_ms : float
        Longest silence, in milliseconds.

    Raises
    ------
    ExchangeFailed
        As for `BodySource.next_part`.
    """
    while (part := await answer.next_part(gap_ms)) is not None:
        yield part
        if not answer.is_complete:
            await anyio.sleep(PAUSE_MS / MS_PER_S)
