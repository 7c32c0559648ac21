"""What this VM knows of the workers, shared by all placement decisions."""

import random
import typing as t

from foxtailbank.clock import Clock
from foxtailbank.customers.share_counts import CustomerLoads
from foxtailbank.customers.share_gate import ShareExcess, ShareGate
from foxtailbank.events import Event
from foxtailbank.fleet.configuration_reading import ConfigurationReading
from foxtailbank.fleet.distance_tiers import DistanceTiers
from foxtailbank.fleet.draining_workers import DrainingWorkers
from foxtailbank.fleet.load_table import LoadKind, LoadTable, PeerLoad
from foxtailbank.fleet.placement import Choice, Placement, Refusal, RefusalReason
from foxtailbank.fleet.service_time import ServiceTimes
from foxtailbank.fleet.stream_origin import StreamOrigin
from foxtailbank.fleet.version_history import VersionHistory
from foxtailbank.fleet.worker import Worker
from foxtailbank.fleet.worker_health import ERROR_PAUSE_MS, WorkerHealth
from foxtailbank.fleet.worker_limits import WorkerLimits
from foxtailbank.fleet.worker_reach import WorkerReach
from foxtailbank.fleet.worker_speed import WorkerSpeeds
from foxtailbank.fleet.worker_table import WorkerTable
from foxtailbank.fleet.worker_view import WorkerView
from foxtailbank.fleet.zone_reachability import ZoneReachability
from foxtailbank.forward.attempt_progress import AttemptProgress
from foxtailbank.forward.call import Call
from foxtailbank.forward.crash_tracker import CrashTracker
from foxtailbank.forward.route_table import RouteTable
from foxtailbank.forward.stream_origins import StreamOrigins
from foxtailbank.forward.worker_client import WorkerResponse
from foxtailbank.http1.failures import (
    SERVER_ERRORS,
    ConnectionBroken,
    ExchangeFailed,
    NotConnected,
    ResponseTimeout,
)
from foxtailbank.logs import LogFields, Logs
from foxtailbank.settings_sections import LogLevel
from foxtailbank.skipped_records import SkippedRecords

PEER_LOADS_PAUSE_MS = 50  # of listeners; some search all workers
BREAK_KEPT_MS = 10_000  # a worker that crashed is back, and listed, within this time


