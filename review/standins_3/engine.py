"""Stand-in of a language-model worker, which answers with a stream of events."""

import asyncio

from standins_3.record import Record
from standins_3.store import Store
from standins_3.web import Request, Response
from standins_3.worker import Worker

EVENT_S = 0.02
STREAM_HEAD = (
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\nX-Request-Id: {request_id}\r\n"
    "X-Response-Stamp: {stamp}\r\n\r\n"
)


def event_text(request_id: str, number: int) -> str:
    """Return the data of an event of a request."""
    return f"{request_id}:{number}"


class Engine(Worker):
    """Worker that runs a number of requests at a time and refuses the others.

    Parameters
    ----------
    worker_id, service, zone, ip, store, record
        As for `Worker`.
    slots : int
        Requests at a time.
    events : int
        Events of each answer.

    Attributes
    ----------
    tags_version : bool
        Whether each event names the version that writes it.
    first_status : int
        Status of the answer to the first run of each request; 200 for a stream.
    """

    def __init__(
        self,
        *,
        worker_id: str,
        service: str,
        zone: str,
        ip: str,
        store: Store,
        record: Record,
        slots: int,
        events: int,
    ) -> None:
        super().__init__(
            worker_id=worker_id,
            service=service,
            zone=zone,
            ip=ip,
            store=store,
            record=record,
            slots=slots,
        )
        self._events = events
        self._running = 0
        self.tags_version = False
        self.first_status = 200

    async def respond(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> Response | None:
        """Run a request that is meant for this worker."""
        request_id = request.headers.get("x-request-id", "")
        echo = ("X-Request-Id", request_id)
        not_run = ("X-Not-Executed", "1")
        if request.headers.get("x-expect-instance") != self.worker_id:
            return Response(status=421, headers=(echo, not_run))
        if self._running >= self._slots:
            return Response(status=503, headers=(echo, not_run))
        self._running += 1
        try:
            return await self._run(request, request_id, writer)
        finally:
            self._running -= 1

    async def _run(
        self, request: Request, request_id: str, writer: asyncio.StreamWriter
    ) -> Response | None:
        first = int(request.headers.get("last-event-id") or 0) + 1
        is_first = request_id not in self._record.runs_by_id
        detail = f"{self.worker_id} of {self.service}, {request.target}"
        self._record.add("run", request_id, f"{detail} from event {first}")
        stamp = f"{self.service}.{self.worker_id}.{request_id}"
        if is_first and self.first_status != 200:
            headers = (("X-Request-Id", request_id), ("X-Response-Stamp", stamp))
            return Response(status=self.first_status, headers=headers)
        head = STREAM_HEAD.format(request_id=request_id, stamp=stamp)
        writer.write(head.encode("latin-1"))
        for number in range(first, self._events + 1):
            await asyncio.sleep(EVENT_S)
            data = event_text(request_id, number)
            if self.tags_version:
                data += f"@{self.version}"
            event = f"id: {number}\ndata: {data}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        self._record.add("done", request_id, self.worker_id)
        return None
