"""Server-sent events of a token stream, split without decoding each event."""

import typing as t

import msgspec

from foxtailbank.event_splitter import EventSplitter

EVENT_END = b"\n\n"
DATA_PREFIX = b"data: "
DONE_EVENT = b"data: [DONE]\n\n"
CANCELLED_REASON = b'"finish_reason":"cancelled"'


class Delta(msgspec.Struct, frozen=True):
    """Text added by a chat event."""

    content: str | None = None


class Choice(msgspec.Struct, frozen=True):
    """Part of an event that carries text or the finish reason."""

    text: str = ""
    delta: Delta = Delta()
    finish_reason: str | None = None

    @property
    def content(self) -> str:
        """Text added by the event, in the completion or the chat form."""
        return self.text or self.delta.content or ""


class TokenEvent(msgspec.Struct, frozen=True):
    """The fields of an event that the system uses.

    Attributes
    ----------
    token_index : int
        Index of its token; -1 if it has none.
    choices : tuple of Choice
        Text and finish reason.
    usage : dict or None
        Token counts, sent at the end of the stream.
    """

    id: str = ""
    created: int = 0
    model: str = ""
    token_index: int = -1
    choices: tuple[Choice, ...] = ()
    usage: dict[str, t.Any] | None = None

    @property
    def next_index(self) -> int:
        """Index of the token after this event; -1 if it has no index."""
        if self.token_index < 0:
            return -1
        has_text = any(choice.content for choice in self.choices)
        return self.token_index + (1 if has_text else 0)


_decoder = msgspec.json.Decoder(TokenEvent)


class TokenEventBuffer(EventSplitter):
    """Releases complete events of a token stream and knows where it ends.

    Only complete events are forwarded, so that another endpoint can continue a stream
    that breaks off in the middle of an event.

    Attributes
    ----------
    done : bool
        Whether the stream ended normally with its closing event.
    """

    def __init__(self) -> None:
        super().__init__()
        self.done = False
        self._last_events = b""

    def feed(self, data: bytes) -> bytes:
        """Append bytes, split anywhere, and return all complete events."""
        events = super().feed(data)
        if not events:
            return b""
        self._last_events = events
        if events.endswith(DONE_EVENT):
            # Engines send a regular closing event for cancelled streams as well.
            self.done = CANCELLED_REASON not in events
        return events

    def next_index(self, start: int) -> int:
        """Return the index of the first token not yet forwarded.

        Parameters
        ----------
        start : int
            Index at which the stream was opened; returned if no token has passed.

        Returns
        -------
        int
            Index to resume at.
        """
        for event in reversed(self._last_events.split(EVENT_END)):
            parsed = parse_event(event)
            if parsed is not None and parsed.next_index >= 0:
                return parsed.next_index
        return start


def parse_event(event: bytes) -> TokenEvent | None:
    """Decode one event; None if it is not a token event."""
    if not event.startswith(DATA_PREFIX):
        return None
    try:
        return _decoder.decode(event[len(DATA_PREFIX) :])
    except msgspec.MsgspecError:
        return None
