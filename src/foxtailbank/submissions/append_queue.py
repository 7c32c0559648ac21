"""Appends records to the log, one call at a time, each exactly once."""

import dataclasses
import typing as t

import anyio

from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.events import Event
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.keyed_log import (
    AppendId,
    KeyedLog,
    KeyedRecord,
    SequenceMismatch,
    StoreRefused,
    StoreRejected,
    StoreResponseLost,
)
from foxtailbank.logs import LogFields, Logs
from foxtailbank.settings_sections import LogLevel

RETRY_MS = 250  # a short outage ends between two attempts
LINGER_MS = 40  # results that arrive within this time share one call
MAX_WAITING_BYTES = 24 << 20  # a fraction of the smallest VM's memory
MAX_KEY_BYTES = 255  # its length is stored in one byte
LATE_MS = 1_000  # in the queue; a line of an append that took longer is written always
FRAME_BYTES = 4  # of a record in an append, for its length


class AppendTooLarge(FoxtailbankError):
    """Records exceed what the store takes in one record or in one append."""

    code = "append_too_large"
    status = 413


@dataclasses.dataclass(kw_only=True)
class PendingAppend:
    """Records that wait to be appended.

    Attributes
    ----------
    records : tuple of KeyedRecord
        Records appended together.
    urgent : bool
        True if a caller waits for the append.
    queued_ms : int
        Time at which they were queued.
    done : anyio.Event
        Set once the records are in the log or were refused for good.
    end : int
        Log offset after the records; -1 while unknown and if refused.
    """

    records: tuple[KeyedRecord, ...]
    urgent: bool
    queued_ms: int
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    end: int = -1

    @property
    def size_bytes(self) -> int:
        """Encoded size of the records in bytes."""
        return sum(_framed_bytes(record) for record in self.records)


