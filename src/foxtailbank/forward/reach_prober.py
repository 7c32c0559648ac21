"""Finds out when a VM that lost a service reaches its workers again."""

import anyio

from foxtailbank.clock import MS_PER_S
from foxtailbank.fleet.worker import Worker
from foxtailbank.forward.fleet_state import FleetState
from foxtailbank.forward.worker_client import WorkerClient
from foxtailbank.http1.failures import ExchangeFailed

PERIOD_MS = 400


class ReachProber:
    """Opens a connection now and then to a worker of each lost service.

    Once one is reached, the others are tried at once, so that requests do not all go
    to the first one. While no service is lost, nothing is sent.

    Parameters
    ----------
    fleet : FleetState
        Workers and which of them are reached.
    client : WorkerClient
        Connections to workers.
    """

    def __init__(self, *, fleet: FleetState, client: WorkerClient) -> None:
        self._fleet = fleet
        self._client = client
        self._round = 0

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await anyio.sleep(PERIOD_MS / MS_PER_S)
            for service in self._fleet.reach.lost_services():
                await self._probe_service(service)

    async def _probe_service(self, service: str) -> None:
        workers = self._fleet.reach.unreachable_workers(service)
        if not workers:
            return
        self._round += 1
        first = workers[self._round % len(workers)]
        await self._probe(first)
        if self._fleet.reach.is_lost(service):
            return
        async with anyio.create_task_group() as group:
            for worker in workers:
                if worker != first:
                    group.start_soon(self._probe, worker)

    async def _probe(self, worker: Worker) -> None:
        try:
            await self._client.probe(worker)
        except ExchangeFailed:
            return  # the line of the lost service stands for it
        self._fleet.on_reached(worker)
