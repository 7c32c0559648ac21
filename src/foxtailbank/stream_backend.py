"""Connections of the HTTP client over the event loop's own streams."""

import asyncio
import ssl
import typing as t

import anyio
import httpcore

READ_LIMIT_BYTES = 1 << 16


class BoundedStream(httpcore.AsyncNetworkStream):
    """TCP connection whose reads are bounded by one timer.

    Parameters
    ----------
    reader : CountingReader
        Bytes that have arrived.
    writer : asyncio.StreamWriter
        Bytes to send.
    """

    def __init__(
        self, *, reader: "CountingReader", writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._loop = asyncio.get_running_loop()
        self._read_bound_s: float | None = None
        self._due_s: float | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timed_out = False

    def bound_reads(self, bound_s: float | None) -> None:
        """Replace the timeout that the HTTP library gives for each read.

        Parameters
        ----------
        bound_s : float or None
            Bound in seconds; None returns to the library's.
        """
        self._read_bound_s = bound_s

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return bytes that have arrived; none at the connection's end.

        Parameters
        ----------
        max_bytes : int
            Bound on the bytes returned.
        timeout : float or None
            Bound on the wait, in seconds.
        """
        self._start_timer(self._read_bound_s or timeout)
        try:
            data = await self._reader.read(max_bytes)
        except OSError as error:
            if not self._timed_out:
                raise httpcore.ReadError(str(error)) from error
            data = b""
        finally:
            self._due_s = None
        if self._timed_out:
            raise httpcore.ReadTimeout
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes.

        Parameters
        ----------
        buffer : bytes
            What to send.
        timeout : float or None
            Bound on the wait until the connection takes more, in seconds.
        """
        if not buffer:
            return
        try:
            self._writer.write(buffer)
            with anyio.fail_after(timeout):
                await self._writer.drain()
        except TimeoutError as error:
            raise httpcore.WriteTimeout from error
        except OSError as error:
            raise httpcore.WriteError(str(error)) from error

    async def aclose(self) -> None:
        """Close the connection."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._writer.close()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Not supported: endpoints and platform speak plain HTTP."""
        raise httpcore.UnsupportedProtocol("no TLS on this connection")

    def get_extra_info(self, info: str) -> t.Any:
        """Return what the HTTP library wants to know of the connection."""
        return self._reader.has_unread if info == "is_readable" else None

    # One timer for many reads: to cancel and make one for each read would cost
    # more than the rest of the read.
    def _start_timer(self, bound_s: float | None) -> None:
        if bound_s is None:
            return
        self._due_s = self._loop.time() + bound_s
        if self._timer is not None and self._timer.when() <= self._due_s:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(self._due_s, self._check)

    def _check(self) -> None:
        self._timer = None
        # After a pause of the process, bytes that have arrived precede the timer.
        if self._due_s is None or self._reader.has_unread:
            return
        if self._loop.time() < self._due_s:
            self._timer = self._loop.call_at(self._due_s, self._check)
            return
        self._timed_out = True
        self._writer.transport.abort()


class CountingReader(asyncio.StreamReader):
    """Stream reader that tells whether there is something unread."""

    def __init__(self, *, limit: int) -> None:
        super().__init__(limit=limit)
        self._unread_bytes = 0

    @property
    def has_unread(self) -> bool:
        """Whether a read would return at once, also at the connection's end."""
        return self._unread_bytes > 0 or self.at_eof()

    def feed_data(self, data: t.Any) -> None:
        """Take in bytes that arrived."""
        self._unread_bytes += len(data)
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        """Return bytes that have arrived."""
        data = await super().read(n)
        self._unread_bytes -= len(data)
        return data


class StreamBackend(httpcore.AsyncNetworkBackend):
    """Makes connections for the HTTP library."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: t.Iterable[t.Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Make a connection.

        Parameters
        ----------
        host : str
            IP number.
        port : int
            Port.
        timeout : float or None
            Bound in seconds.
        local_address, socket_options
            Left to the system.
        """
        loop = asyncio.get_running_loop()
        reader = CountingReader(limit=READ_LIMIT_BYTES)
        protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
        try:
            with anyio.fail_after(timeout):
                transport, _ = await loop.create_connection(
                    lambda: protocol, host, port
                )
        except TimeoutError as error:
            raise httpcore.ConnectTimeout from error
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error
        writer = asyncio.StreamWriter(transport, protocol, reader, loop)
        return BoundedStream(reader=reader, writer=writer)

    async def sleep(self, seconds: float) -> None:
        """Wait, in seconds."""
        await anyio.sleep(seconds)
