"""Server-sent events with ids, cut at whole events."""

import dataclasses

_END = b"\n\n"


@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamEvent:
    """One event.

    Attributes
    ----------
    event_id : str
        Its id; empty if it has none.
    data : str
        Its data lines, joined by line feeds.
    """

    event_id: str
    data: str


class EventCutter:
    """Collects bytes and yields only whole events.

    Attributes
    ----------
    last_id : str
        Id of the newest whole event.
    """

    def __init__(self) -> None:
        self.last_id = ""
        self._rest = b""

    @property
    def is_clean(self) -> bool:
        """Whether no event is left unfinished."""
        return not self._rest.strip()

    def feed(self, data: bytes) -> bytes:
        """Take bytes in any split and return all whole events in them."""
        joined = self._rest + data
        cut = joined.rfind(_END)
        if cut < 0:
            self._rest = joined
            return b""
        end = cut + len(_END)
        self._rest = joined[end:]
        whole = joined[:end]
        self.last_id = _last_id(whole) or self.last_id
        return whole

    def drop_rest(self) -> None:
        """Forget the event that a broken connection left unfinished."""
        self._rest = b""


def _last_id(events: bytes) -> str:
    at = events.rfind(b"\nid:")
    if at < 0 and events.startswith(b"id:"):
        at = -1
    elif at < 0:
        return ""
    line = events[at + 1 :].split(b"\n", 1)[0]
    return line.partition(b":")[2].strip().decode("latin-1")


def parse_events(whole: bytes) -> list[StreamEvent]:
    """Decode whole events.

    Parameters
    ----------
    whole : bytes
        Events as `EventCutter` returns them.
    """
    events = []
    for block in whole.decode("utf-8", "replace").split("\n\n"):
        event_id = ""
        data: list[str] = []
        for line in block.split("\n"):
            name, _, value = line.partition(":")
            if name == "id":
                event_id = value.strip()
            elif name == "data":
                data.append(value.removeprefix(" "))
        if event_id or data:
            events.append(StreamEvent(event_id=event_id, data="\n".join(data)))
    return events
