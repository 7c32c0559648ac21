"""In-memory fakes of the platform interfaces that the serving core uses."""

import contextlib
import io
import random

import anyio

from foxtailbank.clock import ManualClock, SystemClock
from foxtailbank.fleet.load_report import LoadReport
from foxtailbank.fleet.worker import Worker
from foxtailbank.forward.call import Call
from foxtailbank.forward.fleet_state import FleetState
from foxtailbank.forward.forward_context import ForwardContext
from foxtailbank.forward.forwarder import Forwarder
from foxtailbank.forward.route import Backend, Route, RouteKind, RouteSet
from foxtailbank.forward.route_table import RouteTable
from foxtailbank.forward.stop_gate import StopGate
from foxtailbank.forward.worker_client import (
    ReservationRefused,
    WorkerClient,
    WorkerResponse,
)
from foxtailbank.http1.body_source import BodyFraming
from foxtailbank.http1.responder import Responder
from foxtailbank.http1.server_limits import ServerLimits
from foxtailbank.keyed_log import (
    HistoryTruncated,
    KeyedLog,
    KeyedRecord,
    LogSlice,
    SequenceMismatch,
    StoreRefused,
    StoreResponseLost,
)
from foxtailbank.log_follower import LogFollower
from foxtailbank.logs import Logs
from foxtailbank.metrics import Metrics

PASS_MS = 200


def make_logs():
    return Logs(vm="vm-1", zone="z1", stream=io.StringIO())


def make_follower(log, state, clock, *, has_caught_up=True):
    """Return a follower that is not run, with or without its state."""
    follower = LogFollower(
        name="t", log=log, state=state, pause_ms=0, logs=make_logs(), clock=clock
    )
    if has_caught_up:
        follower.next_offset = 0
        follower._on_complete(clock.now_ms())
    return follower


def make_worker(
    worker_id="w1",
    *,
    zone="z1",
    slots=2,
    draining=False,
    service="s",
    software_version="v1",
):
    return Worker(
        worker_id=worker_id,
        service=service,
        address="127.0.0.1:9",
        zone=zone,
        slots=slots,
        draining=draining,
        software_version=software_version,
    )


def make_report(vm_id, **changes):
    fields = {
        "zone": "z1",
        "incarnation": 1,
        "sequence": 1,
        "stopping": False,
        "restoring": False,
        "load_by_worker": {},
        "crash_reports": (),
    }
    return LoadReport(vm_id=vm_id, **{**fields, **changes})


def make_route(**changes):
    fields = {
        "name": "r",
        "owner": "o",
        "host": "h",
        "path_prefix": "/p/",
        "kind": RouteKind.SAFE,
        "timeout_ms": 2_000,
        "target_ms": 300,
        "priority": 0,
        "backends": (Backend(service="s", weight=1),),
        "max_attempts": 2,
    }
    fields.update(changes)
    return Route(**fields)


def make_routes(*routes, version=1, **changes):
    return RouteSet(version=version, routes=routes, limits=ServerLimits(), **changes)


def make_call(clock, **changes):
    fields = {
        "request_id": "q1",
        "method": "POST",
        "target": "/p/x",
        "host": "h",
        "headers": (),
        "body": b"b",
        "arrived_ms": clock.now_ms(),
        "max_wait_ms": 2_000,
        "fingerprint": 7,
    }
    fields.update(changes)
    return Call(**fields)


class FakeKeyedLog(KeyedLog):
    """Keyed log that can simulate faults of a store.

    Faults are set by attributes. `up` is false while the store is unavailable. The
    next `lose_answers` appends take effect but are not confirmed. The next
    `delayed_append_count` appends are held back until `apply_delayed_appends`. The
    next `unnotified_polls` polls get no notification of records that are appended
    while they wait. A read returns at most `read_limit` records. The next
    `truncated_reads` reads find their records expired. While `held_reads` or
    `held_newest` is an event, reads without a wait or reads of the newest records take
    their records at once but return them only when the event is set.
    """

    def __init__(self):
        self.records = []
        self.first = 0
        self.up = True
        self.lose_answers = 0
        self.delayed_append_count = 0
        self.delayed_appends = []
        self.unnotified_polls = 0
        self.read_limit = None
        self.held_reads = None
        self.held_newest = None
        self.truncated_reads = 0
        self.reads = 0
        self.immediate_reads = 0
        self.appends = 0
        self._steps = {}
        self._appended = anyio.Event()

    async def read_newest(self):
        self._check()
        newest = {record.key: record for record in self.records}
        kept = sorted(
            (r for r in newest.values() if r.value), key=lambda record: record.offset
        )
        newest = LogSlice(records=tuple(kept), end=len(self.records))
        if self.held_newest is not None:
            await self.held_newest.wait()
        return newest

    async def read(self, *, start, wait_ms):
        self.reads += 1
        self.immediate_reads += not wait_ms
        self._check()
        if self.truncated_reads:
            self.truncated_reads -= 1
            raise HistoryTruncated()
        if start < self.first:
            raise HistoryTruncated()
        if start >= len(self.records):
            is_unnotified = self.unnotified_polls > 0
            self.unnotified_polls -= is_unnotified
            with anyio.move_on_after(wait_ms / 1000):
                while is_unnotified or start >= len(self.records):
                    await self._appended.wait()
            if is_unnotified:
                return LogSlice(records=(), end=start)
        self._check()
        found = self.records[start:][: self.read_limit]
        part = LogSlice(records=tuple(found), end=len(self.records))
        if self.held_reads is not None and not wait_ms:
            await self.held_reads.wait()
        return part

    async def append(self, records, *, append_id):
        await anyio.sleep(0)
        self._check()
        self.appends += 1
        if self.delayed_append_count:
            self.delayed_append_count -= 1
            self.delayed_appends.append((records, append_id))
            raise StoreResponseLost()
        end = self._apply(records, append_id)
        if self.lose_answers:
            self.lose_answers -= 1
            raise StoreResponseLost()
        return end

    def apply_delayed_appends(self):
        for records, step in self.delayed_appends:
            with contextlib.suppress(SequenceMismatch):
                self._apply(records, step)
        self.delayed_appends.clear()

    def _apply(self, records, step):
        done = self._steps.setdefault(step.producer, {})
        if step.sequence in done:
            return done[step.sequence]
        if done and step.sequence != max(done) + 1:
            raise SequenceMismatch(expected=max(done) + 1)
        for record in records:
            offset = len(self.records)
            self.records.append(
                KeyedRecord(key=record.key, value=record.value, offset=offset)
            )
        done[step.sequence] = len(self.records)
        self._appended.set()
        self._appended = anyio.Event()
        return len(self.records)

    def _check(self):
        if not self.up:
            raise StoreRefused()


