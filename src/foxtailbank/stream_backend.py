"""Network backend of the HTTP client on asyncio streams."""

import asyncio
import ssl
import typing as t

import anyio
import httpcore

from foxtailbank.response_limits import MAX_HEAD_BYTES

READ_LIMIT_BYTES = 1 << 16


class TimedStream(httpcore.AsyncNetworkStream):
    """TCP connection that uses one timer for the timeouts of all its reads.

    Parameters
    ----------
    reader : CountingReader
        Receiving side of the connection.
    writer : asyncio.StreamWriter
        Sending side of the connection.
    """

    def __init__(
        self, *, reader: "CountingReader", writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._loop = asyncio.get_running_loop()
        self._read_timeout_s: float | None = None
        self._head_bytes: int | None = None  # None within a body
        self._deadline_s: float | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timed_out = False

    def set_read_timeout(self, timeout_s: float | None) -> None:
        """Override the timeout that the HTTP library passes to each read.

        Parameters
        ----------
        timeout_s : float or None
            Timeout in seconds; None restores the library's own.
        """
        self._read_timeout_s = timeout_s

    def end_head(self) -> None:
        """Do not bound what is read until the next request is sent."""
        self._head_bytes = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return received bytes; empty at the end of the connection.

        Parameters
        ----------
        max_bytes : int
            Maximum number of bytes to return.
        timeout : float or None
            Timeout in seconds.
        """
        self._start_timer(self._read_timeout_s or timeout)
        try:
            data = await self._reader.read(max_bytes)
        except OSError as error:
            if not self._timed_out:
                raise httpcore.ReadError(str(error)) from error
            data = b""
        finally:
            self._deadline_s = None
        if self._timed_out:
            raise httpcore.ReadTimeout
        self._check_head(len(data))
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes.

        Parameters
        ----------
        buffer : bytes
            Bytes to send.
        timeout : float or None
            Timeout in seconds for the send buffer to drain.
        """
        if not buffer:
            return
        self._head_bytes = 0
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
        """Raise an error: endpoints and the platform use plain HTTP."""
        raise httpcore.UnsupportedProtocol("no TLS on this connection")

    def get_extra_info(self, info: str) -> t.Any:
        """Return whether the connection is readable; None for other properties."""
        return self._reader.has_unread if info == "is_readable" else None

    def _check_head(self, added_bytes: int) -> None:
        if self._head_bytes is None:
            return
        # The read that ends the head may contain a part of the body.
        if self._head_bytes > MAX_HEAD_BYTES:
            raise httpcore.ReadError(f"response head over {MAX_HEAD_BYTES} bytes")
        self._head_bytes += added_bytes

    # The timer is reused, since cancelling and creating one for each read would cost
    # more than the rest of the read.
    def _start_timer(self, timeout_s: float | None) -> None:
        if timeout_s is None:
            return
        self._deadline_s = self._loop.time() + timeout_s
        if self._timer is not None and self._timer.when() <= self._deadline_s:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(self._deadline_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        # After a pause of the process the timer may fire before the reader runs; bytes
        # that arrived in the meantime take precedence over the timeout.
        if self._deadline_s is None or self._reader.has_unread:
            return
        if self._loop.time() < self._deadline_s:
            self._timer = self._loop.call_at(self._deadline_s, self._on_timer)
            return
        self._timed_out = True
        self._writer.transport.abort()


class CountingReader(asyncio.StreamReader):
    """Stream reader that knows whether it holds unread bytes."""

    def __init__(self, *, limit: int) -> None:
        super().__init__(limit=limit)
        self._unread_bytes = 0

    @property
    def has_unread(self) -> bool:
        """Whether a read would return immediately, with bytes or at the end."""
        return self._unread_bytes > 0 or self.at_eof()

    def feed_data(self, data: t.Any) -> None:
        """Buffer received bytes."""
        self._unread_bytes += len(data)
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        """Return up to `n` buffered bytes, waiting for the first if there are none."""
        data = await super().read(n)
        self._unread_bytes -= len(data)
        return data


class StreamBackend(httpcore.AsyncNetworkBackend):
    """Opens connections for the HTTP library."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: t.Iterable[t.Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a TCP connection.

        Parameters
        ----------
        host : str
            IP address.
        port : int
            TCP port.
        timeout : float or None
            Timeout in seconds.
        local_address, socket_options
            Ignored; the system defaults apply.
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
        return TimedStream(reader=reader, writer=writer)

    async def sleep(self, seconds: float) -> None:
        """Sleep for a number of seconds."""
        await anyio.sleep(seconds)
