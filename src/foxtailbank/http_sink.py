"""Response to a caller over ASGI."""

from foxtailbank.asgi import Send
from foxtailbank.clock import Clock
from foxtailbank.error_response import error_event, send_error
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.sink import Sink


class HttpSink(Sink):
    """Sends a response to a caller.

    Parameters
    ----------
    send : Send
        Sends an ASGI message.
    request_id : str
        Identifier of the request.
    clock : Clock
        Source of time.

    Attributes
    ----------
    status : int
        HTTP status sent; 0 before the response has started.
    chunk_count : int
        Number of body chunks sent.
    first_chunk_ms : int
        Time at which the first chunk was sent, in milliseconds; 0 before that.
    """

    def __init__(self, *, send: Send, request_id: str, clock: Clock) -> None:
        self.status = 0
        self.first_chunk_ms = 0
        self._clock = clock
        self.chunk_count = 0
        self._send = send
        self._request_id = request_id

    async def start(self, *, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Send the response head."""
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

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the body."""
        self.chunk_count += 1
        if not self.first_chunk_ms:
            self.first_chunk_ms = self._clock.now_ms()
        await self._send(
            {"type": "http.response.body", "body": chunk, "more_body": True}
        )

    async def finish(self) -> None:
        """Complete the response."""
        await self._send({"type": "http.response.body", "body": b""})

    async def fail(self, failure: FoxtailbankError) -> None:
        """Send a failure to the caller.

        It becomes an error response, or the last event of a stream that has begun.

        Parameters
        ----------
        failure : FoxtailbankError
            Why the response is not complete.
        """
        if not self.started:
            self.status = failure.status
            await send_error(self._send, failure, request_id=self._request_id)
            return
        event = error_event(failure, request_id=self._request_id)
        await self.write(event)
        await self.finish()
