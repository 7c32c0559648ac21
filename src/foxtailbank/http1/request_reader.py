"""Reading of one request from a client, within the budget of the VM."""

import typing as t

import anyio
import anyio.abc
import anyio.lowlevel
import h11

from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.headers import Headers
from foxtailbank.http1.body_memory import UNCOUNTED_BYTES, BodyReservation
from foxtailbank.http1.connection_budget import (
    FIELD_BYTES,
    SERVED_BYTES,
    ConnectionAccount,
    Holding,
    Phase,
)
from foxtailbank.http1.request_refused import (
    ClientDisconnected,
    RequestRefused,
    no_memory,
)
from foxtailbank.http1.server_limits import ServerLimits
from foxtailbank.http1.server_request import ServerRequest

READ_BYTES = 65_536
CHUNKED_READ_BYTES = 16_384  # holds thousands of the smallest chunks
BODY_WAIT_MS = 1_000  # for memory; by then a client has not given up yet
EVENTS_PER_TURN = 64  # parsed before other connections get their turn
BODY_COPIES = 2  # while the parts of a body are joined
# A head may take this many times as long as the longest wait for more of it.
HEAD_WAITS = 2
# The deadline of every request has passed by then, at a rate that no link has.
BODY_GRACE_MS = 20_000
MIN_BODY_BYTES_PER_S = 1_024
FIELD_FRAMING_BYTES = 4  # colon, space and the end of a line
Fields: t.TypeAlias = list[tuple[bytes, bytes]]
KeepsBody: t.TypeAlias = t.Callable[[ServerRequest], bool]


def keep_every_body(request: ServerRequest) -> bool:
    """Return that the body of any request is wanted."""
    return True


def keep_no_body(request: ServerRequest) -> bool:
    """Return that no body is wanted."""
    return False


