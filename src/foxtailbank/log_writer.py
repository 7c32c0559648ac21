"""Appends the ledger entries of one VM incarnation in order, in batches."""

import collections
import math
import random
import typing as t

import anyio
import msgspec

from foxtailbank.backoff import Backoff
from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.exceptions import LogUnavailable, Ran
from foxtailbank.ledger_events import LedgerEvent
from foxtailbank.log_service import LogService
from foxtailbank.records import SCHEMA, AnyEntry, encode_entry

DEFAULT_MAX_QUEUE_BYTES = 4 * 1024 * 1024
DEFAULT_ATTEMPT_TIMEOUT_MS = 5000
BACKOFF_FIRST_MS = 50
BACKOFF_MAX_MS = 5000

Events: t.TypeAlias = tuple[LedgerEvent, ...]
LateCallback: t.TypeAlias = t.Callable[[Events], None]


class LogQueueFull(LogUnavailable):
    """The append queue is full; the entry was not queued."""

    code = "log_queue_full"


class AppendOutcomeUnknown(LogUnavailable):
    """The entry was sent but not applied in time; it may still take effect."""

    code = "append_outcome_unknown"


class _RawEnvelope(msgspec.Struct, frozen=True, array_like=True):
    """`records.Envelope` with entries that are already encoded."""

    schema: int
    incarnation: str
    sequence: int
    entries: tuple[msgspec.Raw, ...]


class _PendingEntry:
    """One entry that is queued or being appended."""

    __slots__ = ("data", "events", "on_late", "resolved", "sent", "urgent")

    def __init__(self, *, data: bytes, urgent: bool) -> None:
        self.data = data
        self.urgent = urgent
        self.sent = False
        self.resolved: anyio.Event | None = None
        self.events: Events | None = None
        self.on_late: LateCallback | None = None

    def resolve(self, events: Events | None) -> None:
        """Wake the waiter; `events` is None if the outcome is unknown."""
        self.events = events
        if self.resolved is not None:
            self.resolved.set()
        elif self.on_late is not None and events is not None:
            self.on_late(events)


class _InFlightAppend:
    """The envelope being appended."""

    __slots__ = ("applied", "attempt", "sequence")

    def __init__(self, *, sequence: int) -> None:
        self.sequence = sequence
        self.applied = anyio.Event()
        self.attempt: anyio.CancelScope | None = None

    def confirm(self) -> None:
        """Cancel the current attempt, since the record is known to be in the log."""
        self.applied.set()
        if self.attempt is not None:
            self.attempt.cancel()


