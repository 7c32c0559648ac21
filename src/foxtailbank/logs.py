"""The daemon's log lines: JSON, one line for each outcome."""

import dataclasses
import io
import logging
import sys
import typing as t

from pythonjsonlogger.json import JsonFormatter

from foxtailbank.events import Event
from foxtailbank.settings_sections import LogLevel

LOGGER_NAME = "foxtailbank"
MAX_REASON_CHARS = 300
_LEVELS = {
    LogLevel.DEBUG: logging.DEBUG,
    LogLevel.INFO: logging.INFO,
    LogLevel.WARNING: logging.WARNING,
    LogLevel.ERROR: logging.ERROR,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogFields:
    """Fields that a log line may have; there is no room for content.

    Attributes
    ----------
    request_id : str
        Request that the line is about.
    owner : str
        Owner of the entry.
    entry : str
        Catalogue entry.
    reason : str
        Stable code or short cause.
    endpoint : str
        Endpoint VM.
    peer : str
        Other entry VM.
    job_id : str
        Batch job.
    task : str
        Periodic work of the daemon.
    status : int
        HTTP status of the answer.
    duration_ms : int
        From the request's arrival to its outcome.
    first_byte_ms : int
        From the request's arrival to the first byte of its answer.
    wait_ms : int
        Expected wait or pause.
    age_ms : int
        Age of the information that decided.
    version : int
        Catalogue version.
    offset : int
        Offset in a log stream.
    count : int
        How many things the line is about.
    """

    request_id: str = ""
    owner: str = ""
    entry: str = ""
    reason: str = ""
    endpoint: str = ""
    peer: str = ""
    job_id: str = ""
    task: str = ""
    status: int | None = None
    duration_ms: int | None = None
    first_byte_ms: int | None = None
    wait_ms: int | None = None
    age_ms: int | None = None
    version: int | None = None
    offset: int | None = None
    count: int | None = None


_FIELD_NAMES = tuple(field.name for field in dataclasses.fields(LogFields))


class Logs:
    """Writes log lines of one VM.

    Parameters
    ----------
    vm : str
        Name of the VM.
    zone : str
        Availability zone of the VM.
    level : LogLevel
        Least severity that is written.
    stream : file object, optional
        Where the lines go; standard output if not given.
    """

    def __init__(
        self,
        *,
        vm: str,
        zone: str,
        level: LogLevel = LogLevel.INFO,
        stream: t.TextIO | io.TextIOBase | None = None,
    ) -> None:
        self._vm = vm
        self._zone = zone
        output = stream if stream is not None else sys.stdout
        self._handler = logging.StreamHandler(output)
        self._handler.setFormatter(_formatter())
        self._level_number = _LEVELS[level]

    def set_level(self, level: LogLevel) -> None:
        """Change the least severity that is written."""
        self._level_number = _LEVELS[level]

    def write(
        self,
        event: Event,
        *,
        level: LogLevel = LogLevel.INFO,
        fields: LogFields | None = None,
    ) -> None:
        """Write one line.

        Parameters
        ----------
        event : Event
            What happened.
        level : LogLevel
            Severity.
        fields : LogFields, optional
            What it is about; empty fields are left out.
        """
        number = _LEVELS[level]
        if number < self._level_number:
            return
        attributes: dict[str, t.Any] = {
            "name": LOGGER_NAME,
            "levelno": number,
            "levelname": level.value,
            "msg": event.value,
            "vm": self._vm,
            "zone": self._zone,
        }
        if fields is not None:
            attributes.update(_filled(fields))
        self._handler.handle(logging.makeLogRecord(attributes))


def _filled(fields: LogFields) -> dict[str, t.Any]:
    filled = {}
    for name in _FIELD_NAMES:
        value = getattr(fields, name)
        if value is None or value == "":
            continue
        filled[name] = value[:MAX_REASON_CHARS] if isinstance(value, str) else value
    return filled


def _formatter() -> logging.Formatter:
    return JsonFormatter(
        "%(levelname)s %(message)s",
        rename_fields={"levelname": "level", "message": "event"},
        timestamp="time",
        json_ensure_ascii=False,
    )
