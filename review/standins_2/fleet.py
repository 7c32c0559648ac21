"""A small deployment: store, workers and entry VMs on loopback addresses."""

import asyncio
import os
import pathlib
import typing as t

from review.standins_2.http1 import Reply, Server, call
from review.standins_2.record import Record
from review.standins_2.store import Store
from review.standins_2.vms import Vm
from review.standins_2.worker import Worker

HOST = "desk.example"
HEARTBEAT_S = 1.2
START_S = 15.0
ZONES = ("sv-a", "sv-b", "sv-c")
MODEL_SERVICE = "malvinnsla"
RECORDS_SERVICE = "skrar"
CAP_TOKENS = 950_000  # of the sheet
RETENTION_S = 60
# Two runs at a time have addresses of their own.
NET = f"127.{60 + os.getpid() % 120}"


class Fleet:
    """Starts, feeds and ends everything.

    Parameters
    ----------
    directory : pathlib.Path
        Temporary folder.
    record : Record
        Receives what happens.
    vm_count, model_count : int
        Entry VMs and model workers.
    memory_mb : int
        Memory of an entry VM.

    Attributes
    ----------
    store, workers, vms
        What runs.
    crashed : set of str
        Ids of workers that have crashed.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        record: Record,
        *,
        vm_count: int = 3,
        model_count: int = 5,
        memory_mb: int = 170,
    ) -> None:
        self.record = record
        self.store = Store()
        self.version = 0
        self.workers = [
            Worker(f"i-m{n}", MODEL_SERVICE, f"{NET}.2.{n + 1}", ZONES[n % 3], record)
            for n in range(model_count)
        ]
        self.workers += [
            Worker(
                f"i-r{n}",
                RECORDS_SERVICE,
                f"{NET}.3.{n + 1}",
                ZONES[n % 3],
                record,
                slots=6,
            )
            for n in range(3)
        ]
        self.vms: list[Vm] = []
        self.crashed: set[str] = set()
        self._vm_count = vm_count
        self._memory_mb = memory_mb
        self._directory = directory
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> t.Self:
        """Start everything and wait until each VM is ready."""
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start(self) -> None:
        address = await Server(f"{NET}.1.1", self.store.handle).start()
        for worker in self.workers:
            await worker.start()
        self.put_manifest()
        self.spawn(self._beat())
        for number in range(self._vm_count):
            vm = Vm(
                f"front-{number}",
                f"{NET}.4.{number + 1}",
                ZONES[number % 3],
                store=address,
                directory=self._directory,
                record=self.record,
                memory_mb=self._memory_mb,
            )
            self.vms.append(vm)
            vm.start()
        async with asyncio.timeout(START_S):
            for vm in self.vms:
                while not await self.is_ready(vm):
                    await asyncio.sleep(0.1)

    async def __aexit__(self, *_: object) -> None:
        """End everything."""
        for task in self._tasks:
            task.cancel()
        for vm in self.vms:
            vm.kill()
        for worker in self.workers:
            worker.crash()

    def spawn(self, work: t.Coroutine[None, None, None]) -> None:
        """Run something until the end."""
        self._tasks.append(asyncio.ensure_future(work))

    async def is_ready(self, vm: Vm) -> bool:
        """Return whether a VM says that it is ready."""
        reply = await call(
            vm.ready, "GET", "/foxtailbank/ready", {"Host": vm.ready}, timeout_s=1.0
        )
        return reply.status == 200

    def routes(self) -> list[dict[str, t.Any]]:
        """Return the routes of the manifest."""
        common = {"host": HOST, "priority": 0, "max_attempts": 2}
        model = {**common, "service": MODEL_SERVICE, "session_affinity": True}
        return [
            {
                **model,
                "name": "r-fault",
                "path_prefix": "/fault/",
                "type": "streaming",
                "timeout_ms": 5_000,
                "target_latency_ms": 300,
                "resumable": True,
                "gap_aim_ms": 400,
            },
            {
                **model,
                "name": "r-clause",
                "path_prefix": "/clause/",
                "type": "streaming",
                "timeout_ms": 5_000,
                "target_latency_ms": 300,
                "max_attempts": 1,
                "gap_aim_ms": 400,
            },
            {
                **model,
                "name": "r-renewal",
                "path_prefix": "/renewal/",
                "type": "batch",
                "timeout_ms": 15_000,
                "target_latency_ms": 500,
                "max_attempts": 3,
                "cap": CAP_TOKENS,
                "run_deadline_ms": 18_000,
                "retention_s": RETENTION_S,
            },
            {
                **common,
                "name": "r-status",
                "path_prefix": "/status/",
                "type": "safe",
                "service": RECORDS_SERVICE,
                "timeout_ms": 4_000,
                "target_latency_ms": 400,
            },
        ]

    def put_manifest(self) -> None:
        """Write the next version of the manifest."""
        self.version += 3
        services = [
            {"name": name, "health_path": "/health", "max_conns": 360}
            for name in (MODEL_SERVICE, RECORDS_SERVICE)
        ]
        limits = {
            "header_bytes": 16_384,
            "body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        }
        manifest = {
            "version": self.version,
            "routes": self.routes(),
            "services": services,
            "limits": limits,
        }
        self.store.put("keyed.op", "config", manifest)

    async def send(
        self,
        vm: Vm,
        method: str,
        target: str,
        *,
        request_id: str = "",
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float = 5.0,
    ) -> Reply:
        """Send a client's request to a VM and record both."""
        sent = {"Host": HOST, **(headers or {})}
        if request_id:
            sent["X-Request-Id"] = request_id
        self.record.write(
            "sent", vm=vm.name, call=f"{method} {target}", id=request_id, n=len(body)
        )
        reply = await call(vm.front, method, target, sent, body, timeout_s=timeout_s)
        self.record.write(
            "answered", vm=vm.name, call=target, id=request_id, status=reply.status
        )
        return reply

    def start_crash(self, number: int, *, down_s: float) -> None:
        """Crash a worker; it is back later, under another id."""
        worker = self.workers[number]
        self.record.write("crash", worker=worker.worker_id, running=worker.running)
        worker.crash()
        self.crashed.add(worker.worker_id)
        self.spawn(self._replace(number, down_s))

    async def restart_worker(
        self, number: int, *, version: str, down_s: float, entry_s: float
    ) -> None:
        """Start a worker again, under its id and address, with another version.

        Parameters
        ----------
        number : int
            The worker.
        version : str
            Version of its software from now on.
        down_s : float
            Time until it is back.
        entry_s : float
            Time from then to its first liveness report.
        """
        old = self.workers[number]
        self.crashed.add(old.worker_id)
        old.crash()
        await asyncio.sleep(down_s)
        new = old.born_again(version=version)
        await new.start()
        self.workers[number] = new
        self.record.write("restarted", worker=new.worker_id, version=version)
        self.spawn(self._report_again(new, entry_s))

    async def _report_again(self, worker: Worker, entry_s: float) -> None:
        await asyncio.sleep(entry_s)
        self.crashed.discard(worker.worker_id)
        self.store.put("keyed.servers", worker.worker_id, worker.entry())

    async def release(
        self,
        *,
        gap_s: float,
        drain_s: float,
        weights: int = 1,
        version: str = "v1",
        keep: int = 0,
    ) -> None:
        """Replace the model workers one after the other by ones of another version.

        The new one starts first; the old one reports that it drains, and leaves.

        Parameters
        ----------
        gap_s : float
            Time between two of them.
        drain_s : float
            Time until an old one leaves.
        weights : int
            Version of the new ones' weights.
        version : str
            Version of their software.
        keep : int
            Number of workers, from the first on, whose turn has not come yet.
        """
        for number, old in enumerate(self.workers):
            if old.service != MODEL_SERVICE or number < keep:
                continue
            new = old.successor()
            new.weights = weights
            new.version = version
            await new.start()
            self.workers[number] = new
            self.store.put("keyed.servers", new.worker_id, new.entry())
            old.state = "draining"
            self.store.put("keyed.servers", old.worker_id, old.entry())
            self.record.write("replaced", old=old.worker_id, new=new.worker_id)
            self.spawn(self._leave(old, drain_s))
            await asyncio.sleep(gap_s)

    async def _leave(self, worker: Worker, drain_s: float) -> None:
        await asyncio.sleep(drain_s)
        self.store.put("keyed.servers", worker.worker_id, None)
        worker.crash()

    async def _replace(self, number: int, down_s: float) -> None:
        old = self.workers[number]
        lapse_s = min(3 * HEARTBEAT_S, down_s)
        await asyncio.sleep(lapse_s)
        self.store.put("keyed.servers", old.worker_id, None)
        await asyncio.sleep(down_s - lapse_s)
        new = old.successor()
        await new.start()
        self.workers[number] = new
        self.store.put("keyed.servers", new.worker_id, new.entry())

    async def _beat(self) -> None:
        while True:
            for worker in self.workers:
                if worker.worker_id in self.crashed:
                    continue
                self.store.put("keyed.servers", worker.worker_id, worker.entry())
            await asyncio.sleep(HEARTBEAT_S)
