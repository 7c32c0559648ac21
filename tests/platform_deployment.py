"""A store, workers and entry VMs in one event loop, over loopback sockets."""

import base64
import contextlib
import json

import anyio

from foxtailbank.clock import SystemClock
from foxtailbank.http1.client_channel import ClientChannel
from foxtailbank.http1.failures import ExchangeFailed
from foxtailbank_platform.main import Process
from foxtailbank_platform.settings import decode_settings
from foxtailbank_soak.store import StoreStandIn
from foxtailbank_soak.worker import WorkerStandIn
from serving_fakes import make_logs

CLOCK = SystemClock()
NET = "127.0.0"  # of the addresses; test files that run at the same time need others
WAIT_S = 20


def make_manifest(version=1, **changes):
    route = {
        "host": "h.example",
        "service": "s",
        "timeout_ms": 5_000,
        "target_latency_ms": 300,
        "max_attempts": 2,
    }
    batch = {"type": "batch", "cap": 100, "run_deadline_ms": 18_000}
    routes = [
        {**route, "name": "plain", "path_prefix": "/plain/", "type": "safe"},
        {**route, "name": "st", "path_prefix": "/st/", "type": "streaming"},
        {
            **route,
            "name": "res",
            "path_prefix": "/res/",
            "type": "streaming",
            "resumable": True,
        },
        {**route, "name": "b", "path_prefix": "/b/", **batch, "retention_s": 60},
    ]
    limits = {"header_bytes": 4_096, "body_bytes": 100_000}
    return {"version": version, "routes": routes, "limits": {**limits, **changes}}


class Deployment:
    """A store, workers and entry VMs in one event loop.

    `versions` are the software versions of the workers.
    """

    def __init__(self, group, *, net=NET, versions=("v1", "v1")):
        self.group = group
        self.net = net
        self.store_address = f"{net}.21:18142"
        self.store = StoreStandIn(self.store_address, clock=CLOCK)
        self.store.page_keys = 2
        self.process_by_number = {}
        self.scope_by_number = {}
        self.workers = [
            WorkerStandIn(f"w{number}", f"{net}.3{number}:18080", clock=CLOCK)
            for number in range(1, len(versions) + 1)
        ]
        for worker, version in zip(self.workers, versions, strict=True):
            worker.software_version = version
        group.start_soon(self.store.server.run)
        for worker in self.workers:
            group.start_soon(worker.server.run)

    def publish(self, **limits):
        self.store.put("keyed.op", "config", make_manifest(**limits))
        for worker in self.workers:
            self.store.put("keyed.servers", worker.worker_id, worker.entry())

    def start_vm(self, number=1, more_settings=""):
        ip = f"{self.net}.1{number}"
        settings = decode_settings(
            f"node_name=vm{number}\nzone=z1\nip={ip}\n"
            f"listen.front={ip}:18144\nlisten.ready={ip}:18140\n"
            f"port_range=17660,17675\nplatform.address={self.store_address}\n"
            f"{more_settings}"
        )
        process = Process(settings=settings, path="", clock=CLOCK, logs=make_logs())
        self.process_by_number[number] = process
        scope = self.scope_by_number[number] = anyio.CancelScope()
        self.group.start_soon(self._run, process, scope)
        return scope

    async def start_two_vms(self):
        """Publish, start VMs 1 and 2, and return the cancel scope of VM 1."""
        self.publish()
        first = self.start_vm(1)
        self.start_vm(2)
        await self.until_ready(1)
        await self.until_ready(2)
        return first

    async def _run(self, process, scope):
        with scope:
            await process.run()

    async def until(self, check):
        with anyio.fail_after(WAIT_S):
            while not await check():
                await anyio.sleep(0.02)

    async def until_ready(self, number=1):
        async def is_ready():
            response = await call(
                "GET", "/ready", number=number, port=18140, net=self.net
            )
            return response is not None and response[0].status == 200

        await self.until(is_ready)


@contextlib.asynccontextmanager
async def running_deployment(*, net=NET, **options):
    async with anyio.create_task_group() as group:
        yield Deployment(group, net=net, **options)
        group.cancel_scope.cancel()


async def call(method, target, *, number=1, port=18144, body=b"", headers=(), net=NET):
    """Send one request on a new connection; None if there is no response."""
    sent = (("Host", "h.example"), ("X-Request-Id", "q1"), *headers)
    try:
        channel = await ClientChannel.connect(
            address=f"{net}.1{number}:{port}", clock=CLOCK, timeout_ms=1_000
        )
        try:
            await channel.send(method=method, target=target, headers=sent, body=body)
            head = await channel.receive_head(10_000)
            return head, await channel.read_all(10_000)
        finally:
            await channel.aclose()
    except ExchangeFailed:
        return None


def make_submission(count=3, tokens=10, changes=None):
    items = [
        {
            "id": f"i{number}",
            "path": f"/b/x/{number}",
            "headers": {"X-Model": "m"},
            "body": base64.b64encode(b"body%d" % number).decode(),
            "tokens": tokens,
            **(changes or {}),
        }
        for number in range(count)
    ]
    return json.dumps({"items": items}).encode()


async def submit(submission_id, *, number=1, net=NET, **items):
    headers = (("X-Request-Id", submission_id),)
    body = make_submission(**items)
    sent = (("Host", "h.example"), *headers)
    channel = await ClientChannel.connect(
        address=f"{net}.1{number}:18144", clock=CLOCK, timeout_ms=1_000
    )
    await channel.send(method="POST", target="/b/1", headers=sent, body=body)
    head = await channel.receive_head(10_000)
    await channel.aclose()
    return head.status


async def read_all(deployment, submission_id, total, *, number=1):
    page = {}

    async def is_done():
        target = f"/foxtailbank/lots/{submission_id}?after=0"
        response = await call("GET", target, number=number, net=deployment.net)
        if response is None or response[0].status != 200:
            return False
        page.update(json.loads(response[1]))
        return len(page["results"]) == total

    await deployment.until(is_done)
    return page
