"""Crash reports, and what clears prompt parts, in the platform's log.

Datagrams reach the other VMs within milliseconds, but not those that are cut off from
this one, nor one that starts later. Those read the log.
"""

import anyio
import msgspec

from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.decoding import decoding
from foxtailbank.events import Event
from foxtailbank.fleet.crash_report import CrashReport, PartCompletion
from foxtailbank.fleet.crash_reports import REPORT_TTL_MS
from foxtailbank.forward.crash_tracker import CrashTracker
from foxtailbank.keyed_log import KeyedRecord, LogSlice
from foxtailbank.log_follower import LogState
from foxtailbank.logs import LogFields, Logs
from foxtailbank.record_isolation import apply_each
from foxtailbank.settings_sections import LogLevel
from foxtailbank.submissions.append_queue import AppendQueue
from foxtailbank.submissions.records import RecordUnreadable

KEY_PREFIX = "crash/"
_REPORT_PREFIX = f"{KEY_PREFIX}report/"
_COMPLETION_PREFIX = f"{KEY_PREFIX}completion/"
CHECK_PERIOD_MS = 5_000

_encoder = msgspec.msgpack.Encoder()
_report_decoder = msgspec.msgpack.Decoder(CrashReport)
_completion_decoder = msgspec.msgpack.Decoder(PartCompletion)


class CrashReportLog(LogState):
    """Writes what this VM reports and clears to the log, and applies that of all VMs.

    Parameters
    ----------
    owner_id : str
        This process, as ``vm/incarnation``.
    crashes : CrashTracker
        Makes this VM's reports and gets those of the others.
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
        owner_id: str,
        crashes: CrashTracker,
        appends: AppendQueue,
        logs: Logs,
        clock: Clock,
    ) -> None:
        self._own_prefix = f"{_REPORT_PREFIX}{owner_id}/"
        self._crashes = crashes
        self._appends = appends
        self._logs = logs
        self._clock = clock
        self._report_count = 0
        self._written_wall_ms_by_key: dict[str, int] = {}
        crashes.add_report_listener(self._write_report)
        crashes.add_completion_listener(self._write_completion)

    def restore(self, newest: LogSlice) -> None:
        """Apply all records in the log."""
        self._written_wall_ms_by_key = {}
        self.apply_records(newest)

    def apply_records(self, part: LogSlice) -> None:
        """Apply the records that follow."""
        apply_each(part.records, self._apply, task="crash reports", logs=self._logs)

    async def run(self) -> None:
        """Drop expired records from the log until cancelled."""
        while True:
            await anyio.sleep(CHECK_PERIOD_MS / MS_PER_S)
            self.drop_expired()

    def drop_expired(self) -> None:
        """Drop the expired reports of this process, and what others left behind.

        The latter is dropped after twice the time, as its VM may have departed.
        """
        expired = [key for key in self._written_wall_ms_by_key if self._is_expired(key)]
        for key in expired:
            del self._written_wall_ms_by_key[key]
        if expired:
            records = tuple(KeyedRecord(key=key, value=b"") for key in expired)
            self._appends.put_split(records)

    def _write_report(self, report: CrashReport) -> None:
        self._report_count += 1
        self._write(f"{self._own_prefix}{self._report_count}", report)

    def _write_completion(self, completion: PartCompletion) -> None:
        self._write(f"{_COMPLETION_PREFIX}{completion.part:016x}", completion)

    def _write(self, key: str, content: CrashReport | PartCompletion) -> None:
        record = KeyedRecord(key=key, value=_encoder.encode(content))
        self._appends.put((record,), urgent=False)

    def _apply(self, record: KeyedRecord) -> None:
        if not record.value:
            self._written_wall_ms_by_key.pop(record.key, None)
            return
        try:
            if record.key.startswith(_COMPLETION_PREFIX):
                self._apply_completion(record)
            else:
                self._apply_report(record)
        except RecordUnreadable as failure:
            fields = LogFields(
                task="crash reports", offset=record.offset, reason=failure.detail
            )
            self._logs.write(Event.RECORD_SKIPPED, level=LogLevel.ERROR, fields=fields)

    def _apply_report(self, record: KeyedRecord) -> None:
        with decoding(RecordUnreadable):
            report = _report_decoder.decode(record.value)
        self._written_wall_ms_by_key[record.key] = report.crashed_wall_ms
        vm_id = record.key.removeprefix(_REPORT_PREFIX).partition("/")[0]
        self._crashes.on_peer_report(report, vm_id=vm_id)

    def _apply_completion(self, record: KeyedRecord) -> None:
        with decoding(RecordUnreadable):
            completion = _completion_decoder.decode(record.value)
        self._written_wall_ms_by_key[record.key] = completion.completed_wall_ms
        self._crashes.reports.add_completion(completion)

    def _is_expired(self, key: str) -> bool:
        kept_ms = REPORT_TTL_MS * (1 if key.startswith(self._own_prefix) else 2)
        return self._clock.wall_ms() - self._written_wall_ms_by_key[key] >= kept_ms
