"""Server-sent events of a token stream, followed without decoding each."""

import msgspec

EVENT_END = b"\n\n"
DATA_PREFIX = b"data: "
DONE_EVENT = b"data: [DONE]\n\n"


class _Choice(msgspec.Struct, frozen=True):
    finish_reason: str | None = None


class _TokenEvent(msgspec.Struct, frozen=True):
    token_index: int = -1
    token_count: int = 1
    choices: tuple[_Choice, ...] = ()


_decoder = msgspec.json.Decoder(_TokenEvent)


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
            self.done = True
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
            if parsed is not None and parsed.token_index >= 0:
                return parsed.token_index + parsed.token_count
        return start


def parse_event(event: bytes) -> _TokenEvent | None:
    """Decode one event; None for an event that carries no token."""
    if not event.startswith(DATA_PREFIX):
        return None
    try:
        return _decoder.decode(event[len(DATA_PREFIX) :])
    except msgspec.MsgspecError:
        return None
