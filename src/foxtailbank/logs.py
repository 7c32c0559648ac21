"""JSON log lines of the daemon."""

import dataclasses
import io
import logging
import sys
import typing as t

from pythonjsonlogger.json import JsonFormatter

from foxtailbank.events import Event
from foxtailbank.settings_sections import LogLevel

LOGGER_NAME = "foxtailbank"
MAX_VALUE_CHARS = 300
_LEVELS = {
    LogLevel.DEBUG: logging.DEBUG,
    LogLevel.INFO: logging.INFO,
    LogLevel.WARNING: logging.WARNING,
    LogLevel.ERROR: logging.ERROR,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogFields:
    """Optional fields of a log line.

    Request and answer content is never logged, so there is no field for it.

    Attributes
    ----------
    request_id : str
        Identifier of the request.
    owner : str
        Owner of the entry.
    entry : str
        Catalogue entry.
    reason : str
        Stable code or short description of the cause.
    endpoint : str
        Identifier of the endpoint VM.
    peer : str
        Identifier of another entry VM.
    job_id : str
        Identifier of the batch job.
    task : str
        Periodic task of the daemon.
    status : int
        HTTP status of the answer.
    duration_ms : int
        Time from the arrival of the request, or the start of a task, to its outcome.
    first_byte_ms : int
        Time from the arrival of the request to the first byte of the answer.
    wait_ms : int
        Expected wait or pause, in milliseconds.
    age_ms : int
        Age of the information that a decision was based on, in milliseconds.
    first_start_ms : int
        Time from the arrival of a submission to the first run of the item.
    running_ms : int
        Time that an item spent in runs on workers.
    yields : int
        Runs of an item that were stopped for online requests.
    framing : str
        What marks the end of the endpoint's answer.
    fingerprint : str
        Digest of a request, in hexadecimal.
    parts : str
        Digests of the shared parts of a request's prompt, in hexadecimal.
    events : int
        Events of a stream that were received in one attempt.
    after_event : str
        Id of the event after which a stream is continued.
    software_version : str
        Version of the endpoint's software.
    per_s : float
        Requests a second.
    version : int
        Catalogue version.
    offset : int
        Offset in a log stream.
    count : int
        Number of objects that the line refers to.
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
    first_start_ms: int | None = None
    running_ms: int | None = None
    yields: int | None = None
    framing: str = ""
    fingerprint: str = ""
    parts: str = ""
    events: int | None = None
    after_event: str = ""
    software_version: str = ""
    per_s: float | None = None
    version: int | None = None
    offset: int | None = None
    count: int | None = None


def format_digests(digests: t.Iterable[int]) -> str:
    """Return 64-bit digests as they are written to log lines."""
    return ",".join(f"{digest:016x}" for digest in digests)


_FIELD_NAMES = tuple(field.name for field in dataclasses.fields(LogFields))


class Logs:
    """Log writer of one VM.

    Parameters
    ----------
    vm : str
        Name of the VM.
    zone : str
        Availability zone of the VM.
    level : LogLevel
        Minimum severity.
    stream : file object, optional
        Output for the lines; standard output by default.
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
        """Change the minimum severity."""
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
            Details of the event; empty fields are omitted.
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
            attributes.update(_non_empty_fields(fields))
        self._handler.handle(logging.makeLogRecord(attributes))


def _non_empty_fields(fields: LogFields) -> dict[str, t.Any]:
    non_empty = {}
    for name in _FIELD_NAMES:
        value = getattr(fields, name)
        if value is None or value == "":
            continue
        non_empty[name] = value[:MAX_VALUE_CHARS] if isinstance(value, str) else value
    return non_empty


def _formatter() -> logging.Formatter:
    return JsonFormatter(
        "%(levelname)s %(message)s",
        rename_fields={"levelname": "level", "message": "event"},
        timestamp="time",
        json_ensure_ascii=False,
    )
