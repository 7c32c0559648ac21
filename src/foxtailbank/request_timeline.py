"""Timeline of one request, submission or item, collected from log files."""

import dataclasses
import datetime
import pathlib
import typing as t

import msgspec

from foxtailbank.events import Event

CONTEXT_WINDOW_S = 3.0  # failures of workers and the store are logged within this
_ID_FIELDS = ("request_id", "job_id")
_STATE_CHANGE_EVENTS = frozenset(
    (
        Event.ENDPOINT_AVOIDED,
        Event.ENDPOINT_DRAINING,
        Event.ENDPOINT_JOINED,
        Event.ENDPOINT_LOST,
        Event.PEER_LOST,
        Event.ROUTES_APPLIED,
        Event.STORE_LOST,
        Event.STORE_RESTORED,
        Event.VM_STARTED,
        Event.VM_DRAINING,
    )
)
_STATE_CHANGE_NAMES = frozenset(event.value for event in _STATE_CHANGE_EVENTS)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogLine:
    """One line of a VM's log.

    Attributes
    ----------
    at : datetime.datetime
        Time of the line, with its time zone.
    vm, event : str
        VM that wrote the line, and name of the event.
    fields : tuple of (str, str)
        Names and values of the other fields, in the order of the line.
    """

    at: datetime.datetime
    vm: str
    event: str
    fields: tuple[tuple[str, str], ...]

    def get(self, name: str) -> str:
        """Return a field's value, or an empty string if there is none."""
        return dict(self.fields).get(name, "")


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestTimeline:
    """Log lines about one id, and state changes close to them in time.

    Attributes
    ----------
    request_id : str
        Id of the request, submission or item.
    lines : tuple of LogLine
        Lines that contain the id, ordered by time.
    around : tuple of LogLine
        State changes of its endpoints, the store, routes and VMs that the same VMs
        logged up to `CONTEXT_WINDOW_S` before its first and after its last line.
    unreadable : int
        Number of lines that are not valid log lines; blank lines do not count.
    """

    request_id: str
    lines: tuple[LogLine, ...]
    around: tuple[LogLine, ...]
    unreadable: int


def build_timeline(request_id: str, paths: t.Sequence[pathlib.Path]) -> RequestTimeline:
    """Collect the log lines about an id from log files.

    Raises
    ------
    OSError
        A file cannot be read.
    """
    lines: list[LogLine] = []
    unreadable = 0
    for path in paths:
        for text in path.read_text(encoding="utf-8", errors="replace").splitlines():
            line = _parse_line(text)
            if line is None:
                unreadable += bool(text.strip())
            else:
                lines.append(line)
    lines.sort(key=lambda line: line.at)
    matches = tuple(line for line in lines if _has_id(line, request_id))
    around = tuple(line for line in lines if _is_context(line, matches))
    return RequestTimeline(
        request_id=request_id, lines=matches, around=around, unreadable=unreadable
    )


def _parse_line(text: str) -> LogLine | None:
    start = text.find("{")
    try:
        fields = msgspec.json.decode(text[max(start, 0) :], type=dict[str, t.Any])
        at = datetime.datetime.fromisoformat(fields.pop("time"))
        vm = str(fields.pop("vm"))
        event = str(fields.pop("event"))
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
        return None
    if at.tzinfo is None:
        return None
    return LogLine(
        at=at,
        vm=vm,
        event=event,
        fields=tuple((name, str(value)) for name, value in fields.items()),
    )


def _has_id(line: LogLine, request_id: str) -> bool:
    return any(line.get(name) == request_id for name in _ID_FIELDS)


def _is_context(line: LogLine, matches: tuple[LogLine, ...]) -> bool:
    if not matches or line.event not in _STATE_CHANGE_NAMES:
        return False
    window = datetime.timedelta(seconds=CONTEXT_WINDOW_S)
    if not matches[0].at - window <= line.at <= matches[-1].at + window:
        return False
    if line.vm not in {other.vm for other in matches}:
        return False
    endpoint = line.get("endpoint")
    return not endpoint or endpoint in {other.get("endpoint") for other in matches}
