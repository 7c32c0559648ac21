"""Bodies of answers that are held as a whole before they are passed on.

Designed for faulty workers that send bytes without end to many requests at a time: each
body has a bound, and large ones have one together.
"""

import contextlib
import typing as t

from foxtailbank.forward.worker_client import WorkerResponse
from foxtailbank.http1.body_memory import (
    UNCOUNTED_BYTES,
    BodyMemory,
    BodyReservation,
)
from foxtailbank.http1.failures import ResponseTooLarge
from foxtailbank.response_limits import MAX_BODY_BYTES

MEMORY_WAIT_MS = 1_000  # a sound large body is passed on within this time


@contextlib.asynccontextmanager
async def held_body(
    response: WorkerResponse,
    *,
    timeout_ms: float,
    memory: BodyMemory | None,
    on_part: t.Callable[[int], None],
) -> t.AsyncIterator[bytes]:
    """Read a body and hold it in the context.

    Parameters
    ----------
    response : WorkerResponse
        Response whose head has arrived.
    timeout_ms : float
        Bound on the wait for each chunk, in milliseconds.
    memory : BodyMemory or None
        Memory of all large bodies; None if it is not bounded.
    on_part : callable
        Called with the size of each part that arrives, in bytes.

    Raises
    ------
    ResponseTooLarge
        The body is over its bound, or no memory was free for it in time.
    ExchangeFailed
        As for `BodySource.next_chunk`.
    """
    reservation = BodyReservation(memory=memory)
    try:
        yield await _read(response, timeout_ms, reservation, on_part)
    finally:
        reservation.release()


async def _read(
    response: WorkerResponse,
    timeout_ms: float,
    reservation: BodyReservation,
    on_part: t.Callable[[int], None],
) -> bytes:
    chunks = []
    size = 0
    while (chunk := await response.next_chunk(timeout_ms)) is not None:
        size += len(chunk)
        on_part(len(chunk))
        if size > MAX_BODY_BYTES:
            raise ResponseTooLarge(detail=f"body over {MAX_BODY_BYTES} bytes")
        if size > UNCOUNTED_BYTES and not reservation.size_bytes:
            wait_ms = int(min(MEMORY_WAIT_MS, timeout_ms))
            if not await reservation.reserve(MAX_BODY_BYTES, wait_ms):
                raise ResponseTooLarge(detail="no memory for a large body in time")
        chunks.append(chunk)
    return b"".join(chunks)
