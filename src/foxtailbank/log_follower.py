"""Follows a keyed log and applies its records to a state."""

import abc
import typing as t

import anyio

from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.events import Event
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.keyed_log import HistoryTruncated, KeyedLog, LogSlice
from foxtailbank.logs import LogFields, Logs
from foxtailbank.settings_sections import LogLevel
from foxtailbank.shared_read import SharedRead
from foxtailbank.tasks import describe_error

RETRY_MS = 200
LONG_POLL_MS = 800  # bounds the delay if the store misses new records for a poll
BACKLOG_WAIT_MS = 350  # leaves a caller time for a read of its own
SYNC_TIMEOUT_MS = 700  # two fit into the time that callers wait beyond their limit


class LogState(abc.ABC):
    """State that is built from a log's records."""

    @abc.abstractmethod
    def restore(self, newest: LogSlice) -> None:
        """Replace the state by that of the newest record of each key."""

    @abc.abstractmethod
    def apply_records(self, part: LogSlice) -> None:
        """Apply the records that follow."""


class LogFollower:
    """Reads a log by long polling and applies its records to a state.

    Parameters
    ----------
    name : str
        Name of what is followed, for log lines.
    log : KeyedLog
        The log to read.
    state : LogState
        State that the records are applied to.
    pause_ms : int
        Pause after a read that returned the last records of the log, in milliseconds.
        It bounds the calls to the store while records keep coming.
    logs : Logs
        Receives a line when the store stops answering and when it answers again.
    clock : Clock
        Source of time.
    on_recovery : callable, optional
        Called when the store answers again, before its records are applied.

    Attributes
    ----------
    next_offset : int
        Offset of the first record that is not in the state; -1 before the state is
        restored.
    known_end : int
        End of the log in the last answer of the store; -1 before the first one.
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
        on_recovery: t.Callable[[], None] | None = None,
    ) -> None:
        self._name = name
        self._log = log
        self._state = state
        self._pause_ms = pause_ms
        self._logs = logs
        self._clock = clock
        self._on_recovery = on_recovery
        self._catch_up_listeners: list[t.Callable[[], None]] = []
        self._changed = anyio.Event()
        self._skip_pause = anyio.Event()
        self._awaited_offset = 0
        self._failing_since_ms: int | None = None
        self._last_read_ms = 0
        self._complete_ms: int | None = None
        self._restore_count = 0
        self._shared_read = SharedRead(
            read=self._read_to_end,
            timeout_ms=SYNC_TIMEOUT_MS,
            retry_ms=RETRY_MS,
            clock=clock,
        )
        self.next_offset = -1
        self.known_end = -1

    @property
    def is_restored(self) -> bool:
        """Whether the state has been restored."""
        return self.next_offset >= 0

    @property
    def has_caught_up(self) -> bool:
        """Whether the state has held the whole log since it was last restored."""
        return self._complete_ms is not None

    @property
    def age_ms(self) -> int:
        """Milliseconds since the store last answered."""
        return self._clock.now_ms() - self._last_read_ms

    @property
    def state_age_ms(self) -> int | None:
        """Milliseconds since the state held the whole log, at most; None if unknown.

        Counted from when the last read was sent whose response reached the end of the
        log, so that a suspension of this VM during the read counts as well.
        """
        if self._complete_ms is None:
            return None
        return self._clock.now_ms() - self._complete_ms

    @property
    def is_failing(self) -> bool:
        """Whether the last read failed."""
        return self._failing_since_ms is not None

    @property
    def has_backlog(self) -> bool:
        """Whether the log is known to hold records that are not in the state."""
        return self.next_offset < self.known_end

    def add_catch_up_listener(self, listener: t.Callable[[], None]) -> None:
        """Call a function each time the state has caught up after a restore."""
        self._catch_up_listeners.append(listener)

    async def run(self) -> None:
        """Follow the log until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._shared_read.serve)
            group.start_soon(self._follow)

    async def _follow(self) -> None:
        history_lost = False
        while True:
            try:
                if not self.is_restored:
                    await self._restore()
                await self._poll()
                history_lost = False
            except HistoryTruncated as failure:
                self._on_failure(failure)
                self.next_offset = -1
                if history_lost:
                    await anyio.sleep(RETRY_MS / MS_PER_S)
                history_lost = True
            except FoxtailbankError as failure:
                self._on_failure(failure)
                await anyio.sleep(RETRY_MS / MS_PER_S)
            except Exception as error:
                fields = LogFields(task=self._name, reason=describe_error(error))
                self._logs.write(
                    Event.INTERNAL_ERROR, level=LogLevel.ERROR, fields=fields
                )
                await anyio.sleep(RETRY_MS / MS_PER_S)

    async def wait_for_change(self, timeout_ms: float) -> None:
        """Wait until records were applied, at most for a time in milliseconds."""
        with anyio.move_on_after(timeout_ms / MS_PER_S):
            await self._changed.wait()

    async def wait_for_offset(self, offset: int, timeout_ms: float) -> bool:
        """Wait until all records before an offset are in the state.

        Parameters
        ----------
        offset : int
            Offset after the last record to wait for.
        timeout_ms : float
            Longest wait in milliseconds.

        Returns
        -------
        bool
            False if the wait timed out.
        """
        deadline_ms = self._clock.now_ms() + timeout_ms
        self._await_offset(offset)
        while self.next_offset < offset:
            remaining_ms = deadline_ms - self._clock.now_ms()
            if remaining_ms <= 0:
                return False
            await self.wait_for_change(remaining_ms)
        return True

    async def sync(self) -> None:
        """Apply all records that the log holds at the time of the call.

        Concurrent callers share a read unless it was sent before their call.

        Raises
        ------
        FoxtailbankError
            The store did not answer in time, so the state may be out of date.
        """
        await self._shared_read.run()

    async def refresh(self, max_age_ms: int) -> None:
        """Read the log to its end unless the state is recent.

        Concurrent callers share a read, also one that was sent before their call.

        Parameters
        ----------
        max_age_ms : int
            Greatest `state_age_ms` on return.

        Raises
        ------
        FoxtailbankError
            The store did not answer in time, so the state may be older.
        """
        await self._shared_read.run_until(lambda: self.is_recent(max_age_ms))

    def is_recent(self, max_age_ms: int) -> bool:
        """Whether `state_age_ms` is known and at most so many milliseconds."""
        age_ms = self.state_age_ms
        return age_ms is not None and age_ms <= max_age_ms

    async def _read_to_end(self) -> None:
        while True:
            if not self.is_restored:
                raise HistoryTruncated(detail="the state has not been read yet")
            await self._wait_for_backlog()
            sent_ms = self._clock.now_ms()
            restore_count = self._restore_count
            part = await self._log.read(start=self.next_offset, wait_ms=0)
            if restore_count != self._restore_count:
                raise HistoryTruncated(detail="the state was restored during the read")
            self._apply_new(part, sent_ms=sent_ms)
            if self.next_offset >= part.end:
                return

    async def _wait_for_backlog(self) -> None:
        """Leave a known backlog to `run` as long as its reads come back.

        A second read of the same records would slow these down. It is sent only if
        none came back for a while, as their connection may be broken.
        """
        self._await_offset(self.known_end)
        while self.has_backlog and not self.is_failing:
            with anyio.move_on_after(BACKLOG_WAIT_MS / MS_PER_S) as wait:
                await self._changed.wait()
            if wait.cancelled_caught:
                return

    async def _restore(self) -> None:
        requested_ms = self._clock.now_ms()
        newest = await self._log.read_newest()
        self._state.restore(newest)
        self._restore_count += 1
        self.next_offset = self.known_end = newest.end
        # The newest records come in pages that are no snapshot: a key that is replaced
        # meanwhile is missing until the records after them are read.
        self._complete_ms = None
        self._on_success()
        fields = LogFields(
            task=self._name,
            offset=newest.end,
            count=len(newest.records),
            duration_ms=self._clock.now_ms() - requested_ms,
        )
        self._logs.write(Event.STATE_RESTORED, fields=fields)
        self._notify()

    async def _poll(self) -> None:
        sent_ms = self._clock.now_ms()
        wait_ms = LONG_POLL_MS if self.has_caught_up else 0
        part = await self._log.read(start=self.next_offset, wait_ms=wait_ms)
        self._on_success()
        self._apply_new(part, sent_ms=sent_ms)
        if part.records and self.next_offset >= max(part.end, self._awaited_offset):
            await self._pause()

    async def _pause(self) -> None:
        self._skip_pause = anyio.Event()
        with anyio.move_on_after(self._pause_ms / MS_PER_S):
            await self._skip_pause.wait()

    def _await_offset(self, offset: int) -> None:
        """Read without a pause until an offset is reached."""
        self._awaited_offset = max(self._awaited_offset, offset)
        if self.next_offset < offset:
            self._skip_pause.set()

    def _apply_new(self, part: LogSlice, *, sent_ms: int) -> None:
        self.known_end = max(self.known_end, part.end)
        if not self.is_restored:
            return  # the state that the records follow is being replaced
        new_records = tuple(r for r in part.records if r.offset >= self.next_offset)
        if new_records:
            self.next_offset = new_records[-1].offset + 1
            self._state.apply_records(LogSlice(records=new_records, end=part.end))
        if self.next_offset >= part.end:
            self._on_complete(sent_ms)
        if new_records:
            self._notify()

    def _on_complete(self, sent_ms: int) -> None:
        had_caught_up = self.has_caught_up
        self._complete_ms = max(sent_ms, self._complete_ms or 0)
        if had_caught_up:
            return
        fields = LogFields(task=self._name, offset=self.next_offset)
        self._logs.write(Event.STATE_CAUGHT_UP, fields=fields)
        for listener in self._catch_up_listeners:
            listener()

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
        self._last_read_ms = self._clock.now_ms()
        if self._failing_since_ms is None:
            return
        age_ms = self._last_read_ms - self._failing_since_ms
        self._failing_since_ms = None
        if self._on_recovery is not None:
            self._on_recovery()
        fields = LogFields(task=self._name, age_ms=age_ms)
        self._logs.write(Event.STORE_RESTORED, fields=fields)
