"""Types and small helpers of the ASGI protocol."""

import typing as t

from foxtailbank.exceptions import BodyTooLarge, CallerGone

Scope = t.MutableMapping[str, t.Any]
Message = t.MutableMapping[str, t.Any]
Receive = t.Callable[[], t.Awaitable[Message]]
Send = t.Callable[[Message], t.Awaitable[None]]
Headers = t.Iterable[tuple[bytes, bytes]]


def header(scope: Scope, name: bytes) -> str:
    """Return a request header.

    Parameters
    ----------
    scope : Scope
        Scope of the request.
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


async def body_parts(receive: Receive) -> t.AsyncIterator[bytes]:
    """Yield the request body as it arrives.

    Raises
    ------
    CallerGone
        The caller closed the connection before the body's end.
    """
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerGone()
        part = message.get("body", b"")
        if part:
            yield part
        if not message.get("more_body", False):
            return


async def read_body(receive: Receive, *, max_bytes: int) -> bytes:
    """Read the whole request body.

    The body is always read to its end, so that an early answer does not make the
    server close the connection while the caller still sends.

    Parameters
    ----------
    receive : Receive
        Source of the body.
    max_bytes : int
        Bound in bytes; what exceeds it is discarded.

    Returns
    -------
    bytes
        The body.

    Raises
    ------
    BodyTooLarge
        The body exceeds the bound.
    """
    parts = []
    size = 0
    async for part in body_parts(receive):
        size += len(part)
        if size <= max_bytes:
            parts.append(part)
    if size > max_bytes:
        raise BodyTooLarge(detail=f"body of {size} bytes exceeds {max_bytes} bytes")
    return b"".join(parts)


async def drain_body(receive: Receive) -> None:
    """Read and discard the rest of the request body."""
    async for _ in body_parts(receive):
        pass


async def send_response(
    send: Send, *, status: int, headers: Headers, body: bytes
) -> None:
    """Send a whole answer.

    Parameters
    ----------
    send : Send
        Sink of the answer.
    status : int
        HTTP status.
    headers : iterable of (bytes, bytes)
        Headers but for the length.
    body : bytes
        Content.
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
