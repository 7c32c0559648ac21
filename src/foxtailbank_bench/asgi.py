"""Small helpers for raw ASGI applications."""

import typing as t
import urllib.parse

import msgspec

from foxtailbank.asgi import Receive, Scope, Send, send_response

JSON_TYPE = b"application/json"
BYTES_TYPE = b"application/octet-stream"

Content = t.TypeVar("Content")


class Malformed(Exception):
    """The client's request could not be understood."""


async def send_answer(
    send: Send,
    *,
    status: int,
    body: bytes = b"",
    content_type: bytes = JSON_TYPE,
    headers: t.Iterable[tuple[bytes, bytes]] = (),
) -> None:
    """Send a whole answer."""
    sent = ((b"content-type", content_type), *headers)
    await send_response(send, status=status, headers=sent, body=body)


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


async def run_lifespan(receive: Receive, send: Send) -> None:
    """Answer the server's start and stop notices."""
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return
