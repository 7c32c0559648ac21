"""Responder over an HTTP parser and a stream."""

import typing as t

import anyio
import anyio.abc
import h11

from foxtailbank.headers import Headers, encode_headers
from foxtailbank.http1.connection_budget import ConnectionAccount, Holding, Phase
from foxtailbank.http1.responder import Responder

SLICE_BYTES = 65_536  # that are framed and copied at a time
UNCOUNTED_BYTES = 8_192  # of an answer, which the connection's own memory covers


class H11Responder(Responder):
    """Sends the response to one request in slices.

    Parameters
    ----------
    http : h11.Connection
        Frames the response.
    stream : anyio.abc.ByteStream
        Connection to the client.
    draining : callable
        Returns whether the response must carry ``Connection: close``.
    account : ConnectionAccount
        Counts what is not sent yet.
    """

    def __init__(
        self,
        *,
        http: h11.Connection,
        stream: anyio.abc.ByteStream,
        draining: t.Callable[[], bool],
        account: ConnectionAccount,
    ) -> None:
        self._http = http
        self._stream = stream
        self._draining = draining
        self._account = account
        self._head = b""
        self._started = False
        self._is_cut = False

    @property
    def is_cut(self) -> bool:
        """Whether bytes of the response were framed and not sent."""
        return self._is_cut

    @property
    def started(self) -> bool:
        """Whether the response was started."""
        return self._started

    async def start(
        self, *, status: int, headers: Headers, length: int | None = None
    ) -> None:
        """Send the response head, or hold it back for the first chunk."""
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
        """Send a chunk of the body.

        Raises
        ------
        anyio.BrokenResourceError
            There is no memory for it until the client has read more.
        """
        if len(data) <= UNCOUNTED_BYTES:
            await self._flush(self._http.send(h11.Data(data=data)) or b"")
            return
        if not self._account.hold(Holding.ANSWER, len(data)):
            raise anyio.BrokenResourceError("no memory for an answer that is not read")
        for start in range(0, len(data), SLICE_BYTES):
            part = h11.Data(data=data[start : start + SLICE_BYTES])
            await self._flush(self._http.send(part) or b"")
        self._account.hold(Holding.ANSWER, 0)

    async def finish(self) -> None:
        """Mark the response as complete."""
        await self._flush(self._http.send(h11.EndOfMessage()) or b"")

    async def _flush(self, data: bytes) -> None:
        pending = self._head + data
        self._head = b""
        if pending:
            self._account.enter(Phase.ANSWERING)
            self._is_cut = True
            await self._stream.send(pending)
            self._is_cut = False
            self._account.enter(Phase.SERVED)
