"""Buffering and parsing of server-sent events."""

import dataclasses

_END = b"\n\n"


@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamEvent:
    """One server-sent event.

    Attributes
    ----------
    event_id : str
        Event id; empty if it has none.
    data : str
        Data lines, joined by line feeds.
    """

    event_id: str
    data: str


class EventBuffer:
    """Buffers a byte stream and releases only complete events.

    Attributes
    ----------
    last_event_id : str
        Id of the last complete event.
    """

    def __init__(self) -> None:
        self.last_event_id = ""
        self._partial = b""

    @property
    def is_at_event_boundary(self) -> bool:
        """Whether no incomplete event is buffered."""
        return not self._partial.strip()

    def feed(self, data: bytes) -> bytes:
        """Append bytes, split anywhere, and return all complete events."""
        buffered = self._partial + data
        last_end = buffered.rfind(_END)
        if last_end < 0:
            self._partial = buffered
            return b""
        end = last_end + len(_END)
        self._partial = buffered[end:]
        complete = buffered[:end]
        self.last_event_id = _last_id(complete) or self.last_event_id
        return complete

    def discard_partial_event(self) -> None:
        """Discard the event that a broken connection left incomplete."""
        self._partial = b""


def _last_id(events: bytes) -> str:
    at = events.rfind(b"\nid:")
    if at < 0 and events.startswith(b"id:"):
        at = -1
    elif at < 0:
        return ""
    line = events[at + 1 :].split(b"\n", 1)[0]
    return line.partition(b":")[2].strip().decode("latin-1")


def parse_events(encoded: bytes) -> list[StreamEvent]:
    """Decode complete events.

    Parameters
    ----------
    encoded : bytes
        Events as `EventBuffer` returns them.
    """
    events = []
    for block in encoded.decode("utf-8", "replace").split("\n\n"):
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