class FleetState:
    """Workers, their load and health, and the requests that crashed them.

    Parameters
    ----------
    vm_id : str
        This VM.
    zone : str
        Its availability zone.
    routes : RouteTable
        Routes in force.
    logs : Logs
        Receives a line for each change in a worker's state.
    clock : Clock
        Source of time.
    rng : random.Random
        Draws among workers whose known loads may be out of date.

    Attributes
    ----------
    workers, loads, health, limits, service_times, speeds, crashes, reachability, tiers,
    view, lifetimes, versions, origins, reach, draining, customer_loads, shares,
    placement
        The components of the state.
    """

    def __init__(
        self,
        *,
        vm_id: str,
        zone: str,
        routes: RouteTable,
        logs: Logs,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.workers = WorkerTable()
        self.loads = LoadTable()
        self.draining = DrainingWorkers(workers=self.workers, logs=logs, clock=clock)
        self._invalid_process_ids: set[str] = set()
        self._broke_ms_by_worker: dict[str, int] = {}
        self.health = WorkerHealth()
        self.limits = WorkerLimits(logs=logs)
        self.reach = WorkerReach(workers=self.workers, logs=logs)
        self.service_times = ServiceTimes()
        self.speeds = WorkerSpeeds()
        self.crashes = CrashTracker(logs=logs, clock=clock)
        self.lifetimes = routes.stream_lifetimes
        self.versions = VersionHistory(workers=self.workers, lifetimes=self.lifetimes)
        self.origins = StreamOrigins(versions=self.versions, clock=clock)
        self._routes = routes
        self._logs = logs
        self._clock = clock
        self.reachability = ZoneReachability(own_zone=zone)
        self.tiers = DistanceTiers(vm_id=vm_id, zone=zone, rng=rng)
        self.view = WorkerView(
            zone=zone,
            tiers=self.tiers,
            loads=self.loads,
            health=self.health,
            reachability=self.reachability,
            limits=self.limits,
        )
        self.customer_loads = CustomerLoads()
        self.shares = ShareGate(
            loads=self.customer_loads,
            view=self.view,
            customers=lambda: routes.customers,
        )
        self._excess_lines = SkippedRecords(
            event=Event.SHARE_EXCEEDED, logs=logs, clock=clock
        )
        self.placement = Placement(view=self.view, speeds=self.speeds, rng=rng)
        self._load_listeners: list[t.Callable[[], None]] = []
        self._peer_load_listeners: list[t.Callable[[], None]] = []
        self._peer_loads_told_ms = -PEER_LOADS_PAUSE_MS

    def routes_version(self) -> int:
        """Return the version of the configuration in force."""
        return self._routes.version

    @property
    def configuration_reading(self) -> ConfigurationReading | None:
        """What this VM has read of the configuration; None if that is not known."""
        return self._routes.reading

    def reservation_ms(self, service: str) -> int:
        """Return the maximum lifetime of a slot reservation; 0 if not supported."""
        return self._routes.reservation_ms(service)

    def add_load_listener(self, listener: t.Callable[[], None]) -> None:
        """Add a function to call when the number of requests in flight changes."""
        self._load_listeners.append(listener)

    def add_in_flight(
        self, worker_id: str, kind: LoadKind, customer_key: int | None = None
    ) -> None:
        """Count a request that is about to be sent as in flight."""
        self.loads.start(worker_id, kind)
        if customer_key is not None:
            self.customer_loads.start(customer_key, kind)
        self.limits.on_sent(worker_id, self._clock.now_ms())
        self.notify_load()

    def start_item(self, worker_id: str, customer_key: int | None = None) -> None:
        """Count a batch item that is about to be sent, without notifying listeners."""
        self.loads.start(worker_id, LoadKind.BATCH)
        if customer_key is not None:
            self.customer_loads.start(customer_key, LoadKind.BATCH)
        self.limits.on_sent(worker_id, self._clock.now_ms())

    def remove_in_flight(
        self, worker_id: str, kind: LoadKind, customer_key: int | None = None
    ) -> None:
        """Remove a finished request from those in flight."""
        self.loads.end(worker_id, kind)
        if customer_key is not None:
            self.customer_loads.end(customer_key, kind)
        self.notify_load()

    def notify_load(self) -> None:
        """Notify listeners that the number of requests in flight changed."""
        for listener in self._load_listeners:
            listener()

    def apply_peer_load(self, load: PeerLoad, now_ms: int) -> None:
        """Apply another VM's report of its requests in flight."""
        self.loads.on_report(load, now_ms)
        # In a large fleet the next report comes within some milliseconds.
        paused_ms = now_ms - self._peer_loads_told_ms
        if self.tiers.is_large_fleet and paused_ms < PEER_LOADS_PAUSE_MS:
            return
        self._peer_loads_told_ms = now_ms
        for listener in self._peer_load_listeners:
            listener()

    def expire_peer_loads(self, now_ms: int, timeout_ms: int) -> None:
        """Drop what VMs reported that have been silent for so long."""
        for vm_id in self.loads.expire(now_ms, timeout_ms):
            self.customer_loads.forget_vm(vm_id)

    def find_excess(
        self, service: str, customer: str, now_ms: int, *, is_silent: bool = False
    ) -> ShareExcess | None:
        """Return and log the excess that a request would add to, if there is any."""
        workers = self.workers.usable(service)
        excess = self.shares.find_excess(customer, workers, now_ms)
        if excess is not None and not is_silent:
            fields = LogFields(
                owner=customer,
                reason=f"{excess.in_flight} in flight, share {excess.share:.1f}",
                age_ms=excess.age_ms,
            )
            self._excess_lines.add(customer, fields)
        return excess

    def apply_peer_speeds(self, speed_code_by_worker: t.Mapping[str, int]) -> None:
        """Apply another VM's report of how fast workers are."""
        for worker_id, code in speed_code_by_worker.items():
            if self.workers.get(worker_id) is not None:
                self.speeds.on_report(worker_id, code)

    def add_peer_load_listener(self, listener: t.Callable[[], None]) -> None:
        """Add a function to call after load reports of other VMs.

        In a small fleet it is called after each, in a large one every 50 ms at most.
        """
        self._peer_load_listeners.append(listener)

    def choose(
        self,
        *,
        service: str,
        tried: t.Container[str],
        affinity: str,
        max_wait_ms: float,
        now_ms: int,
        origin: StreamOrigin | None = None,
    ) -> Choice | Refusal:
        """Choose a worker for an online request; see `Placement.choose`."""
        return self.placement.choose(
            workers=self.workers.usable(service),
            tried=tried,
            affinity=affinity,
            mean_ms=self.service_times.mean_ms(service),
            max_wait_ms=max_wait_ms,
            now_ms=now_ms,
            origin=origin,
        )

    def no_attempts_left(self, service: str) -> Refusal:
        """Return the refusal of a request that has used all its attempts."""
        return Refusal(
            reason=RefusalReason.OVERLOADED, wait_ms=self.service_times.mean_ms(service)
        )

    def on_completed(self, worker: Worker, *, tokens: int, duration_ms: float) -> None:
        """Record how long a worker took for a whole answer of a size in tokens."""
        self.service_times.record(worker.service, duration_ms)
        if self.workers.get(worker.worker_id) is not None:
            self.speeds.record(
                worker,
                tokens=tokens,
                duration_ms=duration_ms,
                now_ms=self._clock.now_ms(),
            )

    def on_misdirected(self, worker: Worker) -> None:
        """Remove a worker whose address now belongs to another one."""
        self.workers.remove(worker.worker_id, self._clock.now_ms())
        self.health.on_failure(worker.worker_id, self._clock.now_ms())
        fields = LogFields(endpoint=worker.worker_id, reason="address reused")
        self._logs.write(Event.ENDPOINT_LOST, fields=fields)

    def on_worker_failure(
        self, worker: Worker, failure: ExchangeFailed, now_ms: int
    ) -> None:
        """Avoid a worker that was unreachable or stopped responding."""
        if self.health.is_avoided(worker.worker_id, now_ms):
            return
        pause_ms = self.health.on_failure(worker.worker_id, now_ms)
        fields = LogFields(
            endpoint=worker.worker_id, reason=failure.code, wait_ms=pause_ms
        )
        self._logs.write(Event.ENDPOINT_AVOIDED, level=LogLevel.WARNING, fields=fields)

    def on_worker_error(self, worker: Worker, reason: str) -> None:
        """Record that a reachable worker failed an online request."""
        if self.health.on_error(worker.worker_id, self._clock.now_ms()):
            fields = LogFields(
                endpoint=worker.worker_id,
                reason=f"fails requests: {reason}",
                wait_ms=ERROR_PAUSE_MS,
            )
            self._logs.write(
                Event.ENDPOINT_AVOIDED, level=LogLevel.WARNING, fields=fields
            )

    def on_listed(self, worker: Worker) -> bool:
        """Apply an entry of the list of workers; return whether it changed."""
        known = self.workers.get(worker.worker_id)
        if known is not None and known.process_id != worker.process_id:
            self.origins.on_process_replaced(
                known.process_id, worker, wall_ms=self._clock.wall_ms()
            )
        return self.workers.put(worker)

    async def is_current(self, worker: Worker) -> bool:
        """Return whether the process that was chosen is the one that has answered.

        A worker may start again under its id and address with another software
        version, and this VM's list may be late. Without the list, a worker whose
        connections broke of late may be another process by now.
        """
        is_synced = await self.origins.sync_list()
        listed = self.workers.get(worker.worker_id)
        if listed is not None and listed.process_id != worker.process_id:
            return False
        return is_synced or not self._broke_of_late(worker)

    async def new_origin(self, worker: Worker) -> StreamOrigin:
        """Return the software that writes a stream which begins at a worker."""
        if not self._broke_of_late(worker) or await self.is_current(worker):
            return StreamOrigin.of(worker)
        listed = self.workers.get(worker.worker_id)
        if listed is not None and listed.process_id != worker.process_id:
            return StreamOrigin.of(listed)
        return StreamOrigin.unknown(worker.service)

    def _broke_of_late(self, worker: Worker) -> bool:
        broke_ms = self._broke_ms_by_worker.get(worker.worker_id)
        if broke_ms is None:
            return False
        return self._clock.now_ms() - broke_ms < BREAK_KEPT_MS

    def on_exchange_failure(self, worker: Worker, failure: ExchangeFailed) -> None:
        """Update worker health after a failed exchange."""
        if isinstance(failure, (NotConnected, ConnectionBroken)):
            self._broke_ms_by_worker[worker.worker_id] = self._clock.now_ms()
        if isinstance(failure, NotConnected):
            self.reach.on_unreachable(worker)
        if isinstance(failure, (NotConnected, ResponseTimeout)):
            self.on_worker_failure(worker, failure, self._clock.now_ms())
        if isinstance(failure, SERVER_ERRORS):
            self.on_worker_error(worker, failure.code)

    def on_request_failure(
        self,
        worker: Worker,
        call: Call,
        failure: ExchangeFailed,
        *,
        progress: AttemptProgress,
    ) -> None:
        """Update worker health and crash reports after a failed online request.

        Batch items are not reported. A crash during an item is never caused by the
        item, which stays owed however many workers crash, and its reports would
        refuse online requests with the same content.

        Parameters
        ----------
        worker : Worker
            Where it ran.
        call : Call
            The request.
        failure : ExchangeFailed
            How it failed.
        progress : AttemptProgress
            How far it had come.
        """
        if isinstance(failure, ConnectionBroken):
            self.crashes.on_connection_broken(worker, call, progress)
            if not progress.answered:
                self.reach.on_unreachable(worker)
        self.on_exchange_failure(worker, failure)

    def forget_worker(self, worker_id: str) -> None:
        """Drop the state of a removed worker."""
        self.reach.forget_departed()
        self.health.forget(worker_id)
        self.limits.forget(worker_id)
        self.speeds.forget(worker_id)
        self._broke_ms_by_worker.pop(worker_id, None)

    def on_answer(self, worker: Worker, response: WorkerResponse) -> None:
        """Apply what the head of any answer says of its worker."""
        self.reach.on_answer(worker)
        if response.misdirected:
            return  # another worker answered
        self.limits.on_answer(
            worker.worker_id, response.rate_limit_per_s, self._clock.now_ms()
        )
        if response.draining:
            self.on_draining(worker)
        elif response.draining is None:
            self._on_invalid_draining(worker)

    def on_draining(self, worker: Worker) -> None:
        """Send nothing more to a worker that says that it is shutting down."""
        self.draining.on_own_report(worker.process_id)

    def _on_invalid_draining(self, worker: Worker) -> None:
        if worker.process_id in self._invalid_process_ids:
            return
        self._invalid_process_ids.add(worker.process_id)
        fields = LogFields(endpoint=worker.worker_id, reason="invalid draining header")
        self._logs.write(Event.ENTRY_SKIPPED, level=LogLevel.WARNING, fields=fields)

    def on_reached(self, worker: Worker) -> None:
        """Use a worker again that was unreachable and accepts connections now."""
        self.reach.on_answer(worker)
        self.health.on_success(worker.worker_id)

    def on_not_run(self, worker: Worker, response: WorkerResponse) -> None:
        """Update the state of a worker that refused to run a request."""
        if response.misdirected:
            self.on_misdirected(worker)
        else:
            self.health.on_full(worker.worker_id, self._clock.now_ms())