class LogWriter:
    """Appends entries under (incarnation, sequence), one append at a time.

    Entries queued while an append is in flight are batched into the next record.
    An unconfirmed append is retried with the same sequence until it is confirmed
    or the local replay has applied it. Replay drops the duplicates by their
    sequence, and entries keep their order.

    Parameters
    ----------
    log : LogService
        Log to append to.
    stream : str
        Name of the ledger stream.
    incarnation : str
        Identifies this run of this VM; never reused.
    clock : Clock
        Source of time.
    rng : random.Random
        Jitter of the retry backoff.
    linger_ms : int
        How long an entry that is not urgent is held back for batching, in
        milliseconds.
    max_bytes : int
        Limit on the size of the entries in one record; a larger entry gets a record
        of its own.
    max_queue_bytes : int
        Limit on the size of the queued entries.
    attempt_timeout_ms : int
        Timeout of one append attempt, in milliseconds.
    backoff_first_ms, backoff_max_ms : int
        Bounds of the first and of the longest retry delay, in milliseconds.
    """

    def __init__(
        self,
        *,
        log: LogService,
        stream: str,
        incarnation: str,
        clock: Clock,
        rng: random.Random,
        linger_ms: int,
        max_bytes: int,
        max_queue_bytes: int = DEFAULT_MAX_QUEUE_BYTES,
        attempt_timeout_ms: int = DEFAULT_ATTEMPT_TIMEOUT_MS,
        backoff_first_ms: int = BACKOFF_FIRST_MS,
        backoff_max_ms: int = BACKOFF_MAX_MS,
    ) -> None:
        self.incarnation = incarnation
        self._min_interval_ms = 0
        self._log = log
        self._stream = stream
        self._clock = clock
        self._linger_ms = linger_ms
        self._max_bytes = max_bytes
        self._max_queue_bytes = max_queue_bytes
        self._attempt_timeout_s = attempt_timeout_ms / MS_PER_S
        self._backoff = Backoff(
            initial_ms=backoff_first_ms, max_ms=backoff_max_ms, rng=rng
        )
        self._queue: collections.deque[_PendingEntry] = collections.deque()
        self._queued_bytes = 0
        self._oldest_queued_ms = 0
        self._last_attempt_ms = -math.inf
        self._sequence = 0
        self._in_flight: _InFlightAppend | None = None
        self._unapplied_by_sequence: dict[int, tuple[_PendingEntry, ...]] = {}
        self._changed = anyio.Event()

    @property
    def queued_bytes(self) -> int:
        """Size of the queued entries, in bytes."""
        return self._queued_bytes

    @property
    def min_interval_ms(self) -> int:
        """Minimum time between the starts of two appends, in milliseconds.

        Keeps the fleet within the log's rate limit: set to the number of VMs divided
        by the number of appends per second that the log accepts.
        """
        return self._min_interval_ms

    @min_interval_ms.setter
    def min_interval_ms(self, interval_ms: int) -> None:
        self._min_interval_ms = interval_ms
        self._notify()

    @property
    def is_idle(self) -> bool:
        """Whether nothing is queued or in flight."""
        return not self._queue and self._in_flight is None

    def submit(self, entry: AnyEntry, *, urgent: bool = False) -> None:
        """Queue an entry without waiting for its outcome.

        Parameters
        ----------
        entry : AnyEntry
            Entry to append.
        urgent : bool
            Whether to send it without waiting for `linger_ms`.

        Raises
        ------
        LogQueueFull
            The entry was not queued.
        """
        self._enqueue(entry, urgent=urgent)

    async def append(
        self,
        entry: AnyEntry,
        *,
        timeout_ms: int,
        urgent: bool = True,
        on_late: LateCallback | None = None,
    ) -> Events:
        """Append an entry and wait until the local replay has applied it.

        Parameters
        ----------
        entry : AnyEntry
            Entry to append.
        timeout_ms : int
            How long to wait for the outcome, in milliseconds.
        urgent : bool
            Whether to send it without waiting for `linger_ms`.
        on_late : callable, optional
            Called with the events if the entry is applied after the wait has ended;
            it must release a claim that the entry won, for nobody else will.

        Returns
        -------
        tuple of LedgerEvent
            Changes made by the entry.

        Raises
        ------
        LogQueueFull
            The entry was not queued.
        AppendOutcomeUnknown
            The entry may still take effect.
        LogUnavailable
            The entry was withdrawn from the queue before it was sent.
        """
        pending = self._enqueue(entry, urgent=urgent)
        pending.resolved = anyio.Event()
        pending.on_late = on_late
        try:
            with anyio.move_on_after(timeout_ms / MS_PER_S):
                await pending.resolved.wait()
        except BaseException:
            self._abandon_wait(pending)
            if pending.events is not None and on_late is not None:
                on_late(pending.events)
            raise
        self._abandon_wait(pending)
        if pending.events is not None:
            return pending.events
        if pending.sent:
            raise AppendOutcomeUnknown(ran=Ran.UNKNOWN)
        raise LogUnavailable(
            detail="the entry was not sent within its timeout", ran=Ran.NO
        )

    async def run(self) -> None:
        """Send queued entries until cancelled."""
        while True:
            await self._wait_until_due()
            await self._send(self._next_batch())

    async def drain(self) -> None:
        """Send queued entries without lingering; wait until all are in the log."""
        while not self.is_idle:
            for pending in self._queue:
                pending.urgent = True
            self._notify()
            await self._changed.wait()

    def on_applied(self, incarnation: str, sequence: int, events: Events) -> None:
        """Resolve the entries of a record that the local replay has applied.

        Parameters
        ----------
        incarnation : str
            Incarnation that wrote the record.
        sequence : int
            Sequence of the record.
        events : tuple of LedgerEvent
            Changes made by the record.
        """
        if incarnation != self.incarnation:
            return
        batch = self._unapplied_by_sequence.pop(sequence, ())
        for index, pending in enumerate(batch):
            pending.resolve(tuple(e for e in events if e.index == index))
        if self._in_flight is not None and self._in_flight.sequence == sequence:
            self._in_flight.confirm()

    def on_resync(self, last_sequence: int) -> None:
        """Resolve the entries covered by a snapshot from which the replay resumes.

        Parameters
        ----------
        last_sequence : int
            Last sequence of this incarnation covered by the snapshot. The events of
            these entries are unknown, since the replay did not apply them.
        """
        for sequence in sorted(self._unapplied_by_sequence):
            if sequence <= last_sequence:
                for pending in self._unapplied_by_sequence.pop(sequence):
                    pending.resolve(None)
        if self._in_flight is not None and self._in_flight.sequence <= last_sequence:
            self._in_flight.confirm()

    def _enqueue(self, entry: AnyEntry, *, urgent: bool) -> _PendingEntry:
        pending = _PendingEntry(data=encode_entry(entry), urgent=urgent)
        if self._queued_bytes + len(pending.data) > self._max_queue_bytes:
            raise LogQueueFull(retry_after_ms=BACKOFF_MAX_MS, ran=Ran.NO)
        if not self._queue:
            self._oldest_queued_ms = self._clock.now_ms()
        self._queue.append(pending)
        self._queued_bytes += len(pending.data)
        self._notify()
        return pending

    def _abandon_wait(self, pending: _PendingEntry) -> None:
        pending.resolved = None
        if not pending.sent:
            self._queue.remove(pending)
            self._queued_bytes -= len(pending.data)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _wait_until_due(self) -> None:
        while True:
            delay_ms = self._delay_ms()
            if delay_ms <= 0:
                return
            changed = self._changed
            with anyio.move_on_after(delay_ms / MS_PER_S):
                await changed.wait()

    def _delay_ms(self) -> float:
        if not self._queue:
            return math.inf
        now_ms = self._clock.now_ms()
        interval_left_ms = self._last_attempt_ms + self._min_interval_ms - now_ms
        full = self._queued_bytes >= self._max_bytes
        if full or any(pending.urgent for pending in self._queue):
            return interval_left_ms
        return max(interval_left_ms, self._oldest_queued_ms + self._linger_ms - now_ms)

    def _next_batch(self) -> tuple[_PendingEntry, ...]:
        batch: list[_PendingEntry] = []
        size = 0
        while self._queue:
            size += len(self._queue[0].data)
            if batch and size > self._max_bytes:
                break
            pending = self._queue.popleft()
            pending.sent = True
            self._queued_bytes -= len(pending.data)
            batch.append(pending)
        self._oldest_queued_ms = self._clock.now_ms()
        return tuple(batch)

    async def _send(self, batch: tuple[_PendingEntry, ...]) -> None:
        self._sequence += 1
        in_flight = self._in_flight = _InFlightAppend(sequence=self._sequence)
        self._unapplied_by_sequence[in_flight.sequence] = batch
        data = self._encode(in_flight.sequence, batch)
        while not await self._try_append(in_flight, data):
            with anyio.move_on_after(self._backoff.next_ms() / MS_PER_S):
                await in_flight.applied.wait()
        self._backoff.reset()
        self._in_flight = None
        self._notify()

    async def _try_append(self, in_flight: _InFlightAppend, data: bytes) -> bool:
        if in_flight.applied.is_set():
            return True
        self._last_attempt_ms = self._clock.now_ms()
        with anyio.move_on_after(self._attempt_timeout_s) as in_flight.attempt:
            try:
                await self._log.append(stream=self._stream, data=data)
            except LogUnavailable:
                return False
            return True
        return in_flight.applied.is_set()

    def _encode(self, sequence: int, batch: tuple[_PendingEntry, ...]) -> bytes:
        envelope = _RawEnvelope(
            schema=SCHEMA,
            incarnation=self.incarnation,
            sequence=sequence,
            entries=tuple(msgspec.Raw(pending.data) for pending in batch),
        )
        return msgspec.json.encode(envelope)
