"""What this VM believes of the workers, in one place for all decisions."""

import random
import typing as t

from foxtailbank.clock import Clock
from foxtailbank.events import Event
from foxtailbank.fleet.crash_marks import CrashMark, CrashMarks
from foxtailbank.fleet.load_table import LoadKind, LoadTable, PeerLoad
from foxtailbank.fleet.neighbourhood import Neighbourhood
from foxtailbank.fleet.placement import Choice, Placement, Refusal, RefusalReason
from foxtailbank.fleet.service_time import ServiceTimes
from foxtailbank.fleet.worker import Worker
from foxtailbank.fleet.worker_health import ERROR_PAUSE_MS, WorkerHealth
from foxtailbank.fleet.worker_table import WorkerTable
from foxtailbank.fleet.worker_view import WorkerView
from foxtailbank.fleet.zone_reach import ZoneReach
from foxtailbank.forward.route_table import RouteTable
from foxtailbank.forward.worker_client import WorkerAnswer
from foxtailbank.http1.failures import (
    ConnectionBroken,
    ExchangeFailed,
    NotConnected,
    ServerSilent,
)
from foxtailbank.logs import LogFields, Logs
from foxtailbank.settings_sections import LogLevel


class FleetState:
    """Workers, their load and health, and requests that crash them.

    Parameters
    ----------
    vm_id : str
        This VM.
    zone : str
        Its availability zone.
    routes : RouteTable
        Routes in force.
    logs : Logs
        Takes a line for each change of belief.
    clock : Clock
        Source of time.
    rng : random.Random
        Draws among workers whose loads are known late.

    Attributes
    ----------
    workers, loads, health, times, marks, reach, neighbourhood, view
        The parts.
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
        self.health = WorkerHealth()
        self.times = ServiceTimes()
        self.marks = CrashMarks()
        self._routes = routes
        self._logs = logs
        self._clock = clock
        self.reach = ZoneReach(own_zone=zone)
        self.neighbourhood = Neighbourhood(vm_id=vm_id, zone=zone, rng=rng)
        self.view = WorkerView(
            zone=zone,
            neighbourhood=self.neighbourhood,
            loads=self.loads,
            health=self.health,
            reach=self.reach,
        )
        self._placement = Placement(view=self.view)
        self._load_listeners: list[t.Callable[[], None]] = []
        self._peer_listeners: list[t.Callable[[], None]] = []
        self._mark_listeners: list[t.Callable[[CrashMark], None]] = []

    def routes_version(self) -> int:
        """Return the version of the configuration in force."""
        return self._routes.version

    def reservation_ms(self, service: str) -> int:
        """Return how long a service's workers reserve a place at most; 0 for never."""
        return self._routes.reservation_ms(service)

    def on_load_change(self, listener: t.Callable[[], None]) -> None:
        """Call a function whenever the requests in flight have changed."""
        self._load_listeners.append(listener)

    def on_new_mark(self, listener: t.Callable[[CrashMark], None]) -> None:
        """Call a function with each mark that this VM found."""
        self._mark_listeners.append(listener)

    def start(self, worker_id: str, kind: LoadKind) -> None:
        """Count a request that is about to be sent."""
        self.loads.start(worker_id, kind)
        self.notify_load()

    def end(self, worker_id: str, kind: LoadKind) -> None:
        """Take a finished request out of the count."""
        self.loads.end(worker_id, kind)
        self.notify_load()

    def notify_load(self) -> None:
        """Tell the listeners that the requests in flight have changed."""
        for listener in self._load_listeners:
            listener()

    def take_peer_load(self, load: PeerLoad, now_ms: int) -> None:
        """Take what another VM has in flight."""
        self.loads.on_report(load, now_ms)
        for listener in self._peer_listeners:
            listener()

    def on_peer_load(self, listener: t.Callable[[], None]) -> None:
        """Call a function whenever another VM's requests in flight have changed."""
        self._peer_listeners.append(listener)

    def choose(
        self,
        *,
        service: str,
        tried: t.Container[str],
        affinity: str,
        patience_ms: float,
        now_ms: int,
    ) -> Choice | Refusal:
        """Choose a worker for an online request; see `Placement.choose`."""
        return self._placement.choose(
            workers=self.workers.usable(service),
            tried=tried,
            affinity=affinity,
            mean_ms=self.times.mean_ms(service),
            patience_ms=patience_ms,
            now_ms=now_ms,
        )

    def no_attempts_left(self, service: str) -> Refusal:
        """Return the refusal of a request that may go to no further worker."""
        return Refusal(
            reason=RefusalReason.OVERLOADED, wait_ms=self.times.mean_ms(service)
        )

    def on_misdirected(self, worker: Worker) -> None:
        """Drop a worker whose address belongs to another one now."""
        self.workers.remove(worker.worker_id, self._clock.now_ms())
        self.health.on_failure(worker.worker_id, self._clock.now_ms())
        fields = LogFields(endpoint=worker.worker_id, reason="address reused")
        self._logs.write(Event.ENDPOINT_LOST, fields=fields)

    def on_worker_failure(
        self, worker: Worker, failure: ExchangeFailed, now_ms: int
    ) -> None:
        """Avoid a worker that could not be reached or fell silent."""
        if self.health.avoided(worker.worker_id, now_ms):
            return
        pause_ms = self.health.on_failure(worker.worker_id, now_ms)
        fields = LogFields(
            endpoint=worker.worker_id, reason=failure.code, wait_ms=pause_ms
        )
        self._logs.write(Event.ENDPOINT_AVOIDED, level=LogLevel.WARNING, fields=fields)

    def on_worker_error(self, worker: Worker, reason: str) -> None:
        """Note an online request that a worker failed, though it is up."""
        if self.health.on_error(worker.worker_id, self._clock.now_ms()):
            fields = LogFields(
                endpoint=worker.worker_id,
                reason=f"fails requests: {reason}",
                wait_ms=ERROR_PAUSE_MS,
            )
            self._logs.write(
                Event.ENDPOINT_AVOIDED, level=LogLevel.WARNING, fields=fields
            )

    def on_exchange_failure(
        self, worker: Worker, fingerprint: int, failure: ExchangeFailed
    ) -> None:
        """Draw the conclusions from a send that failed."""
        now_ms = self._clock.now_ms()
        if isinstance(failure, (NotConnected, ServerSilent)):
            self.on_worker_failure(worker, failure, now_ms)
        if isinstance(failure, ConnectionBroken):
            mark = CrashMark(fingerprint=fingerprint, worker_id=worker.worker_id)
            self.on_crash(mark, now_ms)
            self.on_worker_error(worker, failure.code)

    def on_not_run(self, worker: Worker, answer: WorkerAnswer) -> None:
        """Draw the conclusions from a worker that did not run a request."""
        if answer.misdirected:
            self.on_misdirected(worker)
        else:
            self.health.on_full(worker.worker_id, self._clock.now_ms())

    def on_crash(self, mark: CrashMark, now_ms: int) -> None:
        """Remember that a connection broke while a request ran."""
        if not self.marks.add(mark, now_ms):
            return
        for listener in self._mark_listeners:
            listener(mark)
