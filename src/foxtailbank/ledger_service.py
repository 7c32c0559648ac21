"""The ledger of an entry VM: replay, writer and payload store."""

import random
import typing as t

import anyio.abc

from foxtailbank.clock import Clock
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.ledger import Ledger
from foxtailbank.ledger_events import LedgerEvent
from foxtailbank.ledger_replay import LedgerReplay
from foxtailbank.ledger_resync import LedgerResync, LogSnapshotSource
from foxtailbank.log_service import LogRecord, LogService
from foxtailbank.log_tailer import LogTailer
from foxtailbank.log_writer import LogWriter
from foxtailbank.payload_store import PayloadStore
from foxtailbank.record_cache import RecordCache
from foxtailbank.records import AnyEntry, Envelope, Snapshot
from foxtailbank.settings_sections import TimingSection
from foxtailbank.snapshot import (
    SnapshotAssembler,
    digest_of,
    encode_parts,
    image_of,
)
from foxtailbank.snapshot_store import SnapshotStore

LEDGER_STREAM = "ledger"
PAYLOAD_STREAM = "payload"
LINGER_MS = 200
MAX_RECORD_BYTES = 256 * 1024


class LedgerService:
    """Replays the ledger stream and appends this VM's entries.

    Parameters
    ----------
    log : LogService
        The platform's log.
    clock : Clock
        Source of time.
    rng : random.Random
        Random source for retry jitter.
    incarnation : str
        Identifies this run of this VM.
    timing : TimingSection
        Time limits.

    Attributes
    ----------
    replay : LedgerReplay
        Applies records and notifies listeners.
    writer : LogWriter
        Appends entries.
    payloads : PayloadStore
        Inputs and results.
    snapshots : SnapshotStore
        Snapshots in the log.
    tailer : LogTailer
        Reads the stream.
    cache : RecordCache
        Latest records, served to peers.
    """

    def __init__(
        self,
        *,
        log: LogService,
        clock: Clock,
        rng: random.Random,
        incarnation: str,
        timing: TimingSection,
    ) -> None:
        self.incarnation = incarnation
        self.replay = LedgerReplay(ledger=Ledger())
        self.cache = RecordCache()
        self.writer = LogWriter(
            log=log,
            stream=LEDGER_STREAM,
            incarnation=incarnation,
            clock=clock,
            rng=rng,
            linger_ms=LINGER_MS,
            max_bytes=MAX_RECORD_BYTES,
            attempt_timeout_ms=timing.log_append_timeout_ms,
        )
        self.payloads = PayloadStore(log=log, stream=PAYLOAD_STREAM, rng=rng)
        self.snapshots = SnapshotStore(
            log=log, ledger_stream=LEDGER_STREAM, payloads=self.payloads
        )
        self.tailer = LogTailer(
            log=log,
            stream=LEDGER_STREAM,
            apply=self._apply,
            resync=LedgerResync(
                replay=self.replay, sources=[LogSnapshotSource(store=self.snapshots)]
            ),
            clock=clock,
            rng=rng,
            wait_ms=timing.log_wait_ms,
        )
        self._append_timeout_ms = timing.log_append_timeout_ms
        self.replay.add_listener(self._on_applied)
        self.replay.add_replacement_listener(self._on_replaced)

    @property
    def ledger(self) -> Ledger:
        """Current state of the ledger."""
        return self.replay.ledger

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the tailer and the writer."""
        tasks.start_soon(self.tailer.run)
        tasks.start_soon(self.writer.run)

    async def append(
        self,
        entry: AnyEntry,
        *,
        on_late: t.Callable[[tuple[LedgerEvent, ...]], None] | None = None,
    ) -> tuple[LedgerEvent, ...]:
        """Append an entry and wait until this VM has applied it.

        Parameters
        ----------
        entry : AnyEntry
            Entry to append.
        on_late : callable, optional
            Called with the entry's events if it is applied after the time-out.

        Raises
        ------
        LogUnavailable
            The entry's events were not seen in time; ``ran`` tells whether it may
            still take effect.
        """
        return await self.writer.append(
            entry, timeout_ms=self._append_timeout_ms, on_late=on_late
        )

    def encoded_state(self) -> tuple[bytes, ...]:
        """Return the parts of a snapshot; empty if no record was applied yet."""
        if not self.ledger.next_offset:
            return ()
        return tuple(encode_parts(image_of(self.ledger)))

    async def write_snapshot(self) -> Snapshot:
        """Append the parts of a snapshot and return the entry that announces it.

        Raises
        ------
        LogUnavailable
            A part was not confirmed.
        """
        return await self.snapshots.write(image_of(self.ledger))

    def restore(self, parts: tuple[bytes, ...]) -> bool:
        """Restore a snapshot if it is newer; return False if it is invalid.

        Parameters
        ----------
        parts : tuple of bytes
            Result of `encoded_state` on another VM.
        """
        assembler = SnapshotAssembler(digest=digest_of(parts))
        try:
            for part in parts:
                assembler.feed(part)
            ledger = assembler.finish()
        except FoxtailbankError:
            return False
        self.replay.replace(ledger)
        return True

    def _apply(self, record: LogRecord) -> None:
        self.replay.apply(record)
        self.cache.add(record)

    def _on_applied(self, envelope: Envelope, events: tuple[LedgerEvent, ...]) -> None:
        self.writer.on_applied(envelope.incarnation, envelope.sequence, events)

    def _on_replaced(self, ledger: Ledger) -> None:
        last_sequence = ledger.sequences_by_incarnation.get(self.incarnation, 0)
        self.writer.on_resync(last_sequence)
