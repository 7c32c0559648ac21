"""One entry VM: its state, its periodic work and its HTTP application."""

import functools
import random
import secrets
import typing as t

import anyio
import anyio.abc

from foxtailbank.admin_api import AdminApi
from foxtailbank.admission import Admission
from foxtailbank.app import App
from foxtailbank.backend import Backend
from foxtailbank.catalogue import Catalogue
from foxtailbank.catalogue_events import CatalogueEvent, EntryChanged
from foxtailbank.catalogue_records import STREAM as CATALOGUE_STREAM
from foxtailbank.catalogue_records import decode_envelope
from foxtailbank.catalogue_writer import CatalogueWriter
from foxtailbank.clock import Clock
from foxtailbank.directory import Directory
from foxtailbank.dispatcher import Dispatcher, DispatchObserver
from foxtailbank.endpoint import Endpoint, PlainService
from foxtailbank.events import Event
from foxtailbank.exceptions import EndpointFailed, EndpointRefused
from foxtailbank.health_api import HealthApi
from foxtailbank.http_endpoint import HttpEndpoint
from foxtailbank.http_log import HttpLogService
from foxtailbank.http_service import HttpPlainService
from foxtailbank.http_vm_list import HttpVmList
from foxtailbank.limit_shares import share_of
from foxtailbank.log_service import LogRecord
from foxtailbank.log_tailer import LogTailer, ResyncFailed
from foxtailbank.logs import LogFields, Logs
from foxtailbank.models_api import ModelsApi
from foxtailbank.online import OnlineHandler
from foxtailbank.quarantine import Quarantine
from foxtailbank.retry_budget import RetryBudget
from foxtailbank.routing import LeastLoadedRouter, PrefixAffinityRouter
from foxtailbank.secret_file import read_secret
from foxtailbank.settings import Settings
from foxtailbank.tasks import every
from foxtailbank.vm_list import Vm, VmRole

INCARNATION_BYTES = 6


