"""Software versions that have been listed, in the platform's log.

A VM that was just started has not seen which versions served before. Where all VMs lose
power together, no other VM can tell it, so it reads this from the log. A record is
written only when the first worker of a version is listed or the last one has left.
"""

import anyio
import msgspec
import xxhash

from foxtailbank import rendezvous
from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.decoding import decoding
from foxtailbank.events import Event
from foxtailbank.fleet.peer_table import PeerTable
from foxtailbank.fleet.version_history import (
    ServiceVersion,
    VersionHistory,
    VersionRecord,
)
from foxtailbank.keyed_log import KeyedRecord, LogSlice
from foxtailbank.log_follower import LogState
from foxtailbank.logs import LogFields, Logs
from foxtailbank.record_isolation import apply_each
from foxtailbank.settings_sections import LogLevel
from foxtailbank.submissions.append_queue import AppendQueue
from foxtailbank.submissions.records import RecordUnreadable

KEY_PREFIX = "version/"
CHECK_PERIOD_MS = 300
FIRST_CHECK_MS = 2_000  # by then a VM has heard of the others
# Per VM that comes before this one; longer than it takes to read a record of another.
RANK_DELAY_MS = 1_200
RETRY_MS = 5_000  # the log may be away

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(VersionRecord)


class SoftwareVersionLog(LogState):
    """Reads the records of all VMs, and writes what they lack.

    All VMs see the same workers. One VM, drawn by rendezvous hashing, writes a record
    at once; the others write it in turn if it does not appear.

    Parameters
    ----------
    vm_id : str
        This VM.
    history : VersionHistory
        Gets the records, and knows which the log lacks.
    peers : PeerTable
        The other VMs.
    appends : AppendQueue
        Queue for the log.
    logs : Logs
        Receives a line for each unreadable record.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        vm_id: str,
        history: VersionHistory,
        peers: PeerTable,
        appends: AppendQueue,
        logs: Logs,
        clock: Clock,
    ) -> None:
        self._vm_id = vm_id
        self._history = history
        self._peers = peers
        self._appends = appends
        self._logs = logs
        self._clock = clock
        self._due_ms_by_key: dict[str, int] = {}
        self._version_by_key: dict[str, ServiceVersion] = {}

    def restore(self, newest: LogSlice) -> None:
        """Apply all records in the log."""
        self._history.on_records_restored()
        self.apply_records(newest)

    def apply_records(self, part: LogSlice) -> None:
        """Apply the records that follow."""
        apply_each(part.records, self._apply, task="software versions", logs=self._logs)

    async def run(self) -> None:
        """Write what the log lacks until cancelled."""
        await anyio.sleep(FIRST_CHECK_MS / MS_PER_S)
        while True:
            self.write_missing()
            await anyio.sleep(CHECK_PERIOD_MS / MS_PER_S)

    def write_missing(self) -> None:
        """Append the records that are due from this VM."""
        wall_ms = self._clock.wall_ms()
        missing = [
            KeyedRecord(key=_key_of(record.version), value=_encoder.encode(record))
            for record in self._history.missing_records(wall_ms)
        ]
        expired = [
            KeyedRecord(key=_key_of(version), value=b"")
            for version in self._history.expired_records(wall_ms)
        ]
        wanted = {record.key: record for record in (*missing, *expired)}
        for key in self._due_ms_by_key.keys() - wanted.keys():
            del self._due_ms_by_key[key]
        due = tuple(record for key, record in wanted.items() if self._is_due(key))
        if due:
            self._appends.put(due, urgent=False)

    def _is_due(self, key: str) -> bool:
        now_ms = self._clock.now_ms()
        if key not in self._due_ms_by_key:
            self._due_ms_by_key[key] = now_ms + self._rank(key) * RANK_DELAY_MS
        if now_ms < self._due_ms_by_key[key]:
            return False
        self._due_ms_by_key[key] = now_ms + RETRY_MS
        return True

    def _rank(self, key: str) -> int:
        """Return the number of other VMs that write a record before this one."""
        own_score = rendezvous.score(key, self._vm_id)
        return sum(
            rendezvous.score(key, peer.vm_id) > own_score
            for peer in self._peers.alive(self._clock.now_ms())
        )

    def _apply(self, stored: KeyedRecord) -> None:
        if not stored.value:
            if version := self._version_by_key.pop(stored.key, None):
                self._history.drop_record(version)
            return
        try:
            with decoding(RecordUnreadable):
                record = _decoder.decode(stored.value)
        except RecordUnreadable as failure:
            fields = LogFields(
                task="software versions", offset=stored.offset, reason=failure.detail
            )
            self._logs.write(Event.RECORD_SKIPPED, level=LogLevel.ERROR, fields=fields)
            return
        self._version_by_key[stored.key] = record.version
        self._history.put_record(record)


def _key_of(version: ServiceVersion) -> str:
    name = f"{version.service}\n{version.software_version}"
    return f"{KEY_PREFIX}{xxhash.xxh64_hexdigest(name)}"  # a key has few bytes