class AppendQueue:
    """Appends records with sequence numbers, so that the store recognises retries.

    An append whose answer was lost is retried with the same sequence number until
    the store reports its outcome. No other append is sent meanwhile.

    Parameters
    ----------
    log : KeyedLog
        Log to append to.
    producer : str
        Name of this process, unique to each start.
    call_bytes : int
        Maximum size of an append in bytes.
    record_bytes : int, optional
        Maximum size of a record in bytes; that of an append by default.
    max_waiting_bytes : int, optional
        Size of the waiting records from which on no more are to be queued.
    logs : Logs
        Receives a line when appends start to fail and when they succeed again.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        log: KeyedLog,
        producer: str,
        call_bytes: int,
        logs: Logs,
        clock: Clock,
        record_bytes: int | None = None,
        max_waiting_bytes: int = MAX_WAITING_BYTES,
    ) -> None:
        self._log = log
        self._producer = producer
        self._call_bytes = call_bytes
        self._max_waiting_bytes = max_waiting_bytes
        self._record_bytes = record_bytes or call_bytes
        self._logs = logs
        self._clock = clock
        self._sequence = 1
        self._waiting: list[PendingAppend] = []
        self._in_flight: list[PendingAppend] = []
        self._wake = anyio.Event()
        self._failing_since_ms: int | None = None
        self._failed_ms = 0
        self.waiting_bytes = 0

    @property
    def is_available(self) -> bool:
        """Whether the last append succeeded or its retry interval has passed."""
        if self._failing_since_ms is None:
            return True
        return self._clock.now_ms() - self._failed_ms > RETRY_MS

    @property
    def has_capacity(self) -> bool:
        """Whether the queue has capacity for more results."""
        return self.waiting_bytes < self._max_waiting_bytes

    @property
    def is_empty(self) -> bool:
        """Whether no records wait to be sent or to be confirmed."""
        return not self.waiting_bytes

    def put(self, records: tuple[KeyedRecord, ...], *, urgent: bool) -> PendingAppend:
        """Queue records to be appended together.

        Parameters
        ----------
        records : tuple of KeyedRecord
            Appended all together or not at all.
        urgent : bool
            If true, send at once instead of waiting for more records.

        Raises
        ------
        AppendTooLarge
            The store would never take them; nothing was queued.
        """
        self._check_size(records)
        pending = PendingAppend(
            records=records, urgent=urgent, queued_ms=self._clock.now_ms()
        )
        self._waiting.append(pending)
        self.waiting_bytes += pending.size_bytes
        self._wake.set()
        return pending

    def put_split(self, records: tuple[KeyedRecord, ...]) -> None:
        """Queue records in order, in as many appends as their sizes take."""
        for part in self.split(records):
            self.put(part, urgent=False)

    def split(
        self, records: tuple[KeyedRecord, ...]
    ) -> t.Iterator[tuple[KeyedRecord, ...]]:
        """Yield the records in order, in parts that fit into one append each."""
        part: list[KeyedRecord] = []
        size_bytes = 0
        for record in records:
            size_bytes += _framed_bytes(record)
            if part and size_bytes > self._call_bytes:
                yield tuple(part)
                part = []
                size_bytes = _framed_bytes(record)
            part.append(record)
        if part:
            yield tuple(part)

    def _check_size(self, records: tuple[KeyedRecord, ...]) -> None:
        for record in records:
            if len(record.key.encode()) > MAX_KEY_BYTES:
                raise AppendTooLarge(detail="the key of a record is too long")
            if record.size_bytes > self._record_bytes:
                raise AppendTooLarge(detail=f"record of {record.size_bytes} bytes")
        size_bytes = sum(map(_framed_bytes, records))
        if size_bytes > self._call_bytes:
            raise AppendTooLarge(detail=f"append of {size_bytes} bytes")

    def withdraw(self, pending: PendingAppend) -> bool:
        """Remove records not yet sent; return false if they may have been sent."""
        if pending not in self._waiting:
            return False
        self._waiting.remove(pending)
        self.waiting_bytes -= pending.size_bytes
        return True

    async def run(self) -> None:
        """Append queued records until cancelled."""
        if self._in_flight:  # an unexpected error ended an earlier run
            await self._append_in_flight()
        while True:
            while not self._waiting:
                self._wake = anyio.Event()
                await self._wake.wait()
            if not any(pending.urgent for pending in self._waiting):
                await self._linger()
            # Removed before sending, as an append that may be in the log cannot be
            # withdrawn.
            self._in_flight = self._next_batch()
            del self._waiting[: len(self._in_flight)]
            await self._append_in_flight()

    async def _append_in_flight(self) -> None:
        try:
            await self._append(self._in_flight)
        except StoreRejected as failure:
            await self._append_singly(self._in_flight, failure)
        self._in_flight = []

    async def _linger(self) -> None:
        self._wake = anyio.Event()
        with anyio.move_on_after(LINGER_MS / MS_PER_S):
            while not any(pending.urgent for pending in self._waiting):
                await self._wake.wait()
                self._wake = anyio.Event()

    def _next_batch(self) -> list[PendingAppend]:
        batch: list[PendingAppend] = []
        size_bytes = 0
        for pending in self._waiting:
            size_bytes += pending.size_bytes
            if batch and size_bytes > self._call_bytes:
                break
            batch.append(pending)
        return batch

    async def _append(self, batch: list[PendingAppend]) -> None:
        records = tuple(r for pending in batch for r in pending.records)
        in_doubt = False
        while True:
            step = AppendId(producer=self._producer, epoch=1, sequence=self._sequence)
            try:
                end = await self._log.append(records, append_id=step)
                break
            except SequenceMismatch as refusal:
                self._on_failure(refusal)
                if refusal.expected <= self._sequence:
                    await anyio.sleep(RETRY_MS / MS_PER_S)
                self._sequence = max(refusal.expected, self._sequence)
            except StoreResponseLost as failure:
                in_doubt = True
                self._on_failure(failure)
                await anyio.sleep(RETRY_MS / MS_PER_S)
            except StoreRejected:
                self._on_success()  # the store answers
                raise
            except StoreRefused as failure:
                self._on_failure(failure)
                if not in_doubt:
                    batch = self._refuse_urgent(batch)
                    records = tuple(r for pending in batch for r in pending.records)
                    if not records:
                        return
                await anyio.sleep(RETRY_MS / MS_PER_S)
        self._sequence += 1
        self._on_success()
        self._write_recorded(batch, end=end, count=len(records))
        offset = end - len(records)
        for pending in batch:
            self.waiting_bytes -= pending.size_bytes
            offset += len(pending.records)
            pending.end = offset
            pending.done.set()

    def _write_recorded(
        self, batch: list[PendingAppend], *, end: int, count: int
    ) -> None:
        waited_ms = self._clock.now_ms() - min(pending.queued_ms for pending in batch)
        self._logs.write(
            Event.RESULTS_RECORDED,
            level=LogLevel.INFO if waited_ms > LATE_MS else LogLevel.DEBUG,
            fields=LogFields(offset=end, count=count, duration_ms=waited_ms),
        )

    async def _append_singly(
        self, batch: list[PendingAppend], failure: StoreRejected
    ) -> None:
        """Append one by one what the store rejected together, and drop the culprit."""
        if len(batch) == 1:
            self._drop(batch[0], failure)
            return
        for pending in batch:
            try:
                await self._append([pending])
            except StoreRejected as single_failure:
                self._drop(pending, single_failure)

    def _drop(self, pending: PendingAppend, failure: StoreRejected) -> None:
        fields = LogFields(
            task="append",
            reason=f"{failure.code}: {failure.detail}: {pending.records[0].key}",
            count=len(pending.records),
        )
        self._logs.write(Event.APPEND_DROPPED, level=LogLevel.ERROR, fields=fields)
        self.waiting_bytes -= pending.size_bytes
        pending.done.set()

    def _refuse_urgent(self, batch: list[PendingAppend]) -> list[PendingAppend]:
        """Finish the urgent appends as refused and return the others for a retry."""
        for pending in batch:
            if pending.urgent:
                self.waiting_bytes -= pending.size_bytes
                pending.done.set()
        return [pending for pending in batch if not pending.urgent]

    def _on_failure(self, failure: FoxtailbankError) -> None:
        self._failed_ms = self._clock.now_ms()
        if self._failing_since_ms is not None:
            return
        self._failing_since_ms = self._failed_ms
        fields = LogFields(task="append", reason=f"{failure.code}: {failure.detail}")
        self._logs.write(Event.STORE_LOST, level=LogLevel.WARNING, fields=fields)

    def _on_success(self) -> None:
        if self._failing_since_ms is None:
            return
        age_ms = self._clock.now_ms() - self._failing_since_ms
        self._failing_since_ms = None
        fields = LogFields(task="append", age_ms=age_ms)
        self._logs.write(Event.STORE_RESTORED, fields=fields)


def _framed_bytes(record: KeyedRecord) -> int:
    return FRAME_BYTES + record.size_bytes
