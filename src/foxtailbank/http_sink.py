"""Answer to a caller over ASGI."""

from foxtailbank.asgi import Send
from foxtailbank.clock import Clock
from foxtailbank.error_answer import error_event, send_error
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.sink import Sink


class HttpSink(Sink):
    """Passes an answer on to a caller.

    Parameters
    ----------
    send : Send
        Sink of ASGI messages.
    request_id : str
        Identifier of the request.
    clock : Clock
        Source of time.

    Attributes
    ----------
    status : int
        HTTP status sent; 0 before the head.
    parts : int
        Pieces of content sent.
    first_ms : int
        When the first of them was sent, in milliseconds; 0 before it.
    """

    def __init__(self, *, send: Send, request_id: str, clock: Clock) -> None:
        self.status = 0
        self.first_ms = 0
        self._clock = clock
        self.parts = 0
        self._send = send
        self._request_id = request_id

    async def start(self, *, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Send the head."""
        self.started = True
        self.status = status
        encoded = [
            (name.lower().encode("latin-1"), value.encode("latin-1"))
            for name, value in headers
            if name.lower() != "x-request-id"
        ]
        encoded.append((b"x-request-id", self._request_id.encode("latin-1")))
        await self._send(
            {"type": "http.response.start", "status": status, "headers": encoded}
        )

    async def write(self, part: bytes) -> None:
        """Send content."""
        self.parts += 1
        if not self.first_ms:
            self.first_ms = self._clock.now_ms()
        await self._send(
            {"type": "http.response.body", "body": part, "more_body": True}
        )

    async def finish(self) -> None:
        """Close a whole answer."""
        await self._send({"type": "http.response.body", "body": b""})

    async def fail(self, failure: FoxtailbankError) -> None:
        """Tell the caller of a failure, in whatever state the answer is.

        Parameters
        ----------
        failure : FoxtailbankError
            Why there is no whole answer.
        """
        if not self.started:
            self.status = failure.status
            await send_error(self._send, failure, request_id=self._request_id)
            return
        event = error_event(failure, request_id=self._request_id)
        await self.write(event)
        await self.finish()
