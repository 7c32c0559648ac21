"""Composition of an entry VM: its services, periodic tasks and HTTP application."""

import functools
import random

import anyio
import anyio.abc

from foxtailbank import peer_messages as pm
from foxtailbank.admin_api import AdminApi
from foxtailbank.admin_guard import AdminGuard
from foxtailbank.admission import Admission
from foxtailbank.app import App
from foxtailbank.batch_admission import BatchAdmission
from foxtailbank.batch_api import BatchApi
from foxtailbank.batch_runner import BatchRunner
from foxtailbank.burn_recorder import BurnRecorder
from foxtailbank.catalogue_service import CatalogueService
from foxtailbank.clock import Clock
from foxtailbank.connector import Connector
from foxtailbank.dispatcher import Dispatcher
from foxtailbank.duty_ownership import DutyOwnership
from foxtailbank.endpoint_directory import EndpointDirectory
from foxtailbank.endpoint_watcher import EndpointWatcher
from foxtailbank.entry_tasks import entry_tasks
from foxtailbank.events import Event
from foxtailbank.fleet_api import FleetApi
from foxtailbank.fleet_observer import FleetObserver
from foxtailbank.fleet_placement import FleetPlacement
from foxtailbank.fleet_refresher import FleetRefresher
from foxtailbank.health_api import HealthApi
from foxtailbank.http_log import HttpLogService
from foxtailbank.http_vm_list import HttpVmList
from foxtailbank.keyed_calls import KeyedCalls
from foxtailbank.ledger_service import LedgerService
from foxtailbank.limit_shares import LimitShares
from foxtailbank.log_service import LogService
from foxtailbank.logs import LogFields, Logs
from foxtailbank.lost_claimants import LostClaimants
from foxtailbank.membership_actions import MemberDead, MemberJoined, MembershipAction
from foxtailbank.metrics import Metrics
from foxtailbank.models_api import ModelsApi
from foxtailbank.online import OnlineHandler
from foxtailbank.outcome_recorder import OutcomeRecorder
from foxtailbank.overload_guard import OverloadGuard
from foxtailbank.peer_notice_handlers import PeerNoticeHandlers
from foxtailbank.peer_report_handler import PeerReportHandler
from foxtailbank.peer_sync import PeerSync
from foxtailbank.peer_vm_list import PeerVmList
from foxtailbank.peering import Peering
from foxtailbank.policies import make_batch_limit, make_router
from foxtailbank.quarantine import Quarantine
from foxtailbank.quarantine_exchange import QuarantineExchange
from foxtailbank.replicated_stream import CatalogueStream, LedgerStream
from foxtailbank.retention_task import RetentionTask
from foxtailbank.retry_budget import RetryBudget
from foxtailbank.secret_file import read_secret
from foxtailbank.settings import Settings
from foxtailbank.state_change_logger import StateChangeLogger
from foxtailbank.suspect_gate import SuspectGate
from foxtailbank.tasks import run_periodically
from foxtailbank.vm_readiness import VmReadiness
from foxtailbank.vm_states import vm_states


