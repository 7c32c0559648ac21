"""An entry VM that keeps its configuration, workers and state in a platform's store."""

import random

import anyio

from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.crash_report_log import KEY_PREFIX as CRASH_KEY_PREFIX
from foxtailbank.crash_report_log import CrashReportLog
from foxtailbank.customers.customer_gate import CustomerGate
from foxtailbank.customers.key_lease import KeyLease
from foxtailbank.customers.rate_limiter import RateLimiter
from foxtailbank.events import Event
from foxtailbank.fleet.peer_table import PeerTable
from foxtailbank.forward.configuration_age import ConfigurationAge
from foxtailbank.forward.fleet_state import FleetState
from foxtailbank.forward.forward_context import ForwardContext
from foxtailbank.forward.forwarder import Forwarder
from foxtailbank.forward.peer_relay import PeerRelay
from foxtailbank.forward.reach_prober import ReachProber
from foxtailbank.forward.route_table import RouteTable
from foxtailbank.forward.stop_gate import StopGate
from foxtailbank.forward.worker_client import WorkerClient
from foxtailbank.key_router import KeyRouter
from foxtailbank.keyed_log import KeyedLog, RandomAccessLog
from foxtailbank.lease_table import LeaseTable
from foxtailbank.load_exchange import LoadExchange
from foxtailbank.log_follower import LogFollower
from foxtailbank.logs import LogFields, Logs
from foxtailbank.memory_limits import MemoryLimits
from foxtailbank.metrics import Gauge, Metrics
from foxtailbank.read_share import ReadShare
from foxtailbank.relay.relay_client import RelayClient
from foxtailbank.software_version_log import KEY_PREFIX as VERSION_KEY_PREFIX
from foxtailbank.software_version_log import SoftwareVersionLog
from foxtailbank.submissions.append_queue import AppendQueue
from foxtailbank.submissions.batch_capacity import BatchCapacity
from foxtailbank.submissions.progress_budget import ProgressBudget
from foxtailbank.submissions.result_texts import ResultTexts
from foxtailbank.submissions.retirement import Retirement
from foxtailbank.submissions.runner import Runner
from foxtailbank.submissions.service import SubmissionService
from foxtailbank.submissions.submission_table import SubmissionTable
from foxtailbank.submissions.takeover import Takeover
from foxtailbank.tasks import describe_error, run_supervised
from foxtailbank.vm_identity import StoreLimits, VmIdentity

SUBMISSIONS_READ_PAUSE_MS = 500  # results are visible at each VM within a second
EXPIRY_PERIOD_MS = 250  # short against the grace time of lapsed worker entries
FLUSH_POLL_MS = 100


