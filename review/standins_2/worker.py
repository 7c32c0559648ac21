"""Model workers: they echo or stream, as the page of the wire says."""

import asyncio
import collections
import time
import typing as t

from review.standins_2.http1 import Answer, Request, Server
from review.standins_2.record import Record

QUEUE = 24
PREEMPTED_AFTER = 3  # events of a stream, where the worker runs out of memory


class Worker:
    """One worker process.

    Parameters
    ----------
    worker_id, service, host, zone : str
        Its entry in the list.
    record : Record
        Receives a line for each run.
    slots : int
        Requests that it runs at once.
    events : int
        Events of a stream.
    event_s : float
        Time between two events.
    port : int
        Port to listen on; a free one by default.

    Attributes
    ----------
    runs : dict of str to list of float
        Times at which requests began to run, by id.
    running_ids : set of str
        Ids of the requests that it runs or that wait there.
    weights : int
        Version of its weights.
    mismatches : int
        Requests that expected another version of the weights.
    tags_events : bool
        Whether each event names the version of the software.
    pause_s : float
        Pause in each stream, as its request is preempted; 0 for none.
    """

    def __init__(
        self,
        worker_id: str,
        service: str,
        host: str,
        zone: str,
        record: Record,
        *,
        slots: int = 8,
        events: int = 20,
        event_s: float = 0.02,
        port: int = 0,
    ) -> None:
        self.worker_id = worker_id
        self.service = service
        self.host = host
        self.zone = zone
        self.slots = slots
        self.events = events
        self.event_s = event_s
        self.version = "v1"
        self.weights = 1
        self.mismatches = 0
        self.tags_events = False
        self.pause_s = 0.0
        self.running_ids: set[str] = set()
        self.address = ""
        self.state = "ready"
        self.born = int(time.time() * 1_000)
        self.runs: dict[str, list[float]] = collections.defaultdict(list)
        self.beats = 0
        self.running = 0
        self._waiting = 0
        self._record = record
        self._free = asyncio.Semaphore(slots)
        self._server = Server(host, self.handle, port=port)

    async def start(self) -> None:
        """Listen."""
        self.address = await self._server.start()

    def successor(self) -> "Worker":
        """Return the next process of this worker, which has another id."""
        name, _, boot = self.worker_id.partition("+")
        return Worker(
            f"{name}+{int(boot or 0) + 1}",
            self.service,
            self.host,
            self.zone,
            self._record,
            slots=self.slots,
            events=self.events,
            event_s=self.event_s,
        )

    def born_again(self, *, version: str) -> "Worker":
        """Return its next process, which has its id and address."""
        new = Worker(
            self.worker_id,
            self.service,
            self.host,
            self.zone,
            self._record,
            slots=self.slots,
            events=self.events,
            event_s=self.event_s,
            port=int(self.address.rpartition(":")[2]),
        )
        new.version = version
        new.tags_events = self.tags_events
        return new

    def crash(self) -> None:
        """End without a word."""
        self._server.reset()

    def entry(self) -> dict[str, t.Any]:
        """Return its next entry in the list of workers."""
        self.beats += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self.beats,
            "born": self.born,
        }

    async def handle(self, request: Request, answer: Answer) -> None:
        """Answer one request."""
        request_id = request.get("x-request-id")
        echo = {"X-Request-Id": request_id, "X-Instance-Id": self.worker_id}
        if request.get("x-expect-instance") not in ("", self.worker_id):
            await answer.send(421, echo)
            return
        expected = request.get("x-expect-version")
        if expected and expected != str(self.weights):
            self.mismatches += 1
            await answer.send(421, {**echo, "X-Weight-Versions": str(self.weights)})
            return
        if self._waiting >= QUEUE:
            await answer.send(503, {**echo, "X-Not-Executed": "1"})
            return
        self.running_ids.add(request_id)
        try:
            await self._wait_and_run(request, answer, echo)
        finally:
            self.running_ids.discard(request_id)

    async def _wait_and_run(
        self, request: Request, answer: Answer, echo: dict[str, str]
    ) -> None:
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        self.running += 1
        try:
            await self._run(request, answer, echo)
        finally:
            self.running -= 1
            self._free.release()

    async def _run(
        self, request: Request, answer: Answer, echo: dict[str, str]
    ) -> None:
        request_id = echo["X-Request-Id"]
        self.runs[request_id].append(time.monotonic())
        after = int(request.get("last-event-id") or 0)
        self._record.write("run", worker=self.worker_id, id=request_id, after=after)
        echo = {**echo, "X-Response-Stamp": f"{self.worker_id}.{request_id}"}
        if not request.get("x-model"):
            await asyncio.sleep(self.event_s)
            await answer.send(200, echo, b"done " + request_id.encode())
            return
        await asyncio.sleep(
            self.event_s
        )  # a request begins to run with its first token
        await answer.begin(200, {**echo, "Content-Type": "text/event-stream"})
        for number in range(after + 1, self.events + 1):
            tag = f"@{self.version}" if self.tags_events else ""
            await answer.chunk(f"id: {number}\ndata: t{number}{tag}\n\n".encode())
            is_preempted = self.pause_s and number == PREEMPTED_AFTER
            await asyncio.sleep(self.pause_s if is_preempted else self.event_s)
        self._record.write("done", worker=self.worker_id, id=request_id)
        await answer.chunk(b"")
