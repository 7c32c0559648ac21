"""HTTP/1.1 client connection that carries one request at a time."""

import math
import re
import typing as t

import anyio
import anyio.abc
import h11

from foxtailbank.address import parse_address
from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.headers import Headers, encode_headers, encode_text
from foxtailbank.http1.body_source import BodyFraming, BodySource
from foxtailbank.http1.failures import (
    ConnectionBroken,
    MalformedResponse,
    NotConnected,
    RequestUnsendable,
    ResponseTimeout,
    ResponseTooLarge,
)
from foxtailbank.http1.socket_options import (
    enable_dead_peer_detection,
    has_pending_input,
)
from foxtailbank.response_limits import MAX_HEAD_BYTES

READ_BYTES = 65_536
HEAD_PARTS_MS = 1_000  # from the first part of a head to its end; mostly it has one
MAX_FAILED_IDS = 1_000  # on one connection; then another one is opened
DEFAULT_MAX_IDLE_MS = 4_000  # below the idle timeout of common servers
IDLE_TIMEOUT_FRACTION = 0.8  # of the timeout that the server announces
MAX_STATUS = 599  # RFC 9110, section 15; lower ones are refused by h11
_SECONDS = re.compile("[0-9]{1,9}")
_BODILESS_STATUSES = frozenset((204, 304))


class ResponseHead:
    """Status line and headers of a response.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        All headers in the order of arrival, names in lower case.
    """

    def __init__(self, *, status: int, headers: Headers) -> None:
        self.status = status
        self.headers = headers
        self._value_by_name = dict(headers)

    def get(self, name: str) -> str:
        """Return a header's value, or an empty string; `name` is in lower case."""
        return self._value_by_name.get(name, "")

    @property
    def framing(self) -> BodyFraming:
        """What marks the end of the body."""
        if self.get("transfer-encoding"):
            return BodyFraming.CHUNKED
        if self.get("content-length") or self.status in _BODILESS_STATUSES:
            return BodyFraming.LENGTH
        return BodyFraming.CONNECTION_END


