"""Requests in flight on each worker, from this VM and the other entry VMs."""

import collections
import dataclasses
import enum
import typing as t


class LoadKind(enum.Enum):
    """Class of requests."""

    ONLINE = "online"
    BATCH = "batch"


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkerLoad:
    """Requests in flight on one worker.

    Attributes
    ----------
    online, batch : int
        Requests of each class.
    """

    online: int = 0
    batch: int = 0

    @property
    def total(self) -> int:
        """Requests of both classes."""
        return self.online + self.batch


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerLoad:
    """Requests that one entry VM has in flight.

    Attributes
    ----------
    vm_id : str
        The VM.
    incarnation : int
        Its process.
    load_by_worker : dict of str to WorkerLoad
        Requests in flight, without idle workers.
    zone : str
        Its availability zone; empty if unknown.
    """

    vm_id: str
    incarnation: int
    load_by_worker: dict[str, WorkerLoad]
    zone: str = ""


NO_LOAD = WorkerLoad()


class LoadTable:
    """Sums the requests in flight, from own counts and reports of peers."""

    def __init__(self) -> None:
        self._own: dict[str, WorkerLoad] = {}
        self._peer_load_by_vm: dict[str, PeerLoad] = {}
        self._received_ms_by_vm: dict[str, int] = {}
        self._received_ms_sum = 0
        self._peer_online: collections.Counter[str] = collections.Counter()
        self._peer_batch: collections.Counter[str] = collections.Counter()
        # By zone of the VM that sent them, and worker.
        self._peer_online_by_origin: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def start(self, worker_id: str, kind: LoadKind) -> None:
        """Count a request of this VM."""
        self._add_own(worker_id, kind, 1)

    def end(self, worker_id: str, kind: LoadKind) -> None:
        """Remove a request of this VM from the count."""
        self._add_own(worker_id, kind, -1)

    def on_report(self, report: PeerLoad, now_ms: int) -> None:
        """Replace the load of another VM by that in its newest report."""
        known = self._peer_load_by_vm.get(report.vm_id)
        self._peer_load_by_vm[report.vm_id] = report
        self._received_ms_sum += now_ms - self._received_ms_by_vm.get(report.vm_id, 0)
        self._received_ms_by_vm[report.vm_id] = now_ms
        before: t.Mapping[str, WorkerLoad] = {}
        if known is not None and known.zone == report.zone:
            before = known.load_by_worker  # most rows of a report are as in the last
        elif known is not None:
            self._remove_peer(known)
        for worker_id, load in report.load_by_worker.items():
            old = before.get(worker_id, NO_LOAD)
            if load != old:
                self._replace_row(report.zone, worker_id, load, old)
        for worker_id, old in before.items():
            if worker_id not in report.load_by_worker:
                self._replace_row(report.zone, worker_id, NO_LOAD, old)

    def expire(self, now_ms: int, timeout_ms: int) -> tuple[str, ...]:
        """Remove peers whose last report is too old and return their ids."""
        silent = tuple(
            vm_id
            for vm_id, received_ms in self._received_ms_by_vm.items()
            if now_ms - received_ms > timeout_ms
        )
        for vm_id in silent:
            self._received_ms_sum -= self._received_ms_by_vm.pop(vm_id)
            self._remove_peer(self._peer_load_by_vm.pop(vm_id))
        return silent

    @property
    def reporting_peer_count(self) -> int:
        """Number of peers whose last report has not expired."""
        return len(self._received_ms_by_vm)

    def mean_report_age_ms(self, now_ms: int) -> float:
        """Return the mean age of the peers' last reports; 0 without peers."""
        peers = len(self._received_ms_by_vm)
        return now_ms - self._received_ms_sum / peers if peers else 0.0

    def own_count(self, worker_id: str) -> int:
        """Return the number of requests of this VM in flight on a worker."""
        return self.own(worker_id).total

    def peer_count(self, worker_id: str) -> int:
        """Return the number of requests of peers in flight on a worker."""
        return self._peer_online[worker_id] + self._peer_batch[worker_id]

    def count(self, worker_id: str) -> int:
        """Return the number of requests of all VMs in flight on a worker."""
        own = self._own.get(worker_id, NO_LOAD)
        peers = self._peer_online[worker_id] + self._peer_batch[worker_id]
        return own.online + own.batch + peers

    def own(self, worker_id: str) -> WorkerLoad:
        """Return the requests of this VM in flight on a worker."""
        return self._own.get(worker_id, NO_LOAD)

    def own_by_worker(self) -> dict[str, WorkerLoad]:
        """Return the requests of this VM in flight, without idle workers."""
        return {key: load for key, load in self._own.items() if load.total}

    def total(self, worker_id: str) -> WorkerLoad:
        """Return the requests of all VMs in flight on a worker."""
        own = self._own.get(worker_id, NO_LOAD)
        return WorkerLoad(
            online=own.online + self._peer_online[worker_id],
            batch=own.batch + self._peer_batch[worker_id],
        )

    def online(self, worker_id: str) -> int:
        """Return the online requests of all VMs in flight on a worker."""
        own = self._own.get(worker_id, NO_LOAD)
        return own.online + self._peer_online[worker_id]

    def online_from_vms(
        self, vm_ids: t.Iterable[str], worker_ids: t.Container[str]
    ) -> int:
        """Return the online requests of this VM and of some others.

        Parameters
        ----------
        vm_ids : iterable of str
            The other VMs; those that don't report, as this one, add nothing.
        worker_ids : container of str
            Workers on which the requests are in flight.
        """
        loads_of_vms = [self._own]
        for vm_id in vm_ids:
            if peer := self._peer_load_by_vm.get(vm_id):
                loads_of_vms.append(peer.load_by_worker)
        return sum(
            load.online
            for load_by_worker in loads_of_vms
            for worker_id, load in load_by_worker.items()
            if worker_id in worker_ids
        )

    def online_from_zone(self, zone: str, worker_ids: t.Iterable[str]) -> int:
        """Return the online requests of this VM and the others of its zone.

        Parameters
        ----------
        zone : str
            Zone of this VM.
        worker_ids : iterable of str
            Workers on which the requests are in flight.
        """
        return sum(
            self.own(worker_id).online + self._peer_online_by_origin[zone, worker_id]
            for worker_id in worker_ids
        )

    def batch_by_peer(self, worker_id: str) -> dict[str, int]:
        """Return the batch requests of each peer on a worker."""
        return {
            vm_id: peer.load_by_worker[worker_id].batch
            for vm_id, peer in self._peer_load_by_vm.items()
            if worker_id in peer.load_by_worker
        }

    def _add_own(self, worker_id: str, kind: LoadKind, delta: int) -> None:
        load = self._own.get(worker_id, NO_LOAD)
        if kind is LoadKind.ONLINE:
            load = dataclasses.replace(load, online=load.online + delta)
        else:
            load = dataclasses.replace(load, batch=load.batch + delta)
        if load.total:
            self._own[worker_id] = load
        else:
            self._own.pop(worker_id, None)

    def _remove_peer(self, peer: PeerLoad) -> None:
        for worker_id, load in peer.load_by_worker.items():
            self._replace_row(peer.zone, worker_id, NO_LOAD, load)

    def _replace_row(
        self, zone: str, worker_id: str, new: WorkerLoad, old: WorkerLoad
    ) -> None:
        """Count what one peer has on a worker in place of what it had."""
        if online := new.online - old.online:
            origin = (zone, worker_id)
            self._peer_online_by_origin[origin] += online
            if not self._peer_online_by_origin[origin]:
                del self._peer_online_by_origin[origin]
        self._peer_online[worker_id] += online
        self._peer_batch[worker_id] += new.batch - old.batch
        if not self._peer_online[worker_id] and not self._peer_batch[worker_id]:
            del self._peer_online[worker_id]
            del self._peer_batch[worker_id]
