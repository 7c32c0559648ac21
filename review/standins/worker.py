"""Stand-in of a worker, as PROTOCOL.md describes it."""

import asyncio
import collections
import typing as t

from review.standins import http

Log: t.TypeAlias = t.Callable[[str], None]


class Worker:
    """Runs requests, streams items, refuses with 503 when it is full.

    A stream has ``events`` events, ``event_s`` apart; any other request takes
    ``run_s``. A worker drops a request when its channel closes.
    """

    def __init__(
        self,
        worker_id: str,
        address: str,
        *,
        slots: int,
        log: Log,
        events: int = 10,
        event_s: float = 0.05,
        run_s: float = 0.05,
    ) -> None:
        self.worker_id = worker_id
        self.address = address
        self.slots = slots
        self.events = events
        self.event_s = event_s
        self.run_s = run_s
        self.running = 0
        self.is_up = False
        self.runs: collections.Counter[str] = collections.Counter()
        self.finished: collections.Counter[str] = collections.Counter()
        self._log = log
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self.is_up = True
        host, _, port = self.address.partition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=http.MAX_LINE_BYTES
        )

    def entry(self, *, service: str, zone: str, sequence: int) -> dict[str, t.Any]:
        """Return the entry that the worker writes for itself."""
        return {
            "service": service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": sequence,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await http.read_message(reader)) is not None:
                await self.answer(request, reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(
        self,
        request: http.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one request."""
        refusal = self.refusal(request)
        if refusal is not None:
            self.send(writer, refusal)
            return
        await self.run(request, reader, writer)

    def refusal(self, request: http.Message) -> bytes | None:
        """Return the answer to a request that is not run; None if it is run."""
        headers = {"X-Request-Id": request.headers.get("x-request-id", "")}
        if request.headers.get("x-expect-instance", "") != self.worker_id:
            headers["X-Instance-Id"] = self.worker_id
            return http.encode_response(421, headers)
        if self.running >= self.slots:
            headers["X-Not-Executed"] = "1"
            return http.encode_response(503, headers)
        return None

    async def run(
        self,
        request: http.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run a request until it ends or its channel closes."""
        request_id = request.headers.get("x-request-id", "")
        self.runs[request_id] += 1
        self._log(f"{self.worker_id} runs {request_id}")
        self.running += 1
        try:
            if "/plain/" in request.path:
                await self._run_plain(request, writer)
            else:
                await self._run_stream(request, reader, writer)
            self.finished[request_id] += 1
            self._log(f"{self.worker_id} finished {request_id}")
        finally:
            self.running -= 1

    async def _run_plain(
        self, request: http.Message, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(self.run_s)
        body = b"done " + request.headers.get("x-request-id", "").encode()
        headers = self.success_headers(request)
        self.send(writer, http.encode_response(200, headers, body))

    async def _run_stream(
        self,
        request: http.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        headers = {
            **self.success_headers(request),
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        lines = ["HTTP/1.1 200 -", *(f"{n}: {v}" for n, v in headers.items())]
        self.send(writer, "\r\n".join(lines).encode() + b"\r\n\r\n")
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_s)
            if reader.at_eof():
                raise ConnectionError
            event = self.event(number)
            self.send(writer, f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        self.send(writer, b"0\r\n\r\n")

    def event(self, number: int) -> bytes:
        """Return an event of a stream."""
        return f"id: {number}\ndata: word{number}\n\n".encode()

    def success_headers(self, request: http.Message) -> dict[str, str]:
        """Return the headers of a success."""
        return {
            "X-Request-Id": request.headers.get("x-request-id", ""),
            "X-Response-Stamp": f"stamp-{self.worker_id}",
        }

    def send(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write bytes to a channel."""
        if writer.is_closing():
            raise ConnectionError
        writer.write(data)
