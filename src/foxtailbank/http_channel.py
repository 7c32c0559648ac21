"""HTTP client with connection pools for one address."""

import contextlib
import dataclasses
import typing as t

import anyio
import httpcore

from foxtailbank import exceptions
from foxtailbank.clock import MS_PER_S
from foxtailbank.headers import Headers, strip_hop_by_hop
from foxtailbank.response_body import read_body
from foxtailbank.response_limits import MAX_BODY_BYTES
from foxtailbank.stream_backend import StreamBackend, TimedStream

KEEP_ALIVE_S = 4.0  # below the idle timeout of common servers
MAX_KEEP_ALIVE_CONNECTIONS = 64
_FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))
_METHODS_WITH_BODY = frozenset(("PATCH", "POST", "PUT"))
_GENERATED_HEADERS = frozenset(("host", "content-length"))
_NOT_CONNECTED = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
)
_CONNECTION_BROKEN = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class CompleteResponse:
    """A completely received response.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        End-to-end headers.
    body : bytes
        Response body.
    ends_with_connection : bool
        Whether neither a length nor chunks marked the end of the body.
    """

    status: int
    headers: Headers
    body: bytes
    ends_with_connection: bool = False


class StreamedResponse:
    """A response whose head has been received.

    Parameters
    ----------
    response : httpcore.Response
        Response whose body has not been read.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        End-to-end headers.
    ends_with_connection : bool
        Whether neither a length nor chunks mark the end of the body.
    """

    def __init__(self, *, response: httpcore.Response) -> None:
        self.status = response.status
        names = {name.lower() for name, _ in response.headers}
        self.ends_with_connection = names.isdisjoint(_FRAMING_HEADERS)
        self.headers = strip_hop_by_hop(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in response.headers
        )
        self._body = t.cast(t.AsyncIterable[bytes], response.stream)
        self._connection: TimedStream = response.extensions["network_stream"]
        self._connection.end_head()

    def set_read_timeout(self, timeout_ms: int) -> None:
        """Set the timeout of each later wait for content.

        Parameters
        ----------
        timeout_ms : int
            Timeout in milliseconds.
        """
        self._connection.set_read_timeout(timeout_ms / MS_PER_S)

    def clear_read_timeout(self) -> None:
        """Reset the timeout before the connection carries another request."""
        self._connection.set_read_timeout(None)

    async def chunks(self) -> t.AsyncIterator[bytes]:
        """Yield the body as it is received.

        Raises
        ------
        EndpointStalled
            A read timed out.
        EndpointFailed
            The connection broke before the end of the response.
        """
        with _translate_errors():
            async for chunk in self._body:
                yield chunk


