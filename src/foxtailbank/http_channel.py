"""HTTP connections to one address."""

import contextlib
import dataclasses
import ssl
import typing as t

import anyio
import httpx

from foxtailbank import exceptions
from foxtailbank.clock import MS_PER_S
from foxtailbank.headers import Headers, strip_hop_by_hop

KEEP_ALIVE_S = 4.0  # below the idle timeout of common servers
MAX_KEEP_ALIVE_CONNECTIONS = 64
_PLAIN_TLS = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
_REQUEST_OWN = frozenset(("host", "content-length"))


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
        self._connect_s = connect_ms / MS_PER_S
        self._base_url = f"http://{address}"
        self._pool = _Pool(keep_alive=MAX_KEEP_ALIVE_CONNECTIONS)
        self._fresh_pool = _Pool(keep_alive=0)

    def drop_connections(self) -> None:
        """Use no connection again that is open now; calls on them go on."""
        self._pool.retire()
        self._pool = _Pool(keep_alive=MAX_KEEP_ALIVE_CONNECTIONS)

    async def aclose(self) -> None:
        """Close all connections."""
        for pool in (self._pool, self._fresh_pool):
            await pool.transport.aclose()

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
    ) -> t.AsyncIterator[httpx.Response]:
        """Send a request and give the response once its head has arrived.

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
            Bound on the wait for the head, in milliseconds.
        fresh : bool
            Whether to use a connection that no request used before.

        Yields
        ------
        httpx.Response
            Its stream has not been read and has no timeout.

        Raises
        ------
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
            response = await _send(pool.transport, request)
            # Only the caller knows how long the content may pause.
            request.extensions["timeout"]["read"] = None
            try:
                yield response
            finally:
                with anyio.CancelScope(shield=True):
                    await response.stream.aclose()  # type: ignore[union-attr]

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
            ) as response:
                return WholeAnswer(
                    status=response.status_code,
                    headers=answer_headers(response),
                    body=await _read_all(response),
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
    ) -> httpx.Request:
        sent = list(strip_hop_by_hop(headers, also=_REQUEST_OWN))
        if fresh:
            sent.append(("connection", "close"))
        timeout = {
            "connect": self._connect_s,
            "pool": self._connect_s,
            "read": head_ms / MS_PER_S,
            "write": head_ms / MS_PER_S,
        }
        return httpx.Request(
            method,
            self._base_url + path,
            headers=sent,
            content=content,
            extensions={"timeout": timeout},
        )


def answer_headers(response: httpx.Response) -> Headers:
    """Return a response's headers without hop-by-hop ones."""
    return strip_hop_by_hop(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in response.headers.raw
    )


@contextlib.contextmanager
def typed_failures() -> t.Iterator[None]:
    """Turn failures of the HTTP library into those of the system."""
    try:
        yield
    except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
        raise exceptions.EndpointRefused(detail=str(error)) from error
    except httpx.ReadTimeout as error:
        raise exceptions.EndpointStalled(detail="no answer in time") from error
    except httpx.HTTPError as error:
        raise exceptions.EndpointFailed(detail=str(error)) from error


class _Pool:
    """A transport that closes once it is retired and unused."""

    def __init__(self, *, keep_alive: int) -> None:
        self.transport = httpx.AsyncHTTPTransport(
            verify=_PLAIN_TLS,
            trust_env=False,
            limits=httpx.Limits(
                max_connections=None,
                max_keepalive_connections=keep_alive,
                keepalive_expiry=KEEP_ALIVE_S,
            ),
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
                    await self.transport.aclose()


async def _send(
    transport: httpx.AsyncHTTPTransport, request: httpx.Request
) -> httpx.Response:
    with typed_failures():
        return await transport.handle_async_request(request)


async def _read_all(response: httpx.Response) -> bytes:
    with typed_failures():
        stream = t.cast(httpx.AsyncByteStream, response.stream)
        return b"".join([part async for part in stream])
