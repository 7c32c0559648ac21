"""A large fleet in simulated time, with uneven VMs, uneven workers and old reports.

The decisions are those of the product (`FleetState`, `SlotFinder`); workers, messages
and time are simulated. Measured is where requests end up, and what they meet there.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from foxtailbank.clock import ManualClock
from foxtailbank.fleet import report_cells
from foxtailbank.fleet.load_table import LoadKind, PeerLoad
from foxtailbank.fleet.placement import Refusal
from foxtailbank.fleet.report_intervals import (
    CELL_READ_PAUSE_MS,
    PeerGroup,
    send_interval_ms,
)
from foxtailbank.fleet.worker import Worker
from foxtailbank.forward.fleet_state import FleetState
from foxtailbank.forward.route_table import RouteTable
from foxtailbank.forward.slot_finder import (
    ROUND_PAUSE_MS,
    SEARCH_SHARE,
    TRIES_PER_ROUND,
    may_be_full,
)
from serving_fakes import make_logs

ZONES = ("z1", "z2", "z3")
SLOTS = 8
RUN_MS = 800
TOKENS = 450
IDLE_MS = 1_000  # after which a VM reports an unchanged load
TARGET_MS = 300
RESERVE_MS = 3  # a reservation's round trip
IDLE_CONNECTION_MS = 4_000
VM_WEIGHTS = (1, 1, 1, 2, 3)  # clients come by hash
SPEEDS = (0.55, 1.3)
SLOW_DOWN = 2.5
PREFIXES = 120
CACHED_PREFIXES = 40  # on one worker
WARM_UP_MS = 2_000


@dataclasses.dataclass(kw_only=True, eq=False)
class Request:
    """An online request and what it met."""

    arrived_ms: float
    vm: FleetState
    prefix: str
    size: float
    met_full_beside_free: bool = False
    reservations: int = 0
    began_ms: float | None = None
    same_zone: bool = False
    hit: bool = False
    connected: bool = False


class SimWorker:
    """A worker that runs as many requests as it has slots and queues others."""

    def __init__(self, worker, speed):
        self.worker = worker
        self.speed = speed
        self.running = 0
        self.queue = collections.deque()
        self.cached = collections.OrderedDict()
        self.held_ms = 0.0
        self.changed_ms = 0.0

    @property
    def has_room(self):
        return self.running < SLOTS and not self.queue

    def count(self, now_ms):
        """Add up the requests held until now."""
        held = self.running + len(self.queue)
        self.held_ms += held * max(0, now_ms - max(self.changed_ms, WARM_UP_MS))
        self.changed_ms = now_ms

    def read(self, prefix):
        """Return whether a prompt's shared part is cached; cache it."""
        hit = prefix in self.cached
        self.cached[prefix] = True
        self.cached.move_to_end(prefix)
        if len(self.cached) > CACHED_PREFIXES:
            self.cached.popitem(last=False)
        return hit


@dataclasses.dataclass(frozen=True, kw_only=True)
class Evenness:
    """What a play measured; shares are of the requests."""

    met_full_beside_free: float
    busiest_over_mean: float
    same_zone: float
    hits: float
    reservations: float
    new_connections: float
    late: float


class Reporter:
    """Reports of one VM to one group, as `LoadExchange` sends them."""

    def __init__(self, fleet, vm, group, interval_ms):
        self._fleet = fleet
        self._vm = vm
        self._group = group
        self._interval_ms = interval_ms
        self._sent_ms = -fleet.rng.uniform(0, interval_ms)
        self._is_due = False
        self._send()

    def send_soon(self):
        """Send after the shortest interval, and be read after the pause of a reader."""
        if self._is_due:
            return
        self._is_due = True
        due_ms = max(0.0, self._sent_ms + self._interval_ms - self._fleet.now_ms)
        self._fleet.after(due_ms + CELL_READ_PAUSE_MS / 2, self._send)

    def _send(self):
        if self._fleet.now_ms:
            self._sent_ms = self._fleet.now_ms
        self._is_due = False
        self._fleet.send_report(self._vm, self._group)
        self._fleet.after(IDLE_MS, self._send_if_idle)

    def _send_if_idle(self):
        if self._fleet.now_ms - self._sent_ms >= IDLE_MS:
            self._send()


