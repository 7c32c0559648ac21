"""Appends of this VM, one after the other, each done exactly once."""

import dataclasses

import anyio

from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.events import Event
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.keyed_log import (
    KeyedLog,
    KeyedRecord,
    ProducerStep,
    SequenceRefused,
    StoreAnswerLost,
    StoreRefused,
)
from foxtailbank.logs import LogFields, Logs
from foxtailbank.settings_sections import LogLevel

RETRY_MS = 250  # a short outage ends between two tries
LINGER_MS = 40  # results that end together share one call
MAX_WAITING_BYTES = 24 << 20  # a part of the smallest VM's memory


@dataclasses.dataclass(kw_only=True)
class Pending:
    """Records that wait to be appended.

    Attributes
    ----------
    records : tuple of KeyedRecord
        Appended together.
    urgent : bool
        Whether somebody waits for them.
    done : anyio.Event
        Set once they stand in the log, or never will.
    end : int
        Offset after them; -1 while unknown or refused.
    """

    records: tuple[KeyedRecord, ...]
    urgent: bool
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    end: int = -1

    @property
    def size_bytes(self) -> int:
        """Bytes of the records."""
        return sum(len(r.key) + len(r.value) + 5 for r in self.records)


class AppendQueue:
    """Writes records with a number that lets the store recognise repetitions.

    An append whose answer was lost is sent again under the same number until the
    store tells its outcome; nothing overtakes it meanwhile.

    Parameters
    ----------
    log : KeyedLog
        Where the records go.
    producer : str
        Name of this process, unique for each start.
    call_bytes : int
        Largest append.
    logs : Logs
        Takes a line when the store refuses and when it takes records again.
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
    ) -> None:
        self._log = log
        self._producer = producer
        self._call_bytes = call_bytes
        self._logs = logs
        self._clock = clock
        self._sequence = 1
        self._waiting: list[Pending] = []
        self._wake = anyio.Event()
        self._failing_since_ms: int | None = None
        self._failed_ms = 0
        self.waiting_bytes = 0

    @property
    def available(self) -> bool:
        """Whether an append may succeed: the last one did, or failed a while ago."""
        if self._failing_since_ms is None:
            return True
        return self._clock.now_ms() - self._failed_ms > RETRY_MS

    @property
    def has_room(self) -> bool:
        """Whether more results may be kept until they are appended."""
        return self.waiting_bytes < MAX_WAITING_BYTES

    @property
    def is_empty(self) -> bool:
        """Whether everything stands in the log."""
        return not self._waiting

    def put(self, records: tuple[KeyedRecord, ...], *, urgent: bool) -> Pending:
        """Queue records that belong together.

        Parameters
        ----------
        records : tuple of KeyedRecord
            Appended all or nothing.
        urgent : bool
            Whether not to wait for company.
        """
        pending = Pending(records=records, urgent=urgent)
        self._waiting.append(pending)
        self.waiting_bytes += pending.size_bytes
        self._wake.set()
        return pending

    def withdraw(self, pending: Pending) -> bool:
        """Take back records that were surely not sent; false if they may have been."""
        if pending not in self._waiting:
            return False
        self._waiting.remove(pending)
        self.waiting_bytes -= pending.size_bytes
        return True

    async def run(self) -> None:
        """Append what is queued until cancelled."""
        while True:
            while not self._waiting:
                self._wake = anyio.Event()
                await self._wake.wait()
            if not any(pending.urgent for pending in self._waiting):
                await self._linger()
            batch = self._next_batch()
            await self._append(batch)

    async def _linger(self) -> None:
        self._wake = anyio.Event()
        with anyio.move_on_after(LINGER_MS / MS_PER_S):
            while not any(pending.urgent for pending in self._waiting):
                await self._wake.wait()
                self._wake = anyio.Event()

    def _next_batch(self) -> list[Pending]:
        batch: list[Pending] = []
        size_bytes = 0
        for pending in self._waiting:
            size_bytes += pending.size_bytes
            if batch and size_bytes > self._call_bytes:
                break
            batch.append(pending)
        return batch

    async def _append(self, batch: list[Pending]) -> None:
        # Taken out first, so that nothing of a batch in doubt can be withdrawn.
        del self._waiting[: len(batch)]
        records = tuple(r for pending in batch for r in pending.records)
        in_doubt = False
        while True:
            step = ProducerStep(
                producer=self._producer, epoch=1, sequence=self._sequence
            )
            try:
                end = await self._log.append(records, step=step)
                break
            except SequenceRefused as refusal:
                self._on_failure(refusal)
                if refusal.expected <= self._sequence:
                    await anyio.sleep(RETRY_MS / MS_PER_S)
                self._sequence = max(refusal.expected, self._sequence)
            except StoreAnswerLost as failure:
                in_doubt = True
                self._on_failure(failure)
                await anyio.sleep(RETRY_MS / MS_PER_S)
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
        fields = LogFields(offset=end, count=len(records))
        self._logs.write(Event.RESULTS_RECORDED, level=LogLevel.DEBUG, fields=fields)
        for pending in batch:
            self.waiting_bytes -= pending.size_bytes
            pending.end = end
            pending.done.set()

    def _refuse_urgent(self, batch: list[Pending]) -> list[Pending]:
        """Tell those who wait that nothing was done; keep the results."""
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
