"""The catalogue of one entry VM: replay, edits, snapshots and limits."""

import random

import anyio.abc
import msgspec

from foxtailbank.admission import Admission
from foxtailbank.catalogue import Catalogue
from foxtailbank.catalogue_events import CatalogueEvent, EditConflict, EntryChanged
from foxtailbank.catalogue_records import (
    STREAM,
    CatalogueSnapshot,
    decode_envelope,
    is_snapshot,
)
from foxtailbank.catalogue_restore import LatestSnapshot, catch_up, is_snapshot_due
from foxtailbank.catalogue_state import decode_snapshot, encode_snapshot
from foxtailbank.catalogue_writer import CatalogueWriter
from foxtailbank.clock import Clock
from foxtailbank.entry import Entry
from foxtailbank.events import Event
from foxtailbank.limit_shares import LimitShares
from foxtailbank.log_service import LogRecord, LogService
from foxtailbank.log_tailer import LogTailer, ResyncFailed
from foxtailbank.logs import LogFields, Logs
from foxtailbank.record_cache import RecordCache
from foxtailbank.sentinels import Missing
from foxtailbank.settings_sections import TimingSection

RESYNC_READ_BYTES = 4 * 1024 * 1024


class CatalogueService:
    """Follows the catalogue stream and applies its entries' limits.

    Parameters
    ----------
    log : LogService
        Log that holds the stream.
    clock : Clock
        Source of time.
    rng : random.Random
        Jitter of the pauses between retries.
    incarnation : str
        Identifies this run of this VM's process.
    timing : TimingSection
        Time limits.
    admission : Admission
        Receives the limits of changed entries.
    shares : LimitShares
        Computes this VM's share of each limit.
    logs : Logs
        Receives a line for each change.

    Attributes
    ----------
    catalogue : Catalogue
        Current entries.
    writer : CatalogueWriter
        Publishes edits.
    tailer : LogTailer
        Follows the stream.
    cache : RecordCache
        Latest records, to send to peers.
    """

    def __init__(
        self,
        *,
        log: LogService,
        clock: Clock,
        rng: random.Random,
        incarnation: str,
        timing: TimingSection,
        admission: Admission,
        shares: LimitShares,
        logs: Logs,
    ) -> None:
        self._log = log
        self._clock = clock
        self._latest_snapshot = LatestSnapshot(offset=-1, seen_ms=clock.now_ms())
        self._admission = admission
        self._shares = shares
        self._logs = logs
        self.catalogue = Catalogue()
        self.cache = RecordCache()
        self.writer = CatalogueWriter(log=log, incarnation=incarnation)
        self.tailer = LogTailer(
            log=log,
            stream=STREAM,
            apply=self.apply,
            resync=self._resync,
            clock=clock,
            rng=rng,
            wait_ms=timing.log_wait_ms,
        )

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start to follow the stream."""
        tasks.start_soon(self.tailer.run)

    def apply(self, record: LogRecord) -> None:
        """Apply one record of the stream."""
        decoded = decode_envelope(record.data)
        events = self.catalogue.apply(record.offset, decoded)
        self.cache.add(record)
        if is_snapshot(decoded):
            self._latest_snapshot = LatestSnapshot(
                offset=record.offset, seen_ms=self._clock.now_ms()
            )
        self.writer.on_applied(events)
        for event in events:
            self._on_event(event)

    async def append_snapshot_if_due(self) -> None:
        """Append a snapshot if one is due.

        Raises
        ------
        LogUnavailable
            The log did not respond.
        """
        bounds = await self._log.bounds(stream=STREAM)
        now_ms = self._clock.now_ms()
        if self.catalogue.applied_offset < 0:
            return
        if not is_snapshot_due(
            self._latest_snapshot,
            earliest=bounds.earliest,
            end=bounds.end,
            now_ms=now_ms,
        ):
            return
        await self.writer.append_snapshot(encode_snapshot(self.catalogue.state()))
        fields = LogFields(offset=self.catalogue.applied_offset, reason=STREAM)
        self._logs.write(Event.SNAPSHOT_TAKEN, fields=fields)

    async def _resync(self, next_offset: int) -> int:
        bounds = await self._log.bounds(stream=STREAM)
        records: list[LogRecord] = []
        offset = bounds.earliest
        while offset < bounds.end:
            found = await self._log.read(
                stream=STREAM, offset=offset, max_bytes=RESYNC_READ_BYTES
            )
            records.extend(found)
            offset = found[-1].offset + 1 if found else bounds.end
        events = catch_up(self.catalogue, records, earliest=bounds.earliest)
        if isinstance(events, Missing):
            raise ResyncFailed(
                detail=f"no snapshot covers the records from offset {next_offset} on"
            )
        for name, entry in self.catalogue.entries_by_name.items():
            self._set_limits(name, entry)
        return self.catalogue.applied_offset + 1

    def encoded_state(self) -> bytes:
        """Return the state as an encoded snapshot."""
        return msgspec.json.encode(encode_snapshot(self.catalogue.state()))

    def restore(self, content: bytes) -> bool:
        """Replace the state by a snapshot's if that is ahead.

        Parameters
        ----------
        content : bytes
            What `encoded_state` returned on another VM.

        Returns
        -------
        bool
            False if the snapshot is damaged; true also if it is not ahead.
        """
        try:
            snapshot = msgspec.json.decode(content, type=CatalogueSnapshot)
        except msgspec.MsgspecError:
            return False
        state = decode_snapshot(snapshot)
        if isinstance(state, Missing):
            return False
        before = set(self.catalogue.entries_by_name)
        if self.catalogue.restore(state):
            for name, entry in self.catalogue.entries_by_name.items():
                self._set_limits(name, entry)
            for name in before - set(self.catalogue.entries_by_name):
                self._set_limits(name, None)
            self._logs.write(
                Event.SNAPSHOT_RESTORED, fields=LogFields(offset=state.applied_offset)
            )
        return True

    def _set_limits(self, name: str, entry: Entry | None) -> None:
        key = f"entry:{name}"
        if entry is None:
            self._admission.remove(key)
        else:
            share = self._shares.share_of(entry)
            self._admission.set_share(key, share, self._clock.now_ms())

    def set_vms(self, zones_by_id: dict[str, str]) -> None:
        """Recompute all limit shares if the set of entry VMs changed.

        Parameters
        ----------
        zones_by_id : dict of str to str
            Availability zone of each entry VM in the platform's list or membership.
        """
        if self._shares.set_vms(zones_by_id):
            for name, entry in self.catalogue.entries_by_name.items():
                self._set_limits(name, entry)

    def _on_event(self, event: CatalogueEvent) -> None:
        if isinstance(event, EditConflict):
            fields = LogFields(entry=event.name, reason=event.reason.value)
            self._logs.write(Event.EDIT_CONFLICT, fields=fields)
        if not isinstance(event, EntryChanged):
            return
        self._set_limits(event.name, event.entry)
        self._logs.write(
            Event.CATALOGUE_CHANGED,
            fields=LogFields(entry=event.name, version=event.version),
        )
