"""Many VMs that share customers' rate limits, in simulated time, without a network."""

import dataclasses
import heapq
import itertools
import random

from foxtailbank.customers import rate_messages
from foxtailbank.customers.customer import Customer
from foxtailbank.customers.rate_fleet import Contact
from foxtailbank.customers.rate_limit import RateLimit
from foxtailbank.customers.rate_participant import RateParticipant

WINDOW_MS = 5_000
HEADER_BYTES = 28  # of IP and UDP
ZONES = 4
REPORT_MS = {True: 500, False: 1_000}  # to VMs of the own zone, and of the others
CUSTOMER = "c"


def bound(customer):
    """Return what may pass in any window."""
    return (customer.rate_per_s * WINDOW_MS / 1_000 + customer.burst) * 1.1 + 20


def customer_of(rate_per_s, burst):
    return Customer(name=CUSTOMER, rate_per_s=rate_per_s, burst=burst)


def most_in_window(times_ms):
    """Return the most requests in any window."""
    times_ms = sorted(times_ms)
    first = most = 0
    for last, time_ms in enumerate(times_ms):
        while times_ms[first] <= time_ms - WINDOW_MS:
            first += 1
        most = max(most, last - first + 1)
    return most


@dataclasses.dataclass
class Refusal:
    at_ms: int
    retry_after_ms: int
    is_return: bool


class Vm:
    def __init__(self, sim, number, started_ms):
        self.sim = sim
        self.name = f"vm{number}"
        self.zone = number % ZONES
        self.alive = True
        self.incarnation = started_ms + 1
        self.frozen_until_ms = 0
        self.heard_ms = {}
        self.part = RateParticipant(
            vm_id=self.name,
            incarnation=self.incarnation,
            limits=lambda: sim.limit_by_customer,
            send=lambda vm_id, message: sim.transmit(self, vm_id, message),
        )

    def tick(self):
        contacts = []
        for name, heard_ms in self.heard_ms.items():
            heard_ms = heard_ms if self.sim.reports else self.sim.now_ms
            report_ms = REPORT_MS[self.sim.vms[name].zone == self.zone]
            contacts.append(
                Contact(
                    vm_id=name,
                    incarnation=self.sim.vms[name].incarnation,
                    heard_ms=heard_ms,
                    silence_ms=3 * report_ms,
                    late_ms=int(1.2 * report_ms),
                )
            )
        self.part.tick(contacts, self.sim.now_ms)


