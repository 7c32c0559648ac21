"""What may go on with a stream of which some events were passed on already.

A worker that was asked for the rest of a stream may answer with an error's text, begin
anew, or leave events out. Such an answer must not be joined to the events before it.
"""

import dataclasses
import typing as t

from foxtailbank.forward.stream_event import first_block, last_id
from foxtailbank.forward.worker_client import WorkerResponse
from foxtailbank.http1.failures import ProcessReplaced, StreamNotContinued

EVENT_STREAM_TYPE = "text/event-stream"
STREAM_STATUS = 200
MAX_ID_DIGITS = 18

ProcessCheck: t.TypeAlias = t.Callable[[], t.Awaitable[bool]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamPosition:
    """How far a stream has come.

    Attributes
    ----------
    start_id : str
        Id after which this process began to read; empty for a stream's beginning.
    first_id : str
        Id of the first event that it read; empty if that has none.
    last_id : str
        Id of the last event of the stream; empty without any id.
    event_count : int
        Events that it read.
    """

    start_id: str = ""
    first_id: str = ""
    last_id: str = ""
    event_count: int = 0

    @property
    def is_begun(self) -> bool:
        """Whether a further answer must go on with the stream."""
        return bool(self.event_count or self.last_id)

    @property
    def can_continue(self) -> bool:
        """Whether a worker can be asked for the rest, or for the whole stream."""
        return bool(self.last_id) or not self.event_count

    def precedes(self, event_id: str) -> bool:
        """Return whether an event may be the next one, by its id.

        Numbers rise by one for each event, or by more in a stream whose numbers have
        done so before, as an event may hold several tokens.
        """
        if not event_id or not self.last_id:
            return False
        last, following = _number(self.last_id), _number(event_id)
        if last is None:
            return event_id not in (self.first_id, self.last_id)
        if following is None:
            return False
        if self._has_gaps(last):
            return following > last
        return following == last + 1

    def _has_gaps(self, last: int) -> bool:
        start = _number(self.start_id) if self.start_id else 0
        return start is None or last - start > self.event_count


def content_type(response: WorkerResponse) -> str:
    """Return the media type that a response declares; empty if it declares none."""
    for name, value in response.headers:
        if name.lower() == "content-type":
            return value.partition(";")[0].strip().lower()
    return ""


def may_be_event_stream(response: WorkerResponse) -> bool:
    """Return whether a response is an event stream, or does not say what it is."""
    return content_type(response) in ("", EVENT_STREAM_TYPE)


async def check_head(
    response: WorkerResponse, *, is_same_process: ProcessCheck
) -> None:
    """Check the head of a response that is to go on with a stream.

    Parameters
    ----------
    response : WorkerResponse
        Response whose head has arrived.
    is_same_process : callable
        Tells whether the process that was chosen has answered.

    Raises
    ------
    StreamNotContinued
        It is no event stream.
    ProcessReplaced
        Another process may have answered.
    """
    if response.status != STREAM_STATUS or not may_be_event_stream(response):
        kind = content_type(response) or "no type"
        raise StreamNotContinued(detail=f"status {response.status} of {kind}")
    if not await is_same_process():
        raise ProcessReplaced(detail="another process may have answered")


def first_event_id(events: bytes) -> str:
    """Return the id of the first of complete events; empty if it has none."""
    return last_id(first_block(events))


def check_first_event(events: bytes, position: StreamPosition) -> None:
    """Check the first events of a response that is to go on with a stream.

    Parameters
    ----------
    events : bytes
        Complete events.
    position : StreamPosition
        How far the stream had come.

    Raises
    ------
    StreamNotContinued
        The first of them is not the next event of the stream.
    """
    event_id = first_event_id(events)
    if not position.precedes(event_id):
        raise StreamNotContinued(
            detail=f"event {event_id[:MAX_ID_DIGITS]!r} after {position.last_id!r}"
        )


def check_end(response: WorkerResponse) -> None:
    """Check a response without an event that is to go on with a stream.

    Raises
    ------
    StreamNotContinued
        It does not say that it is an event stream.
    """
    if not content_type(response):
        raise StreamNotContinued(detail="neither a type nor an event")


def _number(event_id: str) -> int | None:
    if not (event_id.isascii() and event_id.isdecimal()):
        return None
    return int(event_id) if len(event_id) <= MAX_ID_DIGITS else None