class EntryVm:
    """Builds and connects the parts of one entry VM.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    clock : Clock
        Source of time.
    logs : Logs
        Log of the VM.
    rng : random.Random
        Random source for all parts.
    """

    def __init__(
        self, *, settings: Settings, clock: Clock, logs: Logs, rng: random.Random
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._logs = logs
        self._rng = rng
        started_ms = clock.wall_ms()
        self.incarnation = f"{settings.vm.id}@{started_ms}"
        log = HttpLogService(
            address=settings.platform.log_address,
            timeout_ms=settings.timing.log_append_timeout_ms,
        )
        self.directory = EndpointDirectory(
            factory=Connector(timing=settings.timing, logs=logs).connect
        )
        self._placement = FleetPlacement(directory=self.directory, vm_id=settings.vm.id)
        self._admission = Admission()
        self._quarantine = Quarantine(quarantine_ttl_ms=settings.timing.quarantine_ms)
        self._catalogue = CatalogueService(
            log=log,
            clock=clock,
            rng=rng,
            incarnation=self.incarnation,
            timing=settings.timing,
            admission=self._admission,
            shares=LimitShares(vm_id=settings.vm.id, zone=settings.vm.zone),
            logs=logs,
        )
        self._ledger = LedgerService(
            log=log,
            clock=clock,
            rng=rng,
            incarnation=self.incarnation,
            timing=settings.timing,
        )
        self._peering = Peering(
            settings=settings,
            clock=clock,
            rng=rng,
            secret=read_secret(settings.peers.secret_file),
            started_ms=started_ms,
            on_change=self._on_membership_change,
        )
        self._vm_list = PeerVmList(
            platform=HttpVmList(address=settings.platform.vm_list_address),
            peering=self._peering,
        )
        self._metrics = Metrics()
        self._burn = BurnRecorder(vm=settings.vm.id, zone=settings.vm.zone)
        self._quarantine_exchange = QuarantineExchange(
            clock=clock, quarantine=self._quarantine, peering=self._peering, logs=logs
        )
        self._peer_sync = PeerSync(
            clock=clock,
            rng=rng,
            peering=self._peering,
            streams=(
                CatalogueStream(service=self._catalogue),
                LedgerStream(service=self._ledger),
            ),
        )
        self._readiness = VmReadiness(
            catalogue=self._catalogue,
            ledger=self._ledger,
            peer_sync=self._peer_sync,
            peering=self._peering,
            directory=self.directory,
            max_view_age_ms=settings.timing.batch_view_ms,
        )
        self._observer = self._make_observer()
        self._retention = self._make_retention(log)
        self._router = make_router(settings.policy, rng=rng)
        self._suspect_gate = SuspectGate(
            clock=clock,
            vm_id=settings.vm.id,
            zone=settings.vm.zone,
            directory=self.directory,
            router=self._router,
            quarantine=self._quarantine,
            peering=self._peering,
        )
        self._dispatcher = self._make_dispatcher()
        self._batch_runner = self._make_batch_runner()
        self._observer.runner = self._batch_runner
        self._refresher = FleetRefresher(
            clock=clock,
            directory=self.directory,
            placement=self._placement,
            peering=self._peering,
            catalogue=self._catalogue,
            ledger=self._ledger,
            runner=self._batch_runner,
        )
        self._endpoint_watcher = EndpointWatcher(
            clock=clock,
            directory=self.directory,
            vm_list=self._vm_list,
            peering=self._peering,
            runner=self._batch_runner,
            placement=self._placement,
            logs=logs,
        )
        self._guard = AdminGuard(key=read_secret(settings.admin.key_file).decode())
        self._fleet_api = self._make_fleet_api()
        self._register_peer_handlers()
        self.health = HealthApi(
            is_ready=self._readiness.is_ready, metrics=self._metrics
        )
        self.app = self._make_app()

    def _make_retention(self, log: LogService) -> RetentionTask:
        duties = DutyOwnership(vm_id=self._settings.vm.id, peering=self._peering)
        lost = LostClaimants(
            clock=self._clock, incarnation_of=self._peering.incarnation_of
        )
        return RetentionTask(
            clock=self._clock,
            retention_ms=self._settings.timing.log_retention_ms,
            log=log,
            service=self._ledger,
            catalogue=self._catalogue,
            logs=self._logs,
            owns=duties.is_owner,
            is_lost=lost.is_lost,
        )

    def _make_observer(self) -> FleetObserver:
        return FleetObserver(
            clock=self._clock,
            vm_id=self._settings.vm.id,
            placement=self._placement,
            peering=self._peering,
            quarantine=self._quarantine,
            exchange=self._quarantine_exchange,
            logs=self._logs,
            yield_notice=self._settings.policy.yield_notice,
        )

    def _make_dispatcher(self) -> Dispatcher:
        return Dispatcher(
            clock=self._clock,
            zone=self._settings.vm.zone,
            directory=self.directory,
            router=self._router,
            quarantine=self._quarantine,
            retry_budget=RetryBudget(),
            gate=self._suspect_gate,
            observer=self._observer,
        )

    def _make_batch_runner(self) -> BatchRunner:
        limits = self._settings.limits
        return BatchRunner(
            clock=self._clock,
            vm_id=self._settings.vm.id,
            catalogue=self._catalogue.catalogue,
            directory=self.directory,
            dispatcher=self._dispatcher,
            service=self._ledger,
            logs=self._logs,
            admission=BatchAdmission(clock=self._clock, admission=self._admission),
            burn=self._burn,
            may_start=self._readiness.may_start_batch,
            make_limit=functools.partial(make_batch_limit, self._settings.policy),
            max_buffer_bytes=limits.result_buffer_bytes,
            max_in_flight=limits.batch_in_flight,
        )

    def _make_online(self) -> OnlineHandler:
        keyed_calls = KeyedCalls(
            clock=self._clock, service=self._ledger, dispatch=self._dispatcher.run
        )
        return OnlineHandler(
            clock=self._clock,
            settings=self._settings,
            catalogue=self._catalogue.catalogue,
            admission=self._admission,
            dispatcher=self._dispatcher,
            keyed_calls=keyed_calls,
            overload=OverloadGuard(
                clock=self._clock,
                directory=self.directory,
                online_elsewhere=self._peering.peer_online_in_flight,
            ),
            outcomes=OutcomeRecorder(
                clock=self._clock,
                logs=self._logs,
                metrics=self._metrics,
                burn=self._burn,
            ),
        )

    def _make_fleet_api(self) -> FleetApi:
        return FleetApi(
            clock=self._clock,
            guard=self._guard,
            catalogue=self._catalogue.catalogue,
            directory=self.directory,
            service=self._ledger,
            quarantine=self._quarantine,
            exchange=self._quarantine_exchange,
            peering=self._peering,
            burn=self._burn,
        )

    def _make_app(self) -> App:
        catalogue = self._catalogue.catalogue
        batches = BatchApi(
            clock=self._clock,
            catalogue=catalogue,
            service=self._ledger,
            logs=self._logs,
            on_cancelled=self._notify_cancelled,
        )
        admin = AdminApi(
            clock=self._clock,
            guard=self._guard,
            catalogue=catalogue,
            writer=self._catalogue.writer,
        )
        models = ModelsApi(catalogue=catalogue)
        apis = (self.health, models, batches, admin, self._fleet_api)
        routes = [route for api in apis for route in api.routes()]
        return App(online=self._make_online(), routes=routes)

    def _register_peer_handlers(self) -> None:
        handlers = self._peering.handlers
        reports = PeerReportHandler(vm_list=self._vm_list, fleet=self._fleet_api)
        reports.register(handlers)
        notices = PeerNoticeHandlers(
            runner=self._batch_runner,
            exchange=self._quarantine_exchange,
            gate=self._suspect_gate,
        )
        notices.register(handlers)

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the background tasks.

        Parameters
        ----------
        tasks : TaskGroup
            Group that runs the tasks until it is cancelled.
        """
        self._catalogue.start(tasks)
        self._ledger.start(tasks)
        tasks.start_soon(self._peering.run)
        tasks.start_soon(self._batch_runner.run)
        tasks.start_soon(self._peer_sync.run)
        periodic_tasks = entry_tasks(
            timing=self._settings.timing,
            endpoint_watcher=self._endpoint_watcher,
            refresher=self._refresher,
            state_logger=self._make_state_logger(),
            suspect_gate=self._suspect_gate,
            retention=self._retention,
            quarantine_exchange=self._quarantine_exchange,
        )
        for task in periodic_tasks:
            tasks.start_soon(run_periodically, task, self._logs)

    def _make_state_logger(self) -> StateChangeLogger:
        states = vm_states(
            is_ready=self._readiness.is_ready,
            may_start_batch=self._readiness.may_start_batch,
            tailers=self._readiness.tailers,
        )
        return StateChangeLogger(logs=self._logs, states=states)

    async def hand_over(self) -> None:
        """Leave the fleet and record finished batch work, before the VM stops."""
        await self._peering.leave()
        await self._batch_runner.stop()

    def _notify_cancelled(self, job_id: str) -> None:
        self._peering.notify_all(pm.CancelNotice(job_id=job_id))

    def _on_membership_change(self, action: MembershipAction) -> None:
        if isinstance(action, MemberJoined | MemberDead):
            joined = isinstance(action, MemberJoined)
            event = Event.PEER_JOINED if joined else Event.PEER_LOST
            self._logs.write(event, fields=LogFields(peer=action.record.vm_id))
