"""Plain services over HTTP."""

import contextlib
import typing as t

from foxtailbank import exceptions
from foxtailbank.endpoint import Answer, EndpointCall, PlainService
from foxtailbank.headers import Headers
from foxtailbank.http_channel import HttpChannel, OpenAnswer

NOT_ADMITTED_HEADER = "x-not-admitted"
REQUEST_ID_HEADER = "x-request-id"
RESUME_HEADER = "x-resume-at"
UNAVAILABLE = 503
HEALTH_PATH = "/healthz"
HEALTH_TIMEOUT_MS = 2_000
RETRY_AFTER_MS = 1_000


class HttpPlainService(PlainService):
    """A back end that is reached over HTTP.

    Parameters
    ----------
    address : str
        IP number and port.
    connect_ms : int
        Bound on making a connection, in milliseconds.
    head_ms : int
        Bound on the wait for the head of an answer, in milliseconds.
    first_chunk_ms : int
        Bound on the wait from the head to the first content, in milliseconds.
    stall_ms : int
        Longest gap between two pieces of content, in milliseconds.
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
        """Use no connection again that is open now; calls on them go on."""
        self._channel.drop_connections()

    @contextlib.asynccontextmanager
    async def open(self, call: EndpointCall) -> t.AsyncIterator[Answer]:
        """Send a call and give its answer once the head has arrived.

        Parameters
        ----------
        call : EndpointCall
            The request.

        Yields
        ------
        Answer
            Its chunks are the content's bytes, undecoded.

        Raises
        ------
        EndpointRefused
            No connection was made, or the endpoint did not admit the call.
        EndpointStalled
            No head arrived in time; open connections are not used again.
        EndpointFailed
            The connection broke before the head arrived.
        """
        async with contextlib.AsyncExitStack() as stack:
            opened = await self._open(stack, call)
            answer = HttpAnswer(
                answer=opened,
                first_chunk_ms=self._first_chunk_ms,
                stall_ms=self._stall_ms,
                on_stall=self._channel.drop_connections,
            )
            if _is_not_admitted(opened):
                await _read_to_end(answer)
                raise exceptions.EndpointRefused(
                    detail=f"not admitted by {self.address}",
                    retry_after_ms=RETRY_AFTER_MS,
                )
            yield answer

    async def is_leaving(self) -> bool:
        """Return whether the back end says that it is leaving."""
        answer = await self._channel.request(
            "GET", HEALTH_PATH, timeout_ms=HEALTH_TIMEOUT_MS
        )
        return answer.status == UNAVAILABLE

    async def _open(
        self, stack: contextlib.AsyncExitStack, call: EndpointCall
    ) -> OpenAnswer:
        opened = self._channel.open(
            call.method,
            call.path,
            headers=_call_headers(call),
            content=call.body,
            head_ms=self._head_ms,
            fresh=call.fresh,
        )
        try:
            return await stack.enter_async_context(opened)
        except exceptions.EndpointStalled:
            self._channel.drop_connections()
            raise


class HttpAnswer(Answer):
    """Answer of a back end that is reached over HTTP.

    Parameters
    ----------
    answer : OpenAnswer
        Answer whose content has not been read.
    first_chunk_ms : int
        Bound on the wait for the first content, in milliseconds.
    stall_ms : int
        Longest gap between two pieces of content, in milliseconds.
    on_stall : callable
        Called when a bound is exceeded.
    """

    def __init__(
        self,
        *,
        answer: OpenAnswer,
        first_chunk_ms: int,
        stall_ms: int,
        on_stall: t.Callable[[], None],
    ) -> None:
        self.status = answer.status
        self.headers = answer.headers
        self._answer = answer
        self._first_chunk_ms = first_chunk_ms
        self._stall_ms = stall_ms
        self._on_stall = on_stall

    async def chunks(self) -> t.AsyncIterator[bytes]:
        """Yield content as it arrives.

        Yields
        ------
        bytes
            Never empty.

        Raises
        ------
        EndpointStalled
            A bound on the silence was exceeded.
        EndpointFailed
            The connection broke before the answer's end.
        """
        self._answer.bound_reads(self._first_chunk_ms)
        first = True
        try:
            async for part in self._answer.parts():
                if first:
                    first = False
                    self._answer.bound_reads(self._stall_ms)
                yield part
        except exceptions.EndpointStalled:
            self._on_stall()
            raise


def _call_headers(call: EndpointCall) -> Headers:
    headers = (*call.headers, (REQUEST_ID_HEADER, call.request_id))
    if not call.resume_at:
        return headers
    return (*headers, (RESUME_HEADER, str(call.resume_at)))


async def _read_to_end(answer: HttpAnswer) -> None:
    # Only a connection whose answer was read goes back to the pool.
    with contextlib.suppress(exceptions.EndpointFailed):
        async for _ in answer.chunks():
            pass


def _is_not_admitted(answer: OpenAnswer) -> bool:
    return answer.status == UNAVAILABLE and any(
        name.lower() == NOT_ADMITTED_HEADER for name, _ in answer.headers
    )