class EntryVm:
    """Wires the decisions of one entry VM to its sockets.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    clock : Clock
        Source of time.
    logs : Logs
        The VM's log lines.
    rng : random.Random
        Source of all random choices.
    """

    def __init__(
        self, *, settings: Settings, clock: Clock, logs: Logs, rng: random.Random
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._logs = logs
        self._rng = rng
        vm = settings.vm
        self.incarnation = f"{vm.id}-{secrets.token_hex(INCARNATION_BYTES)}"
        self._log = HttpLogService(
            address=settings.platform.log_address,
            timeout_ms=settings.timing.log_append_timeout_ms,
        )
        self._vm_list = HttpVmList(address=settings.platform.vm_list_address)
        self.directory = Directory(factory=self._connect)
        self.catalogue = Catalogue()
        self._catalogue_writer = CatalogueWriter(
            log=self._log, incarnation=self.incarnation
        )
        self._catalogue_tailer = LogTailer(
            log=self._log,
            stream=CATALOGUE_STREAM,
            apply=self._apply_catalogue,
            resync=_no_snapshot,
            clock=clock,
            rng=rng,
            wait_ms=settings.timing.log_wait_ms,
        )
        self._admission = Admission()
        self._quarantine = Quarantine(quarantine_ttl_ms=settings.timing.quarantine_ms)
        self._dispatcher = self._make_dispatcher()
        self.online = OnlineHandler(
            clock=clock,
            settings=settings,
            catalogue=self.catalogue,
            admission=self._admission,
            dispatcher=self._dispatcher,
            logs=logs,
        )
        self.health = HealthApi(is_ready=self.is_ready)
        self.app = self._make_app()

    def _make_dispatcher(self) -> Dispatcher:
        least_loaded = LeastLoadedRouter(rng=self._rng)
        return Dispatcher(
            clock=self._clock,
            zone=self._settings.vm.zone,
            directory=self.directory,
            router=PrefixAffinityRouter(fallback=least_loaded),
            quarantine=self._quarantine,
            retry_budget=RetryBudget(),
            observer=DispatchObserver(),
        )

    def _make_app(self) -> App:
        admin = AdminApi(
            clock=self._clock,
            key=read_secret(self._settings.admin.key_file).decode(),
            catalogue=self.catalogue,
            writer=self._catalogue_writer,
            directory=self.directory,
        )
        models = ModelsApi(catalogue=self.catalogue)
        routes = [*self.health.routes(), *models.routes(), *admin.routes()]
        return App(online=self.online, routes=routes)

    def is_ready(self) -> bool:
        """Return whether this VM has what it needs to serve."""
        has_catalogue = self._catalogue_tailer.fresh_at_ms is not None
        return has_catalogue and bool(self.directory.backends_by_id)

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the periodic work.

        Parameters
        ----------
        tasks : TaskGroup
            Runs the work until it is cancelled.
        """
        timing = self._settings.timing
        tasks.start_soon(self._catalogue_tailer.run)
        self._start_every(tasks, timing.vm_list_period_ms, self._read_vms, "vm_list")
        self._start_every(tasks, timing.load_period_ms, self._read_loads, "load")

    def _start_every(
        self,
        tasks: anyio.abc.TaskGroup,
        period_ms: int,
        work: t.Callable[[], t.Awaitable[None]],
        name: str,
    ) -> None:
        run = functools.partial(every, period_ms=period_ms, work=work, name=name)
        tasks.start_soon(run)

    async def _read_vms(self) -> None:
        gone = self.directory.apply(await self._vm_list.read())
        for backend in gone:
            fields = LogFields(endpoint=backend.endpoint_id, reason="not_listed")
            self._logs.write(Event.ENDPOINT_LOST, fields=fields)

    async def _read_loads(self) -> None:
        async with anyio.create_task_group() as tasks:
            for backend in self.directory.backends_by_id.values():
                if isinstance(backend.service, Endpoint):
                    tasks.start_soon(self._read_load, backend, backend.service)

    async def _read_load(self, backend: Backend, endpoint: Endpoint) -> None:
        try:
            report = await endpoint.load()
        except EndpointRefused:
            backend.breaker.on_death(self._clock.now_ms())
            return
        except EndpointFailed:
            backend.breaker.on_failure(self._clock.now_ms())
            return
        backend.breaker.on_success()
        backend.take_report(report, self._clock.now_ms())

    def _connect(self, vm: Vm) -> PlainService:
        self._logs.write(Event.ENDPOINT_JOINED, fields=LogFields(endpoint=vm.vm_id))
        timing = self._settings.timing
        bounds: dict[str, t.Any] = {
            "address": vm.address,
            "connect_ms": timing.connect_timeout_ms,
            "head_ms": timing.first_chunk_timeout_ms,
            "first_chunk_ms": timing.first_chunk_timeout_ms,
            "stall_ms": timing.chunk_timeout_ms,
        }
        if vm.role is VmRole.ENGINE:
            return HttpEndpoint(**bounds)
        return HttpPlainService(**bounds)

    def _apply_catalogue(self, record: LogRecord) -> None:
        events = self.catalogue.apply(record.offset, decode_envelope(record.data))
        self._catalogue_writer.applied(events)
        for event in events:
            self._note_catalogue(event)

    def _note_catalogue(self, event: CatalogueEvent) -> None:
        if not isinstance(event, EntryChanged):
            return
        key = f"entry:{event.name}"
        if event.entry is None:
            self._admission.remove(key)
        else:
            share = share_of(event.entry.limits)
            self._admission.set_share(key, share, self._clock.now_ms())
        self._logs.write(
            Event.CATALOGUE_CHANGED,
            fields=LogFields(entry=event.name, version=event.version),
        )


async def _no_snapshot(next_offset: int) -> int:
    raise ResyncFailed(detail=f"no snapshot beyond offset {next_offset}")
