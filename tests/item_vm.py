"""A VM that runs batch items on scripted workers, and answers of these."""

import contextlib
import random

import anyio

from fake_texts import make_budget, make_texts
from foxtailbank.fleet.crash_report import request_fingerprint
from foxtailbank.fleet.peer_table import PeerTable
from foxtailbank.forward.configuration_age import ConfigurationAge
from foxtailbank.forward.fleet_state import FleetState
from foxtailbank.forward.own_slots import OwnSlots
from foxtailbank.forward.route import RouteKind
from foxtailbank.forward.route_table import RouteTable
from foxtailbank.http1.failures import ConnectionBroken
from foxtailbank.keyed_log import LogSlice
from foxtailbank.metrics import Metrics
from foxtailbank.submissions.append_queue import AppendQueue
from foxtailbank.submissions.batch_capacity import BatchCapacity
from foxtailbank.submissions.records import Item, ItemEnded, Submitted, decode
from foxtailbank.submissions.runner import Runner
from foxtailbank.submissions.submission_table import SubmissionTable
from serving_fakes import (
    FakeKeyedLog,
    FakeResponse,
    FakeWorkerClient,
    make_follower,
    make_logs,
    make_route,
    make_routes,
    make_worker,
    manual_clock,
)

HOST = "h"
TARGET = "/p/x"
BODY = b"b"
FINGERPRINT = request_fingerprint(host=HOST, target=TARGET, body=BODY)
STEP_MS = 100
BURST_MS = 12_000  # longer than the crashes of any case take
WORKER_IDS = tuple(f"w{number}" for number in range(4))


class ItemVm:
    """A VM that runs batch items on scripted workers."""

    def __init__(
        self,
        *script,
        workers=None,
        routes=None,
        client=None,
        has_caught_up=True,
        owner_id="vm1/1",
        log=None,
        clock=None,
    ):
        self.owner_id = owner_id
        self.clock = clock or manual_clock()
        logs = make_logs()
        self.routes = RouteTable()
        self.routes.apply(make_routes(*(routes or (make_route(kind=RouteKind.BATCH),))))
        self.fleet = FleetState(
            vm_id="vm1",
            zone="z1",
            routes=self.routes,
            logs=logs,
            clock=self.clock,
            rng=random.Random(1),
        )
        for worker in workers or map(make_worker, WORKER_IDS):
            self.fleet.workers.put(worker)
        self.fleet.origins.set_list_sync(self._read_list)
        self.client = client or FakeWorkerClient(*script)
        self.table = SubmissionTable(logs=logs)
        self.log = log or FakeKeyedLog()
        self.follower = make_follower(
            self.log, self.table, self.clock, has_caught_up=has_caught_up
        )
        self.appends = AppendQueue(
            log=self.log,
            producer=owner_id,
            call_bytes=10_000,
            logs=logs,
            clock=self.clock,
        )
        self.texts = make_texts(self.appends, self.clock)
        self.own_slots = OwnSlots()
        self.peers = PeerTable(vm_id="vm1", zone="z1")
        self.runner = Runner(
            owner_id=owner_id,
            table=self.table,
            follower=self.follower,
            appends=self.appends,
            texts=self.texts,
            budget=make_budget(self.clock),
            client=self.client,
            fleet=self.fleet,
            capacity=BatchCapacity(vm_id="vm1", view=self.fleet.view),
            own_slots=self.own_slots,
            routes=self.routes,
            configuration_age=ConfigurationAge(
                routes=self.routes, peers=self.peers, clock=self.clock
            ),
            max_output_bytes=10_000,
            clock=self.clock,
            logs=logs,
            metrics=Metrics(),
            rng=random.Random(1),
        )

    async def _read_list(self):
        """The list of workers can be read, and has not changed."""

    def submit(
        self,
        submission_id="s1",
        *,
        owner="vm1/1",
        target=TARGET,
        route="r",
        item_id=None,
    ):
        item = Item(
            item_id=item_id or f"{submission_id}-i",
            target=target,
            headers=(),
            body=BODY,
            tokens=1,
        )
        record = Submitted(
            submission_id=submission_id,
            attempt="1",
            route=route,
            host=HOST,
            target=target,
            arrived_wall_ms=self.clock.wall_ms(),
            waiting_limit=0,
            owner=owner,
            items=(item,),
        )
        self.table.ledger.apply(record)

    def results(self):
        """Return the results in the log."""
        # A record without a value drops a key.
        records = [decode(stored.value) for stored in self.log.records if stored.value]
        return [record for record in records if isinstance(record, ItemEnded)]

    @contextlib.asynccontextmanager
    async def running(self):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.runner.run)
            tasks.start_soon(self.appends.run)
            self.table.apply_records(LogSlice(records=(), end=0))
            yield
            tasks.cancel_scope.cancel()

    async def pass_time(self, total_ms, *, until=lambda: False):
        """Advance the clock in steps; return the time passed until a condition."""
        passed_ms = 0
        while not until() and passed_ms < total_ms:
            self.clock.advance(STEP_MS)
            passed_ms += STEP_MS
            self.fleet.notify_load()
            await anyio.sleep(0.03)
        return passed_ms

    async def finish_items(self):
        """Run until no item is on a worker and all results are in the log."""

        def is_finished():
            return not self.runner.running_count and not self.appends.waiting_bytes

        await self.pass_time(BURST_MS, until=is_finished)

    async def send_all(self):
        """Run until the script of the workers has been used up."""
        await self.pass_time(BURST_MS, until=lambda: not self.client.script)


def success():
    return FakeResponse(parts=(b"id: 1\ndata: t\n\n",))


def broken_stream():
    return FakeResponse(parts=(b"id: 1\ndata: t\n\n", ConnectionBroken()))
