"""Decoding of server-sent events."""

import dataclasses
import re

from foxtailbank.event_splitter import ANY_BLANK_LINE

_LINE_END = re.compile(rb"[\r\n]")


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


def first_block(events: bytes) -> bytes:
    """Return what comes before the first blank line of complete events."""
    return ANY_BLANK_LINE.split(events, maxsplit=1)[0]


def last_id(events: bytes) -> str:
    """Return the id that the last of complete events with one bears, or nothing."""
    at = max(events.rfind(b"\nid:"), events.rfind(b"\rid:"))
    if at < 0 and not events.startswith(b"id:"):
        return ""
    line = _LINE_END.split(events[at + 1 :], maxsplit=1)[0]
    return line.partition(b":")[2].strip().decode("latin-1")


def parse_events(encoded: bytes) -> list[StreamEvent]:
    """Decode complete events.

    Parameters
    ----------
    encoded : bytes
        Events as `EventBuffer` returns them.
    """
    events = []
    text = encoded.decode("utf-8", "replace")
    if "\r" in text:
        text = text.replace("\r\n", "\n").replace("\r", "\n")
    for block in text.split("\n\n"):
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
