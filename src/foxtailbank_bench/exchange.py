"""One HTTP request to a stand-in and the way to answer it."""

import functools
import typing as t

import msgspec

from foxtailbank.asgi import Receive, Scope, Send, header, read_body
from foxtailbank_bench import asgi

MAX_BODY_BYTES = 64 << 20

Content = t.TypeVar("Content")


class Exchange:
    """A request, whose body is empty until it is read.

    Parameters
    ----------
    scope : mapping
        ASGI scope.
    receive, send : callable
        ASGI channels.

    Attributes
    ----------
    method : str
        HTTP method.
    path : str
        Unquoted path.
    body : bytes
        Request body.
    """

    def __init__(
        self,
        *,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        self.scope = scope
        self.body = b""
        self.receive = receive
        self.send = send
        self.method: str = scope["method"]
        self.path: str = scope["path"]

    async def read_body(self) -> None:
        """Read the whole request body.

        Raises
        ------
        BodyTooLarge
            It exceeds `MAX_BODY_BYTES`.
        CallerGone
            The client went away first.
        """
        self.body = await read_body(self.receive, max_bytes=MAX_BODY_BYTES)

    @property
    def parts(self) -> list[str]:
        """The path's segments, each of them unquoted."""
        return asgi.path_parts(self.scope)

    @functools.cached_property
    def query(self) -> dict[str, str]:
        """The query's fields, the last value of each name."""
        return asgi.query_of(self.scope)

    def query_int(self, name: str, default: int) -> int:
        """Return a numeric field of the query.

        Raises
        ------
        Malformed
            It is no number.
        """
        try:
            return int(self.query.get(name, default))
        except ValueError as error:
            raise asgi.Malformed(f"{name} is not a number") from error

    def header(self, name: bytes) -> str:
        """Return a header's value by lower-case name; empty if it is absent."""
        return header(self.scope, name)

    def content(self, kind: type[Content]) -> Content:
        """Return the JSON body as a type.

        Raises
        ------
        Malformed
            It is no JSON of this type.
        """
        return asgi.decode(self.body, kind)

    async def send_json(
        self,
        content: t.Any,
        *,
        status: int = 200,
        headers: t.Iterable[tuple[bytes, bytes]] = (),
    ) -> None:
        """Answer in JSON."""
        body = msgspec.json.encode(content)
        await asgi.send_answer(self.send, status=status, body=body, headers=headers)

    async def send_body(self, body: bytes) -> None:
        """Answer with JSON that was encoded before."""
        await asgi.send_answer(self.send, status=200, body=body)

    async def send_bytes(self, body: bytes, *, status: int = 200) -> None:
        """Answer with raw bytes."""
        await asgi.send_answer(
            self.send, status=status, body=body, content_type=asgi.BYTES_TYPE
        )

    async def wait_for_disconnect(self) -> None:
        """Wait until the client closes the connection."""
        while (await self.receive())["type"] != "http.disconnect":
            pass