class RequestReader:
    """Reads the requests of one connection.

    Parameters
    ----------
    http : h11.Connection
        Parser of the connection.
    stream : anyio.abc.ByteStream
        The connection.
    limits : callable
        Returns the current limits.
    account : ConnectionAccount
        Counts what is held.
    keeps_body : callable
        Returns whether the body of a request, given without it, is wanted. Other
        bodies are read to their ends and dropped.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        http: h11.Connection,
        stream: anyio.abc.ByteStream,
        limits: t.Callable[[], ServerLimits],
        account: ConnectionAccount,
        keeps_body: KeepsBody,
        clock: Clock,
    ) -> None:
        self._http = http
        self._stream = stream
        self._limits = limits
        self._account = account
        self._keeps_body = keeps_body
        self._clock = clock
        self._idle_scope: anyio.CancelScope | None = None

    def close_idle(self) -> None:
        """End the wait for a request, if there is one."""
        if self._idle_scope is not None:
            self._idle_scope.cancel()

    async def read(self, reservation: BodyReservation) -> ServerRequest | None:
        """Read a request; None if the client sends no more.

        Raises
        ------
        RequestRefused
            It exceeds a limit, or there is no memory for it.
        ClientDisconnected
            The client left within the request.
        """
        event = await self._read_head()
        if event is None:
            return None
        fields = list(event.headers)  # once, since h11 makes them anew each time
        size_bytes = _header_size(event, fields)
        if size_bytes > self._limits().header_bytes:
            raise RequestRefused(status=431, detail="request header too large")
        if not self._account.hold(Holding.HEAD, size_bytes + len(fields) * FIELD_BYTES):
            raise no_memory()
        head = ServerRequest(
            method=event.method.decode("ascii"),
            target=event.target.decode("latin-1"),
            headers=_decode_headers(fields),
            body=b"",
            arrived_ms=self._clock.now_ms(),
        )
        del event
        length = _content_length(fields)
        del fields
        request = await self._add_body(head, length, reservation)
        if not self._account.hold(Holding.REQUEST, SERVED_BYTES):
            raise no_memory()
        return request

    async def _add_body(
        self, head: ServerRequest, length: int, reservation: BodyReservation
    ) -> ServerRequest:
        if length == 0:
            await self._read_body(reservation, is_kept=True)
            return head
        is_kept = length <= self._limits().body_bytes and self._keeps_body(head)
        if is_kept and not 0 < length <= UNCOUNTED_BYTES:
            await self._reserve(length, reservation)
        body = await self._read_body(reservation, is_kept=is_kept)
        return ServerRequest(
            method=head.method,
            target=head.target,
            headers=head.headers,
            body=body,
            arrived_ms=self._clock.now_ms(),
            is_body_dropped=not is_kept,
        )

    async def _reserve(self, length: int, reservation: BodyReservation) -> None:
        buffered_bytes = len(self._http.trailing_data[0])
        if not self._account.hold(Holding.BODY, buffered_bytes):
            raise no_memory()
        if length > UNCOUNTED_BYTES:
            self._account.budget.close_slow_bodies()
        if not await reservation.reserve(length, BODY_WAIT_MS):
            raise no_memory()
        self._account.reserved_bytes = reservation.size_bytes

    async def _read_head(self) -> h11.Request | None:
        limits = self._limits()
        event = self._next_event()
        if event is h11.NEED_DATA and not self._http.trailing_data[0]:
            if not await self._wait_for_request(limits.idle_timeout_ms):
                return None
            event = self._next_event()
        else:
            self._account.enter(Phase.RECEIVING)
            # Others have their turn before a request that was sent ahead, or a crowd
            # of clients that send ahead leaves them no place.
            await anyio.lowlevel.checkpoint()
        until_ms = self._clock.now_ms() + HEAD_WAITS * limits.header_timeout_ms
        while event is h11.NEED_DATA:
            buffered_bytes = len(self._http.trailing_data[0])
            self._account.received_bytes = buffered_bytes
            if not self._account.hold(Holding.HEAD, buffered_bytes):
                raise no_memory()
            left_ms = max(0, until_ms - self._clock.now_ms())
            await self._receive_more(min(left_ms, limits.header_timeout_ms))
            event = self._next_event()
        if not isinstance(event, h11.Request):
            return None
        return event

    async def _wait_for_request(self, timeout_ms: int) -> bool:
        """Wait for the first bytes of a request; return whether any were received."""
        with anyio.move_on_after(timeout_ms / MS_PER_S) as scope:
            self._idle_scope = scope
            try:
                data = await self._stream.receive(READ_BYTES)
            except anyio.EndOfStream:
                return False
            finally:
                self._idle_scope = None
            self._http.receive_data(data)
            self._account.enter(Phase.RECEIVING)
            return True
        return False

    async def _read_body(self, reservation: BodyReservation, *, is_kept: bool) -> bytes:
        limits = self._limits()
        body = bytearray()
        size = 0
        events = 0
        started_ms = self._account.since_ms
        while True:
            event = self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > limits.body_bytes:
                    raise RequestRefused(status=413, detail="request body too large")
                if is_kept:
                    self._count_body(size, reservation)
                    body += event.data
                events += 1
                if events % EVENTS_PER_TURN == 0:
                    await self._let_others_run()
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
            self._check_rate(size, started_ms)
            is_tiny = events > EVENTS_PER_TURN
            await self._receive_more(
                limits.header_timeout_ms, CHUNKED_READ_BYTES if is_tiny else READ_BYTES
            )

    def _count_body(self, size: int, reservation: BodyReservation) -> None:
        self._account.received_bytes = size
        held = min(size, UNCOUNTED_BYTES) * BODY_COPIES
        if not self._account.hold(Holding.BODY, held) or not reservation.grow(size):
            raise no_memory()
        self._account.reserved_bytes = reservation.size_bytes

    def _check_rate(self, size: int, started_ms: int) -> None:
        age_ms = self._clock.now_ms() - started_ms
        if age_ms > BODY_GRACE_MS and size * MS_PER_S < age_ms * MIN_BODY_BYTES_PER_S:
            raise RequestRefused(status=408, detail="request body sent too slowly")

    async def _let_others_run(self) -> None:
        """Yield, and parse again when no other connection parses such a body."""
        async with self._account.budget.parse_turns:
            await anyio.lowlevel.checkpoint()

    def _next_event(self) -> t.Any:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE, h11.ERROR):
                raise ClientDisconnected(detail=str(error)) from error
            status = error.error_status_hint
            raise RequestRefused(status=status, detail=str(error)) from error

    async def _receive_more(
        self, timeout_ms: float, max_bytes: int = READ_BYTES
    ) -> None:
        try:
            with anyio.fail_after(timeout_ms / MS_PER_S):
                self._http.receive_data(await self._stream.receive(max_bytes))
        except TimeoutError as error:
            raise RequestRefused(
                status=408, detail="request not received in time"
            ) from error
        except anyio.EndOfStream:
            raise ClientDisconnected(
                detail="connection closed within a request"
            ) from None


def _content_length(fields: Fields) -> int:
    """Return the length of the body; -1 if it comes in chunks, 0 if there is none."""
    for name, value in fields:
        if name == b"content-length":
            return int(value)  # h11 has checked it
        if name == b"transfer-encoding":
            return -1
    return 0


def _header_size(event: h11.Request, fields: Fields) -> int:
    sizes = [len(name) + len(value) + FIELD_FRAMING_BYTES for name, value in fields]
    return len(event.target) + sum(sizes)


def _decode_headers(fields: Fields) -> Headers:
    decoded = [
        (name.decode("latin-1"), value.decode("latin-1")) for name, value in fields
    ]
    return tuple(decoded)
