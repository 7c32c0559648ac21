"""Reads that concurrent callers share."""

import typing as t

import anyio

from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.keyed_log import StoreRefused, StoreResponseLost


class SharedRead:
    """Runs one read at a time for all its callers.

    Callers wait for the read in progress and send another only if that one was not
    enough for them. A failure is shared too, so that many callers do not each call a
    store that is unavailable.

    Parameters
    ----------
    read : callable
        Coroutine function that reads.
    timeout_ms : int
        Longest wait of a caller, in milliseconds.
    retry_ms : int
        Time after a failure in which no read is sent, in milliseconds.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        read: t.Callable[[], t.Awaitable[None]],
        timeout_ms: int,
        retry_ms: int,
        clock: Clock,
    ) -> None:
        self._read = read
        self._timeout_ms = timeout_ms
        self._retry_ms = retry_ms
        self._clock = clock
        self._lock = anyio.Lock()
        self._started_count = 0
        self._last_completed = 0
        self._failed_ms: int | None = None

    async def run(self) -> None:
        """Return once a read has completed that was sent after the call.

        Raises
        ------
        FoxtailbankError
            The read failed or did not complete in time.
        """
        last_started = self._started_count
        await self.run_until(lambda: self._last_completed > last_started)

    async def run_until(self, is_done: t.Callable[[], bool]) -> None:
        """Read until a condition holds; send no read if it holds already.

        Raises
        ------
        FoxtailbankError
            A read failed or the condition did not hold in time.
        """
        if is_done():
            return
        with anyio.move_on_after(self._timeout_ms / MS_PER_S):
            async with self._lock:
                while not is_done():
                    await self._run_once()
            return
        self._failed_ms = self._clock.now_ms()
        raise StoreResponseLost(detail="the read did not complete in time")

    async def _run_once(self) -> None:
        if self._has_just_failed():
            raise StoreRefused(detail="the last read failed")
        self._started_count += 1
        number = self._started_count
        try:
            await self._read()
        except FoxtailbankError:
            self._failed_ms = self._clock.now_ms()
            raise
        self._last_completed = number

    def _has_just_failed(self) -> bool:
        if self._failed_ms is None:
            return False
        return self._clock.now_ms() - self._failed_ms < self._retry_ms