class FakeResponse(WorkerResponse):
    """Response whose parts are bytes or exceptions to raise."""

    def __init__(
        self,
        *,
        status=200,
        parts=(),
        not_run=False,
        misdirected=False,
        framing=BodyFraming.CHUNKED,
        rate_limit_per_s=None,
        content_type="",
    ):
        self.status = status
        self.rate_limit_per_s = rate_limit_per_s
        self.framing = framing
        self.headers = (("x-proof", "p"),)
        if content_type:
            self.headers += (("content-type", content_type),)
        self.not_run = not_run
        self.misdirected = misdirected
        self._parts = list(parts)

    async def next_chunk(self, timeout_ms):
        if not self._parts:
            return None
        part = self._parts.pop(0)
        if isinstance(part, BaseException):
            raise part
        return part


class FakeWorkerClient(WorkerClient):
    """Returns scripted responses and failures; records the requests."""

    def __init__(self, *script):
        self.script = list(script)
        self.parts = ()
        self.sent = []
        self.full = set()
        self.asked_worker_ids = []
        self.lifetimes_ms = []
        self.reservations = []
        self.on_send = lambda: None

    def prompt_parts(self, headers):
        return self.parts

    async def probe(self, worker):
        self.asked_worker_ids.append(worker.worker_id)

    async def reserve(self, worker, *, tokens, lifetime_ms, timeout_ms):
        self.asked_worker_ids.append(worker.worker_id)
        self.lifetimes_ms.append(lifetime_ms)
        if worker.worker_id in self.full:
            raise ReservationRefused(detail="status 503")
        return f"place-at-{worker.worker_id}"

    @contextlib.asynccontextmanager
    async def exchange(
        self,
        worker,
        call,
        *,
        remaining_ms,
        head_timeout_ms,
        resume_after,
        reservation="",
    ):
        self.sent.append(
            (worker.worker_id, call.request_id, remaining_ms, resume_after)
        )
        self.reservations.append(reservation)
        self.on_send()
        step = self.script.pop(0)
        if isinstance(step, BaseException):
            raise step
        if step is None:
            await anyio.sleep_forever()
        yield step


class FakeResponder(Responder):
    """Records the response as the client would receive it."""

    def __init__(self):
        self.status = 0
        self.headers = ()
        self.body = b""
        self.complete = False

    @property
    def started(self):
        return self.status != 0

    async def start(self, *, status, headers, length=None):
        assert not self.started
        self.status = status
        self.headers = headers

    async def send(self, data):
        self.body += data

    async def finish(self):
        self.complete = True


class ServingWorld:
    """A forwarder with scripted workers."""

    def __init__(self, *script, worker_count=3, slots=2, logs=None, client=None):
        self.clock = SystemClock()
        logs = logs or make_logs()
        self.routes = RouteTable()
        self.fleet = FleetState(
            rng=random.Random(1),
            vm_id="vm1",
            zone="z1",
            routes=self.routes,
            logs=logs,
            clock=self.clock,
        )
        for number in range(worker_count):
            self.fleet.workers.put(make_worker(f"w{number}", slots=slots))
        self.client = client or FakeWorkerClient(*script)
        self.responder = FakeResponder()
        self.gate = StopGate(rng=random.Random(1))
        self.forwarder = Forwarder(
            context=ForwardContext(
                gate=self.gate,
                client=self.client,
                fleet=self.fleet,
                clock=self.clock,
                logs=logs,
                metrics=Metrics(),
                rng=random.Random(1),
                pass_ms=PASS_MS,
            )
        )

    async def serve(self, route, **call):
        await self.forwarder.serve(make_call(self.clock, **call), route, self.responder)
        return self.responder


def manual_clock():
    return ManualClock(start_ms=1_000)
