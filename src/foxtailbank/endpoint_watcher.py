"""Polls the VM list and the load and health of endpoints."""

import anyio

from foxtailbank.backend import Backend
from foxtailbank.batch_runner import BatchRunner
from foxtailbank.clock import Clock
from foxtailbank.drain import DrainSource
from foxtailbank.endpoint import Endpoint
from foxtailbank.endpoint_directory import EndpointDirectory
from foxtailbank.events import Event
from foxtailbank.exceptions import EndpointFailed, EndpointRefused
from foxtailbank.fleet_placement import FleetPlacement
from foxtailbank.logs import LogFields, Logs
from foxtailbank.peering import Peering
from foxtailbank.poll_schedule import PollSchedule
from foxtailbank.vm_list import VmList

POLLS_PER_TURN = 5


class EndpointWatcher:
    """Keeps the directory and its backends up to date.

    Parameters
    ----------
    clock : Clock
        Source of time.
    directory : EndpointDirectory
        Known endpoints.
    vm_list : VmList
        List of VMs, from the platform.
    peering : Peering
        Receives the listed VMs.
    runner : BatchRunner
        Receives load reports.
    placement : FleetPlacement
        Names the endpoints on which this VM runs batch work.
    logs : Logs
        Receives a line for each endpoint that is no longer listed.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        directory: EndpointDirectory,
        vm_list: VmList,
        peering: Peering,
        runner: BatchRunner,
        placement: FleetPlacement,
        logs: Logs,
    ) -> None:
        self._placement = placement
        self._turns = PollSchedule(polls_per_round=POLLS_PER_TURN)
        self._clock = clock
        self._directory = directory
        self._vm_list = vm_list
        self._peering = peering
        self._runner = runner
        self._logs = logs

    async def refresh_vms(self) -> None:
        """Read the VM list and apply it to the directory and peers.

        Raises
        ------
        PlatformUnavailable
            The platform did not answer; the previous list stays in use.
        """
        vms = await self._vm_list.read()
        for backend in self._directory.apply(vms, self._clock.now_ms()):
            fields = LogFields(endpoint=backend.endpoint_id, reason="not_listed")
            self._logs.write(Event.ENDPOINT_LOST, fields=fields)
        self._turns.set_endpoints(
            self._directory.backends_by_id, owned=self._placement.owned_ids
        )
        self._peering.update_vm_list(vms)

    async def poll_endpoints(self) -> None:
        """Poll the load or health of the endpoints whose turn it is."""
        async with anyio.create_task_group() as tasks:
            for endpoint_id in self._turns.next_round():
                backend = self._directory.backends_by_id.get(endpoint_id)
                if backend is None:
                    continue
                if isinstance(backend.service, Endpoint):
                    tasks.start_soon(self._read_load, backend, backend.service)
                else:
                    tasks.start_soon(self._read_health, backend)

    async def _read_load(self, backend: Backend, endpoint: Endpoint) -> None:
        try:
            report = await endpoint.load()
        except (EndpointRefused, EndpointFailed) as failure:
            self._on_failed_poll(backend, failure)
            return
        backend.breaker.on_success()
        backend.on_load_report(report, self._clock.now_ms())
        self._runner.on_load_report(backend)

    async def _read_health(self, backend: Backend) -> None:
        try:
            leaving = await backend.service.is_leaving()
        except (EndpointRefused, EndpointFailed) as failure:
            self._on_failed_poll(backend, failure)
            return
        backend.breaker.on_success()
        backend.update_drain_state(DrainSource.ENDPOINT, leaving, self._clock.now_ms())

    def _on_failed_poll(
        self, backend: Backend, failure: EndpointRefused | EndpointFailed
    ) -> None:
        now_ms = self._clock.now_ms()
        if isinstance(failure, EndpointRefused):
            backend.breaker.on_death(now_ms)
        else:
            backend.breaker.on_failure(now_ms)
