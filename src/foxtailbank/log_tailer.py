"""Tails a stream of the log and applies its records in order."""

import random
import typing as t

import anyio

from foxtailbank.backoff import Backoff
from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.exceptions import FoxtailbankError, LogUnavailable, OffsetExpired
from foxtailbank.log_service import LogRecord, LogService
from foxtailbank.records import UnsupportedRecord

DEFAULT_MAX_BYTES = 1024 * 1024
DEFAULT_WAIT_MS = 1000
DEFAULT_RESPONSE_TIMEOUT_MS = 5000
DEFAULT_PROBE_MS = 500
BACKOFF_FIRST_MS = 50
BACKOFF_MAX_MS = 2000

Apply: t.TypeAlias = t.Callable[[LogRecord], None]
Resync: t.TypeAlias = t.Callable[[int], t.Awaitable[int]]


class LogRewound(FoxtailbankError):
    """The stream ends before records already applied, so it is not the same log."""

    code = "log_rewound"
    status = 503


class ResyncFailed(FoxtailbankError):
    """No snapshot covers the records already applied; may be retried later."""

    code = "resync_failed"
    status = 503


class LogTailer:
    """Reads a stream by long polling; the applied offset never moves backwards.

    Parameters
    ----------
    log : LogService
        Log to read from.
    stream : str
        Name of the stream.
    apply : callable
        Called with each record once, in order of offset. If it raises
        `UnsupportedRecord`, the tailer halts before that record.
    resync : callable
        Called with the next offset to apply when records are missing. It replaces
        the state with that of a snapshot and returns the offset to resume from. It
        raises `ResyncFailed` or `LogUnavailable` on failure.
    clock : Clock
        Source of time.
    rng : random.Random
        Jitter of the retry backoff.
    next_offset : int
        Offset of the first record to apply.
    max_bytes : int
        Limit on the content of one read.
    wait_ms : int
        How long the log may hold a read at the end of the stream, in milliseconds.
    response_timeout_ms : int
        Time allowed for a response in addition to `wait_ms`, in milliseconds.
    probe_ms : int
        How often the end of the stream is queried while reads never reach it, in
        milliseconds.
    backoff_first_ms, backoff_max_ms : int
        Bounds of the first and of the longest retry delay, in milliseconds.
    """

    def __init__(
        self,
        *,
        log: LogService,
        stream: str,
        apply: Apply,
        resync: Resync,
        clock: Clock,
        rng: random.Random,
        next_offset: int = 0,
        max_bytes: int = DEFAULT_MAX_BYTES,
        wait_ms: int = DEFAULT_WAIT_MS,
        response_timeout_ms: int = DEFAULT_RESPONSE_TIMEOUT_MS,
        probe_ms: int = DEFAULT_PROBE_MS,
        backoff_first_ms: int = BACKOFF_FIRST_MS,
        backoff_max_ms: int = BACKOFF_MAX_MS,
    ) -> None:
        self.next_offset = next_offset
        self.caught_up_at_ms: int | None = None
        self.halted_by: FoxtailbankError | None = None
        self.is_resyncing = False
        self._log = log
        self._stream = stream
        self._apply = apply
        self._resync = resync
        self._clock = clock
        self._max_bytes = max_bytes
        self._wait_ms = wait_ms
        self._response_timeout_ms = response_timeout_ms
        self._probe_ms = probe_ms
        self._probed_end = 0
        self._probed_at_ms: int | None = None
        self._bounds_checked = False
        self._resumed = anyio.Event()
        self._backoff = Backoff(
            initial_ms=backoff_first_ms, max_ms=backoff_max_ms, rng=rng
        )

    @property
    def is_ready(self) -> bool:
        """Whether the applied state is usable."""
        reached_end = self.caught_up_at_ms is not None
        return reached_end and not self.is_resyncing and self.halted_by is None

    def age_ms(self) -> int | None:
        """Return the age of the applied state, in milliseconds.

        Returns
        -------
        int or None
            All records appended longer ago than this are applied; None if the end
            of the stream has never been reached.
        """
        if self.caught_up_at_ms is None:
            return None
        return self._clock.now_ms() - self.caught_up_at_ms

    def apply_from_peer(self, records: t.Iterable[LogRecord]) -> bool:
        """Apply records received from a peer, up to the first gap.

        Returns
        -------
        bool
            False if there is a gap before one of the records, or if the tailer is
            halted or resynchronising.
        """
        if self.is_resyncing or self.halted_by is not None:
            return False
        return self._apply_all(records)

    def on_state_restored(self, next_offset: int) -> None:
        """Resume from an offset after the state was replaced with a peer's.

        A tailer that halted before an unsupported record resumes if the new state
        covers that record.

        Parameters
        ----------
        next_offset : int
            Offset after the last record covered by the state.
        """
        covers_more = next_offset > self.next_offset
        if covers_more and isinstance(self.halted_by, UnsupportedRecord):
            self.halted_by = None
            self._resumed.set()
            self._resumed = anyio.Event()
        self.next_offset = max(self.next_offset, next_offset)
        self.is_resyncing = False

    async def run(self) -> None:
        """Tail the stream until cancelled; wait while halted."""
        while True:
            if self.halted_by is not None:
                await self._resumed.wait()
            try:
                await self.poll()
                self._backoff.reset()
            except (LogUnavailable, OffsetExpired, ResyncFailed, TimeoutError):
                self._bounds_checked = False
                await anyio.sleep(self._backoff.next_ms() / MS_PER_S)

    async def poll(self) -> None:
        """Read once and apply the records received.

        Raises
        ------
        LogUnavailable, TimeoutError
            The log did not respond.
        ResyncFailed
            Records are missing and no usable snapshot covers them.
        """
        if self.is_resyncing:
            await self._resync_from_snapshot()
        if not self._bounds_checked:
            await self._check_bounds()
        if self.halted_by is not None:
            return
        requested_at_ms = self._clock.now_ms()
        try:
            records = await self._read()
        except OffsetExpired:
            await self._resync_from_snapshot()
            return
        if not records:
            self.caught_up_at_ms = requested_at_ms
        elif not self._apply_all(records) and self.halted_by is None:
            await self._resync_from_snapshot()
        else:
            await self._probe_end()

    async def _read(self) -> tuple[LogRecord, ...]:
        timeout_ms = self._wait_ms + self._response_timeout_ms
        with anyio.fail_after(timeout_ms / MS_PER_S):
            return await self._log.read(
                stream=self._stream,
                offset=self.next_offset,
                max_bytes=self._max_bytes,
                wait_ms=self._wait_ms,
            )

    def _apply_all(self, records: t.Iterable[LogRecord]) -> bool:
        for record in records:
            if record.offset < self.next_offset:
                continue
            if record.offset > self.next_offset:
                return False
            try:
                self._apply(record)
            except UnsupportedRecord as error:
                self.halted_by = error
                return False
            self.next_offset = record.offset + 1
        return True

    async def _resync_from_snapshot(self) -> None:
        self.is_resyncing = True
        next_offset = await self._resync(self.next_offset)
        if next_offset < self.next_offset:
            raise ResyncFailed(detail=f"snapshot ends before offset {self.next_offset}")
        self.next_offset = next_offset
        self.is_resyncing = False

    async def _probe_end(self) -> None:
        """Update the age of the state on a stream whose end reads never reach."""
        if self._probed_at_ms is None:
            age_ms = self.age_ms()
            if age_ms is not None and age_ms < self._probe_ms:
                return
            await self._check_bounds()
        if self._probed_at_ms is not None and self.next_offset >= self._probed_end:
            self.caught_up_at_ms = max(self.caught_up_at_ms or 0, self._probed_at_ms)
            self._probed_at_ms = None

    async def _check_bounds(self) -> None:
        requested_at_ms = self._clock.now_ms()
        known_offset = self.next_offset
        with anyio.fail_after(self._response_timeout_ms / MS_PER_S):
            bounds = await self._log.bounds(stream=self._stream)
        if bounds.end < known_offset:
            detail = (
                f"stream {self._stream} ends at offset {bounds.end}, before the next "
                f"offset to apply, {known_offset}"
            )
            self.halted_by = LogRewound(detail=detail)
            return
        self._bounds_checked = True
        self._probed_end, self._probed_at_ms = bounds.end, requested_at_ms