class HttpChannel:
    """Sends requests to one address over pooled or single-use connections.

    Parameters
    ----------
    address : str
        IP number and port.
    connect_ms : int
        Bound on opening a connection, in milliseconds.
    """

    def __init__(self, *, address: str, connect_ms: int = 1_000) -> None:
        self.address = address
        host, _, port = address.rpartition(":")
        self._host = host.encode()
        self._port = int(port)
        self._connect_s = connect_ms / MS_PER_S
        self._pool = _Pool(keep_alive=MAX_KEEP_ALIVE_CONNECTIONS)
        self._single_use_pool = _Pool(keep_alive=0)

    def drop_connections(self) -> None:
        """Do not reuse open connections; calls in progress on them continue."""
        self._pool.retire()
        self._pool = _Pool(keep_alive=MAX_KEEP_ALIVE_CONNECTIONS)

    async def aclose(self) -> None:
        """Close all connections."""
        for pool in (self._pool, self._single_use_pool):
            await pool.connections.aclose()

    @contextlib.asynccontextmanager
    async def open(
        self,
        method: str,
        path: str,
        *,
        headers: Headers = (),
        content: bytes = b"",
        head_ms: int,
        fresh_connection: bool = False,
    ) -> t.AsyncIterator[StreamedResponse]:
        """Send a request and yield the response once its head has been received.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path and query.
        headers : tuple of (str, str)
            Headers to send; hop-by-hop headers are removed.
        content : bytes
            Request body.
        head_ms : int
            Bound on the wait for the head, in milliseconds; also on each wait for
            content until `StreamedResponse.set_read_timeout` is called.
        fresh_connection : bool
            Whether to use a new, single-use connection instead of a pooled one.

        Yields
        ------
        StreamedResponse
            Its body has not been read.

        Raises
        ------
        InvalidRequest
            The request is malformed and was not sent.
        EndpointRefused
            No connection was established.
        EndpointStalled
            No response head was received in time.
        EndpointFailed
            The connection broke before the head was received.
        """
        pool = self._single_use_pool if fresh_connection else self._pool
        request = self._build_request(
            method, path, headers, content, head_ms, fresh_connection
        )
        async with pool.in_use():
            response = await _send(pool.connections, request)
            streamed = StreamedResponse(response=response)
            try:
                yield streamed
            finally:
                streamed.clear_read_timeout()
                with anyio.CancelScope(shield=True):
                    await response.aclose()

    async def request(
        self,
        method: str,
        path: str,
        *,
        headers: Headers = (),
        content: bytes = b"",
        timeout_ms: int,
        max_bytes: int = MAX_BODY_BYTES,
    ) -> CompleteResponse:
        """Send a request and wait for the complete response.

        Parameters
        ----------
        method, path, headers, content
            As in `open`.
        timeout_ms : int
            Bound on the request and its response, in milliseconds.
        max_bytes : int
            Bound on the body of the response, in bytes.

        Returns
        -------
        CompleteResponse
            The response, whatever its status.

        Raises
        ------
        EndpointRefused
            No connection was established.
        EndpointStalled
            The response was not complete in time.
        EndpointFailed
            The connection broke.
        """
        with anyio.move_on_after(timeout_ms / MS_PER_S):
            async with self.open(
                method, path, headers=headers, content=content, head_ms=timeout_ms
            ) as response:
                body = await read_body(response.chunks(), max_bytes=max_bytes)
                return CompleteResponse(
                    status=response.status,
                    headers=response.headers,
                    body=body,
                    ends_with_connection=response.ends_with_connection,
                )
        raise exceptions.EndpointStalled(
            detail=f"no complete response from {self.address} in {timeout_ms} ms"
        )

    def _build_request(
        self,
        method: str,
        path: str,
        headers: Headers,
        content: bytes,
        head_ms: int,
        fresh_connection: bool,
    ) -> httpcore.Request:
        sent_headers = [("host", self.address)]
        sent_headers += strip_hop_by_hop(headers, exclude=_GENERATED_HEADERS)
        if content or method in _METHODS_WITH_BODY:
            sent_headers.append(("content-length", str(len(content))))
        if fresh_connection:
            sent_headers.append(("connection", "close"))
        timeout = {
            "connect": self._connect_s,
            "pool": self._connect_s,
            "read": head_ms / MS_PER_S,
            "write": head_ms / MS_PER_S,
        }
        return httpcore.Request(
            method,
            httpcore.URL(
                scheme=b"http", host=self._host, port=self._port, target=_encode(path)
            ),
            headers=[(_encode(name), _encode(value)) for name, value in sent_headers],
            content=content,
            extensions={"timeout": timeout},
        )


class _Pool:
    """Connection pool that closes once it is retired and no longer in use."""

    def __init__(self, *, keep_alive: int) -> None:
        self.connections = httpcore.AsyncConnectionPool(
            max_connections=None,
            max_keepalive_connections=keep_alive,
            keepalive_expiry=KEEP_ALIVE_S,
            network_backend=StreamBackend(),
        )
        self._users = 0
        self._retired = False

    def retire(self) -> None:
        self._retired = True

    @contextlib.asynccontextmanager
    async def in_use(self) -> t.AsyncIterator[None]:
        self._users += 1
        try:
            yield
        finally:
            self._users -= 1
            if self._retired and not self._users:
                with anyio.CancelScope(shield=True):
                    await self.connections.aclose()


async def _send(
    connections: httpcore.AsyncConnectionPool, request: httpcore.Request
) -> httpcore.Response:
    with _translate_errors():
        return await connections.handle_async_request(request)


def _encode(text: str) -> bytes:
    try:
        return text.encode("latin-1")
    except UnicodeEncodeError as error:
        raise exceptions.InvalidRequest(
            detail="request is not encodable as Latin-1"
        ) from error


@contextlib.contextmanager
def _translate_errors() -> t.Iterator[None]:
    try:
        yield
    except _NOT_CONNECTED as error:
        raise exceptions.EndpointRefused(detail=str(error)) from error
    except httpcore.LocalProtocolError as error:
        # The HTTP library rejects a malformed request before sending any of it.
        raise exceptions.InvalidRequest(detail=str(error)) from error
    except httpcore.ReadTimeout as error:
        raise exceptions.EndpointStalled(detail="no response data in time") from error
    except _CONNECTION_BROKEN as error:
        raise exceptions.EndpointFailed(detail=str(error)) from error