class RateFleetSim:
    def __init__(
        self, *, vms, customer, loss=0.0, seed=1, warm_ms=16_000, reports=True
    ):
        self.reports = reports
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.loss = loss
        self.limit_by_customer = {}
        self.set_limit(customer)
        self.cut_sides = None  # names on one side
        self.admitted_ms = []
        self.refusals = []
        self.message_bytes = 0
        self._events = []
        self._order = itertools.count()
        self.vms = {}
        for number in range(vms):
            self.vms[f"vm{number}"] = Vm(self, number, 0)
        for vm in self.vms.values():
            self.start(vm)
        self.run(warm_ms)

    def set_limit(self, customer):
        self.limit_by_customer[CUSTOMER] = RateLimit.of(customer)

    @property
    def granting(self):
        """The granting VM, as most VMs see it."""
        fleets = [vm.part.fleet for vm in self.vms.values() if vm.alive]
        names = [fleet.granting_vm(CUSTOMER) for fleet in fleets]
        return self.vms[max(set(names), key=names.count)]

    def at(self, time_ms, action):
        heapq.heappush(self._events, (time_ms, next(self._order), action))

    def run(self, for_ms):
        end_ms = self.now_ms + for_ms
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        self.now_ms = end_ms

    def start(self, vm):
        for other in self.vms.values():
            if other is not vm:
                vm.heard_ms.setdefault(other.name, self.now_ms)
        self._repeat(vm, lambda: vm.part.tick_ms, vm.tick)
        for is_near in REPORT_MS if self.reports else ():
            report = lambda near=is_near: self._report(vm, near)  # noqa: E731
            self._repeat(vm, lambda n=is_near: REPORT_MS[n], report)

    def restart(self, vm):
        vm.alive = False
        fresh = Vm(self, int(vm.name[2:]), self.now_ms)
        self.vms[vm.name] = fresh
        self.start(fresh)

    def add(self):
        vm = Vm(self, len(self.vms), self.now_ms)
        self.vms[vm.name] = vm
        self.start(vm)

    def _repeat(self, vm, period, action):
        def step():
            if vm.alive:
                self.when_awake(vm, action)
                self.at(max(self.now_ms, vm.frozen_until_ms) + period(), step)

        self.at(self.now_ms + self.rng.randrange(20), step)

    def when_awake(self, vm, action):
        if vm.frozen_until_ms > self.now_ms:
            self.at(vm.frozen_until_ms, lambda: self.when_awake(vm, action))
        elif vm.alive:
            action()

    def _carry(self, vm, other, action):
        """Run an action at another VM if a datagram gets there."""
        if self.rng.random() < self.loss or not other.alive:
            return
        sides = self.cut_sides
        if sides and (vm.name in sides) != (other.name in sides):
            return
        delay_ms = self.rng.choice((1, 1, 2, 3))
        self.at(self.now_ms + delay_ms, lambda: self.when_awake(other, action))

    def _report(self, vm, is_near):
        for other in list(self.vms.values()):
            if other is not vm and (other.zone == vm.zone) == is_near:
                self._carry(vm, other, lambda o=other: self._on_report(o, vm.name))

    def _on_report(self, vm, name):
        vm.heard_ms[name] = self.now_ms

    def transmit(self, vm, name, message):
        self.message_bytes += len(rate_messages.encode(message)) + HEADER_BYTES
        other = self.vms[name]
        action = lambda: other.part.on_message(message, self.now_ms)  # noqa: E731
        self._carry(vm, other, action)

    def request(self, vm, *, is_return=False, on_refusal=None):
        if not vm.alive or vm.frozen_until_ms > self.now_ms:
            return
        limit = self.limit_by_customer[CUSTOMER]
        sent_ms = self.now_ms
        wait = vm.part.request(CUSTOMER, limit, self.now_ms)

        def decided():
            if wait.permit is not None:
                self.admitted_ms.append(self.now_ms)
                return
            refusal = Refusal(self.now_ms, wait.retry_after_ms, is_return)
            self.refusals.append(refusal)
            if on_refusal is not None:
                on_refusal(vm, refusal)

        if wait.outcome is not None:
            decided()
            return
        wait.add_listener(decided)

        def check():
            due_ms = vm.part.due_ms(CUSTOMER)
            if wait.outcome is None and due_ms is not None:
                vm.part.on_time(CUSTOMER, self.now_ms)
                self.at(max(self.now_ms + 1, due_ms), check)
            elif wait.outcome is None:
                assert self.now_ms - sent_ms < 1_000, "a request waits for nothing"
                self.at(self.now_ms + 5, check)

        self.at(self.now_ms + 5, lambda: self.when_awake(vm, check))

    def traffic(self, *, rate_per_s, for_ms, vms, even=False, on_refusal=None):
        """Plan requests at random VMs of a list, at even or at random times."""
        time_ms = float(self.now_ms)
        end_ms = time_ms + for_ms
        gap_ms = 1_000 / rate_per_s
        while time_ms < end_ms:
            name = self.rng.choice(vms)
            self.at(
                int(time_ms),
                lambda n=name: self.request(self.vms[n], on_refusal=on_refusal),
            )
            time_ms += gap_ms if even else self.rng.expovariate(1 / gap_ms)

    @property
    def refused_share(self):
        asked = len(self.admitted_ms) + len(self.refusals)
        return len(self.refusals) / max(1, asked)
