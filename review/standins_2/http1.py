"""A small HTTP/1.1 server and client over asyncio streams."""

import asyncio
import collections.abc
import contextlib
import dataclasses

LIMIT_BYTES = 1 << 22


@dataclasses.dataclass(kw_only=True)
class Request:
    """A request that a stand-in received.

    Attributes
    ----------
    method, target : str
        Request line.
    headers : list of (str, str)
        Headers as sent.
    body : bytes
        Whole body.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]

    def get(self, name: str) -> str:
        """Return a header, or nothing; the name is in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return ""


class Answer:
    """Writes the answer to one request.

    Parameters
    ----------
    writer : asyncio.StreamWriter
        Connection to the caller.
    """

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self.ended = False

    async def send(
        self, status: int, headers: dict[str, str] | None = None, body: bytes = b""
    ) -> None:
        """Send a whole answer."""
        self._head(status, {**(headers or {}), "Content-Length": str(len(body))})
        self._writer.write(body)
        self.ended = True
        await self._writer.drain()

    async def begin(self, status: int, headers: dict[str, str]) -> None:
        """Send the head of an answer in chunks."""
        self._head(status, {**headers, "Transfer-Encoding": "chunked"})
        await self._writer.drain()

    async def chunk(self, data: bytes) -> None:
        """Send one chunk; an empty one ends the answer."""
        self._writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        self.ended = not data
        await self._writer.drain()

    def _head(self, status: int, headers: dict[str, str]) -> None:
        lines = [f"HTTP/1.1 {status} x"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"))


Handler = collections.abc.Callable[
    [Request, Answer], collections.abc.Coroutine[None, None, None]
]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, list[tuple[str, str]]]:
    """Return the first line and the headers of a message."""
    raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = raw[:-4].split("\r\n")
    headers = []
    for line in lines:
        name, _, value = line.partition(":")
        headers.append((name.strip(), value.strip()))
    return first, headers


async def read_body(
    reader: asyncio.StreamReader, headers: list[tuple[str, str]]
) -> bytes:
    """Return the body of a message that has a length or comes in chunks."""
    fields = {name.lower(): value for name, value in headers}
    if "chunked" in fields.get("transfer-encoding", ""):
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return b"".join(parts)
            parts.append(data[:-2])
    return await reader.readexactly(int(fields.get("content-length", "0")))


class Server:
    """Serves requests of one address; a handler ends when its caller leaves.

    Parameters
    ----------
    host : str
        Loopback address.
    handler : callable
        Handles one request.
    port : int
        Port; a free one by default.
    """

    def __init__(self, host: str, handler: Handler, *, port: int = 0) -> None:
        self._host = host
        self._port = port
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        """Listen; return the address."""
        self._server = await asyncio.start_server(
            self._serve, self._host, self._port, limit=LIMIT_BYTES
        )
        self._port = self._server.sockets[0].getsockname()[1]
        return f"{self._host}:{self._port}"

    def reset(self) -> None:
        """Stop to listen and reset all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        first, headers = await read_head(reader)
        method, target, _ = first.split(" ")
        body = await read_body(reader, headers)
        request = Request(method=method, target=target, headers=headers, body=body)
        answer = Answer(writer)
        work = asyncio.ensure_future(self._handler(request, answer))
        gone = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                return False
            work.result()
            return answer.ended and not gone.done()
        finally:
            work.cancel()
            gone.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await gone
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await work


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
    """What a caller got; the status is 0 without a complete answer.

    Attributes
    ----------
    status : int
        Status of the answer.
    headers : dict of str to str
        Headers, names in lower case.
    body : bytes
        Whole body.
    """

    status: int
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    timeout_s: float = 5.0,
) -> Reply:
    """Send one request on a new connection; see `Reply`."""
    try:
        return await asyncio.wait_for(
            _call(address, method, target, headers, body), timeout_s
        )
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return Reply(status=0)


async def _call(
    address: str, method: str, target: str, headers: dict[str, str], body: bytes
) -> Reply:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=LIMIT_BYTES)
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        await writer.drain()
        first, answered = await read_head(reader)
        while first.split(" ")[1].startswith("1"):
            first, answered = await read_head(reader)
        got = await read_body(reader, answered)
        fields = {name.lower(): value for name, value in answered}
        return Reply(status=int(first.split(" ")[1]), headers=fields, body=got)
    finally:
        writer.close()
