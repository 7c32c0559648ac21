"""End-to-end requests and submissions through `Process`, over loopback sockets."""

import base64
import contextlib
import json

import anyio
import pytest

from foxtailbank.clock import SystemClock
from foxtailbank.http1.client_channel import ClientChannel
from foxtailbank.http1.failures import ExchangeFailed
from foxtailbank_platform.main import Process
from foxtailbank_platform.settings import decode_settings
from foxtailbank_soak.store import StoreStandIn
from foxtailbank_soak.worker import WorkerStandIn
from serving_fakes import make_logs

pytestmark = pytest.mark.anyio
CLOCK = SystemClock()
STORE = "127.0.0.21:18142"
WAIT_S = 20


@pytest.fixture
def anyio_backend():
    return "asyncio"


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
        {**route, "name": "b", "path_prefix": "/b/", **batch, "retention_s": 60},
    ]
    limits = {"header_bytes": 4_096, "body_bytes": 100_000}
    return {"version": version, "routes": routes, "limits": {**limits, **changes}}


class Deployment:
    """A store, two workers and entry VMs in one event loop."""

    def __init__(self, group):
        self.group = group
        self.store = StoreStandIn(STORE, clock=CLOCK)
        self.store.page_keys = 2
        self.workers = [
            WorkerStandIn(f"w{number}", f"127.0.0.3{number}:18080", clock=CLOCK)
            for number in (1, 2)
        ]
        group.start_soon(self.store.server.run)
        for worker in self.workers:
            group.start_soon(worker.server.run)

    def publish(self):
        self.store.put("keyed.op", "config", make_manifest())
        for worker in self.workers:
            self.store.put("keyed.servers", worker.worker_id, worker.entry())

    def start_vm(self, number=1):
        ip = f"127.0.0.1{number}"
        settings = decode_settings(
            f"node_name=vm{number}\nzone=z1\nip={ip}\n"
            f"listen.front={ip}:18144\nlisten.ready={ip}:18140\n"
            f"port_range=17660,17675\nplatform.address={STORE}\n"
        )
        process = Process(settings=settings, path="", clock=CLOCK, logs=make_logs())
        scope = anyio.CancelScope()
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
            response = await call("GET", "/ready", number=number, port=18140)
            return response is not None and response[0].status == 200

        await self.until(is_ready)


@contextlib.asynccontextmanager
async def running_deployment():
    async with anyio.create_task_group() as group:
        yield Deployment(group)
        group.cancel_scope.cancel()


async def call(method, target, *, number=1, port=18144, body=b"", headers=()):
    """Send one request on a new connection; None if there is no response."""
    sent = (("Host", "h.example"), ("X-Request-Id", "q1"), *headers)
    try:
        channel = await ClientChannel.connect(
            address=f"127.0.0.1{number}:{port}", clock=CLOCK, timeout_ms=1_000
        )
        try:
            await channel.send(method=method, target=target, headers=sent, body=body)
            head = await channel.receive_head(10_000)
            return head, await channel.read_all(10_000)
        finally:
            await channel.aclose()
    except ExchangeFailed:
        return None


def make_submission(count=3, tokens=10):
    items = [
        {
            "id": f"i{number}",
            "path": f"/b/x/{number}",
            "headers": {"X-Model": "m"},
            "body": base64.b64encode(b"body%d" % number).decode(),
            "tokens": tokens,
        }
        for number in range(count)
    ]
    return json.dumps({"items": items}).encode()


async def submit(submission_id, *, number=1, **items):
    headers = (("X-Request-Id", submission_id),)
    body = make_submission(**items)
    sent = (("Host", "h.example"), *headers)
    channel = await ClientChannel.connect(
        address=f"127.0.0.1{number}:18144", clock=CLOCK, timeout_ms=1_000
    )
    await channel.send(method="POST", target="/b/1", headers=sent, body=body)
    head = await channel.receive_head(10_000)
    await channel.aclose()
    return head.status


async def read_all(deployment, submission_id, total, *, number=1):
    page = {}

    async def is_done():
        target = f"/foxtailbank/lots/{submission_id}?after=0"
        response = await call("GET", target, number=number)
        if response is None or response[0].status != 200:
            return False
        page.update(json.loads(response[1]))
        return len(page["results"]) == total

    await deployment.until(is_done)
    return page


