"""A large fleet in simulated time: bursts of online requests over long batch items.

The decisions are those of the product (`FleetState`, `BatchCapacity`); workers,
messages and time are simulated, with load reports as late as between VMs.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from foxtailbank.clock import ManualClock
from foxtailbank.customers.share_counts import BATCH_POOL, customer_key
from foxtailbank.fleet import report_cells
from foxtailbank.fleet.load_table import LoadKind, PeerLoad
from foxtailbank.fleet.report_intervals import PeerGroup, send_interval_ms
from foxtailbank.fleet.worker import Worker
from foxtailbank.forward import wait_limits
from foxtailbank.forward.fleet_state import FleetState
from foxtailbank.forward.route_table import RouteTable
from foxtailbank.forward.slot_finder import (
    ROUND_PAUSE_MS,
    SEARCH_SHARE,
    TRIES_PER_ROUND,
)
from foxtailbank.submissions.batch_capacity import BatchCapacity
from foxtailbank.submissions.runner import PREEMPTION_PAUSE_MS, TICK_MS
from serving_fakes import make_logs, make_routes

ZONES = ("z1", "z2", "z3")
SLOTS = 7
TARGET_MS = 308  # of an online request
ITEM_DUE_MS = 18_000
CUT_MS = 100  # of an item's newest output, which is unread when it is cut
RESERVE_MS = 3  # a reservation's round trip
BUSY_TICK_MS = 50  # a runner wakes on changes of the load


@dataclasses.dataclass(kw_only=True, eq=False)
class Request:
    """An online request or an item, and what it has run of its time."""

    kind: LoadKind
    arrived_ms: float
    run_ms: float
    vm: "SimVm"
    worker_id: str = ""
    began_ms: float | None = None
    first_wait_ms: float | None = None
    done_ms: float | None = None
    not_before_ms: float = 0.0
    preempted_count: int = 0
    customer: str = ""
    refusals: int = 0

    @property
    def customer_key(self):
        service = "s" if self.kind is LoadKind.ONLINE else BATCH_POOL
        return customer_key(service=service, name=self.customer)


class SimVm:
    """One entry VM."""

    def __init__(self, *, vm_id, zone, workers, clock, rng, peers, customers):
        self.vm_id = vm_id
        self.zone = zone
        self.items = []
        self.cell_vm_ids = frozenset()
        self.waiting_since_ms = None
        routes = RouteTable()
        routes.apply(make_routes(customers=customers))
        self.fleet = FleetState(
            vm_id=vm_id,
            zone=zone,
            routes=routes,
            logs=make_logs(),
            clock=clock,
            rng=rng,
        )
        for worker in workers:
            self.fleet.workers.put(worker)
        for group, count in peers.items():
            self.fleet.tiers.set_peer_count(group, count)
        self.capacity = BatchCapacity(vm_id=vm_id, view=self.fleet.view)


class BurstFleet:
    """Plays arrivals, runs, reports and preemptions as events in simulated time."""

    def __init__(
        self,
        *,
        vms=79,
        workers=30,
        slots=SLOTS,
        seed=1,
        speeds=(1.0,),
        report_loss=0.0,
        customers=(),
        is_split=False,
    ):
        self.slots = slots
        self.report_loss = report_loss  # share of the reports that get lost
        # A slow worker takes longer for the same request or item.
        self.speed_by_worker = {
            f"w{n}": speeds[n % len(speeds)] for n in range(workers)
        }
        self.rng = random.Random(seed)
        self.clock = ManualClock(start_ms=1_000_000)
        self.start_ms = self.clock.now_ms()
        self._events = []
        self._numbers = itertools.count()
        self.online = []
        self.items = []
        self.running = {f"w{n}": [] for n in range(workers)}
        self.queued = {f"w{n}": [] for n in range(workers)}
        listed = [
            Worker(
                worker_id=f"w{n}",
                service="s",
                address="127.0.0.1:9",
                zone=ZONES[n % 3],
                slots=slots,
                draining=False,
            )
            for n in range(workers)
        ]
        near = vms // 3
        peers = {PeerGroup.NEAR: near - 1, PeerGroup.FAR: vms - near}
        self.vms = [
            SimVm(
                vm_id=f"vm{n}",
                zone=ZONES[n % 3],
                workers=listed,
                clock=self.clock,
                rng=self.rng,
                peers=peers,
                customers=customers,
            )
            for n in range(vms)
        ]
        for vm in self.vms:
            self._after(self.rng.uniform(0, TICK_MS), self._tick, vm)
            if is_split:
                self._split(vm)
            for group in PeerGroup:
                count = vm.fleet.tiers.peer_count(group)
                if not count:
                    continue
                interval_ms = send_interval_ms(group, count, is_split=is_split)
                self._after(
                    self.rng.uniform(0, interval_ms),
                    self._report,
                    vm,
                    group,
                    interval_ms,
                )

    def _split(self, vm):
        in_zone = [other.vm_id for other in self.vms if other.zone == vm.zone]
        cell = report_cells.find_cell(vm.vm_id, in_zone)
        vm.cell_vm_ids = cell.vm_ids
        tiers = vm.fleet.tiers
        tiers.set_cell(cell)
        tiers.set_peer_count(PeerGroup.CELL, len(cell.vm_ids) - 1)
        tiers.set_peer_count(PeerGroup.NEAR, len(in_zone) - len(cell.vm_ids))

    @property
    def now_ms(self):
        return self.clock.now_ms() - self.start_ms

    def play(self, *, until_ms):
        while self._events and self._events[0][0] <= until_ms:
            at_ms, _, action, arguments = heapq.heappop(self._events)
            self.clock.advance(max(0, int(at_ms) - self.now_ms))
            action(*arguments)

    def add_online(self, at_ms, run_ms, *, customer="", vms=()):
        request = Request(
            kind=LoadKind.ONLINE,
            arrived_ms=at_ms,
            run_ms=run_ms,
            vm=self.rng.choice(vms or self.vms),
            customer=customer,
        )
        self.online.append(request)
        self._at(at_ms, self._arrive, request)

    def add_items(self, at_ms, count, run_ms):
        vm = self.rng.choice(self.vms)
        for _ in range(count):
            item = Request(kind=LoadKind.BATCH, arrived_ms=at_ms, run_ms=run_ms, vm=vm)
            self.items.append(item)
            self._at(at_ms, vm.items.append, item)

    def _at(self, at_ms, action, *arguments):
        heapq.heappush(self._events, (at_ms, next(self._numbers), action, arguments))

    def _after(self, delay_ms, action, *arguments):
        self._at(self.now_ms + delay_ms, action, *arguments)

    def _report(self, vm, group, interval_ms):
        load = PeerLoad(
            vm_id=vm.vm_id,
            incarnation=1,
            load_by_worker=vm.fleet.loads.own_by_worker(),
            zone=vm.zone,
        )
        for other in self.vms:
            if other is vm or _group(vm, other) is not group:
                continue
            if not self.report_loss or self.rng.random() >= self.report_loss:
                other.fleet.loads.on_report(load, self.clock.now_ms())
                other.fleet.customer_loads.on_report(
                    vm.vm_id, vm.fleet.customer_loads.reports(), self.clock.now_ms()
                )
        self._after(interval_ms, self._report, vm, group, interval_ms)

    def _arrive(self, request):
        self._count_customer(request, 1)
        self._search(request)

    def _is_refused(self, request):
        """Refuse the excess of a customer; its client comes back once."""
        fleet = request.vm.fleet
        if not fleet.find_excess("s", request.customer, self.clock.now_ms()):
            return False
        self._count_customer(request, -1)
        request.refusals += 1
        if request.refusals == 1:
            self._after(wait_limits.excess_wait_ms(self.rng), self._arrive, request)
        return True

    def _count_customer(self, request, change):
        """Count a request of a customer, also while it waits for a slot."""
        loads = request.vm.fleet.customer_loads
        count = loads.start if change > 0 else loads.end
        if request.customer:
            count(request.customer_key, request.kind)

    def _search(self, request):
        """Ask a few workers for a reservation; if none has a slot, again later."""
        fleet = request.vm.fleet
        if self._is_refused(request):
            return
        if self.now_ms - request.arrived_ms > SEARCH_SHARE * TARGET_MS:
            self._queue(request, self._choose(request, full=()).worker_id)
            return
        full = []
        for _ in range(TRIES_PER_ROUND):
            worker = self._choose(request, full=full)
            if self._has_slot(worker.worker_id):
                self._start(request, worker.worker_id)
                return
            fleet.health.on_full(worker.worker_id, self.clock.now_ms())
            full.append(worker)
            if self._swap(request):
                return
        wait_ms = ROUND_PAUSE_MS + RESERVE_MS * TRIES_PER_ROUND
        self._after(wait_ms, self._search, request)

    def _choose(self, request, *, full):
        return request.vm.fleet.choose(
            service="s",
            tried={worker.worker_id for worker in full},
            affinity="",
            max_wait_ms=10_000,
            now_ms=self.clock.now_ms(),
        ).worker

    def _swap(self, request):
        """Send a request to where an item of its VM makes way, if there is one."""
        vm = request.vm
        items = self._running_items(vm)
        worker = vm.capacity.choose_swap(
            [vm.fleet.workers.get(item.worker_id) for item in items],
            running_counts=collections.Counter(item.worker_id for item in items),
            now_ms=self.clock.now_ms(),
        )
        if worker is None:
            return False
        item = next(item for item in items if item.worker_id == worker.worker_id)
        self._queue(request, worker.worker_id)
        self._cut(item)
        return True

    def _running_items(self, vm):
        """Return the items of a VM in the order in which they are preempted."""
        items = [
            request
            for worker_id in vm.fleet.loads.own_by_worker()
            for request in self.running[worker_id]
            if request.vm is vm and request.kind is LoadKind.BATCH
        ]
        return sorted(items, key=lambda item: -item.arrived_ms)

    def _queue(self, request, worker_id):
        """Send a request to a worker, where it waits for a slot."""
        request.vm.fleet.loads.start(worker_id, request.kind)
        self.queued[worker_id].append(request)
        self._admit(worker_id)

    def _admit(self, worker_id):
        while self.queued[worker_id] and self._has_slot(worker_id):
            request = self.queued[worker_id].pop(0)
            request.vm.fleet.loads.end(worker_id, request.kind)
            self._start(request, worker_id)

    def _tick(self, vm):
        """Preempt and start items, as the runner of a VM does."""
        now_ms = self.clock.now_ms()
        vm.capacity.observe_online_load(vm.fleet.workers.usable_by_service(), now_ms)
        for worker_id in vm.fleet.loads.own_by_worker():
            worker = vm.fleet.workers.get(worker_id)
            for _ in range(vm.capacity.items_to_preempt(worker, now_ms)):
                self._preempt(vm, worker_id)
        for item in sorted(vm.items, key=self._start_order):
            if item.not_before_ms > self.now_ms:
                continue
            vm.waiting_since_ms = vm.waiting_since_ms or now_ms
            worker = vm.capacity.choose_worker(
                vm.fleet.workers.usable("s"),
                avoid=(),
                waited_ms=now_ms - vm.waiting_since_ms,
                now_ms=now_ms,
            )
            if worker is None:
                break
            vm.waiting_since_ms = None
            if self._has_slot(worker.worker_id):
                vm.items.remove(item)
                self._start(item, worker.worker_id)
        is_busy = bool(vm.items or vm.fleet.loads.own_by_worker())
        self._after(BUSY_TICK_MS if is_busy else TICK_MS, self._tick, vm)

    def _start_order(self, item):
        is_overdue = item.arrived_ms + ITEM_DUE_MS < self.now_ms
        return (is_overdue, item.arrived_ms)

    def _has_slot(self, worker_id):
        return len(self.running[worker_id]) < self.slots

    def _start(self, request, worker_id):
        request.worker_id = worker_id
        request.began_ms = self.now_ms
        if request.first_wait_ms is None:
            request.first_wait_ms = self.now_ms - request.arrived_ms
        self.running[worker_id].append(request)
        request.vm.fleet.loads.start(worker_id, request.kind)
        run_ms = request.run_ms / self.speed_by_worker[worker_id]
        self._after(run_ms, self._end, request, request.began_ms)

    def _end(self, request, began_ms):
        if request.began_ms != began_ms:
            return  # it was preempted
        self._leave(request)
        request.done_ms = self.now_ms

    def _leave(self, request):
        self.running[request.worker_id].remove(request)
        request.vm.fleet.loads.end(request.worker_id, request.kind)
        self._count_customer(request, -1)
        request.began_ms = None
        self._admit(request.worker_id)

    def _preempt(self, vm, worker_id):
        own = [item for item in self._running_items(vm) if item.worker_id == worker_id]
        if own:
            self._cut(own[0])

    def _cut(self, item):
        """Stop an item; its output is kept but for the newest."""
        ran_ms = max(0, self.now_ms - item.began_ms - CUT_MS)
        item.run_ms -= ran_ms * self.speed_by_worker[item.worker_id]
        item.preempted_count += 1
        item.not_before_ms = self.now_ms + PREEMPTION_PAUSE_MS
        self._leave(item)
        item.vm.items.append(item)


def _group(vm, other):
    """Return the group of peers that another VM is in."""
    if other.zone != vm.zone:
        return PeerGroup.FAR
    is_in_cell = other.vm_id in vm.cell_vm_ids
    return PeerGroup.CELL if is_in_cell else PeerGroup.NEAR
