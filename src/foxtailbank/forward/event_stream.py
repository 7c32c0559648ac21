"""Reading of server-sent events."""

from foxtailbank.clock import Clock
from foxtailbank.event_splitter import EventSplitter, count_events
from foxtailbank.forward import stream_continuation
from foxtailbank.forward.stream_continuation import ProcessCheck, StreamPosition
from foxtailbank.forward.stream_event import last_id
from foxtailbank.forward.worker_client import WorkerResponse
from foxtailbank.http1.body_source import BodyFraming, BodySource
from foxtailbank.http1.failures import ConnectionBroken, ResponseTooLarge
from foxtailbank.response_limits import MAX_EVENT_BYTES, MAX_STREAM_BYTES


class EventBuffer(EventSplitter):
    """Releases complete events of a stream, from one response after another.

    Attributes
    ----------
    last_event_id : str
        Id of the last complete event.
    event_count : int
        Complete events since the position from which it was started.
    """

    def __init__(self) -> None:
        super().__init__()
        self.start_from("")

    def start_from(self, event_id: str, *, event_count: int = 0) -> None:
        """Start after an event, or from the first one.

        Parameters
        ----------
        event_id : str
            Id of the last event; empty for none.
        event_count : int
            Number of events up to it, if they are known from the first one on.
        """
        self.discard_partial_event()
        self.last_event_id = event_id
        self.event_count = event_count
        self._start_id = "" if event_count else event_id
        self._first_id = ""
        self._is_checked = True

    @property
    def position(self) -> StreamPosition:
        """How far the stream has come."""
        return StreamPosition(
            start_id=self._start_id,
            first_id=self._first_id,
            last_id=self.last_event_id,
            event_count=self.event_count,
        )

    def begin_response(self) -> None:
        """Expect the events of another response."""
        self.discard_partial_event()
        self._is_checked = not self.position.is_begun

    def feed(self, data: bytes) -> bytes:
        """Append bytes, split anywhere, and return all complete events.

        Raises
        ------
        StreamNotContinued
            The first event of a response is not the next one of the stream.
        """
        events = super().feed(data)
        if events:
            if not self._is_checked:
                stream_continuation.check_first_event(events, self.position)
                self._is_checked = True
            if not self.event_count:
                self._first_id = stream_continuation.first_event_id(events)
            self.event_count += count_events(events)
            self.last_event_id = last_id(events) or self.last_event_id
        return events


class EventSource(BodySource):
    """Complete events of a worker's response.

    A response that ends within an event was broken off, however it is framed.

    Parameters
    ----------
    response : WorkerResponse
        Response whose body is a stream of events.
    buffer : EventBuffer
        Holds the event that is incomplete so far.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, *, response: WorkerResponse, buffer: EventBuffer, clock: Clock
    ) -> None:
        self._response = response
        self._buffer = buffer
        self._clock = clock
        self._received_bytes = 0
        self._is_continued = buffer.position.is_begun
        self._events_before = buffer.event_count
        buffer.begin_response()

    @property
    def event_count(self) -> int:
        """Complete events received."""
        return self._buffer.event_count - self._events_before

    async def check_head(self, *, is_same_process: ProcessCheck) -> None:
        """Check that the response may go on with the stream, if one has begun.

        Parameters
        ----------
        is_same_process : callable
            Tells whether the process that was chosen has answered.

        Raises
        ------
        StreamNotContinued, ProcessReplaced
            As for `stream_continuation.check_head`.
        """
        if self._is_continued:
            await stream_continuation.check_head(
                self._response, is_same_process=is_same_process
            )

    @property
    def is_complete(self) -> bool:
        """Whether the end of the body was received with the last events."""
        return self._response.is_complete

    async def next_chunk(self, timeout_ms: float) -> bytes | None:
        """Return the next complete events, or None at the regular end of the stream.

        Parameters
        ----------
        timeout_ms : float
            Bound on the wait for the end of an event, in milliseconds.

        Raises
        ------
        ConnectionBroken
            The stream ended within an event.
        StreamNotContinued
            The response does not go on with the stream that has begun.
        ResponseTooLarge
            An event or the stream is longer than its bound.
        ExchangeFailed
            As for `BodySource.next_chunk`.
        """
        give_up_ms = self._clock.now_ms() + timeout_ms
        while (part := await self._response.next_chunk(timeout_ms)) is not None:
            self._add_size(len(part))
            events = self._buffer.feed(part)
            if events:
                return events
            self._check_partial()
            timeout_ms = max(0.0, give_up_ms - self._clock.now_ms())
        self._check_end()
        return None

    def _add_size(self, added_bytes: int) -> None:
        # Before the buffer takes a part, so that it has released no event in vain.
        self._received_bytes += added_bytes
        if self._received_bytes > MAX_STREAM_BYTES:
            raise ResponseTooLarge(detail=f"stream over {MAX_STREAM_BYTES} bytes")

    def _check_partial(self) -> None:
        if self._buffer.partial_bytes > MAX_EVENT_BYTES:
            raise ResponseTooLarge(detail=f"event over {MAX_EVENT_BYTES} bytes")

    def _check_end(self) -> None:
        if not self._buffer.is_at_event_boundary:
            raise ConnectionBroken(detail="stream ended within an event")
        is_framed = self._response.framing is not BodyFraming.CONNECTION_END
        if not is_framed and not self.event_count:
            raise ConnectionBroken(detail="connection ended before the first event")
        if self._is_continued and not self.event_count:
            stream_continuation.check_end(self._response)
