"""Which software versions of a service may have begun the streams of clients."""

import dataclasses

import msgspec

from foxtailbank.fleet.stream_lifetimes import StreamLifetimes
from foxtailbank.fleet.worker import Worker
from foxtailbank.fleet.worker_table import WorkerTable

WALL_CLOCK_MARGIN_MS = 10_000  # clocks of two VMs differ by less
FORGET_MS = 600_000  # no client returns after so long


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceVersion:
    """A software version of a service.

    Attributes
    ----------
    service : str
        The service.
    software_version : str
        Version of its workers' software; empty if unknown.
    """

    service: str
    software_version: str

    @classmethod
    def of(cls, worker: Worker) -> "ServiceVersion":
        """Return the version that a worker runs."""
        return cls(service=worker.service, software_version=worker.software_version)


class VersionRecord(msgspec.Struct, frozen=True, kw_only=True):
    """What the log holds of a version, for VMs that are started later.

    Attributes
    ----------
    service, software_version : str
        The version.
    left_wall_ms : int
        When its last worker had left the list, by the wall clock in milliseconds; 0
        while a worker is listed.
    """

    service: str
    software_version: str
    left_wall_ms: int = 0

    @property
    def version(self) -> ServiceVersion:
        """The version that the record is about."""
        return ServiceVersion(
            service=self.service, software_version=self.software_version
        )


class VersionHistory:
    """Remembers when workers of each software version were last listed.

    If one version alone has been listed for longer than a stream lasts, that version
    began any stream that a client takes up again now. For the time before this VM
    followed the list it relies on the records of all VMs.

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
        self._listed_ms_by_version: dict[ServiceVersion, int] = {}
        self._complete_since_ms: int | None = None
        self._record_by_version: dict[ServiceVersion, VersionRecord] = {}
        self._records_complete = False

    def on_list_restored(self, now_ms: int) -> None:
        """Handle that the list was read anew; what came and went before is unknown."""
        self._complete_since_ms = now_ms

    def on_entry(self, worker: Worker, now_ms: int) -> None:
        """Record the entry of a worker."""
        self._listed_ms_by_version[ServiceVersion.of(worker)] = now_ms

    def on_listed(self, now_ms: int) -> None:
        """Record the workers that were listed until now."""
        for worker in self._workers.all():
            self.on_entry(worker, now_ms)

    def on_records_restored(self) -> None:
        """Forget all records, as they are read anew."""
        self._record_by_version = {}
        self._records_complete = False

    def on_records_complete(self) -> None:
        """Handle that all records in the log have been read."""
        self._records_complete = True

    def put_record(self, record: VersionRecord) -> None:
        """Apply a record of the log."""
        self._record_by_version[record.version] = record

    def drop_record(self, version: ServiceVersion) -> None:
        """Handle that a record was dropped from the log."""
        self._record_by_version.pop(version, None)

    def missing_records(self, wall_ms: int) -> tuple[VersionRecord, ...]:
        """Return the records that the log lacks.

        Parameters
        ----------
        wall_ms : int
            Current time by the wall clock.
        """
        if self._complete_since_ms is None or not self._records_complete:
            return ()
        listed = {ServiceVersion.of(worker) for worker in self._workers.all()}
        recorded = {
            version
            for version, record in self._record_by_version.items()
            if not record.left_wall_ms
        }
        joined = [self._make_record(version) for version in listed - recorded]
        left = [self._make_record(version, wall_ms) for version in recorded - listed]
        return (*joined, *left)

    def expired_records(self, wall_ms: int) -> tuple[ServiceVersion, ...]:
        """Return the versions that left so long ago that their records can go."""
        return tuple(
            version
            for version, record in self._record_by_version.items()
            if record.left_wall_ms and wall_ms - record.left_wall_ms > FORGET_MS
        )

    def relies_on_records(self, service: str, *, now_ms: int) -> bool:
        """Return whether `sole_version` needs what the log holds.

        It does if this VM has not followed the list for as long as a stream lasts.
        """
        oldest_ms = now_ms - self._lifetimes.lifetime_ms(service)
        return self._complete_since_ms is None or self._complete_since_ms > oldest_ms

    def sole_version(self, service: str, *, now_ms: int, wall_ms: int) -> str:
        """Return the only version that can have begun a stream of a service.

        Parameters
        ----------
        service : str
            The service.
        now_ms, wall_ms : int
            Current time by the clock of this VM and by the wall clock.

        Returns
        -------
        str
            Empty if there were several, an unknown one or none, or if neither this VM
            nor the records reach back for long enough.
        """
        self.on_listed(now_ms)
        if self._complete_since_ms is None:
            return ""
        oldest_ms = now_ms - self._lifetimes.lifetime_ms(service)
        versions = {
            version
            for version, listed_ms in self._listed_ms_by_version.items()
            if version.service == service and listed_ms >= oldest_ms
        }
        if self._complete_since_ms > oldest_ms:
            recorded = self._recorded_versions(service, wall_ms)
            if not recorded:
                return ""
            versions |= recorded
        return versions.pop().software_version if len(versions) == 1 else ""

    def _recorded_versions(self, service: str, wall_ms: int) -> set[ServiceVersion]:
        """Return the versions that were listed of late; empty if this is unknown."""
        if not self._records_complete:
            return set()
        lifetime_ms = self._lifetimes.lifetime_ms(service) + WALL_CLOCK_MARGIN_MS
        return {
            version
            for version, record in self._record_by_version.items()
            if version.service == service
            and (
                not record.left_wall_ms or wall_ms - record.left_wall_ms <= lifetime_ms
            )
        }

    @staticmethod
    def _make_record(version: ServiceVersion, left_wall_ms: int = 0) -> VersionRecord:
        return VersionRecord(
            service=version.service,
            software_version=version.software_version,
            left_wall_ms=left_wall_ms,
        )