async def test_calls_are_forwarded_with_stamp_and_remaining_time():
    async with running_deployment() as deployment:
        deployment.publish()
        deployment.start_vm()
        await deployment.until_ready()
        deadline = (("X-Deadline-Ms", "900"), ("X-Other", "o"))
        head, body = await call("POST", "/plain/a?b=c", body=b"hi", headers=deadline)
        assert (head.status, body) == (200, b"POST hi")
        assert head.get("x-response-stamp").startswith("stamp-")
        (run,) = [run for worker in deployment.workers for run in worker.runs]
        assert (run.target, run.get("x-other")) == ("/plain/a?b=c", "o")
        assert 0 < int(run.get("x-deadline-ms")) <= 900
        head, body = await call("POST", "/st/x")
        assert body == b"".join(b"id: %d\ndata: e%d\n\n" % (n, n) for n in (1, 2, 3))


# Guards against a cut stream that is complete for its client, or for a batch result.
async def test_streams_that_end_within_an_event_are_not_whole():
    async with running_deployment() as deployment:
        deployment.publish()
        deployment.start_vm()
        await deployment.until_ready()
        for worker in deployment.workers:
            worker.cut_share = 1.0
        assert await call("POST", "/st/x") is None
        assert await submit("s1") == 202
        await anyio.sleep(0.5)
        for worker in deployment.workers:
            worker.cut_share = 0.0
        page = await read_all(deployment, "s1", 3)
        texts = {result["text"] for result in page["results"]}
        assert texts == {"e1\ne2\ne3"}


@pytest.mark.parametrize(
    ("method", "target", "body", "headers", "status"),
    [
        pytest.param("GET", "/nowhere/", b"", (), 404, id="no-route"),
        pytest.param("POST", "/plain/", b"x" * 100_001, (), 413, id="large-body"),
        pytest.param(
            "GET", "/plain/", b"", (("X", "y" * 5_000),), 431, id="large-header"
        ),
        pytest.param("POST", "/b/1", b"{", (), 400, id="invalid-json"),
        pytest.param("POST", "/b/1", b'{"items": []}', (), 400, id="no-items"),
        pytest.param(
            "POST", "/b/1", b'{"items": [{"id": 1}]}', (), 400, id="wrong-types"
        ),
        pytest.param("GET", "/b/1", b"", (), 400, id="method-not-allowed"),
        pytest.param(
            "GET",
            "/foxtailbank/lots/none?after=0",
            b"",
            (),
            404,
            id="unknown-submission",
        ),
        pytest.param(
            "GET", "/foxtailbank/lots/n?after=x", b"", (), 400, id="invalid-position"
        ),
        pytest.param(
            "GET", "/foxtailbank/items/none?id=1", b"", (), 404, id="unknown-item"
        ),
        pytest.param(
            "POST",
            "/plain/",
            b"",
            (("X-Deadline-Ms", "soon"),),
            400,
            id="invalid-deadline",
        ),
    ],
)
async def test_invalid_requests_get_a_specific_status(
    method, target, body, headers, status
):
    async with running_deployment() as deployment:
        deployment.publish()
        deployment.start_vm()
        await deployment.until_ready()
        head, _ = await call(method, target, body=body, headers=headers)
        assert head.status == status
        head, _ = await call("POST", "/plain/a")
        assert head.status == 200


async def test_requests_get_503_until_the_first_configuration():
    async with running_deployment() as deployment:
        deployment.start_vm()

        async def responds():
            return await call("POST", "/plain/a") is not None

        await deployment.until(responds)
        head, _ = await call("POST", "/plain/a")
        assert head.status == 503
        assert float(head.get("retry-after")) > 0


async def test_client_disconnect_cancels_the_run():
    async with running_deployment() as deployment:
        deployment.publish()
        deployment.start_vm()
        await deployment.until_ready()
        for worker in deployment.workers:
            worker.event_interval_s = 60
        with anyio.move_on_after(0.5):
            await call("POST", "/st/x")

        async def is_cancelled():
            return (
                sum(worker.disconnected_streams for worker in deployment.workers) == 1
            )

        await deployment.until(is_cancelled)


