"""Follows a stream of the log and hands its records on in order."""

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
DEFAULT_ANSWER_TIMEOUT_MS = 5000
DEFAULT_PROBE_MS = 500
BACKOFF_FIRST_MS = 50
BACKOFF_MAX_MS = 2000

Apply: t.TypeAlias = t.Callable[[LogRecord], None]
Resync: t.TypeAlias = t.Callable[[int], t.Awaitable[int]]


class LogRewound(FoxtailbankError):
    """The stream ends before records that were applied; it is not the same log."""

    code = "log_rewound"
    status = 503


class ResyncFailed(FoxtailbankError):
    """No snapshot reaches beyond what has been applied; try again later."""

    code = "resync_failed"
    status = 503


class LogTailer:
    """Reads a stream by long polls and never goes below what it applied.

    Parameters
    ----------
    log : LogService
        Where to read.
    stream : str
        Name of the stream.
    apply : callable
        Takes each record once, in order of offset. If it raises
        `UnsupportedRecord`, the tailer halts before that record.
    resync : callable
        Called with the next offset wanted when records are missing: replaces
        the state by a snapshot's and returns the offset to go on from. Raises
        `ResyncFailed` or `LogUnavailable` if it could not.
    clock : Clock
        Source of time.
    rng : random.Random
        Spreads the pauses between tries.
    next_offset : int
        First offset wanted.
    max_bytes : int
        Bound on the content of one read.
    wait_ms : int
        How long the log may hold a read at the end, in milliseconds.
    answer_timeout_ms : int
        How long an answer may take beyond `wait_ms`, in milliseconds.
    probe_ms : int
        On a stream that always has more, how often its end is asked for.
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
        answer_timeout_ms: int = DEFAULT_ANSWER_TIMEOUT_MS,
        probe_ms: int = DEFAULT_PROBE_MS,
        backoff_first_ms: int = BACKOFF_FIRST_MS,
        backoff_max_ms: int = BACKOFF_MAX_MS,
    ) -> None:
        self.next_offset = next_offset
        self.fresh_at_ms: int | None = None
        self.halted_by: FoxtailbankError | None = None
        self.resyncing = False
        self._log = log
        self._stream = stream
        self._apply = apply
        self._resync = resync
        self._clock = clock
        self._max_bytes = max_bytes
        self._wait_ms = wait_ms
        self._answer_timeout_ms = answer_timeout_ms
        self._probe_ms = probe_ms
        self._probed_end = 0
        self._probed_at_ms: int | None = None
        self._bounds_checked = False
        self._resumed = anyio.Event()
        self._backoff = Backoff(
            first_ms=backoff_first_ms, max_ms=backoff_max_ms, rng=rng
        )

    @property
    def ready(self) -> bool:
        """Whether the applied state may be used."""
        reached_end = self.fresh_at_ms is not None
        return reached_end and not self.resyncing and self.halted_by is None

    def age_ms(self) -> int | None:
        """Return how old the view of the stream is, in milliseconds.

        Returns
        -------
        int or None
            Everything appended longer ago than this has been applied; None if
            the end has never been reached.
        """
        if self.fresh_at_ms is None:
            return None
        return self._clock.now_ms() - self.fresh_at_ms

    def offer(self, records: t.Iterable[LogRecord]) -> bool:
        """Apply records that a peer passed on, as far as they follow on.

        Returns
        -------
        bool
            False if records before them are missing or the tailer cannot take
            any now.
        """
        if self.resyncing or self.halted_by is not None:
            return False
        return self._apply_all(records)

    def restored(self, next_offset: int) -> None:
        """Go on from an offset, since the state was taken from a peer.

        A tailer that halted before a record that it cannot apply goes on if
        the state covers that record.

        Parameters
        ----------
        next_offset : int
            Offset after the last record that the state covers.
        """
        covers_more = next_offset > self.next_offset
        if covers_more and isinstance(self.halted_by, UnsupportedRecord):
            self.halted_by = None
            self._resumed.set()
            self._resumed = anyio.Event()
        self.next_offset = max(self.next_offset, next_offset)
        self.resyncing = False

    async def run(self) -> None:
        """Follow the stream until cancelled; while halted, wait."""
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
        """Read once and apply what came.

        Raises
        ------
        LogUnavailable, TimeoutError
            The log gave no answer.
        ResyncFailed
            Records are missing and no snapshot could replace them.
        """
        if self.resyncing:
            await self._resynchronise()
        if not self._bounds_checked:
            await self._check_bounds()
        if self.halted_by is not None:
            return
        asked_at_ms = self._clock.now_ms()
        try:
            records = await self._read()
        except OffsetExpired:
            await self._resynchronise()
            return
        if not records:
            self.fresh_at_ms = asked_at_ms
        elif not self._apply_all(records) and self.halted_by is None:
            await self._resynchronise()
        else:
            await self._probe_end()

    async def _read(self) -> tuple[LogRecord, ...]:
        timeout_ms = self._wait_ms + self._answer_timeout_ms
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

    async def _resynchronise(self) -> None:
        self.resyncing = True
        next_offset = await self._resync(self.next_offset)
        if next_offset < self.next_offset:
            raise ResyncFailed(detail=f"snapshot ends before {self.next_offset}")
        self.next_offset = next_offset
        self.resyncing = False

    async def _probe_end(self) -> None:
        """Learn on a busy stream up to when everything has been applied."""
        if self._probed_at_ms is None:
            age_ms = self.age_ms()
            if age_ms is not None and age_ms < self._probe_ms:
                return
            await self._check_bounds()
        if self._probed_at_ms is not None and self.next_offset >= self._probed_end:
            self.fresh_at_ms = max(self.fresh_at_ms or 0, self._probed_at_ms)
            self._probed_at_ms = None

    async def _check_bounds(self) -> None:
        asked_at_ms = self._clock.now_ms()
        known_offset = self.next_offset
        with anyio.fail_after(self._answer_timeout_ms / MS_PER_S):
            bounds = await self._log.bounds(stream=self._stream)
        if bounds.end < known_offset:
            self.halted_by = LogRewound(detail=f"{self._stream} ends at {bounds.end}")
            return
        self._bounds_checked = True
        self._probed_end, self._probed_at_ms = bounds.end, asked_at_ms
