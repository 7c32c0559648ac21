"""Appends the ledger entries of one VM incarnation, in order and grouped."""

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
    """Too much waits to be appended; the entry was not taken."""

    code = "log_queue_full"


class AppendOutcomeUnknown(LogUnavailable):
    """The entry was sent but not seen in time; it may still take effect."""

    code = "append_outcome_unknown"


class _RawEnvelope(msgspec.Struct, frozen=True, array_like=True):
    """`records.Envelope` with entries that are encoded already."""

    schema: int
    incarnation: str
    sequence: int
    entries: tuple[msgspec.Raw, ...]


class _Pending:
    """One entry on its way into the ledger."""

    __slots__ = ("data", "events", "on_late", "resolved", "sent", "urgent")

    def __init__(self, *, data: bytes, urgent: bool) -> None:
        self.data = data
        self.urgent = urgent
        self.sent = False
        self.resolved: anyio.Event | None = None
        self.events: Events | None = None
        self.on_late: LateCallback | None = None

    def resolve(self, events: Events | None) -> None:
        """Tell whoever waits; `events` is None if they were not seen."""
        self.events = events
        if self.resolved is not None:
            self.resolved.set()
        elif self.on_late is not None and events is not None:
            self.on_late(events)


class _Flight:
    """The one envelope that is being appended."""

    __slots__ = ("applied", "attempt", "sequence")

    def __init__(self, *, sequence: int) -> None:
        self.sequence = sequence
        self.applied = anyio.Event()
        self.attempt: anyio.CancelScope | None = None

    def confirm(self) -> None:
        """End the current attempt: the record is in the log."""
        self.applied.set()
        if self.attempt is not None:
            self.attempt.cancel()


