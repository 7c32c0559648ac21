"""Splits a byte stream into server-sent events without decoding them."""

import re

_BLANK_LINE = b"\n\n"
# A line may also end with a carriage return, alone or before the line feed.
ANY_BLANK_LINE = re.compile(rb"(?>\r\n|\n|\r)(?>\r\n|\n|\r)")


class EventSplitter:
    """Buffers a byte stream and releases only complete events."""

    def __init__(self) -> None:
        self._partial = b""

    @property
    def partial_bytes(self) -> int:
        """Size of the incomplete event."""
        return len(self._partial)

    @property
    def is_at_event_boundary(self) -> bool:
        """Whether no incomplete event is buffered."""
        return not self._partial.strip()

    def feed(self, data: bytes) -> bytes:
        """Append bytes, split anywhere, and return all complete events."""
        buffered = self._partial + data if self._partial else data
        end = _end_of_last_event(buffered)
        self._partial = buffered[end:]
        return buffered[:end]

    def discard_partial_event(self) -> None:
        """Discard the event that a broken connection left incomplete."""
        self._partial = b""


def count_events(events: bytes) -> int:
    """Return the number of complete events in what `EventSplitter.feed` returned."""
    if b"\r" not in events:
        return events.count(_BLANK_LINE)
    return sum(1 for _ in ANY_BLANK_LINE.finditer(events))


def _end_of_last_event(buffered: bytes) -> int:
    """Return the position after the last blank line; 0 if there is none."""
    if b"\r" not in buffered:
        at = buffered.rfind(_BLANK_LINE)
        return at + len(_BLANK_LINE) if at >= 0 else 0
    end = 0
    for match in ANY_BLANK_LINE.finditer(buffered):
        end = match.end()
    return end
