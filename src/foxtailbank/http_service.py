"""HTTP adapter for plain services."""

import contextlib
import typing as t

from foxtailbank import exceptions
from foxtailbank.endpoint import EndpointCall, EndpointResponse, PlainService
from foxtailbank.headers import Headers
from foxtailbank.http_channel import HttpChannel, StreamedResponse
from foxtailbank.response_body import read_body
from foxtailbank.response_limits import MAX_REFUSAL_BYTES

NOT_ADMITTED_HEADER = "x-not-admitted"
REQUEST_ID_HEADER = "x-request-id"
RESUME_HEADER = "x-resume-at"
STATUS_UNAVAILABLE = 503
HEALTH_PATH = "/healthz"
HEALTH_TIMEOUT_MS = 2_000
RETRY_AFTER_MS = 1_000


class HttpPlainService(PlainService):
    """HTTP client of a back end.

    Parameters
    ----------
    address : str
        IP number and port.
    connect_ms : int
        Bound on opening a connection, in milliseconds.
    head_ms : int
        Bound on the wait for the response head, in milliseconds.
    first_chunk_ms : int
        Bound on the wait from the head to the first chunk, in milliseconds.
    stall_ms : int
        Bound on the wait between two chunks, in milliseconds.
    """

    def __init__(
        self,
        *,
        address: str,
        connect_ms: int = 1_000,
        head_ms: int = 60_000,
        first_chunk_ms: int = 60_000,
        stall_ms: int = 10_000,
    ) -> None:
        self.address = address
        self._channel = HttpChannel(address=address, connect_ms=connect_ms)
        self._head_ms = head_ms
        self._first_chunk_ms = first_chunk_ms
        self._stall_ms = stall_ms

    async def aclose(self) -> None:
        """Close all connections."""
        await self._channel.aclose()

    def drop_connections(self) -> None:
        """Do not reuse open connections; calls in progress on them continue."""
        self._channel.drop_connections()

    @contextlib.asynccontextmanager
    async def open(self, call: EndpointCall) -> t.AsyncIterator[EndpointResponse]:
        """Send a call and yield its response once the head has been received.

        Parameters
        ----------
        call : EndpointCall
            The request.

        Yields
        ------
        EndpointResponse
            Its chunks are the undecoded bytes of the body.

        Raises
        ------
        EndpointRefused
            No connection was established, or the endpoint did not admit the call.
        EndpointStalled
            No head was received in time; open connections are not reused.
        EndpointFailed
            The connection broke before the head was received.
        """
        async with contextlib.AsyncExitStack() as stack:
            streamed = await self._open(stack, call)
            response = HttpResponse(
                response=streamed,
                first_chunk_ms=self._first_chunk_ms,
                stall_ms=self._stall_ms,
                on_stall=self._channel.drop_connections,
            )
            if _is_not_admitted(streamed):
                await _discard_body(response)
                raise exceptions.EndpointRefused(
                    detail=f"not admitted by {self.address}",
                    retry_after_ms=RETRY_AFTER_MS,
                )
            yield response

    async def is_leaving(self) -> bool:
        """Return whether the back end reports that it is leaving the fleet."""
        response = await self._channel.request(
            "GET", HEALTH_PATH, timeout_ms=HEALTH_TIMEOUT_MS
        )
        return response.status == STATUS_UNAVAILABLE

    async def _open(
        self, stack: contextlib.AsyncExitStack, call: EndpointCall
    ) -> StreamedResponse:
        opening = self._channel.open(
            call.method,
            call.path,
            headers=_call_headers(call),
            content=call.body,
            head_ms=self._head_ms,
            fresh_connection=call.fresh_connection,
        )
        try:
            return await stack.enter_async_context(opening)
        except exceptions.EndpointStalled:
            self._channel.drop_connections()
            raise


class HttpResponse(EndpointResponse):
    """Response of a back end over HTTP.

    Parameters
    ----------
    response : StreamedResponse
        Response whose body has not been read.
    first_chunk_ms : int
        Bound on the wait for the first chunk, in milliseconds.
    stall_ms : int
        Bound on the wait between two chunks, in milliseconds.
    on_stall : callable
        Called when a wait for content times out.
    """

    def __init__(
        self,
        *,
        response: StreamedResponse,
        first_chunk_ms: int,
        stall_ms: int,
        on_stall: t.Callable[[], None],
    ) -> None:
        self.status = response.status
        self.headers = response.headers
        self.ends_with_connection = response.ends_with_connection
        self._response = response
        self._first_chunk_ms = first_chunk_ms
        self._stall_ms = stall_ms
        self._on_stall = on_stall

    async def chunks(self) -> t.AsyncIterator[bytes]:
        """Yield the body as it is received.

        Yields
        ------
        bytes
            Never empty.

        Raises
        ------
        EndpointStalled
            A wait for content timed out.
        EndpointFailed
            The connection broke before the end of the response.
        """
        self._response.set_read_timeout(self._first_chunk_ms)
        is_first = True
        try:
            async for chunk in self._response.chunks():
                if is_first:
                    is_first = False
                    self._response.set_read_timeout(self._stall_ms)
                yield chunk
        except exceptions.EndpointStalled:
            self._on_stall()
            raise


def _call_headers(call: EndpointCall) -> Headers:
    headers = (*call.headers, (REQUEST_ID_HEADER, call.request_id))
    if not call.resume_at:
        return headers
    return (*headers, (RESUME_HEADER, str(call.resume_at)))


async def _discard_body(response: HttpResponse) -> None:
    # A connection returns to the pool only after its response was read to the end.
    with contextlib.suppress(exceptions.EndpointFailed):
        await read_body(response.chunks(), max_bytes=MAX_REFUSAL_BYTES)


def _is_not_admitted(response: StreamedResponse) -> bool:
    return response.status == STATUS_UNAVAILABLE and any(
        name.lower() == NOT_ADMITTED_HEADER for name, _ in response.headers
    )
