"""Helpers for ASGI applications without a framework."""

import typing as t
import urllib.parse

import msgspec

from foxtailbank.asgi import Receive, Scope, Send, send_response

JSON_TYPE = b"application/json"
BYTES_TYPE = b"application/octet-stream"

Content = t.TypeVar("Content")


class MalformedRequest(Exception):
    """The client's request is invalid; it gets status 400."""


async def respond(
    send: Send,
    *,
    status: int,
    body: bytes = b"",
    content_type: bytes = JSON_TYPE,
    headers: t.Iterable[tuple[bytes, bytes]] = (),
) -> None:
    """Send a complete response."""
    all_headers = ((b"content-type", content_type), *headers)
    await send_response(send, status=status, headers=all_headers, body=body)


def decode_json(body: bytes, expected_type: type[Content]) -> Content:
    """Decode a JSON request body; an empty one counts as ``{}``.

    Raises
    ------
    MalformedRequest
        The body is not valid JSON of this type.
    """
    try:
        return msgspec.json.decode(body or b"{}", type=expected_type)
    except msgspec.MsgspecError as error:
        raise MalformedRequest(str(error)) from error


def path_segments(scope: Scope) -> list[str]:
    """Return the path's segments, each percent-decoded."""
    raw_path = scope["raw_path"].decode("latin-1")
    return [urllib.parse.unquote(segment) for segment in raw_path.split("/")[1:]]


def query_fields(scope: Scope) -> dict[str, str]:
    """Return the query parameters; the last value of a repeated name wins."""
    return dict(urllib.parse.parse_qsl(scope["query_string"].decode("latin-1")))


async def run_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledge the server's lifespan events until shutdown."""
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return
