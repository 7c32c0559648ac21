"""Reads an item's output in fewer, larger chunks.

Designed for a long-running batch on many workers: no caller waits for an item's
individual events, and waking the event loop for each would cost as much as the online
streams. Data that arrives during a pause stays buffered in the connection.
"""

import typing as t

import anyio

from foxtailbank.clock import MS_PER_S
from foxtailbank.http1.body_source import BodySource

# On preemption, up to this much of an item's newest output is unread and runs again.
READ_PAUSE_MS = 100


async def read_paced(answer: BodySource, *, gap_ms: float) -> t.AsyncIterator[bytes]:
    """Yield the chunks of a response body.

    Parameters
    ----------
    answer : BodySource
        Response to read.
    gap_ms : float
        Maximum wait for a chunk, in milliseconds.

    Raises
    ------
    ExchangeFailed
        As for `BodySource.next_chunk`.
    """
    while (part := await answer.next_chunk(gap_ms)) is not None:
        yield part
        if not answer.is_complete:
            await anyio.sleep(READ_PAUSE_MS / MS_PER_S)