class LogWriter:
    """Appends entries under (incarnation, sequence), one append in flight.

    Entries queued while an append is under way go into the next record
    together. An append without confirmation is repeated with the same sequence
    until it is confirmed or the local replay has applied it, so that replay
    drops the copies and the order of entries is kept.

    Parameters
    ----------
    log : LogService
        Where to append.
    stream : str
        Name of the ledger stream.
    incarnation : str
        This run of this VM; never used again by another.
    clock : Clock
        Source of time.
    rng : random.Random
        Spreads the pauses between tries.
    linger_ms : int
        How long an entry that is not urgent waits for company, in milliseconds.
    max_bytes : int
        Bound on the entries of one record; a larger entry goes alone.
    max_queue_bytes : int
        Bound on the entries that wait.
    attempt_timeout_ms : int
        How long one append may take, in milliseconds.
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
            first_ms=backoff_first_ms, max_ms=backoff_max_ms, rng=rng
        )
        self._queue: collections.deque[_Pending] = collections.deque()
        self._queued_bytes = 0
        self._oldest_ms = 0
        self._last_sent_ms = -math.inf
        self._sequence = 0
        self._flight: _Flight | None = None
        self._unapplied_by_sequence: dict[int, tuple[_Pending, ...]] = {}
        self._changed = anyio.Event()

    @property
    def queued_bytes(self) -> int:
        """Size of the entries that wait to be sent."""
        return self._queued_bytes

    @property
    def min_interval_ms(self) -> int:
        """Least time between the starts of two appends, in milliseconds.

        Keeps the fleet within the log's rate: the number of VMs, divided by
        the appends a second that the log takes.
        """
        return self._min_interval_ms

    @min_interval_ms.setter
    def min_interval_ms(self, interval_ms: int) -> None:
        self._min_interval_ms = interval_ms
        self._notify()

    @property
    def idle(self) -> bool:
        """Whether every entry is in the log."""
        return not self._queue and self._flight is None

    def submit(self, entry: AnyEntry, *, urgent: bool = False) -> None:
        """Queue an entry whose fate nobody waits for.

        Parameters
        ----------
        entry : entry
            What to append.
        urgent : bool
            Whether to send it without lingering.

        Raises
        ------
        LogQueueFull
            The entry was not taken.
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
        entry : entry
            What to append.
        timeout_ms : int
            How long to wait, in milliseconds.
        urgent : bool
            Whether to send it without lingering.
        on_late : callable, optional
            Called with the events if the entry is applied after the wait was
            given up; a claim that nobody waits for any more is released here.

        Returns
        -------
        tuple of LedgerEvent
            What the entry changed.

        Raises
        ------
        LogQueueFull
            The entry was not taken.
        AppendOutcomeUnknown
            The entry may still take effect.
        LogUnavailable
            The entry was never sent and never will be.
        """
        pending = self._enqueue(entry, urgent=urgent)
        pending.resolved = anyio.Event()
        pending.on_late = on_late
        try:
            with anyio.move_on_after(timeout_ms / MS_PER_S):
                await pending.resolved.wait()
        except BaseException:
            self._stop_waiting(pending)
            if pending.events is not None and on_late is not None:
                on_late(pending.events)
            raise
        self._stop_waiting(pending)
        if pending.events is not None:
            return pending.events
        if pending.sent:
            raise AppendOutcomeUnknown(ran=Ran.UNKNOWN)
        raise LogUnavailable(detail="not sent in time", ran=Ran.NO)

    async def run(self) -> None:
        """Send what is queued until cancelled."""
        while True:
            await self._wait_until_due()
            await self._send(self._take_batch())

    async def drain(self) -> None:
        """Wait until every entry is in the log; entries no longer linger."""
        while not self.idle:
            for pending in self._queue:
                pending.urgent = True
            self._notify()
            await self._changed.wait()

    def applied(self, incarnation: str, sequence: int, events: Events) -> None:
        """Take note of a record that the local replay has applied.

        Parameters
        ----------
        incarnation : str
            Writer of the record.
        sequence : int
            Its sequence.
        events : tuple of LedgerEvent
            What it changed.
        """
        if incarnation != self.incarnation:
            return
        batch = self._unapplied_by_sequence.pop(sequence, ())
        for index, pending in enumerate(batch):
            pending.resolve(tuple(e for e in events if e.index == index))
        if self._flight is not None and self._flight.sequence == sequence:
            self._flight.confirm()

    def resynchronised(self, last_sequence: int) -> None:
        """Take note that the replay continues from a snapshot.

        Parameters
        ----------
        last_sequence : int
            Last sequence of this incarnation that the snapshot covers; what its
            entries changed was not seen.
        """
        for sequence in sorted(self._unapplied_by_sequence):
            if sequence <= last_sequence:
                for pending in self._unapplied_by_sequence.pop(sequence):
                    pending.resolve(None)
        if self._flight is not None and self._flight.sequence <= last_sequence:
            self._flight.confirm()

    def _enqueue(self, entry: AnyEntry, *, urgent: bool) -> _Pending:
        pending = _Pending(data=encode_entry(entry), urgent=urgent)
        if self._queued_bytes + len(pending.data) > self._max_queue_bytes:
            raise LogQueueFull(retry_after_ms=BACKOFF_MAX_MS, ran=Ran.NO)
        if not self._queue:
            self._oldest_ms = self._clock.now_ms()
        self._queue.append(pending)
        self._queued_bytes += len(pending.data)
        self._notify()
        return pending

    def _stop_waiting(self, pending: _Pending) -> None:
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
        pace_ms = self._last_sent_ms + self._min_interval_ms - now_ms
        full = self._queued_bytes >= self._max_bytes
        if full or any(pending.urgent for pending in self._queue):
            return pace_ms
        return max(pace_ms, self._oldest_ms + self._linger_ms - now_ms)

    def _take_batch(self) -> tuple[_Pending, ...]:
        batch: list[_Pending] = []
        size = 0
        while self._queue:
            size += len(self._queue[0].data)
            if batch and size > self._max_bytes:
                break
            pending = self._queue.popleft()
            pending.sent = True
            self._queued_bytes -= len(pending.data)
            batch.append(pending)
        self._oldest_ms = self._clock.now_ms()
        return tuple(batch)

    async def _send(self, batch: tuple[_Pending, ...]) -> None:
        self._sequence += 1
        flight = self._flight = _Flight(sequence=self._sequence)
        self._unapplied_by_sequence[flight.sequence] = batch
        data = self._encode(flight.sequence, batch)
        while not await self._try_append(flight, data):
            with anyio.move_on_after(self._backoff.next_ms() / MS_PER_S):
                await flight.applied.wait()
        self._backoff.reset()
        self._flight = None
        self._notify()

    async def _try_append(self, flight: _Flight, data: bytes) -> bool:
        if flight.applied.is_set():
            return True
        self._last_sent_ms = self._clock.now_ms()
        with anyio.move_on_after(self._attempt_timeout_s) as flight.attempt:
            try:
                await self._log.append(stream=self._stream, data=data)
            except LogUnavailable:
                return False
            return True
        return flight.applied.is_set()

    def _encode(self, sequence: int, batch: tuple[_Pending, ...]) -> bytes:
        envelope = _RawEnvelope(
            schema=SCHEMA,
            incarnation=self.incarnation,
            sequence=sequence,
            entries=tuple(msgspec.Raw(pending.data) for pending in batch),
        )
        return msgspec.json.encode(envelope)
