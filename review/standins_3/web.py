"""HTTP/1.1 server and client calls for the stand-ins."""

import abc
import asyncio
import contextlib
import dataclasses

HEAD_END = b"\r\n\r\n"
MAX_HEAD_BYTES = 1 << 17


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """A received request.

    Attributes
    ----------
    method, target : str
        Request line.
    headers : dict of str to str
        Headers by name, in lower case.
    body : bytes
        Body without transfer coding.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Response:
    """A response with its whole body."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    def encode(self) -> bytes:
        """Return the bytes of the response."""
        lines = [f"HTTP/1.1 {self.status} Status"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join(lines).encode("latin-1") + HEAD_END + self.body


class HttpServer(abc.ABC):
    """Serves requests on one address, with connections that are kept.

    Parameters
    ----------
    ip : str
        Loopback address.
    port : int, optional
        Port; a free one by default.
    """

    def __init__(self, *, ip: str, port: int = 0) -> None:
        self._ip = ip
        self._port = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()  # held, so that none is lost

    @property
    def address(self) -> str:
        """IP address and port."""
        return f"{self._ip}:{self._port}"

    @abc.abstractmethod
    async def respond(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> Response | None:
        """Return the response; None if it was written, or if there is none."""

    async def start(self) -> None:
        """Listen; the port stays the same from one start to the next."""
        self._server = await asyncio.start_server(
            self._serve, self._ip, self._port, limit=MAX_HEAD_BYTES
        )
        self._port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        if task := asyncio.current_task():
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        ends = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*ends):
            while True:
                request = await read_request(reader)
                response = await self.respond(request, writer)
                if response is not None:
                    writer.write(response.encode())
                await writer.drain()
        self._writers.discard(writer)
        writer.close()


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request."""
    first, headers = await _read_head(reader)
    method, target, _ = first.split(" ", 2)
    body = await _read_body(reader, headers)
    return Request(method=method, target=target, headers=headers, body=body)


async def call(
    address: str,
    *,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Response | None:
    """Send a request on a connection of its own; None without a whole answer."""
    ip, _, port = address.partition(":")
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join(lines).encode("latin-1") + HEAD_END
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(head + body)
            first, answered = await _read_head(reader)
            answer = await _read_body(reader, answered)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
    return Response(
        status=int(first.split(" ")[1]), headers=tuple(answered.items()), body=answer
    )


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(HEAD_END)).decode("latin-1")
    first, *lines = head.removesuffix("\r\n\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return body
        body += part[:-2]
