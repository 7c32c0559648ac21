"""Server side of one client connection."""

import contextlib
import typing as t

import anyio
import h11

from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.headers import Headers
from foxtailbank.http1.body_memory import BodyMemory, BodyReservation
from foxtailbank.http1.connection_budget import (
    ConnectionAccount,
    Phase,
    unbounded_account,
)
from foxtailbank.http1.h11_responder import H11Responder
from foxtailbank.http1.read_ahead import ReadAhead
from foxtailbank.http1.request_reader import (
    READ_BYTES,
    KeepsBody,
    RequestReader,
    keep_every_body,
)
from foxtailbank.http1.request_refused import ClientDisconnected, RequestRefused
from foxtailbank.http1.responder import Responder
from foxtailbank.http1.server_limits import ServerLimits
from foxtailbank.http1.server_request import ServerRequest
from foxtailbank.http1.socket_options import raw_socket, reset_on_close
from foxtailbank.http1.socket_stream import BufferlessStream

__all__ = ["READ_BYTES", "Handler", "ServerConnection"]
REFUSAL_SEND_MS = 1_000  # until a client that reads nothing is left alone
CLOSED_FOR_OTHERS = (
    b"HTTP/1.1 503 \r\nContent-Length: 0\r\nRetry-After: 0.500\r\n"
    b"Connection: close\r\n\r\n"
)
Handler: t.TypeAlias = t.Callable[[ServerRequest, Responder], t.Awaitable[None]]


class InvalidAnswer(FoxtailbankError):
    """A handler's answer violates the protocol."""

    code = "invalid_answer"


class ServerConnection:
    """Serves the requests of one client connection in sequence.

    Parameters
    ----------
    stream : BufferlessStream
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
    account : ConnectionAccount, optional
        Counts what the connection holds; by default that is not bounded.
    keeps_body : callable, optional
        As for `RequestReader`.
    """

    def __init__(
        self,
        *,
        stream: BufferlessStream,
        handler: Handler,
        limits: t.Callable[[], ServerLimits],
        draining: t.Callable[[], bool],
        clock: Clock,
        body_memory: BodyMemory | None = None,
        account: ConnectionAccount | None = None,
        keeps_body: KeepsBody = keep_every_body,
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
        self._scope = anyio.CancelScope()
        self._account = account or unbounded_account(clock)
        self._account.close = self._scope.cancel
        self._reader = RequestReader(
            http=self._http,
            stream=stream,
            limits=limits,
            account=self._account,
            keeps_body=keeps_body,
            clock=clock,
        )
        self._opened_ms = clock.now_ms()
        self._request_count = 0
        self._is_cut = False
        self.is_busy = False

    async def serve(self) -> None:
        """Serve requests until the connection ends."""
        try:
            with self._scope:
                while await self._serve_one():
                    self._http.start_next_cycle()
        except (ClientDisconnected, h11.LocalProtocolError):
            return
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return
        finally:
            if self._account.is_closed:
                self._tell_closed_for_others()
            if self._is_unframed_response_cut_off():
                reset_on_close(self._stream)
            with anyio.CancelScope(shield=True):
                await self._stream.aclose()

    def _tell_closed_for_others(self) -> None:
        """Answer an unfinished request, without a wait; it has not run."""
        is_unanswered = self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE)
        if self._account.phase is Phase.RECEIVING and is_unanswered:
            with contextlib.suppress(OSError):
                raw_socket(self._stream).send(CLOSED_FOR_OTHERS)

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
        if not is_new:
            self._reader.close_idle()

    def _is_unframed_response_cut_off(self) -> bool:
        """Return whether a response ends early whose end only the close marks."""
        is_unfinished = self._is_cut or self._http.our_state is h11.SEND_BODY
        return is_unfinished and self._http.their_http_version == b"1.0"

    async def _serve_one(self) -> bool:
        responder = H11Responder(
            http=self._http,
            stream=self._stream,
            draining=self._draining,
            account=self._account,
        )
        reservation = BodyReservation(memory=self._body_memory)
        try:
            return await self._serve_with(responder, reservation)
        finally:
            reservation.release()
            self._account.release_request()

    async def _serve_with(
        self, responder: H11Responder, reservation: BodyReservation
    ) -> bool:
        try:
            request = await self._reader.read(reservation)
        except RequestRefused as refusal:
            self._account.budget.on_refuse(refusal.status)
            headers: Headers = (("Connection", "close"),)
            if refusal.retry_after_ms:
                after_s = refusal.retry_after_ms / MS_PER_S
                headers += (("Retry-After", f"{after_s:.3f}"),)
            with anyio.move_on_after(REFUSAL_SEND_MS / MS_PER_S):
                await responder.respond(status=refusal.status, headers=headers)
            return False
        if request is None:
            return False
        self.is_busy = True
        self._request_count += 1
        self._account.enter(Phase.SERVED)
        try:
            await self._handle(request, responder)
        finally:
            self.is_busy = False
            self._is_cut = responder.is_cut
        self._account.enter(Phase.IDLE)
        if self._is_cut:
            return False
        return self._http.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}

    async def _handle(self, request: ServerRequest, responder: Responder) -> None:
        """Handle a request until it is answered or its client has disconnected."""
        with anyio.CancelScope() as scope:
            ahead = ReadAhead(http=self._http, account=self._account, scope=scope)
            self._stream.watch(ahead)
            try:
                await self._handler(request, responder)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
                raise ClientDisconnected(
                    detail=f"connection lost while responding: {error!r}"
                ) from error
            except h11.LocalProtocolError as error:
                raise InvalidAnswer(detail=str(error)) from error
            finally:
                self._stream.unwatch()
