"""Follows a keyed log and keeps a state in step with it."""

import abc
import typing as t

import anyio

from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.events import Event
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.keyed_log import HistoryGone, KeyedLog, LogSlice
from foxtailbank.logs import LogFields, Logs
from foxtailbank.settings_sections import LogLevel

RETRY_MS = 200
LONG_POLL_MS = 800  # a poll that the store forgets delays its records no longer


class LogState(abc.ABC):
    """State that is made of a log's records."""

    @abc.abstractmethod
    def restore(self, newest: LogSlice) -> None:
        """Start anew from the newest record of each key."""

    @abc.abstractmethod
    def advance(self, part: LogSlice) -> None:
        """Take the records that follow."""


class LogFollower:
    """Reads a log by long polls and hands its records to a state.

    Parameters
    ----------
    name : str
        What is followed, for the log lines.
    log : KeyedLog
        The log.
    state : LogState
        Takes the records.
    pause_ms : int
        Pause between two reads, which bounds the calls while records keep coming.
    logs : Logs
        Takes a line when the store is lost, and when it is back.
    clock : Clock
        Source of time.
    on_return : callable, optional
        Called when the store answers again, before its records are taken.

    Attributes
    ----------
    next_offset : int
        Offset of the first record that is not in the state; -1 before the start.
    """

    def __init__(
        self,
        *,
        name: str,
        log: KeyedLog,
        state: LogState,
        pause_ms: int,
        logs: Logs,
        clock: Clock,
        on_return: t.Callable[[], None] | None = None,
    ) -> None:
        self._name = name
        self._log = log
        self._state = state
        self._pause_ms = pause_ms
        self._logs = logs
        self._clock = clock
        self._on_return = on_return
        self._changed = anyio.Event()
        self._hurry = anyio.Event()
        self._failing_since_ms: int | None = None
        self._read_ms = 0
        self.next_offset = -1

    @property
    def started(self) -> bool:
        """Whether the state was read once."""
        return self.next_offset >= 0

    @property
    def age_ms(self) -> int:
        """Milliseconds since the store last answered."""
        return self._clock.now_ms() - self._read_ms

    @property
    def failing(self) -> bool:
        """Whether the last read failed."""
        return self._failing_since_ms is not None

    async def run(self) -> None:
        """Follow the log until cancelled."""
        while True:
            try:
                if not self.started:
                    await self._restore()
                await self._poll()
            except HistoryGone as gone:
                self._on_failure(gone)
                self.next_offset = -1
            except FoxtailbankError as failure:
                self._on_failure(failure)
                await anyio.sleep(RETRY_MS / MS_PER_S)

    async def wait_change(self, timeout_ms: float) -> None:
        """Wait until records were taken, or until the time is over."""
        with anyio.move_on_after(timeout_ms / MS_PER_S):
            await self._changed.wait()

    async def wait_for(self, offset: int, timeout_ms: float) -> bool:
        """Wait until all records before an offset are in the state."""
        deadline_ms = self._clock.now_ms() + timeout_ms
        self._hurry.set()
        while self.next_offset < offset:
            left_ms = deadline_ms - self._clock.now_ms()
            if left_ms <= 0:
                return False
            await self.wait_change(left_ms)
        return True

    async def sync(self) -> None:
        """Read to the present end of the log.

        Raises
        ------
        FoxtailbankError
            The store did not answer, so the state may be old.
        """
        if not self.started:
            raise HistoryGone(detail="the state has not been read yet")
        while True:
            part = await self._log.read(start=self.next_offset, wait_ms=0)
            self._take(part)
            if self.next_offset >= part.end:
                return

    async def _restore(self) -> None:
        newest = await self._log.newest()
        self._state.restore(newest)
        self.next_offset = newest.end
        self._on_success()
        fields = LogFields(
            task=self._name, offset=newest.end, count=len(newest.records)
        )
        self._logs.write(Event.STATE_RESTORED, fields=fields)
        self._notify()

    async def _poll(self) -> None:
        hurry = self._hurry = anyio.Event()
        part = await self._log.read(start=self.next_offset, wait_ms=LONG_POLL_MS)
        self._on_success()
        self._take(part)
        if part.records:
            with anyio.move_on_after(self._pause_ms / MS_PER_S):
                await hurry.wait()

    def _take(self, part: LogSlice) -> None:
        fresh = tuple(r for r in part.records if r.offset >= self.next_offset)
        if not fresh:
            return
        self.next_offset = fresh[-1].offset + 1
        self._state.advance(LogSlice(records=fresh, end=part.end))
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _on_failure(self, failure: FoxtailbankError) -> None:
        if self._failing_since_ms is not None:
            return
        self._failing_since_ms = self._clock.now_ms()
        fields = LogFields(
            task=self._name,
            reason=f"{failure.code}: {failure.detail}",
            offset=self.next_offset,
            age_ms=self.age_ms,
        )
        self._logs.write(Event.STORE_LOST, level=LogLevel.WARNING, fields=fields)

    def _on_success(self) -> None:
        self._read_ms = self._clock.now_ms()
        if self._failing_since_ms is None:
            return
        age_ms = self._read_ms - self._failing_since_ms
        self._failing_since_ms = None
        if self._on_return is not None:
            self._on_return()
        fields = LogFields(task=self._name, age_ms=age_ms)
        self._logs.write(Event.STORE_RESTORED, fields=fields)
