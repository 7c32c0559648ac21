"""Submissions, changes of routes, take-overs and restarts, in all orders."""

import contextlib
import dataclasses
import itertools

import anyio
import pytest

from foxtailbank.forward.route import Backend, Route
from foxtailbank.keyed_log import AppendId
from foxtailbank.submissions.records import (
    Item,
    ItemEnded,
    Submitted,
    TakenOver,
    decode,
    encode,
)
from foxtailbank.submissions.submission_routes import ROUTE_REMOVED_MS
from item_vm import HOST, ItemVm
from serving_fakes import (
    FakeKeyedLog,
    FakeResponse,
    FakeWorkerClient,
    make_routes,
    manual_clock,
)
from test_submission_routes import SERVICE, WORKERS, batch_route, online_route

pytestmark = pytest.mark.anyio
STEPS = ("submit", "change", "take_over", "restart")
STEP_MS = 500
STEP_S = 0.04  # longer than the jitter of a start
VM_IDS = ("vm1", "vm2")
ITEM_IDS = ("i1", "i2")
MOVED = batch_route(backends=(Backend(service="other", weight=1),))


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """Routes before and after a change, and what becomes of the items then.

    Attributes
    ----------
    before, after : tuple of Route
        The routes.
    service : str
        Where the items run after it; empty if they don't.
    failures : int
        Number of errors after which an item is given up.
    """

    before: tuple[Route, ...]
    after: tuple[Route, ...]
    service: str = SERVICE
    failures: int = 0


class Workers(FakeWorkerClient):
    """Workers that are full at first, and then complete or fail each item."""

    def __init__(self):
        super().__init__()
        self.are_full = True
        self.fail = False
        self.services = []

    @contextlib.asynccontextmanager
    async def exchange(self, worker, call, **options):
        self.services.append(worker.service)
        if self.are_full:
            yield FakeResponse(status=503, not_run=True)
        elif self.fail:
            yield FakeResponse(status=500)
        else:
            yield FakeResponse(parts=(b"id: 1\ndata: t\n\n",))


class Fleet:
    """Two VMs on one log, of which one owns the submission's items at a time."""

    def __init__(self, change, group):
        self.clock = manual_clock()
        self.log = FakeKeyedLog()
        self.workers = Workers()
        self._change = change
        self._group = group
        self._routes = make_routes(*change.before)
        self._incarnations = dict.fromkeys(VM_IDS, 0)
        self._vms = {}
        self._scopes = {}
        self._generation = 0
        self._owner = VM_IDS[0]
        for vm_id in VM_IDS:
            self._start(vm_id)

    def _start(self, vm_id):
        self._incarnations[vm_id] += 1
        vm = ItemVm(
            workers=WORKERS,
            client=self.workers,
            log=self.log,
            clock=self.clock,
            owner_id=self._process(vm_id),
            has_caught_up=False,
        )
        vm.routes.apply(dataclasses.replace(self._routes, version=2))
        self._vms[vm_id] = vm
        self._scopes[vm_id] = anyio.CancelScope()
        self._group.start_soon(self._run, vm, self._scopes[vm_id])

    async def _run(self, vm, scope):
        with scope:
            async with anyio.create_task_group() as group:
                for task in (vm.follower.run, vm.runner.run, vm.appends.run):
                    group.start_soon(task)

    def _process(self, vm_id):
        return f"{vm_id}/{self._incarnations[vm_id]}"

    async def _append(self, record):
        """Append what no runner of the test writes."""
        end = len(self.log.records)
        step = AppendId(producer=f"test/{end}", epoch=1, sequence=1)
        stored = encode(record, key_suffix=str(end))
        await self.log.append((stored,), append_id=step)

    async def submit(self):
        items = tuple(
            Item(item_id=item_id, target="/online/x", headers=(), body=b"", tokens=1)
            for item_id in ITEM_IDS
        )
        record = Submitted(
            submission_id="s1",
            attempt="1",
            route="r",
            host=HOST,
            target="/batch/s1",
            arrived_wall_ms=self.clock.wall_ms(),
            waiting_limit=0,
            owner=self._process(self._owner),
            items=items,
        )
        await self._append(record)

    async def change(self):
        self.workers.services.clear()
        self._routes = make_routes(*self._change.after)
        for vm in self._vms.values():
            vm.routes.apply(dataclasses.replace(self._routes, version=3))

    async def take_over(self):
        self._owner = next(vm_id for vm_id in VM_IDS if vm_id != self._owner)
        await self._move_to_owner()

    async def restart(self):
        self._scopes[self._owner].cancel()
        self._start(self._owner)
        await self._move_to_owner()

    async def _move_to_owner(self):
        self._generation += 1
        record = TakenOver(
            submission_id="s1",
            generation=self._generation,
            owner=self._process(self._owner),
        )
        if self.log.records:
            await self._append(record)
        else:
            self._generation = 0

    async def pass_time(self, total_ms):
        for _ in range(0, total_ms, STEP_MS):
            self.clock.advance(STEP_MS)
            for vm in self._vms.values():
                vm.fleet.notify_load()
            await anyio.sleep(STEP_S)

    def ends(self):
        """Return each end of an item in the log, by item, as whether it is whole."""
        records = [decode(stored.value) for stored in self.log.records if stored.value]
        ends = [record for record in records if isinstance(record, ItemEnded)]
        return sorted((record.item_id, record.completed) for record in ends)


