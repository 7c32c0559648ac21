"""Which services this VM has no connection to."""

from foxtailbank.events import Event
from foxtailbank.fleet.worker import Worker
from foxtailbank.fleet.worker_table import WorkerTable
from foxtailbank.logs import LogFields, Logs
from foxtailbank.settings_sections import LogLevel


class WorkerReach:
    """Tracks the workers that did not answer last time, by this VM's own requests.

    A service is lost if that holds for all its workers. Then the fault is likely to be
    on the path of this VM, and other VMs may reach them.

    Parameters
    ----------
    workers : WorkerTable
        Workers that may receive new requests.
    logs : Logs
        Receives a line when a service is lost and when it is reached again.
    """

    def __init__(self, *, workers: WorkerTable, logs: Logs) -> None:
        self._workers = workers
        self._logs = logs
        self._unreachable: set[str] = set()
        self._lost: set[str] = set()

    def on_unreachable(self, worker: Worker) -> None:
        """Record that a worker could not be reached."""
        self._unreachable.add(worker.process_id)
        self._update(worker.service)

    def on_answer(self, worker: Worker) -> None:
        """Record that a worker was reached."""
        if worker.process_id in self._unreachable:
            self._unreachable.discard(worker.process_id)
            self._update(worker.service)

    def is_lost(self, service: str) -> bool:
        """Return whether no worker of a service can be reached."""
        if not self._unreachable:
            return False
        usable = self._workers.usable(service)
        return bool(usable) and all(map(self._is_unreachable, usable))

    def lost_services(self) -> tuple[str, ...]:
        """Return the names of the lost services."""
        if not self._unreachable:
            return ()
        services = self._workers.usable_by_service()
        return tuple(sorted(service for service in services if self.is_lost(service)))

    def unreachable_workers(self, service: str) -> tuple[Worker, ...]:
        """Return the usable workers of a service that could not be reached."""
        return tuple(filter(self._is_unreachable, self._workers.usable(service)))

    def forget_departed(self) -> None:
        """Drop the state of workers that are not listed any more."""
        if self._unreachable:
            listed = {worker.process_id for worker in self._workers.all()}
            self._unreachable &= listed

    def _is_unreachable(self, worker: Worker) -> bool:
        return worker.process_id in self._unreachable

    def _update(self, service: str) -> None:
        is_lost = self.is_lost(service)
        if is_lost == (service in self._lost):
            return
        self._lost ^= {service}
        event = Event.SERVICE_LOST if is_lost else Event.SERVICE_RESTORED
        count = len(self._workers.usable(service))
        fields = LogFields(entry=service, count=count)
        self._logs.write(event, level=LogLevel.WARNING, fields=fields)
