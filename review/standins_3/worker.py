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
    ) -> None:
        super().__init__(ip=ip)
        self.worker_id = worker_id
        self.service = service
        self._zone = zone
        self._store = store
        self._record = record
        self._work_s = work_s
        self._boots = 0
        self._sequence = 0
        self._born_ms = 0
        self._beating: asyncio.Task[None] | None = None
        self._lapsing: asyncio.Task[None] | None = None

    async def boot(self) -> None:
        """Start, with a new id after the first time."""
        self._boots += 1
        if self._boots > 1:
            self.worker_id = f"{self.worker_id}-{self._boots}"
        self._sequence = 0
        self._born_ms = time.time_ns() // 1_000_000
        await self.start()
        self._beating = asyncio.create_task(self._beat())

    async def crash(self) -> None:
        """End without notice; the entry lapses after some missed heartbeats."""
        if self._beating is not None:
            self._beating.cancel()
        await self.stop()
        self._lapsing = asyncio.create_task(self._lapse(self.worker_id))

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
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": self._sequence,
            "born": self._born_ms,
        }

    async def respond(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> Response | None:
        """Run a request that is meant for this worker."""
        request_id = request.headers.get("x-request-id", "")
        echo = ("X-Request-Id", request_id)
        if request.headers.get("x-expect-instance") != self.worker_id:
            return Response(status=421, headers=(echo, ("X-Not-Executed", "1")))
        self._record.add("run", request_id, f"{self.worker_id} of {self.service}")
        await asyncio.sleep(self._work_s)
        stamp = ("X-Response-Stamp", f"{self.service}.{self.worker_id}.{request_id}")
        return Response(status=200, headers=(echo, stamp), body=self.service.encode())
