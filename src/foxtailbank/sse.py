"""Server-sent events of a token stream, followed without decoding each."""

import typing as t

import msgspec

EVENT_END = b"\n\n"
DATA_PREFIX = b"data: "
DONE_EVENT = b"data: [DONE]\n\n"
CANCELLED = b'"finish_reason":"cancelled"'


class Delta(msgspec.Struct, frozen=True):
    """Text that a chat event adds."""

    content: str | None = None


class Choice(msgspec.Struct, frozen=True):
    """Part of an event that carries text or the end of it."""

    text: str = ""
    delta: Delta = Delta()
    finish_reason: str | None = None

    @property
    def content(self) -> str:
        """Text that the event adds, in either shape."""
        return self.text or self.delta.content or ""


class TokenEvent(msgspec.Struct, frozen=True):
    """What the system reads of one event.

    Attributes
    ----------
    token_index : int
        Index of its token; -1 without one.
    choices : tuple of Choice
        Text and end of the stream.
    usage : dict or None
        Tokens used, at the end.
    """

    id: str = ""
    created: int = 0
    model: str = ""
    token_index: int = -1
    choices: tuple[Choice, ...] = ()
    usage: dict[str, t.Any] | None = None

    @property
    def next_index(self) -> int:
        """Index of the token after this event; -1 if it tells none."""
        if self.token_index < 0:
            return -1
        has_text = any(choice.content for choice in self.choices)
        return self.token_index + (1 if has_text else 0)


_decoder = msgspec.json.Decoder(TokenEvent)


class EventTail:
    """Follows a token stream and cuts it at whole events.

    Only whole events are passed on, so that a stream that breaks in the midst of
    one can be continued by another endpoint.

    Attributes
    ----------
    done : bool
        Whether the closing event has passed.
    """

    def __init__(self) -> None:
        self.done = False
        self._rest = b""
        self._last = b""

    def feed(self, part: bytes) -> bytes:
        """Take bytes as they arrived.

        Parameters
        ----------
        part : bytes
            Bytes in any split.

        Returns
        -------
        bytes
            All whole events that have not been returned before.
        """
        data = self._rest + part if self._rest else part
        cut = data.rfind(EVENT_END)
        if cut < 0:
            self._rest = data
            return b""
        end = cut + len(EVENT_END)
        whole = data[:end]
        self._rest = data[end:]
        self._last = whole
        if whole.endswith(DONE_EVENT):
            # An engine closes a stream that somebody cancelled in due form.
            self.done = CANCELLED not in whole
        return whole

    def drop_partial(self) -> None:
        """Forget the event that the broken connection left unfinished."""
        self._rest = b""

    def next_index(self, start: int) -> int:
        """Return the index of the first token that has not passed.

        Parameters
        ----------
        start : int
            Index that the stream was opened at.

        Returns
        -------
        int
            Index to resume at.
        """
        for event in reversed(self._last.split(EVENT_END)):
            parsed = parse_event(event)
            if parsed is not None and parsed.next_index >= 0:
                return parsed.next_index
        return start


def parse_event(event: bytes) -> TokenEvent | None:
    """Decode one event; None for an event that carries no token."""
    if not event.startswith(DATA_PREFIX):
        return None
    try:
        return _decoder.decode(event[len(DATA_PREFIX) :])
    except msgspec.MsgspecError:
        return None
