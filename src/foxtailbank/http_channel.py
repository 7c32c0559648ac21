"""HTTP connections to one address."""

import contextlib
import dataclasses
import typing as t

import anyio
import httpcore

from foxtailbank import exceptions
from foxtailbank.clock import MS_PER_S
from foxtailbank.headers import Headers, strip_hop_by_hop
from foxtailbank.stream_backend import BoundedStream, StreamBackend

KEEP_ALIVE_S = 4.0  # below the idle timeout of common servers
MAX_KEEP_ALIVE_CONNECTIONS = 64
_METHODS_WITH_BODY = frozenset(("PATCH", "POST", "PUT"))
_REQUEST_OWN = frozenset(("host", "content-length"))
_NOT_CONNECTED = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
)
_BROKEN = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


@dataclasses.dataclass(frozen=True, kw_only=True)
class WholeAnswer:
    """An answer that has arrived completely.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Headers without hop-by-hop ones.
    body : bytes
        Content.
    """

    status: int
    headers: Headers
    body: bytes


class OpenAnswer:
    """An answer whose head has arrived.

    Parameters
    ----------
    response : httpcore.Response
        Response whose stream has not been read.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Headers without hop-by-hop ones.
    """

    def __init__(self, *, response: httpcore.Response) -> None:
        self.status = response.status
        self.headers = strip_hop_by_hop(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in response.headers
        )
        self._parts = t.cast(t.AsyncIterable[bytes], response.stream)
        self._connection: BoundedStream = response.extensions["network_stream"]

    def bound_reads(self, bound_ms: int) -> None:
        """Bound each later wait for content.

        Parameters
        ----------
        bound_ms : int
            Bound in milliseconds.
        """
        self._connection.bound_reads(bound_ms / MS_PER_S)

    def unbound_reads(self) -> None:
        """Leave the connection as the next request expects it."""
        self._connection.bound_reads(None)

    async def parts(self) -> t.AsyncIterator[bytes]:
        """Yield content as it arrives.

        Raises
        ------
        EndpointStalled
            A bound on the wait was exceeded.
        EndpointFailed
            The connection broke before the answer's end.
        """
        with _typed_failures():
            async for part in self._parts:
                yield part


class HttpChannel:
    """Pooled and fresh connections to one address.

    Parameters
    ----------
    address : str
        IP number and port.
    connect_ms : int
        Bound on making a connection, in milliseconds.
    """

    def __init__(self, *, address: str, connect_ms: int = 1_000) -> None:
        self.address = address
        host, _, port = address.rpartition(":")
        self._host = host.encode()
        self._port = int(port)
        self._connect_s = connect_ms / MS_PER_S
        self._pool = _Pool(keep_alive=MAX_KEEP_ALIVE_CONNECTIONS)
        self._fresh_pool = _Pool(keep_alive=0)

    def drop_connections(self) -> None:
        """Use no connection again that is open now; calls on them go on."""
        self._pool.retire()
        self._pool = _Pool(keep_alive=MAX_KEEP_ALIVE_CONNECTIONS)

    async def aclose(self) -> None:
        """Close all connections."""
        for pool in (self._pool, self._fresh_pool):
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
        fresh: bool = False,
    ) -> t.AsyncIterator[OpenAnswer]:
        """Send a request and give the answer once its head has arrived.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path and query.
        headers : tuple of (str, str)
            Headers to send; hop-by-hop ones are left out.
        content : bytes
            Request body.
        head_ms : int
            Bound on the wait for the head, in milliseconds; also on each wait for
            content until the answer is told another.
        fresh : bool
            Whether to use a connection that no request used before.

        Yields
        ------
        OpenAnswer
            Its content has not been read.

        Raises
        ------
        InvalidRequest
            The request can't be sent over HTTP.
        EndpointRefused
            No connection was made.
        EndpointStalled
            No head arrived in time.
        EndpointFailed
            The connection broke before the head arrived.
        """
        pool = self._fresh_pool if fresh else self._pool
        request = self._request(method, path, headers, content, head_ms, fresh)
        async with pool.in_use():
            response = await _send(pool.connections, request)
            answer = OpenAnswer(response=response)
            try:
                yield answer
            finally:
                answer.unbound_reads()
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
    ) -> WholeAnswer:
        """Send a request and wait for the whole answer.

        Parameters
        ----------
        method, path, headers, content
            As in `open`.
        timeout_ms : int
            Bound on the whole exchange, in milliseconds.

        Returns
        -------
        WholeAnswer
            The answer, of any status.

        Raises
        ------
        EndpointRefused
            No connection was made.
        EndpointStalled
            The answer did not arrive in time.
        EndpointFailed
            The connection broke.
        """
        with anyio.move_on_after(timeout_ms / MS_PER_S):
            async with self.open(
                method, path, headers=headers, content=content, head_ms=timeout_ms
            ) as answer:
                body = b"".join([part async for part in answer.parts()])
                return WholeAnswer(
                    status=answer.status, headers=answer.headers, body=body
                )
        raise exceptions.EndpointStalled(detail=f"no answer from {self.address}")

    def _request(
        self,
        method: str,
        path: str,
        headers: Headers,
        content: bytes,
        head_ms: int,
        fresh: bool,
    ) -> httpcore.Request:
        sent = [("host", self.address)]
        sent += strip_hop_by_hop(headers, also=_REQUEST_OWN)
        if content or method in _METHODS_WITH_BODY:
            sent.append(("content-length", str(len(content))))
        if fresh:
            sent.append(("connection", "close"))
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
            headers=[(_encode(name), _encode(value)) for name, value in sent],
            content=content,
            extensions={"timeout": timeout},
        )


class _Pool:
    """Connections that close once the pool is retired and unused."""

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
    with _typed_failures():
        return await connections.handle_async_request(request)


def _encode(text: str) -> bytes:
    try:
        return text.encode("latin-1")
    except UnicodeEncodeError as error:
        raise exceptions.InvalidRequest(detail="unencodable request") from error


@contextlib.contextmanager
def _typed_failures() -> t.Iterator[None]:
    try:
        yield
    except _NOT_CONNECTED as error:
        raise exceptions.EndpointRefused(detail=str(error)) from error
    except httpcore.LocalProtocolError as error:
        # The request was malformed, which shows before a byte of it is sent.
        raise exceptions.InvalidRequest(detail=str(error)) from error
    except httpcore.ReadTimeout as error:
        raise exceptions.EndpointStalled(detail="no answer in time") from error
    except _BROKEN as error:
        raise exceptions.EndpointFailed(detail=str(error)) from error