class EvenFleet:
    """Plays arrivals, runs and reports as events in simulated time."""

    def __init__(self, *, vms, workers, zone_ms=None, seed=1):
        self.rng = random.Random(seed)
        self.clock = ManualClock(start_ms=1_000_000)
        self._start_ms = self.clock.now_ms()
        self._events = []
        self._numbers = itertools.count()
        self.requests = []
        self._connection_ms = {}
        listed = [
            Worker(
                worker_id=f"w{n}",
                service="s",
                address="127.0.0.1:9",
                zone=ZONES[n % 3],
                slots=SLOTS,
                draining=False,
            )
            for n in range(workers)
        ]
        self.by_id = {
            worker.worker_id: SimWorker(worker, self.rng.uniform(*SPEEDS))
            for worker in listed
        }
        self.vms = [self._make_vm(n, vms, listed) for n in range(vms)]
        self._weights = [self.rng.choice(VM_WEIGHTS) for _ in self.vms]
        for vm in self.vms:
            for group in PeerGroup:
                peers = vm.tiers.peer_count(group)
                interval_ms = send_interval_ms(group, peers, is_split=vm.tiers.is_split)
                if group is PeerGroup.NEAR and zone_ms is not None:
                    interval_ms = zone_ms
                vm.add_load_listener(Reporter(self, vm, group, interval_ms).send_soon)

    def _make_vm(self, number, vms, listed):
        vm = FleetState(
            vm_id=f"vm{number}",
            zone=ZONES[number % 3],
            routes=RouteTable(),
            logs=make_logs(),
            clock=self.clock,
            rng=self.rng,
        )
        vm.name = f"vm{number}"
        for worker in listed:
            vm.workers.put(worker)
        in_zone = [f"vm{other}" for other in range(number % 3, vms, 3)]
        vm.cell = report_cells.find_cell(vm.name, in_zone)
        vm.tiers.set_cell(vm.cell)
        in_cell = len(vm.cell.vm_ids)
        vm.tiers.set_peer_count(PeerGroup.CELL, in_cell - 1)
        vm.tiers.set_peer_count(PeerGroup.NEAR, len(in_zone) - in_cell)
        vm.tiers.set_peer_count(PeerGroup.FAR, vms - len(in_zone))
        return vm

    @property
    def now_ms(self):
        return self.clock.now_ms() - self._start_ms

    @property
    def capacity_per_s(self):
        """Requests a second that occupy all slots."""
        speed = sum(sim.speed for sim in self.by_id.values())
        return SLOTS * speed * 1_000 / RUN_MS

    def play(self, *, load, steps, step_ms, until_ms):
        """Play requests at a share of the capacity, in steps of the mean."""
        at_ms = 0.0
        while at_ms < until_ms:
            step = steps[int(at_ms / step_ms) % len(steps)]
            rate_per_s = load * step * self.capacity_per_s
            at_ms += self.rng.expovariate(rate_per_s) * 1_000
            vm = self._draw_vm()
            prefix = f"p{int(PREFIXES ** self.rng.random())}"
            request = Request(
                arrived_ms=at_ms, vm=vm, prefix=prefix, size=self.rng.uniform(0.7, 1.3)
            )
            self.requests.append(request)
            self._at(at_ms, self._search, request)
        slow = self.by_id["w1"]
        self._at(until_ms * 0.4, setattr, slow, "speed", slow.speed / SLOW_DOWN)
        self._at(until_ms * 0.8, setattr, slow, "speed", slow.speed)
        while self._events and self._events[0][0] <= until_ms:
            at_ms, _, action, *arguments = heapq.heappop(self._events)
            self.clock.advance(max(0, int(at_ms) - self.now_ms))
            action(*arguments)

    def _draw_vm(self):
        """Draw a zone, then the VM that a hash of the client leads to."""
        zone = self.rng.randrange(len(ZONES))
        in_zone = slice(zone, None, len(ZONES))
        (vm,) = self.rng.choices(self.vms[in_zone], self._weights[in_zone])
        return vm

    def evenness(self):
        """Return what was measured after the warm-up."""
        for sim in self.by_id.values():
            sim.count(self.now_ms)
        held = [sim.held_ms for sim in self.by_id.values()]
        counted = [one for one in self.requests if one.arrived_ms > WARM_UP_MS]

        def share(value):
            return sum(map(value, counted)) / len(counted)

        def is_late(one):
            began_ms = self.now_ms if one.began_ms is None else one.began_ms
            return began_ms - one.arrived_ms > TARGET_MS / 2

        return Evenness(
            met_full_beside_free=share(lambda one: one.met_full_beside_free),
            busiest_over_mean=max(held) * len(held) / sum(held),
            same_zone=share(lambda one: one.same_zone),
            hits=share(lambda one: one.hit),
            reservations=share(lambda one: one.reservations),
            new_connections=share(lambda one: one.connected),
            late=share(is_late),
        )

    def after(self, delay_ms, action, *arguments):
        """Do something later."""
        self._at(self.now_ms + delay_ms, action, *arguments)

    def _at(self, at_ms, action, *arguments):
        heapq.heappush(self._events, (at_ms, next(self._numbers), action, *arguments))

    def send_report(self, vm, group):
        load = PeerLoad(
            vm_id=vm.name, incarnation=1, load_by_worker=vm.loads.own_by_worker()
        )
        codes = vm.speeds.codes(load.load_by_worker, self.clock.now_ms())
        for other in self.vms:
            if other is not vm and _group(vm, other) is group:
                other.apply_peer_load(load, self.clock.now_ms())
                other.apply_peer_speeds(codes)

    def _choose(self, request, tried):
        return request.vm.choose(
            service="s",
            tried=tried,
            affinity=request.prefix,
            max_wait_ms=10_000,
            now_ms=self.clock.now_ms(),
        )

    def _search(self, request, full=(), asked=0):
        """Ask a few workers for a reservation, as `SlotFinder` does."""
        vm = request.vm
        choice = self._choose(request, full)
        if isinstance(choice, Refusal):
            return self._search_again(request)
        worker = choice.worker
        sim = self.by_id[worker.worker_id]
        if not may_be_full(vm, worker):
            return self._send(request, sim)
        if vm.health.is_full(worker.worker_id, self.clock.now_ms()):
            return self._search_again(request)
        request.reservations += 1
        if sim.has_room:
            return self._send(request, sim)
        self._meet_full(request)
        vm.health.on_full(worker.worker_id, self.clock.now_ms())
        if asked + 1 >= TRIES_PER_ROUND:
            return self._search_again(request)
        excluded = (*full, worker.worker_id)
        return self.after(RESERVE_MS, self._search, request, excluded, asked + 1)

    def _search_again(self, request):
        until_ms = request.arrived_ms + SEARCH_SHARE * TARGET_MS
        if self.now_ms + ROUND_PAUSE_MS <= until_ms:
            return self.after(ROUND_PAUSE_MS, self._search, request)
        choice = self._choose(request, ())
        return self._send(request, self.by_id[choice.worker.worker_id])

    def _meet_full(self, request):
        if any(sim.has_room for sim in self.by_id.values()):
            request.met_full_beside_free = True

    def _send(self, request, sim):
        vm, worker = request.vm, sim.worker
        vm.add_in_flight(worker.worker_id, LoadKind.ONLINE)
        request.same_zone = worker.zone == vm.view.zone
        request.hit = sim.read(request.prefix)
        request.connected = self._connect(vm, worker)
        sim.count(self.now_ms)
        if sim.has_room:
            return self._start(request, sim)
        self._meet_full(request)
        return sim.queue.append(request)

    def _connect(self, vm, worker):
        """Return whether a new connection is needed; idle ones are used again."""
        idle_ms = self._connection_ms.setdefault((vm.name, worker.worker_id), [])
        if idle_ms and self.now_ms - idle_ms.pop() < IDLE_CONNECTION_MS:
            return False
        idle_ms.clear()
        return True

    def _start(self, request, sim):
        request.began_ms = self.now_ms
        sim.running += 1
        run_ms = RUN_MS * request.size / sim.speed
        self.after(run_ms, self._end, request, sim)

    def _end(self, request, sim):
        sim.count(self.now_ms)
        worker_id = sim.worker.worker_id
        request.vm.remove_in_flight(worker_id, LoadKind.ONLINE)
        request.vm.on_completed(
            sim.worker,
            tokens=int(TOKENS * request.size),
            duration_ms=self.now_ms - request.began_ms,
        )
        self._connection_ms[request.vm.name, worker_id].append(self.now_ms)
        sim.running -= 1
        if sim.queue:
            self._start(sim.queue.popleft(), sim)


def _group(vm, other):
    """Return the group of peers that another VM is in."""
    if other.view.zone != vm.view.zone:
        return PeerGroup.FAR
    return PeerGroup.CELL if other.name in vm.cell.vm_ids else PeerGroup.NEAR