async def test_submission_is_readable_on_other_vms_and_after_a_restart():
    async with running_deployment() as deployment:
        first = await deployment.start_two_vms()
        assert await submit("s1") == 202
        assert await submit("s1", number=2) == 202
        page = await read_all(deployment, "s1", 3, number=2)
        assert page["total"] == page["next"] == 3
        assert {r["state"] for r in page["results"]} == {"completed"}
        assert {r["text"] for r in page["results"]} == {"e1\ne2\ne3"}
        first.cancel()
        await anyio.sleep(0.1)
        deployment.start_vm(1)
        await deployment.until_ready(1)
        assert await read_all(deployment, "s1", 3, number=1) == page


async def test_items_of_a_crashed_vm_are_finished_by_another():
    async with running_deployment() as deployment:
        first = await deployment.start_two_vms()
        for worker in deployment.workers:
            worker.event_interval_s = 0.5
        assert await submit("s1") == 202
        await anyio.sleep(0.3)
        first.cancel()
        deployment.store.expire_members()
        page = await read_all(deployment, "s1", 3, number=2)
        assert {r["text"] for r in page["results"]} == {"e1\ne2\ne3"}


async def test_ending_a_submission_stops_its_items_and_drops_bodies():
    async with running_deployment() as deployment:
        deployment.publish()
        deployment.start_vm()
        await deployment.until_ready()
        for worker in deployment.workers:
            worker.event_interval_s = 60
        assert await submit("s1") == 202
        _, body = await call("GET", "/foxtailbank/items/s1?id=i1")
        assert body == b"body1"
        head, _ = await call("DELETE", "/foxtailbank/lots/s1")
        again, _ = await call("DELETE", "/foxtailbank/lots/s1")
        assert (head.status, again.status) == (200, 200)

        async def has_stopped():
            runs = sum(len(worker.runs) for worker in deployment.workers)
            return (
                sum(worker.disconnected_streams for worker in deployment.workers)
                == runs
            )

        await deployment.until(has_stopped)
        head, _ = await call("GET", "/foxtailbank/items/s1?id=i1")
        assert head.status == 404


async def test_waiting_token_cap_applies_across_vms():
    async with running_deployment() as deployment:
        deployment.publish()
        deployment.start_vm(1)
        deployment.start_vm(2)
        await deployment.until_ready(1)
        await deployment.until_ready(2)
        for worker in deployment.workers:
            worker.event_interval_s = 60
        assert await submit("s1", count=3, tokens=20) == 202
        assert await submit("s2", number=2, count=3, tokens=20) == 429
        assert await submit("s3", number=2, count=2, tokens=20) == 202


@pytest.mark.parametrize("fault", ["down", "lost"])
async def test_submission_status_during_a_store_failure(fault):
    async with running_deployment() as deployment:
        deployment.publish()
        deployment.start_vm()
        await deployment.until_ready()
        if fault == "lost":
            deployment.store.lose_answers = 1
            assert await submit("s1") == 202
            return
        deployment.store.up = False
        assert await submit("s1") == 503
        head, _ = await call("POST", "/plain/a")
        assert head.status == 200
        deployment.store.up = True

        async def is_accepted():
            return await submit("s1") == 202

        await deployment.until(is_accepted)
        await read_all(deployment, "s1", 3)


async def test_draining_worker_gets_no_new_requests():
    async with running_deployment() as deployment:
        deployment.publish()
        deployment.start_vm()
        await deployment.until_ready()
        draining, active = deployment.workers
        entry = draining.entry(state="draining", sequence=2)
        deployment.store.put("keyed.servers", draining.worker_id, entry)
        await anyio.sleep(2)
        before = len(draining.runs)
        for _ in range(10):
            head, _ = await call("POST", "/plain/a")
            assert head.status == 200
        assert len(draining.runs) == before
        assert len(active.runs) >= 10


async def test_counters_and_histograms_are_served():
    async with running_deployment() as deployment:
        deployment.publish()
        deployment.start_vm()
        await deployment.until_ready()
        await call("POST", "/plain/a")
        head, body = await call("GET", "/metrics", port=9464)
        assert head.status == 200
        assert b'foxtailbank_calls_total{entry="plain",reason="200"} 1.0' in body
        assert b"foxtailbank_latency_seconds_bucket" in body
