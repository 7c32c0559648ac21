"""A small deployment on loopback addresses: VMs as processes, the rest here."""

import asyncio
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import typing as t

from review.standins import http
from review.standins.store import CALL_BYTES, RECORD_BYTES, Store
from review.standins.worker import Worker

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "notices.example"
SERVICE = "wordsmith"
OTHER_SERVICE = "ledger-app"
HEARTBEAT_S = 1.2
ZONES = ("zone-a", "zone-b")
FRONT_PORT = 8144
READY_PORT = 8140
CONTROL_PORT = 8146
METRICS_PORT = 9464
STORE_PORT = 8142
WORKER_PORT = 8080
RESTART_S = 0.5
GRACE_S = 8


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._started = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{time.monotonic() - self._started:8.3f} {text}\n")
        self._file.flush()


class Vm:
    """Process of an entry VM, started again when it ends as the platform does it."""

    def __init__(
        self, vm_id: str, ip: str, zone: str, store: str, folder: pathlib.Path
    ) -> None:
        self.vm_id = vm_id
        self.front = f"{ip}:{FRONT_PORT}"
        self.ready = f"{ip}:{READY_PORT}"
        self.own_ends: list[int] = []
        self.stopping = False
        self._ip = ip
        self._zone = zone
        self._store = store
        self._settings = folder / f"{vm_id}.settings"
        self.log_path = folder / f"{vm_id}.log"
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self._write_settings()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split(" ")
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["FOXTAILBANK_SETTINGS"] = str(self._settings)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        with self.log_path.open("ab") as output:
            self._process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def keep_running(self, record: Record) -> None:
        """Start the process again each time it ends by itself."""
        while True:
            await asyncio.sleep(0.05)
            if self._process is None or self.running:
                continue
            code = self._process.returncode
            if not self.stopping:
                self.own_ends.append(code)
            asked = "as asked" if self.stopping else "by itself"
            record(f"{self.vm_id} ended {asked} with status {code}")
            self.stopping = False
            await asyncio.sleep(RESTART_S)
            self.start()

    async def stop(self, record: Record) -> None:
        """Stop it as the platform does: SIGTERM, and SIGKILL after the grace time."""
        record(f"SIGTERM to {self.vm_id}")
        process = self._process
        self.stopping = True
        self.signal(signal.SIGTERM)
        until = time.monotonic() + GRACE_S
        while process is not None and process.poll() is None:
            if time.monotonic() > until:
                process.kill()
            await asyncio.sleep(0.02)

    def kill(self) -> None:
        """End the process."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def last_error(self) -> str:
        """Return the last error line of the log."""
        if not self.log_path.exists():
            return ""
        lines = self.log_path.read_text(errors="replace").splitlines()
        errors = [line for line in lines if '"ERROR"' in line or "Error" in line]
        return errors[-1][:400] if errors else ""

    def _write_settings(self) -> None:
        zones = "".join(f"zones.{zone}=region-1\n" for zone in ZONES)
        self._settings.write_text(
            f"node_name={self.vm_id}\nrole=entry\nmachine_class=front\nserves=front\n"
            f"ip={self._ip}\nzone={self._zone}\nregion=region-1\n{zones}"
            f"listen.front={self.front}\nlisten.ready={self.ready}\n"
            f"listen.control={self._ip}:{CONTROL_PORT}\nport_range=7660,7675\n"
            "seeds=\nbootstrap=true\nloss_counts=false\nlimits.cpu_share=0.717\n"
            "limits.cores=3\nlimits.memory_mb=330\nlimits.max_fds=8200\n"
            "limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\n"
            "entry=vip\nheartbeat_ms=1200\n"
            "active_rules=base,drain,config,cost,recover,batch,stream,engine,platform\n"
            "bounds.stable_ms=3000\nbounds.drain_ms=2000\n"
            f"bounds.grace_s={GRACE_S}\nbounds.config_apply_ms=2000\n"
            "bounds.recover_s=12\nbounds.pass_ms=120\nbounds.finish_s=18\n"
            "bounds.status_s=120\nbounds.cancel_ms=3000\nbounds.settle_ms=1000\n"
            f"platform.address={self._store}\nplatform.form=log\n"
            "platform.writes_per_s=800\nplatform.reads_per_s=2000\n"
            "platform.parts=8\nplatform.append_ms=4.0\n"
            f"platform.record_bytes={RECORD_BYTES}\n"
            f"platform.call_bytes={CALL_BYTES}\n"
            "platform.retention_s=300\nplatform.ttl_min_ms=1000\n"
        )


class Fleet:
    """Store, workers and VMs of one run, in a free loopback network."""

    def __init__(
        self,
        record: Record,
        *,
        vms: int,
        workers: int,
        routes: list[dict[str, t.Any]],
        zones: int = len(ZONES),
        others: int = 0,
        worker_type: type[Worker] = Worker,
        **worker_options: t.Any,
    ) -> None:
        self.record = record
        self.store = Store()
        self._routes = routes
        self._zones = ZONES[:zones]
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._tasks: list[asyncio.Task[None]] = []
        self._sequence = 0
        net = _free_network(vms, workers + others)
        self._store_address = f"{net}.1:{STORE_PORT}"
        self.workers = [
            worker_type(
                f"i-{number}",
                f"{net}.{100 + number}:{WORKER_PORT}",
                log=record,
                **worker_options,
            )
            for number in range(1, workers + 1)
        ]
        self.others = [
            Worker(
                f"j-{number}",
                f"{net}.{100 + workers + number}:{WORKER_PORT}",
                slots=6,
                log=record,
            )
            for number in range(1, others + 1)
        ]
        self.vms = [
            Vm(
                f"front-{number}",
                f"{net}.{10 + number}",
                self._zones[number % zones],
                self._store_address,
                pathlib.Path(self._folder.name),
            )
            for number in range(1, vms + 1)
        ]

    async def start(self) -> None:
        """Start all, and wait until all VMs are ready and know each other."""
        await self.store.start(self._store_address)
        for worker in (*self.workers, *self.others):
            await worker.start()
        self.store.put_json("keyed.op", "config", self._manifest())
        for worker in (*self.workers, *self.others):
            self.beat(worker)
        self._tasks.append(asyncio.create_task(self._beats()))
        for vm in self.vms:
            vm.start()
            self._tasks.append(asyncio.create_task(vm.keep_running(self.record)))
        until = time.monotonic() + 20
        while not all([await self.is_ready(vm) for vm in self.vms]):
            if time.monotonic() > until:
                raise RuntimeError("the VMs are not ready")
            await asyncio.sleep(0.2)
        await asyncio.sleep(4)

    async def is_ready(self, vm: Vm) -> bool:
        """Ask a VM as the platform does."""
        answer = await http.call(
            vm.ready, "GET", "/foxtailbank/ready", {"Host": vm.ready}, timeout_s=1
        )
        return answer is not None and answer.status == 200

    def stop(self) -> None:
        """End all processes."""
        for task in self._tasks:
            task.cancel()
        for vm in self.vms:
            if error := vm.last_error():
                self.record(f"last error line of {vm.vm_id}: {error}")
            vm.kill()
        if kept := os.environ.get("KEEP_LOGS"):
            for vm in self.vms:
                text = vm.log_path.read_bytes()
                (pathlib.Path(kept) / vm.log_path.name).write_bytes(text)
        self._folder.cleanup()

    def _manifest(self) -> dict[str, t.Any]:
        service = {"name": SERVICE, "health_path": "/health", "max_conns": 370}
        limits = {
            "header_bytes": 16_384,
            "body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        }
        return {
            "version": 1,
            "routes": self._routes,
            "services": [{**service, "protocol": "h1", "tls": False}],
            "limits": limits,
        }

    def beat(self, worker: Worker) -> None:
        """Let a worker write its entry."""
        self._sequence += 1
        is_other = worker in self.others
        number = (self.others if is_other else self.workers).index(worker)
        entry = worker.entry(
            service=OTHER_SERVICE if is_other else SERVICE,
            zone=self._zones[number % len(self._zones)],
            sequence=self._sequence,
        )
        self.store.put_json("keyed.servers", worker.worker_id, entry)

    async def _beats(self) -> None:
        workers = [*self.workers, *self.others]
        while True:
            for worker in workers:
                await asyncio.sleep(HEARTBEAT_S / len(workers))
                if worker.is_up:
                    self.beat(worker)


def route(name: str, kind: str, **changes: t.Any) -> dict[str, t.Any]:
    """Return a route of the manifest whose prefix is its name."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "type": kind,
        "timeout_ms": 5_000,
        "target_latency_ms": 300,
        "priority": 0,
        "service": SERVICE,
        "max_attempts": 2,
        "session_affinity": False,
        "resumable": False,
        **changes,
    }


