"""Small HTTP/1.1 server and client pieces on asyncio streams."""

import asyncio
import dataclasses
import typing as t
import urllib.parse

MAX_LINE_BYTES = 1 << 22


@dataclasses.dataclass(frozen=True, kw_only=True)
class Message:
    """A request or a response.

    Attributes
    ----------
    start : str
        Request line or status line.
    headers : dict of str to str
        Headers, names in lower case.
    body : bytes
        Whole body.
    """

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.start.split(" ")[1]

    @property
    def path(self) -> str:
        """Target of a request without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Query of a request."""
        return dict(urllib.parse.parse_qsl(self.target.partition("?")[2]))

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Read a start line and headers; None if the connection ended before them."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body that has a length or comes in chunks."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return body


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a whole message; None if the connection ended before or within it."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        body = await read_body(reader, head[1])
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Message(start=head[0], headers=head[1], body=body)


def encode_response(
    status: int, headers: t.Mapping[str, str], body: bytes = b""
) -> bytes:
    """Encode a response whose body has a length."""
    lines = [f"HTTP/1.1 {status} -"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def call(
    address: str,
    method: str,
    target: str,
    headers: t.Mapping[str, str],
    body: bytes = b"",
    *,
    timeout_s: float,
) -> Message | None:
    """Send a request on a new connection; None without a whole response in time."""
    host, _, port = address.partition(":")
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=MAX_LINE_BYTES
            )
            writer.write(data)
            await writer.drain()
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
