"""A VM without a network, and questions about requests that it is not sent."""

import collections
import io
import random

from customer_samples import make_customer
from fake_leases import FakeLeases
from fake_texts import FakeTextLog
from foxtailbank.address import parse_address
from foxtailbank.clock import ManualClock
from foxtailbank.customers.share_counts import customer_key
from foxtailbank.explain.deciders import Deciders
from foxtailbank.explain.explainer import Explainer
from foxtailbank.explain.question import Question
from foxtailbank.fleet.crash_report import CrashReport
from foxtailbank.fleet.load_table import LoadKind, PeerLoad, WorkerLoad
from foxtailbank.fleet.report_intervals import SMALL_GROUP, PeerGroup
from foxtailbank.forward.route import Backend, RouteKind
from foxtailbank.memory_limits import MemoryLimits
from foxtailbank.metrics import Metrics
from foxtailbank.read_share import ReadShare
from foxtailbank.serving_vm import ServingVm
from foxtailbank.submissions.records import Item, Submitted
from foxtailbank.vm_identity import StoreLimits, VmIdentity
from serving_fakes import (
    PASS_MS,
    FakeKeyedLog,
    FakeWorkerClient,
    make_logs,
    make_report,
    make_route,
    make_routes,
    make_worker,
)

SLOTS = 7
WORKER_IDS = tuple(f"w{number}" for number in range(6))
ACME = make_customer(rate_per_s=1, burst=2)
BEE = make_customer("bee", ("k2",))
KEYLESS = make_customer("keyless", ())
ROUTES = (
    make_route(),
    make_route(name="open", path_prefix="/open/", is_public=True),
    make_route(
        name="lost", path_prefix="/lost/", backends=(Backend(service="s2", weight=1),)
    ),
    make_route(
        name="b",
        path_prefix="/b/",
        kind=RouteKind.BATCH,
        waiting_tokens=100,
        run_deadline_ms=18_000,
    ),
)


STORE_LIMITS = StoreLimits(
    max_record_bytes=10_000, max_append_bytes=10_000, max_text_bytes=10_000
)


class World:
    """A VM with six workers, and what may happen to it."""

    def __init__(self, *answers, key_max_age_ms=0):
        self.clock = ManualClock(start_ms=1_000_000)
        self.client = FakeWorkerClient(*answers)
        self.vm = ServingVm(
            identity=VmIdentity(
                vm_id="vm1", zone="z1", incarnation=1, peer_address="127.0.0.1:9"
            ),
            client=self.client,
            submissions=FakeKeyedLog(),
            texts=FakeTextLog(),
            addresses=FakeKeyedLog(),
            leases=FakeLeases(),
            memory=MemoryLimits(memory_mb=330),
            store_limits=STORE_LIMITS,
            read_share=ReadShare(),
            clock=self.clock,
            logs=make_logs(),
            metrics=Metrics(),
            rng=random.Random(1),
            pass_ms=PASS_MS,
            key_max_age_ms=key_max_age_ms,
        )
        self.fleet = self.vm.fleet
        routes = make_routes(
            *ROUTES,
            customers=(ACME, BEE, KEYLESS),
            reservation_ms_by_service={"s": 2_000},
        )
        self.vm.routes.apply(routes)
        for worker_id in WORKER_IDS:
            self.fleet.workers.put(make_worker(worker_id, slots=SLOTS))
        self.vm._follower.next_offset = 0
        self.vm._follower._on_complete(self.clock.now_ms())
        self.vm.rates._participant.fleet.update((), self.clock.now_ms())
        self.explainer = Explainer(deciders=Deciders.of(self.vm), vm_id="vm1")

    def ask(self, target="/p/x", **changes):
        fields = {"method": "POST", "host": "h", "customer": "bee", **changes}
        return self.explainer.explain(Question(target=target, **fields))

    def load(self, count, kind="online"):
        loads = {worker_id: WorkerLoad(**{kind: count}) for worker_id in WORKER_IDS}
        report = PeerLoad(vm_id="vm2", incarnation=1, load_by_worker=loads)
        self.fleet.loads.on_report(report, self.clock.now_ms())

    def drain(self, *worker_ids):
        for worker_id in worker_ids or WORKER_IDS:
            process_id = self.fleet.workers.get(worker_id).process_id
            self.fleet.workers.set_draining(process_id)

    def crash(self, *worker_ids):
        for worker_id in worker_ids:
            self.fleet.health.on_failure(worker_id, self.clock.now_ms())

    def spread_crashes(self):
        """Let a part of a prompt crash three workers."""
        for worker_id in WORKER_IDS[:3]:
            report = CrashReport(
                fingerprint=1,
                worker_id=worker_id,
                crashed_wall_ms=self.clock.wall_ms(),
                answered=True,
                prompt_parts=(5,),
            )
            self.fleet.crashes.on_peer_report(report, vm_id="vm2")

    def limit_workers(self):
        for worker_id in WORKER_IDS:
            self.fleet.limits.on_answer(worker_id, 0.5, self.clock.now_ms())

    def use_share(self):
        """Fill the service, with many requests of one customer among those of two."""
        self.load(SLOTS)
        for name, count in (("bee", 34), ("acme", 8)):
            for _ in range(count):
                key = customer_key(service="s", name=name)
                self.fleet.customer_loads.start(key, LoadKind.ONLINE)

    def use_limit(self):
        participant = self.vm.rates._participant
        limit = self.vm.rates._limit_by_customer["acme"]
        while participant.request("acme", limit, self.clock.now_ms()).permit:
            pass

    def become_large(self):
        self.fleet.tiers.set_peer_count(PeerGroup.FAR, SMALL_GROUP + 1)

    def queue_item(self):
        """Let an item wait that found no slot, until there is room again."""
        item = Item(item_id="i", target="/b/x", headers=(), body=b"", tokens=1)
        record = Submitted(
            submission_id="s1",
            attempt="1",
            route="b",
            host="h",
            target="/b/x",
            arrived_wall_ms=self.clock.wall_ms(),
            waiting_limit=0,
            owner="vm1/1",
            items=(item,),
            customer="bee",
        )
        self.vm.batch._table.ledger.apply(record)
        self.vm.runner.runs.sync()
        self.load(SLOTS)
        self.vm.runner._start_waiting()
        self.clock.advance(10)
        self.load(0)

    def lose_workers(self):
        """Cut the VM off from its workers, which another VM reaches."""
        for worker in self.fleet.workers.all():
            self.fleet.reach.on_unreachable(worker)
        address = parse_address("127.0.0.2:9")
        peers = self.vm.relay._peers
        peers.on_report(make_report("vm2"), address, self.clock.now_ms())

    def stop(self):
        self.vm.gate.close()


def snapshot(value, seen=()):
    """Return all state that is reached from a value, as something to compare."""
    if isinstance(value, random.Random):
        return value.getstate()
    if isinstance(value, io.StringIO):
        return value.getvalue()
    if isinstance(value, dict):
        return [(repr(key), snapshot(one, seen)) for key, one in value.items()]
    if isinstance(value, list | tuple | collections.deque):
        return [snapshot(one, seen) for one in value]
    if id(value) in seen:
        return "again"
    if type(value).__module__.startswith("foxtailbank") and hasattr(value, "__dict__"):
        return (type(value).__name__, snapshot(vars(value), (*seen, id(value))))
    return repr(value)
