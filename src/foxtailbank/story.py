"""What log lines tell of one request, submission or item."""

import dataclasses
import datetime
import pathlib
import typing as t

import msgspec

from foxtailbank.events import Event

AROUND_S = 3.0  # a worker's or the store's trouble shows within that
_ID_FIELDS = ("request_id", "job_id")
_BELIEF_EVENTS = frozenset(
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
_BELIEF_NAMES = frozenset(event.value for event in _BELIEF_EVENTS)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogLine:
    """One line of a VM's log.

    Attributes
    ----------
    at : datetime.datetime
        When it was written.
    vm, event : str
        Who wrote it, and what happened.
    fields : tuple of (str, str)
        The other fields in the order of the line.
    """

    at: datetime.datetime
    vm: str
    event: str
    fields: tuple[tuple[str, str], ...]

    def get(self, name: str) -> str:
        """Return a field's value, or an empty text."""
        return dict(self.fields).get(name, "")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Story:
    """Lines about one id, and what happened around them.

    Attributes
    ----------
    request_id : str
        The id.
    lines : tuple of LogLine
        Lines that name it, in the order of time.
    around : tuple of LogLine
        Changes of what the VMs concerned believed of its workers, of the store and of
        each other, up to `AROUND_S` before and after.
    unreadable : int
        Lines of the files that are no log lines.
    """

    request_id: str
    lines: tuple[LogLine, ...]
    around: tuple[LogLine, ...]
    unreadable: int


def tell(request_id: str, paths: t.Sequence[pathlib.Path]) -> Story:
    """Collect the story of an id from log files.

    Raises
    ------
    OSError
        A file can't be read.
    """
    lines: list[LogLine] = []
    unreadable = 0
    for path in paths:
        for text in path.read_text(encoding="utf-8", errors="replace").splitlines():
            line = _decode(text)
            if line is None:
                unreadable += bool(text.strip())
            else:
                lines.append(line)
    lines.sort(key=lambda line: line.at)
    own = tuple(line for line in lines if _names(line, request_id))
    around = tuple(line for line in lines if _is_around(line, own))
    return Story(request_id=request_id, lines=own, around=around, unreadable=unreadable)


def _decode(text: str) -> LogLine | None:
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


def _names(line: LogLine, request_id: str) -> bool:
    return any(line.get(name) == request_id for name in _ID_FIELDS)


def _is_around(line: LogLine, own: tuple[LogLine, ...]) -> bool:
    if not own or line.event not in _BELIEF_NAMES:
        return False
    span = datetime.timedelta(seconds=AROUND_S)
    if not own[0].at - span <= line.at <= own[-1].at + span:
        return False
    if line.vm not in {one.vm for one in own}:
        return False
    endpoint = line.get("endpoint")
    return not endpoint or endpoint in {one.get("endpoint") for one in own}
