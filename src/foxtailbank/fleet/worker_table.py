"""Workers that may receive new requests."""

import collections
import typing as t

from foxtailbank.fleet.worker import Worker

RECOVERY_GRACE_MS = 2_000  # live workers write their lapsed entries again within it
MAX_DRAINING = 1_000  # more processes than leave within the life of a stale entry


class WorkerTable:
    """Mirrors the platform's list of workers.

    An entry that disappears is normally dropped immediately. After an outage of the
    store it is kept until `RECOVERY_GRACE_MS` after the recovery, since live workers
    whose entries lapsed during the outage write them again within that time.

    A process that said itself that it is shutting down stays so, whatever its entry
    says.
    """

    def __init__(self) -> None:
        self._by_id: dict[str, Worker] = {}
        self._usable_by_service: dict[str, tuple[Worker, ...]] = {}
        self._drop_at_ms_by_id: dict[str, int] = {}
        self._grace_until_ms = 0
        self._draining_process_ids: dict[str, None] = {}  # oldest first

    def __len__(self) -> int:
        return len(self._by_id)

    def put(self, worker: Worker) -> bool:
        """Add or update an entry; return whether it changed."""
        self._drop_at_ms_by_id.pop(worker.worker_id, None)
        if self._by_id.get(worker.worker_id) == worker:
            return False
        self._by_id[worker.worker_id] = worker
        self._rebuild_index()
        return True

    def set_draining(self, process_id: str) -> bool:
        """Handle that a process shuts down; return whether this was not known."""
        if process_id in self._draining_process_ids:
            return False
        self._draining_process_ids[process_id] = None
        if len(self._draining_process_ids) > MAX_DRAINING:
            del self._draining_process_ids[next(iter(self._draining_process_ids))]
        self._rebuild_index()
        return True

    def remove(self, worker_id: str, now_ms: int) -> bool:
        """Handle the disappearance of an entry; return whether it was dropped."""
        if worker_id not in self._by_id:
            return False
        if now_ms < self._grace_until_ms:
            self._drop_at_ms_by_id.setdefault(worker_id, self._grace_until_ms)
            return False
        self._drop(worker_id)
        return True

    def replace(self, workers: tuple[Worker, ...], now_ms: int) -> None:
        """Apply a complete list; entries missing from it have disappeared."""
        listed = {worker.worker_id for worker in workers}
        for worker_id in tuple(self._by_id):
            if worker_id not in listed:
                self.remove(worker_id, now_ms)
        for worker in workers:
            self.put(worker)

    def on_store_recovered(self, now_ms: int) -> None:
        """Start the grace period after an outage of the store."""
        self._grace_until_ms = now_ms + RECOVERY_GRACE_MS

    def expire(self, now_ms: int) -> tuple[str, ...]:
        """Drop the entries whose grace period has ended and return their ids."""
        due = tuple(
            worker_id
            for worker_id, at_ms in self._drop_at_ms_by_id.items()
            if at_ms <= now_ms
        )
        for worker_id in due:
            self._drop(worker_id)
        return due

    def usable(self, service: str) -> tuple[Worker, ...]:
        """Return the workers of a service that accept new requests."""
        return self._usable_by_service.get(service, ())

    def all(self) -> tuple[Worker, ...]:
        """Return all workers, also those that are draining."""
        return tuple(self._by_id.values())

    def usable_by_service(self) -> t.Mapping[str, tuple[Worker, ...]]:
        """Return the workers of each service that accept new requests."""
        return self._usable_by_service

    def get(self, worker_id: str) -> Worker | None:
        """Return the worker with an id, also if it is draining."""
        return self._by_id.get(worker_id)

    def _drop(self, worker_id: str) -> None:
        self._drop_at_ms_by_id.pop(worker_id, None)
        if self._by_id.pop(worker_id, None) is not None:
            self._rebuild_index()

    def _rebuild_index(self) -> None:
        grouped: dict[str, list[Worker]] = collections.defaultdict(list)
        for worker in self._by_id.values():
            if worker.draining or worker.process_id in self._draining_process_ids:
                continue
            grouped[worker.service].append(worker)
        self._usable_by_service = {
            service: tuple(sorted(workers, key=lambda worker: worker.worker_id))
            for service, workers in grouped.items()
        }
