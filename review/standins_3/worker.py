"""Stand-in of a worker of an application service."""

import asyncio
import time
import typing as t

from standins_3.record import Record
from standins_3.store import Store
from standins_3.web import HttpServer, Request, Response

HEARTBEAT_S = 1.2
MISSED_HEARTBEATS = 3  # then the entry is removed
TOPIC = "keyed.servers"
CRASH_AFTER_S = 0.05  # from the begin of a request that crashes its worker
BACK_AFTER_S = 2.5


class Worker(HttpServer):
    """Answers each request after some milliseconds, and lists itself in the store.

    Parameters
    ----------
    worker_id, service, zone : str
        As in its entry.
    ip : str
        Loopback address.
    store : Store
        Where its entry is.
    record : Record
        Receives a line for each run.
    work_s : float
        How long a request runs.
    slots : int
        Requests at a time, as its entry says.

    Attributes
    ----------
    version : str
        Version of its software.
    crashing_path : str
        Begin of the paths of requests that crash it; empty for none.
    goes_dark : bool
        Whether it falls silent at such a crash; otherwise its connections are reset.
    crash_times_s : list of float
        When requests crashed it.
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
        work_s: float = 0.02,
        slots: int = 6,
    ) -> None:
        super().__init__(ip=ip)
        self.worker_id = worker_id
        self.service = service
        self._zone = zone
        self._store = store
        self._record = record
        self._work_s = work_s
        self._slots = slots
        self._name = worker_id
        self._boots = 0
        self._sequence = 0
        self._born_ms = 0
        self._beating: asyncio.Task[None] | None = None
        self._lapsing: asyncio.Task[None] | None = None
        self._returning: asyncio.Task[None] | None = None
        self._is_down = False
        self._is_dark = False
        self.version = "v1"
        self.crashing_path = ""
        self.goes_dark = False
        self.crash_times_s: list[float] = []

    async def boot(self, *, keeps_id: bool = False) -> None:
        """Start, with a new id after the first time unless it keeps its id."""
        self._boots += 1
        if self._boots > 1 and not keeps_id:
            self.worker_id = f"{self._name}-{self._boots}"
        self._sequence = 0
        self._born_ms = time.time_ns() // 1_000_000
        await self.start()
        self._beating = asyncio.create_task(self._beat())

    def _on_crash(self, request_id: str) -> None:
        """Crash under a request, and be back after some seconds."""
        if self._is_down:
            return
        self._is_down = True
        self._record.add("crash", request_id, f"{self.worker_id} of {self.service}")
        self.crash_times_s.append(self._record.now_s)
        self._returning = asyncio.create_task(self._return())

    async def _return(self) -> None:
        if self.goes_dark:
            self._is_dark = True
            self._stop_beating()
            self._lapsing = asyncio.create_task(self._lapse(self.worker_id))
            await asyncio.sleep(BACK_AFTER_S)
            await self.stop()
        else:
            await self.crash()
            await asyncio.sleep(BACK_AFTER_S)
        self._is_down = self._is_dark = False
        await self.boot()

    def _stop_beating(self) -> None:
        if self._beating is not None:
            self._beating.cancel()

    async def crash(self) -> None:
        """End without notice; the entry lapses after some missed heartbeats."""
        self._stop_beating()
        await self.stop()
        self._lapsing = asyncio.create_task(self._lapse(self.worker_id))

    async def end(self) -> None:
        """End with no request running; its entry stays for the next process."""
        self._stop_beating()
        await self.stop()

    async def _lapse(self, worker_id: str) -> None:
        await asyncio.sleep(MISSED_HEARTBEATS * HEARTBEAT_S)
        self._store.put(TOPIC, worker_id, None)

    async def _beat(self) -> None:
        while True:
            self._sequence += 1
            self._store.put(TOPIC, self.worker_id, self._entry())
            await asyncio.sleep(HEARTBEAT_S)

    def _entry(self) -> dict[str, t.Any]:
        return {
            "service": self.service,
            "address": self.address,
            "zone": self._zone,
            "version": self.version,
            "slots": self._slots,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": self._sequence,
            "born": self._born_ms,
        }

    async def respond(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> Response | None:
        """Run a request that is meant for this worker."""
        if self._is_dark:
            await asyncio.Event().wait()  # until the other side gives up
        request_id = request.headers.get("x-request-id", "")
        echo = ("X-Request-Id", request_id)
        if request.headers.get("x-expect-instance") != self.worker_id:
            return Response(status=421, headers=(echo, ("X-Not-Executed", "1")))
        self._record.add("run", request_id, f"{self.worker_id} of {self.service}")
        if self.crashing_path and request.target.startswith(self.crashing_path):
            await asyncio.sleep(CRASH_AFTER_S)
            self._on_crash(request_id)
            await asyncio.Event().wait()
        await asyncio.sleep(self._work_s)
        stamp = ("X-Response-Stamp", f"{self.service}.{self.worker_id}.{request_id}")
        return Response(status=200, headers=(echo, stamp), body=self.service.encode())