def batch_route(name: str) -> dict[str, t.Any]:
    """Return a batch route as on the sheet of mwangaza-notices."""
    return route(
        name,
        "batch",
        timeout_ms=15_000,
        target_latency_ms=400,
        max_attempts=3,
        cap=1_700_000,
        run_deadline_ms=18_000,
        retention_s=60,
        resumable=True,
        priority=2,
    )


def has_trouble() -> bool:
    """Whether the script is to cause the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def _free_network(vms: int, workers: int) -> str:
    """Return the first three bytes of loopback addresses with free ports."""
    rng = random.Random()
    wanted = [(1, STORE_PORT)]
    for number in range(1, vms + 1):
        for port in (FRONT_PORT, READY_PORT, METRICS_PORT, 7660):
            wanted.append((10 + number, port))
    wanted += [(100 + number, WORKER_PORT) for number in range(1, workers + 1)]
    for _ in range(50):
        net = f"127.{rng.randint(20, 250)}.{rng.randint(1, 250)}"
        if all(_is_free(f"{net}.{last}", port) for last, port in wanted):
            return net
    raise RuntimeError("no free loopback addresses")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def main(
    folder: str, scenario: t.Callable[[Record], t.Coroutine[t.Any, t.Any, int]]
) -> int:
    """Run a scenario; return 0 if the rule held, 1 if not, 2 if it could not run."""
    record = Record(pathlib.Path(folder) / "record.txt")
    signal.signal(signal.SIGTERM, lambda *_: exit(2))
    try:
        code = asyncio.run(scenario(record))
    except Exception as error:
        record(f"could not run: {error!r}")
        code = 2
    record(f"exit status {code}")
    return code