class ClientChannel(BodySource):
    """Connection to a server.

    Parameters
    ----------
    stream : anyio.abc.SocketStream
        Connected stream.
    clock : Clock
        Source of time.
    """

    def __init__(self, *, stream: anyio.abc.SocketStream, clock: Clock) -> None:
        self._stream = stream
        self._clock = clock
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._max_idle_ms = DEFAULT_MAX_IDLE_MS
        self._idle_since_ms = clock.now_ms()
        self._body_sent = True
        self._pending_event: t.Any = None  # event or error after the last chunk
        self._received_bytes = 0
        self._sent_request: h11.Request | None = None
        self._is_spent = False
        self._failed_ids: set[str] = set()
        self.opened_ms = clock.now_ms()

    @classmethod
    async def connect(
        cls, *, address: str, clock: Clock, timeout_ms: int
    ) -> "ClientChannel":
        """Open a connection.

        Parameters
        ----------
        address : str
            IP number and port.
        clock : Clock
            Source of time.
        timeout_ms : int
            Bound on the wait, in milliseconds.

        Raises
        ------
        NotConnected
            The address refused the connection or did not respond in time.
        """
        try:
            parsed = parse_address(address)
            with anyio.fail_after(timeout_ms / MS_PER_S):
                stream = await anyio.connect_tcp(parsed.ip, parsed.port)
        except Exception as error:  # of the resolver too, for an odd address
            detail = f"no connection to {address}: {error!r}"
            raise NotConnected(detail=detail) from error
        try:
            enable_dead_peer_detection(stream)
        except OSError as error:
            raise NotConnected(
                detail=f"{address} closed the connection: {error!r}"
            ) from error
        return cls(stream=stream, clock=clock)

    async def send(
        self, *, method: str, target: str, headers: Headers, body: bytes
    ) -> None:
        """Send a complete request.

        Parameters
        ----------
        method, target : str
            Request line.
        headers : tuple of (str, str)
            Headers including ``Host``; ``Content-Length`` is added.
        body : bytes
            Request body.

        Raises
        ------
        ConnectionBroken
            The connection was lost while sending.
        RequestUnsendable
            The request has no form in HTTP; nothing was sent.
        """
        self._body_sent = False
        data = self._encode(method, target, headers, body)
        try:
            await self._stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise ConnectionBroken(
                detail=f"connection lost while sending: {error!r}"
            ) from error
        self._body_sent = True

    def _encode(self, method: str, target: str, headers: Headers, body: bytes) -> bytes:
        all_headers = encode_headers(headers)
        if body or method not in ("GET", "DELETE", "HEAD"):
            all_headers.append((b"Content-Length", b"%d" % len(body)))
        try:
            request = h11.Request(
                method=encode_text(method),
                target=encode_text(target),
                headers=all_headers,
            )
            self._sent_request = request
            segments = [self._http.send(request)]
            if body:
                segments.append(self._http.send(h11.Data(data=body)))
            segments.append(self._http.send(h11.EndOfMessage()))
        except h11.LocalProtocolError as error:
            raise RequestUnsendable(detail=str(error)) from error
        return b"".join(segment for segment in segments if segment)

    async def receive_head(self, timeout_ms: float) -> ResponseHead:
        """Wait for the response head.

        Parameters
        ----------
        timeout_ms : float
            Bound on the wait, in milliseconds.

        Raises
        ------
        ResponseTimeout
            The head was not received in time.
        ConnectionBroken
            The connection ended before the head was complete.
        MalformedResponse
            The received bytes are not an HTTP response, a head that begins and does
            not end, or one whose status is none of HTTP's.
        ResponseTooLarge
            The interim responses before the head are too many.
        """
        give_up_ms = self._clock.now_ms() + timeout_ms
        max_received_bytes = self._received_bytes + MAX_HEAD_BYTES
        while True:
            event = await self._next_event(give_up_ms, max_parts_ms=HEAD_PARTS_MS)
            if isinstance(event, h11.InformationalResponse):
                if self._received_bytes > max_received_bytes:
                    raise ResponseTooLarge(detail=f"head over {MAX_HEAD_BYTES} bytes")
                continue
            if isinstance(event, h11.Response):
                return self._parse_head(event)
            raise MalformedResponse(detail="response without a status line")

    async def skip_response(self, timeout_ms: float) -> None:
        """Read the rest of a response that belongs to an earlier request.

        The response to this request may follow it. The connection carries no further
        request.

        Parameters
        ----------
        timeout_ms : float
            Bound on the wait for its end, in milliseconds.

        Raises
        ------
        MalformedResponse
            The request is not fully sent yet.
        ExchangeFailed
            As for `read_small`.
        """
        self._is_spent = True
        await self.read_small(timeout_ms)
        if not self._body_sent or self._sent_request is None:
            raise MalformedResponse(detail="response to another request")
        received = self._http.trailing_data[0]
        self._pending_event = None
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        # The new state must know that the request was sent; the bytes are not needed.
        self._http.send(_without_body(self._sent_request))
        self._http.send(h11.EndOfMessage())
        if received:
            self._http.receive_data(received)

    def set_failed(self, request_id: str) -> None:
        """Handle that a request was answered with anything but a success.

        It may be sent again, and a late copy of that answer would look like the
        answer to the second try.
        """
        self._failed_ids.add(request_id)

    def may_carry(self, request_id: str) -> bool:
        """Return whether a request was not answered with a failure here before."""
        return request_id not in self._failed_ids

    async def next_chunk(self, timeout_ms: float) -> bytes | None:
        """Return the received part of the body, or None at its end.

        Chunks that were received together are returned as one.

        Raises
        ------
        ResponseTimeout, ConnectionBroken, MalformedResponse
            As for `receive_head`.
        """
        event = await self._next_event(self._clock.now_ms() + timeout_ms)
        if isinstance(event, h11.Data):
            return bytes(event.data) + self._read_buffered_chunks()
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ConnectionBroken(detail="connection closed within the response body")

    @property
    def is_complete(self) -> bool:
        """Whether the end of the body was received with the last chunk."""
        return isinstance(self._pending_event, h11.EndOfMessage)

    def _read_buffered_chunks(self) -> bytes:
        """Return the body data that is received but not yet returned."""
        chunks = []
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._pending_event = error
                break
            if event is h11.NEED_DATA:
                break
            if not isinstance(event, h11.Data):
                self._pending_event = event
                break
            chunks.append(bytes(event.data))
        return b"".join(chunks)

    def is_reusable(self) -> bool:
        """Return whether this connection can carry another request."""
        if not self._body_sent or self._is_spent:
            return False
        if len(self._failed_ids) >= MAX_FAILED_IDS:
            return False
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        return not self._http.trailing_data[0]

    def start_idle(self) -> None:
        """Reset the connection for the next request."""
        self._http.start_next_cycle()
        self._pending_event = None
        self._idle_since_ms = self._clock.now_ms()

    def is_still_idle(self) -> bool:
        """Return whether the connection is open, unused and within its idle time."""
        if self._clock.now_ms() - self._idle_since_ms > self._max_idle_ms:
            return False
        return not has_pending_input(self._stream)

    async def aclose(self) -> None:
        """Close the connection."""
        with anyio.CancelScope(shield=True):
            await self._stream.aclose()

    def _parse_head(self, event: h11.Response) -> ResponseHead:
        if event.status_code > MAX_STATUS:
            raise MalformedResponse(detail=f"status {event.status_code}")
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in event.headers
        )
        head = ResponseHead(status=event.status_code, headers=headers)
        self._max_idle_ms = _max_idle_ms(head.get("keep-alive"))
        return head

    async def _next_event(
        self, give_up_ms: float, *, max_parts_ms: float = math.inf
    ) -> t.Any:
        """Return the next event, whose parts must arrive within some time of it."""
        end_ms = give_up_ms
        try:
            if self._pending_event is not None:
                return self._pop_pending_event()
            while True:
                event = self._http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                data = await self._receive(end_ms - self._clock.now_ms())
                end_ms = min(end_ms, self._clock.now_ms() + max_parts_ms)
                self._received_bytes += len(data)
                self._http.receive_data(data)
        except ResponseTimeout as error:
            if end_ms < give_up_ms:
                raise MalformedResponse(detail="head without an end") from error
            raise
        except h11.RemoteProtocolError as error:
            if "closed" in str(error).lower():
                raise ConnectionBroken(detail=str(error)) from error
            raise MalformedResponse(detail=str(error)) from error

    def _pop_pending_event(self) -> t.Any:
        event, self._pending_event = self._pending_event, None
        if isinstance(event, h11.RemoteProtocolError):
            raise event
        return event

    async def _receive(self, timeout_ms: float) -> bytes:
        try:
            with anyio.fail_after(max(0.0, timeout_ms) / MS_PER_S):
                return await self._stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            return b""
        except TimeoutError as error:
            raise ResponseTimeout(
                detail=f"no data from the server in {timeout_ms:.0f} ms"
            ) from error
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise ConnectionBroken(detail=repr(error)) from error


def _without_body(request: h11.Request) -> h11.Request:
    """Return the head of a request as if it had no body."""
    headers = [
        (name, value) for name, value in request.headers if name != b"content-length"
    ]
    return h11.Request(method=request.method, target=request.target, headers=headers)


def _max_idle_ms(keep_alive: str) -> int:
    """Return how long a connection may idle, from a ``Keep-Alive`` header."""
    for parameter in keep_alive.split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout" and _SECONDS.fullmatch(value):
            return math.floor(int(value) * MS_PER_S * IDLE_TIMEOUT_FRACTION)
    return DEFAULT_MAX_IDLE_MS