async def play(order, change):
    """Return what is wrong after one order of the steps."""
    async with anyio.create_task_group() as group:
        fleet = Fleet(change, group)
        for step in order:
            await getattr(fleet, step)()
            await fleet.pass_time(2 * STEP_MS)
        fleet.workers.fail = bool(change.failures)
        fleet.workers.are_full = False
        sent_count = len(fleet.workers.services)
        await fleet.pass_time(2 * ROUTE_REMOVED_MS)
        group.cancel_scope.cancel()
    services = set(fleet.workers.services)
    runs = len(fleet.workers.services) - sent_count
    is_run = bool(change.service)
    is_whole = is_run and not change.failures
    expected_runs = len(ITEM_IDS) * max(is_run, change.failures)
    return [
        (what, seen)
        for what, seen, expected in (
            ("services", services, {change.service} - {""}),
            ("runs", runs, expected_runs),
            ("ends", fleet.ends(), [(item_id, is_whole) for item_id in ITEM_IDS]),
        )
        if seen != expected
    ]


BATCH, ONLINE = batch_route(), online_route()


# Guards against accepted items that are given up, run at another service, more often or
# after the end of their route, as VMs look for a route by the path of an item.
@pytest.mark.parametrize(
    "change",
    [
        pytest.param(
            Change(before=(BATCH, ONLINE), after=(BATCH,)), id="online-removed"
        ),
        pytest.param(Change(before=(BATCH,), after=(BATCH, ONLINE)), id="online-added"),
        pytest.param(
            Change(before=(BATCH, ONLINE), after=(MOVED, ONLINE), service="other"),
            id="moved",
        ),
        pytest.param(
            Change(before=(BATCH, ONLINE), after=(ONLINE,), service=""),
            id="removed-beside-online",
        ),
        pytest.param(Change(before=(BATCH,), after=(), service=""), id="removed"),
        pytest.param(
            Change(
                before=(BATCH, ONLINE),
                after=(batch_route(max_attempts=2), ONLINE),
                failures=2,
            ),
            id="fewer-attempts",
        ),
        pytest.param(
            Change(
                before=(batch_route(max_attempts=1), ONLINE),
                after=(BATCH,),
                failures=3,
            ),
            id="more-attempts",
        ),
    ],
)
async def test_items_go_by_their_route_in_all_orders(change):
    faults = {}

    async def check(order):
        if found := await play(order, change):
            faults[" ".join(order)] = found

    async with anyio.create_task_group() as group:
        for order in itertools.permutations(STEPS):
            group.start_soon(check, order)
    assert faults == {}
