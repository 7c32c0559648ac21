"""Server side of one client connection."""

import typing as t

import anyio
import anyio.abc
import h11

from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.headers import Headers, encode_headers
from foxtailbank.http1.body_memory import BodyMemory, BodyReservation
from foxtailbank.http1.responder import Responder
from foxtailbank.http1.server_limits import ServerLimits
from foxtailbank.http1.server_request import ServerRequest
from foxtailbank.http1.socket_options import reset_on_close

READ_BYTES = 65_536
BODY_WAIT_MS = 1_000  # for memory; by then a client has not given up yet
RETRY_AFTER_MS = 500
Handler: t.TypeAlias = t.Callable[[ServerRequest, Responder], t.Awaitable[None]]


class RequestRefused(FoxtailbankError):
    """The client sent an invalid or oversized request, or sent it too slowly.

    Parameters
    ----------
    status : int
        HTTP status of the response.
    detail : str
        Reason of the refusal.
    retry_after_ms : int
        When the client may retry; 0 if it should not.
    """

    code = "request_refused"

    def __init__(self, *, status: int, detail: str, retry_after_ms: int = 0) -> None:
        super().__init__(detail=detail, retry_after_ms=retry_after_ms)
        self.status = status


class ClientDisconnected(FoxtailbankError):
    """The client closed its connection."""

    code = "client_gone"


class ServerConnection:
    """Serves the requests of one client connection in sequence.

    Parameters
    ----------
    stream : anyio.abc.SocketStream
        Accepted connection.
    handler : callable
        Handles one request; cancelled when the client disconnects.
    limits : callable
        Returns the current limits.
    draining : callable
        Returns whether the VM is shutting down; responses then carry
        ``Connection: close``.
    clock : Clock
        Source of time.
    body_memory : BodyMemory, optional
        Memory for the bodies of requests; not bounded by default.
    """

    def __init__(
        self,
        *,
        stream: anyio.abc.SocketStream,
        handler: Handler,
        limits: t.Callable[[], ServerLimits],
        draining: t.Callable[[], bool],
        clock: Clock,
        body_memory: BodyMemory | None = None,
    ) -> None:
        self._stream = stream
        self._body_memory = body_memory
        self._handler = handler
        self._limits = limits
        self._draining = draining
        self._clock = clock
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits().header_bytes
        )
        self._idle_scope: anyio.CancelScope | None = None
        self._opened_ms = clock.now_ms()
        self._request_count = 0
        self.is_busy = False

    async def serve(self) -> None:
        """Serve requests until the connection ends."""
        try:
            while await self._serve_one():
                self._http.start_next_cycle()
        except (ClientDisconnected, h11.LocalProtocolError):
            return
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return
        finally:
            if self._is_unframed_response_cut_off():
                reset_on_close(self._stream)
            with anyio.CancelScope(shield=True):
                await self._stream.aclose()

    def close_if_idle(self, *, first_request_ms: int = 0) -> None:
        """Close if no request is in progress; otherwise do nothing.

        Parameters
        ----------
        first_request_ms : int
            Age up to which a connection is left open for its first request, in
            milliseconds.
        """
        age_ms = self._clock.now_ms() - self._opened_ms
        is_new = not self._request_count and age_ms < first_request_ms
        if self._idle_scope is not None and not is_new:
            self._idle_scope.cancel()

    def _is_unframed_response_cut_off(self) -> bool:
        """Return whether a response ends early whose end only the close marks."""
        is_unfinished = self._http.our_state is h11.SEND_BODY
        return is_unfinished and self._http.their_http_version == b"1.0"

    async def _serve_one(self) -> bool:
        responder = _H11Responder(
            http=self._http, stream=self._stream, draining=self._draining
        )
        reservation = BodyReservation(memory=self._body_memory)
        try:
            return await self._serve_with(responder, reservation)
        finally:
            reservation.release()

    async def _serve_with(
        self, responder: "_H11Responder", reservation: BodyReservation
    ) -> bool:
        try:
            request = await self._read_request(reservation)
        except RequestRefused as refusal:
            headers: Headers = (("Connection", "close"),)
            if refusal.retry_after_ms:
                after_s = refusal.retry_after_ms / MS_PER_S
                headers += (("Retry-After", f"{after_s:.3f}"),)
            await responder.respond(status=refusal.status, headers=headers)
            return False
        if request is None:
            return False
        self.is_busy = True
        self._request_count += 1
        try:
            await self._handle(request, responder)
        finally:
            self.is_busy = False
        return self._http.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}

    async def _handle(self, request: ServerRequest, responder: Responder) -> None:
        failure: Exception | None = None
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_for_disconnect, group.cancel_scope)
            try:
                await self._handler(request, responder)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
                failure = error
            group.cancel_scope.cancel()
        if failure is not None:
            raise ClientDisconnected(
                detail=f"connection lost while responding: {failure!r}"
            ) from failure

    async def _watch_for_disconnect(self, scope: anyio.CancelScope) -> None:
        """Cancel the handler when the client disconnects; buffer pipelined data."""
        pipelined_bytes = 0
        while pipelined_bytes < READ_BYTES:
            try:
                data = await self._stream.receive(READ_BYTES)
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                scope.cancel()
                return
            pipelined_bytes += len(data)
            self._http.receive_data(data)

    async def _read_request(self, reservation: BodyReservation) -> ServerRequest | None:
        head = await self._read_head()
        if head is None:
            return None
        length = _content_length(head)
        is_too_large = length > self._limits().body_bytes  # refused when it is read
        if not is_too_large and not await reservation.reserve(length, BODY_WAIT_MS):
            raise _no_memory()
        body = await self._read_body(reservation)
        return ServerRequest(
            method=head.method.decode("ascii"),
            target=head.target.decode("latin-1"),
            headers=_decode_headers(head),
            body=body,
            arrived_ms=self._clock.now_ms(),
        )

    async def _read_head(self) -> h11.Request | None:
        limits = self._limits()
        event = self._next_event()
        if event is h11.NEED_DATA and not self._http.trailing_data[0]:
            if not await self._wait_for_request(limits.idle_timeout_ms):
                return None
            event = self._next_event()
        while event is h11.NEED_DATA:
            await self._receive_more(limits.header_timeout_ms)
            event = self._next_event()
        if not isinstance(event, h11.Request):
            return None
        if _header_size(event) > limits.header_bytes:
            raise RequestRefused(status=431, detail="request header too large")
        return event

    async def _wait_for_request(self, timeout_ms: int) -> bool:
        """Wait for the first bytes of a request; return whether any were received."""
        with anyio.move_on_after(timeout_ms / MS_PER_S) as scope:
            self._idle_scope = scope
            try:
                self._http.receive_data(await self._stream.receive(READ_BYTES))
            except anyio.EndOfStream:
                return False
            finally:
                self._idle_scope = None
            return True
        return False

    async def _read_body(self, reservation: BodyReservation) -> bytes:
        limits = self._limits()
        chunks: list[bytes] = []
        size = 0
        while True:
            event = self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(chunks)
            if isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
                size += len(event.data)
                if size > limits.body_bytes:
                    raise RequestRefused(status=413, detail="request body too large")
                if not reservation.grow(size):
                    raise _no_memory()
                continue
            if event is not h11.NEED_DATA:
                raise ClientDisconnected(
                    detail="connection closed within a request body"
                )
            if self._http.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(
                    status_code=100, headers=[]
                )
                await self._stream.send(self._http.send(continue_response) or b"")
            await self._receive_more(limits.header_timeout_ms)

    def _next_event(self) -> t.Any:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE, h11.ERROR):
                raise ClientDisconnected(detail=str(error)) from error
            status = error.error_status_hint
            raise RequestRefused(status=status, detail=str(error)) from error

    async def _receive_more(self, timeout_ms: int) -> None:
        try:
            with anyio.fail_after(timeout_ms / MS_PER_S):
                self._http.receive_data(await self._stream.receive(READ_BYTES))
        except TimeoutError as error:
            raise RequestRefused(
                status=408, detail="request not received in time"
            ) from error
        except anyio.EndOfStream:
            raise ClientDisconnected(
                detail="connection closed within a request"
            ) from None


