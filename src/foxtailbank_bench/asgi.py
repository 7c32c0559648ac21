"""Small helpers for raw ASGI applications."""

import typing as t
import urllib.parse

import msgspec

Scope: t.TypeAlias = t.MutableMapping[str, t.Any]
Message: t.TypeAlias = t.MutableMapping[str, t.Any]
Receive: t.TypeAlias = t.Callable[[], t.Awaitable[Message]]
Send: t.TypeAlias = t.Callable[[Message], t.Awaitable[None]]
App: t.TypeAlias = t.Callable[[Scope, Receive, Send], t.Awaitable[None]]
RawHeaders: t.TypeAlias = list[tuple[bytes, bytes]]

JSON_TYPE = b"application/json"
BYTES_TYPE = b"application/octet-stream"

Content = t.TypeVar("Content")


class Disconnected(Exception):
    """The client closed the connection before its request was complete."""


class Malformed(Exception):
    """The client's request could not be understood."""


async def read_body(receive: Receive) -> bytes:
    """Return a request's whole body.

    Raises
    ------
    Disconnected
        The client went away first.
    """
    parts = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise Disconnected
        parts.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(parts)


async def send_answer(
    send: Send,
    *,
    status: int,
    body: bytes = b"",
    content_type: bytes = JSON_TYPE,
    headers: t.Iterable[tuple[bytes, bytes]] = (),
) -> None:
    """Send a whole answer."""
    sent = [
        (b"content-type", content_type),
        (b"content-length", b"%d" % len(body)),
        *headers,
    ]
    await send({"type": "http.response.start", "status": status, "headers": sent})
    await send({"type": "http.response.body", "body": body})


def decode(body: bytes, kind: type[Content]) -> Content:
    """Return a JSON request body as a type.

    Raises
    ------
    Malformed
        It is no JSON of this type.
    """
    try:
        return msgspec.json.decode(body or b"{}", type=kind)
    except msgspec.MsgspecError as error:
        raise Malformed(str(error)) from error


def path_parts(scope: Scope) -> list[str]:
    """Return the path's segments, each of them unquoted."""
    raw_path = scope["raw_path"].decode("latin-1")
    return [urllib.parse.unquote(part) for part in raw_path.split("/")[1:]]


def query_of(scope: Scope) -> dict[str, str]:
    """Return the query's fields, the last value of each name."""
    return dict(urllib.parse.parse_qsl(scope["query_string"].decode("latin-1")))


def header(scope: Scope, name: bytes) -> str:
    """Return a header's value; empty if it is absent."""
    for key, value in scope["headers"]:
        if key.lower() == name:
            return str(value.decode("latin-1"))
    return ""


async def run_lifespan(receive: Receive, send: Send) -> None:
    """Answer the server's start and stop notices."""
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return
