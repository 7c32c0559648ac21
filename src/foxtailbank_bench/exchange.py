"""One HTTP request to a stand-in, with methods to respond."""

import functools
import typing as t

import msgspec

from foxtailbank.asgi import Receive, Scope, Send, get_header, read_body
from foxtailbank_bench import asgi

MAX_BODY_BYTES = 64 << 20

Content = t.TypeVar("Content")


class Exchange:
    """An HTTP request; `body` is empty until `read_body` was called.

    Parameters
    ----------
    scope : mapping
        ASGI scope.
    receive, send : callable
        ASGI callables.

    Attributes
    ----------
    method : str
        HTTP method.
    path : str
        Percent-decoded path.
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
        """Read the complete request body.

        Raises
        ------
        BodyTooLarge
            The body exceeds `MAX_BODY_BYTES`.
        CallerDisconnected
            The client disconnected first.
        """
        self.body = await read_body(self.receive, max_bytes=MAX_BODY_BYTES)

    @property
    def path_segments(self) -> list[str]:
        """The path's segments, each percent-decoded."""
        return asgi.path_segments(self.scope)

    @functools.cached_property
    def query(self) -> dict[str, str]:
        """The query parameters; the last value of a repeated name wins."""
        return asgi.query_fields(self.scope)

    def query_int(self, name: str, default: int) -> int:
        """Return a query parameter as an integer.

        Raises
        ------
        MalformedRequest
            The value is not an integer.
        """
        try:
            return int(self.query.get(name, default))
        except ValueError as error:
            raise asgi.MalformedRequest(f"{name} is not a number") from error

    def header(self, name: bytes) -> str:
        """Return a header's value by its lower-case name, or an empty string."""
        return get_header(self.scope, name)

    def decode_json(self, expected_type: type[Content]) -> Content:
        """Decode the JSON body.

        Raises
        ------
        MalformedRequest
            The body is not valid JSON of this type.
        """
        return asgi.decode_json(self.body, expected_type)

    async def send_json(
        self,
        content: t.Any,
        *,
        status: int = 200,
        headers: t.Iterable[tuple[bytes, bytes]] = (),
    ) -> None:
        """Send a JSON response."""
        body = msgspec.json.encode(content)
        await asgi.respond(self.send, status=status, body=body, headers=headers)

    async def send_body(self, body: bytes) -> None:
        """Send a response whose JSON body is already encoded."""
        await asgi.respond(self.send, status=200, body=body)

    async def send_bytes(self, body: bytes, *, status: int = 200) -> None:
        """Send a response of raw bytes."""
        await asgi.respond(
            self.send, status=status, body=body, content_type=asgi.BYTES_TYPE
        )

    async def wait_for_disconnect(self) -> None:
        """Wait until the client closes the connection."""
        while (await self.receive())["type"] != "http.disconnect":
            pass
