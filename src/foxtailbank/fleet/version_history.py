"""Which software versions of a service have been listed of late."""

from foxtailbank.fleet.stream_lifetimes import StreamLifetimes
from foxtailbank.fleet.worker import Worker
from foxtailbank.fleet.worker_table import WorkerTable


class VersionHistory:
    """Remembers when workers of each software version were last listed.

    If one version alone has been listed for longer than a stream lasts, that version
    began any stream that a client takes up again now.

    Parameters
    ----------
    workers : WorkerTable
        The workers that are listed.
    lifetimes : StreamLifetimes
        Greatest age of a stream.
    """

    def __init__(self, *, workers: WorkerTable, lifetimes: StreamLifetimes) -> None:
        self._workers = workers
        self._lifetimes = lifetimes
        self._listed_ms_by_version: dict[tuple[str, str], int] = {}
        self._complete_since_ms: int | None = None

    def on_list_restored(self, now_ms: int) -> None:
        """Handle that the list was read anew; what came and went before is unknown."""
        self._complete_since_ms = now_ms

    def on_entry(self, worker: Worker, now_ms: int) -> None:
        """Record the entry of a worker."""
        version = (worker.service, worker.software_version)
        self._listed_ms_by_version[version] = now_ms

    def on_listed(self, now_ms: int) -> None:
        """Record the workers that were listed until now."""
        for worker in self._workers.all():
            self.on_entry(worker, now_ms)

    def sole_version(self, service: str, now_ms: int) -> str:
        """Return the only version that can have begun a stream of a service.

        Parameters
        ----------
        service : str
            The service.
        now_ms : int
            Current time.

        Returns
        -------
        str
            Empty if there were several, an unknown one or none, or if this VM has not
            followed the list for long enough.
        """
        self.on_listed(now_ms)
        if self._complete_since_ms is None:
            return ""
        oldest_ms = now_ms - self._lifetimes.lifetime_ms(service)
        if self._complete_since_ms > oldest_ms:
            return ""
        versions = [
            version
            for (name, version), listed_ms in self._listed_ms_by_version.items()
            if name == service and listed_ms >= oldest_ms
        ]
        return versions[0] if len(versions) == 1 else ""
