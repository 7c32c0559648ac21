"""Types and helpers for the ASGI protocol."""

import typing as t

from foxtailbank.exceptions import BodyTooLarge, CallerDisconnected

Scope = t.MutableMapping[str, t.Any]
Message = t.MutableMapping[str, t.Any]
Receive = t.Callable[[], t.Awaitable[Message]]
Send = t.Callable[[Message], t.Awaitable[None]]
Headers = t.Iterable[tuple[bytes, bytes]]


def get_header(scope: Scope, name: bytes) -> str:
    """Return a request header.

    Parameters
    ----------
    scope : Scope
        ASGI scope of the request.
    name : bytes
        Lower-case name.

    Returns
    -------
    str
        First value; empty if the header is absent.
    """
    for key, value in scope["headers"]:
        if key == name:
            return str(value.decode("latin-1"))
    return ""


async def iter_body(receive: Receive) -> t.AsyncIterator[bytes]:
    """Yield the request body as it is received.

    Raises
    ------
    CallerDisconnected
        The caller disconnected before the end of the body.
    """
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerDisconnected()
        chunk = message.get("body", b"")
        if chunk:
            yield chunk
        if not message.get("more_body", False):
            return


async def read_body(receive: Receive, *, max_bytes: int) -> bytes:
    """Read the complete request body.

    An oversized body is read to its end too: an early response would make the server
    close the connection while the caller is still sending.

    Parameters
    ----------
    receive : Receive
        ASGI callable that returns the next message.
    max_bytes : int
        Maximum size in bytes; the excess is discarded.

    Returns
    -------
    bytes
        The body.

    Raises
    ------
    BodyTooLarge
        The body exceeds the maximum size.
    """
    chunks = []
    size = 0
    async for chunk in iter_body(receive):
        size += len(chunk)
        if size <= max_bytes:
            chunks.append(chunk)
    if size > max_bytes:
        raise BodyTooLarge(detail=f"body of {size} bytes exceeds {max_bytes} bytes")
    return b"".join(chunks)


async def drain_body(receive: Receive) -> None:
    """Read and discard the rest of the request body."""
    async for _ in iter_body(receive):
        pass


async def send_response(
    send: Send, *, status: int, headers: Headers, body: bytes
) -> None:
    """Send a complete response.

    Parameters
    ----------
    send : Send
        ASGI callable that sends a message.
    status : int
        HTTP status.
    headers : iterable of (bytes, bytes)
        Headers without ``content-length``.
    body : bytes
        Response body.
    """
    length = (b"content-length", b"%d" % len(body))
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [*headers, length],
        }
    )
    await send({"type": "http.response.body", "body": body})
