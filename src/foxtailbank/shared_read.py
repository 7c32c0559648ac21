"""Reads that concurrent callers share."""

import typing as t

import anyio

from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.keyed_log import StoreResponseLost


class SharedRead:
    """Runs one read at a time for all its callers.

    The reads run in a task of their own, so that a caller that gives up ends no read
    that others wait for. A failure is shared too, so that many callers do not each call
    a store that is unavailable.

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
        self._requested = anyio.Event()
        self._finished = anyio.Event()
        self._is_reading = False
        self._started_count = 0
        self._last_completed = 0
        self._failure: FoxtailbankError | None = None
        self._failed_ms = 0

    async def serve(self) -> None:
        """Run the reads that callers ask for until cancelled."""
        while True:
            await self._requested.wait()
            self._requested = anyio.Event()
            await self._read_once()
            self._finished.set()
            self._finished = anyio.Event()

    async def run(self) -> None:
        """Return once a read has completed that was sent after the call.

        Raises
        ------
        FoxtailbankError
            A read failed or did not complete in time.
        """
        await self.run_until(lambda: False)

    async def run_until(self, is_done: t.Callable[[], bool]) -> None:
        """Return once a condition holds or a read sent after the call has completed.

        No read is sent if the condition holds already.

        Raises
        ------
        FoxtailbankError
            A read failed, or none completed in time.
        """
        last_started = self._started_count
        called_ms = self._clock.now_ms()
        with anyio.move_on_after(self._timeout_ms / MS_PER_S):
            while not is_done() and self._last_completed <= last_started:
                self._raise_recent_failure()
                if not self._is_reading:
                    self._requested.set()
                await self._finished.wait()
        if is_done():
            return
        # The timer does not run while this VM is suspended.
        is_late = self._clock.now_ms() - called_ms > self._timeout_ms
        if is_late or self._last_completed <= last_started:
            raise StoreResponseLost(detail="the read did not complete in time")

    async def _read_once(self) -> None:
        self._started_count += 1
        self._is_reading = True
        try:
            await self._read()
        except FoxtailbankError as failure:
            self._failure = failure
            self._failed_ms = self._clock.now_ms()
        else:
            self._failure = None
            self._last_completed = self._started_count
        finally:
            self._is_reading = False

    def _raise_recent_failure(self) -> None:
        if self._failure is None:
            return
        if self._clock.now_ms() - self._failed_ms < self._retry_ms:
            raise self._failure