class ServingVm:
    """Creates, connects and runs the components of an entry VM.

    Parameters
    ----------
    identity : VmIdentity
        Identity of this process.
    client : WorkerClient
        Connections to workers.
    submissions : KeyedLog
        Log of batch submissions, which also carries the crash reports
        and software versions.
    texts : RandomAccessLog
        Outputs of items that are kept apart from that log.
    addresses : KeyedLog
        Addresses of the entry VMs.
    leases : LeaseTable
        Leases of the entry VMs' processes.
    store_limits : StoreLimits
        Size limits of the store.
    read_share : ReadShare
        Rate of the store and number of VMs.
    memory : MemoryLimits
        Memory for submissions.
    clock : Clock
        Source of time.
    logs : Logs
        Log lines.
    metrics : Metrics
        Counters and latencies.
    rng : random.Random
        Source of random numbers.
    pass_ms : int
        Longest time until an event of a stream is forwarded, in milliseconds.
    key_max_age_ms : int
        Greatest age of the configuration at which keys count, in milliseconds; 0 for
        any age.

    Attributes
    ----------
    gate : StopGate
        Whether new requests are passed on.
    routes : RouteTable
        Current routes, which the platform's adapter supplies.
    customers : CustomerGate
        Whose a request is, and whether it may be passed on.
    key_lease : KeyLease
        Whether what is known of keys is recent enough.
    rates : RateLimiter
        Keeps customers to their limits.
    fleet : FleetState
        Known workers, which the platform's adapter supplies.
    forwarder : Forwarder
        Serves online requests.
    batch : SubmissionService
        Serves batch submissions.
    runner : Runner
        Runs batch items.
    peers : PeerTable
        The other VMs.
    relay : PeerRelay
        Carries requests to other VMs, and bounds what it carries out for them.
    """

    def __init__(
        self,
        *,
        identity: VmIdentity,
        client: WorkerClient,
        submissions: KeyedLog,
        texts: RandomAccessLog,
        addresses: KeyedLog,
        leases: LeaseTable,
        store_limits: StoreLimits,
        read_share: ReadShare,
        memory: MemoryLimits,
        clock: Clock,
        logs: Logs,
        metrics: Metrics,
        rng: random.Random,
        pass_ms: int,
        key_max_age_ms: int = 0,
    ) -> None:
        process_name = identity.process_name
        self._clock = clock
        self._logs = logs
        self.gate = StopGate(rng=rng)
        self.routes = RouteTable()
        self.key_lease = KeyLease(
            max_age_ms=key_max_age_ms, routes=self.routes, logs=logs, rng=rng
        )
        self.customers = CustomerGate(routes=self.routes, lease=self.key_lease)
        self.fleet = FleetState(
            vm_id=identity.vm_id,
            zone=identity.zone,
            routes=self.routes,
            logs=logs,
            clock=clock,
            rng=rng,
        )
        peers = PeerTable(vm_id=identity.vm_id, zone=identity.zone)
        self.peers = peers
        self.rates = RateLimiter(
            vm_id=identity.vm_id,
            incarnation=identity.incarnation,
            peer_address=identity.peer_address,
            routes=self.routes,
            peers=peers,
            clock=clock,
            logs=logs,
            metrics=metrics,
        )
        self.relay = PeerRelay(
            vm_id=identity.vm_id,
            reach=self.fleet.reach,
            peers=peers,
            client=RelayClient(clock=clock),
            clock=clock,
            rng=rng,
        )
        self._reach_prober = ReachProber(fleet=self.fleet, client=client)
        self.forwarder = Forwarder(
            context=ForwardContext(
                gate=self.gate,
                client=client,
                fleet=self.fleet,
                clock=clock,
                logs=logs,
                metrics=metrics,
                rng=rng,
                pass_ms=pass_ms,
                relay=self.relay,
                customers=self.customers,
                answer_memory=memory.make_answer_memory(),
            )
        )
        budget = ProgressBudget(share=read_share, clock=clock)
        submission_table = SubmissionTable(logs=logs, on_read=budget.on_read)
        self._appends = AppendQueue(
            log=submissions,
            max_waiting_bytes=memory.waiting_bytes,
            producer=process_name,
            record_bytes=store_limits.max_record_bytes,
            call_bytes=store_limits.max_append_bytes,
            logs=logs,
            clock=clock,
        )
        self._texts = ResultTexts(
            log=texts,
            appends=self._appends,
            producer=process_name,
            store_limits=store_limits,
            memory=memory,
            share=read_share,
            peers=peers,
            logs=logs,
            clock=clock,
            metrics=metrics,
        )
        self._address_appends = AppendQueue(
            log=addresses,
            producer=process_name,
            record_bytes=store_limits.max_record_bytes,
            call_bytes=store_limits.max_append_bytes,
            logs=logs,
            clock=clock,
        )
        self._crash_report_log = CrashReportLog(
            owner_id=process_name,
            crashes=self.fleet.crashes,
            appends=self._appends,
            logs=logs,
            clock=clock,
        )
        self._version_log = SoftwareVersionLog(
            vm_id=identity.vm_id,
            history=self.fleet.versions,
            peers=peers,
            appends=self._appends,
            logs=logs,
            clock=clock,
        )
        self._follower = LogFollower(
            name="submissions",
            log=submissions,
            state=KeyRouter(
                default=submission_table,
                by_prefix={
                    CRASH_KEY_PREFIX: self._crash_report_log,
                    VERSION_KEY_PREFIX: self._version_log,
                },
            ),
            pause_ms=SUBMISSIONS_READ_PAUSE_MS,
            logs=logs,
            clock=clock,
        )
        self._follower.add_catch_up_listener(self.fleet.versions.on_records_complete)
        self.fleet.origins.set_records_sync(self._follower.sync)
        self._exchange = LoadExchange(
            vm_id=identity.vm_id,
            zone=identity.zone,
            incarnation=identity.incarnation,
            address=identity.peer_address,
            addresses=addresses,
            appends=self._address_appends,
            peers=peers,
            fleet=self.fleet,
            follower=self._follower,
            logs=logs,
            clock=clock,
        )
        self.batch = SubmissionService(
            owner_id=process_name,
            table=submission_table,
            follower=self._follower,
            appends=self._appends,
            part_bytes=store_limits.max_content_bytes,
            texts=self._texts,
            max_stored_bytes=memory.stored_bytes,
            max_text_bytes=store_limits.max_text_bytes,
            logs=logs,
            clock=clock,
        )
        self.runner = Runner(
            owner_id=process_name,
            table=submission_table,
            follower=self._follower,
            appends=self._appends,
            texts=self._texts,
            budget=budget,
            client=client,
            fleet=self.fleet,
            capacity=BatchCapacity(vm_id=identity.vm_id, view=self.fleet.view),
            own_slots=self.forwarder.context.own_slots,
            routes=self.routes,
            configuration_age=ConfigurationAge(
                routes=self.routes, peers=peers, clock=clock
            ),
            max_output_bytes=store_limits.max_content_bytes,
            clock=clock,
            logs=logs,
            metrics=metrics,
            rng=rng,
        )
        self._takeover = Takeover(
            vm_id=identity.vm_id,
            owner_id=process_name,
            table=submission_table,
            follower=self._follower,
            appends=self._appends,
            peers=peers,
            leases=leases,
            logs=logs,
            clock=clock,
        )
        self._retirement = Retirement(
            owner_id=process_name,
            table=submission_table,
            appends=self._appends,
            texts=self._texts,
            logs=logs,
            clock=clock,
        )
        self._register_gauges(metrics, peers)

    @property
    def is_ready(self) -> bool:
        """Whether requests can be served."""
        return self.routes.is_loaded and len(self.fleet.workers) > 0

    async def run(self) -> None:
        """Run all tasks except the network interfaces until cancelled."""
        async with anyio.create_task_group() as group:
            for name, work in (
                ("submissions", self._follower.run),
                ("append", self._appends.run),
                ("texts", self._texts.run),
                ("append addresses", self._address_appends.run),
                ("load reports", self._exchange.run),
                ("rate limits", self.rates.run),
                ("items", self.runner.run),
                ("takeover", self._takeover.run),
                ("retirement", self._retirement.run),
                ("crash reports", self._crash_report_log.run),
                ("software versions", self._version_log.run),
                ("expire workers", self._expire_workers),
                ("probe workers", self._reach_prober.run),
                ("key lease", self.key_lease.run),
            ):
                group.start_soon(run_supervised, name, work, self._logs)

    async def hand_over(self, timeout_ms: int) -> None:
        """Stop batch items so that other VMs continue them.

        Parameters
        ----------
        timeout_ms : int
            Longest time to save their partial output, in milliseconds.
        """
        self.runner.stop_items()
        await self.flush(timeout_ms)
        self._exchange.stopping = True
        self.rates.stop()
        self._exchange.report_soon()
        try:
            await self._takeover.stop()
        except Exception as error:  # the requests that run must still be ended
            fields = LogFields(task="lease", reason=describe_error(error))
            self._logs.write(Event.TASK_FAILED, fields=fields)

    async def flush(self, timeout_ms: int) -> None:
        """Wait until results of ended items are in the log, up to the timeout."""
        deadline_ms = self._clock.now_ms() + timeout_ms
        while self._clock.now_ms() < deadline_ms:
            if self._texts.is_empty and self._appends.is_empty:
                return
            await anyio.sleep(FLUSH_POLL_MS / MS_PER_S)

    async def _expire_workers(self) -> None:
        while True:
            await anyio.sleep(EXPIRY_PERIOD_MS / MS_PER_S)
            for worker_id in self.fleet.workers.expire(self._clock.now_ms()):
                self.fleet.forget_worker(worker_id)
                fields = LogFields(endpoint=worker_id, reason="entry lapsed")
                self._logs.write(Event.ENDPOINT_LOST, fields=fields)

    def _register_gauges(self, metrics: Metrics, peers: PeerTable) -> None:
        metrics.register_gauge(
            Gauge.PEERS, lambda: len(peers.alive(self._clock.now_ms()))
        )
        metrics.register_gauge(Gauge.ENDPOINTS, lambda: len(self.fleet.workers))
        metrics.register_gauge(Gauge.CATALOGUE_OFFSET, lambda: self.routes.version)
        metrics.register_gauge(Gauge.LEDGER_OFFSET, lambda: self._follower.next_offset)
        metrics.register_gauge(Gauge.LOG_AGE_MS, lambda: self._follower.age_ms)
        metrics.register_gauge(Gauge.BATCH_IN_FLIGHT, lambda: self.runner.running_count)
        metrics.register_gauge(Gauge.READY, lambda: float(self.is_ready))