class _H11Responder(Responder):
    def __init__(
        self,
        *,
        http: h11.Connection,
        stream: anyio.abc.SocketStream,
        draining: t.Callable[[], bool],
    ) -> None:
        self._http = http
        self._stream = stream
        self._draining = draining
        self._head = b""
        self._started = False

    @property
    def started(self) -> bool:
        return self._started

    async def start(
        self, *, status: int, headers: Headers, length: int | None = None
    ) -> None:
        self._started = True
        all_headers = encode_headers(headers)
        if length is not None:
            all_headers.append((b"Content-Length", b"%d" % length))
        else:
            all_headers.append((b"Transfer-Encoding", b"chunked"))
        if self._draining():
            all_headers.append((b"Connection", b"close"))
        head = h11.Response(status_code=status, headers=all_headers)
        # A sized response's head is held back to share a packet with the first chunk.
        self._head = self._http.send(head) or b""
        if length is None:
            await self._flush(b"")

    async def send(self, data: bytes) -> None:
        await self._flush(self._http.send(h11.Data(data=data)) or b"")

    async def finish(self) -> None:
        await self._flush(self._http.send(h11.EndOfMessage()) or b"")

    async def _flush(self, data: bytes) -> None:
        pending = self._head + data
        self._head = b""
        if pending:
            await self._stream.send(pending)


def _no_memory() -> RequestRefused:
    return RequestRefused(
        status=503, detail="no memory for the body", retry_after_ms=RETRY_AFTER_MS
    )


def _content_length(head: h11.Request) -> int:
    """Return the length of the body; 0 if it comes in chunks."""
    for name, value in head.headers:
        if name == b"content-length":
            return int(value)  # h11 has checked it
    return 0


def _header_size(head: h11.Request) -> int:
    fields = sum(len(name) + len(value) + 4 for name, value in head.headers)
    return len(head.target) + fields


def _decode_headers(head: h11.Request) -> Headers:
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in head.headers
    )
