"""Log lines, bounded in number, about records that are skipped."""

import dataclasses

from foxtailbank.clock import Clock
from foxtailbank.events import Event
from foxtailbank.logs import LogFields, Logs
from foxtailbank.settings_sections import LogLevel

PERIOD_MS = 60_000  # for each key
MAX_KEYS = 1_000


class SkippedRecords:
    """Counts skipped records and writes at most one line a minute for each key.

    Parameters
    ----------
    event : Event
        Event of the lines.
    logs : Logs
        Receives the lines.
    clock : Clock
        Source of time.

    Attributes
    ----------
    count : int
        Records skipped so far.
    """

    def __init__(self, *, event: Event, logs: Logs, clock: Clock) -> None:
        self._event = event
        self._logs = logs
        self._clock = clock
        self._written_ms_by_key: dict[str, int] = {}
        self.count = 0

    def add(self, key: str, fields: LogFields) -> None:
        """Count a skipped record.

        Parameters
        ----------
        key : str
            What the record is about.
        fields : LogFields
            Fields of the line; the number of records skipped so far is added.
        """
        self.count += 1
        now_ms = self._clock.now_ms()
        written_ms = self._written_ms_by_key.pop(key, None)
        if written_ms is not None and now_ms - written_ms < PERIOD_MS:
            self._written_ms_by_key[key] = written_ms
            return
        self._written_ms_by_key[key] = now_ms
        if len(self._written_ms_by_key) > MAX_KEYS:
            del self._written_ms_by_key[next(iter(self._written_ms_by_key))]
        self._logs.write(
            self._event,
            level=LogLevel.WARNING,
            fields=dataclasses.replace(fields, count=self.count),
        )
