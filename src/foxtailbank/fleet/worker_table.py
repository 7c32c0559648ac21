"""Workers that may get new requests."""

import collections

from foxtailbank.fleet.worker import Worker

RETURN_GRACE_MS = 2_000  # within it lapsed entries come back after a store outage


class WorkerTable:
    """Follows the platform's list of workers.

    An entry that disappears is dropped at once while the store has been well. Around
    an outage of the store it is kept for `RETURN_GRACE_MS`, since live workers
    whose entry lapsed meanwhile write it again within that time.
    """

    def __init__(self) -> None:
        self._by_id: dict[str, Worker] = {}
        self._usable_by_service: dict[str, tuple[Worker, ...]] = {}
        self._drop_at_ms_by_id: dict[str, int] = {}
        self._grace_until_ms = 0

    def __len__(self) -> int:
        return len(self._by_id)

    def put(self, worker: Worker) -> bool:
        """Take an entry; true if it changes what may be used."""
        self._drop_at_ms_by_id.pop(worker.worker_id, None)
        if self._by_id.get(worker.worker_id) == worker:
            return False
        self._by_id[worker.worker_id] = worker
        self._index()
        return True

    def remove(self, worker_id: str, now_ms: int) -> bool:
        """Take the disappearance of an entry; true if it was known."""
        if worker_id not in self._by_id:
            return False
        if now_ms < self._grace_until_ms:
            self._drop_at_ms_by_id.setdefault(worker_id, self._grace_until_ms)
            return False
        self._drop(worker_id)
        return True

    def replace(self, workers: tuple[Worker, ...], now_ms: int) -> None:
        """Take a whole list; entries that it lacks have disappeared."""
        listed = {worker.worker_id for worker in workers}
        for worker_id in tuple(self._by_id):
            if worker_id not in listed:
                self.remove(worker_id, now_ms)
        for worker in workers:
            self.put(worker)

    def on_store_returned(self, now_ms: int) -> None:
        """Note that the store answers again after an outage."""
        self._grace_until_ms = now_ms + RETURN_GRACE_MS

    def expire(self, now_ms: int) -> tuple[str, ...]:
        """Drop the entries whose grace has passed and return their ids."""
        due = tuple(
            worker_id
            for worker_id, at_ms in self._drop_at_ms_by_id.items()
            if at_ms <= now_ms
        )
        for worker_id in due:
            self._drop(worker_id)
        return due

    def usable(self, service: str) -> tuple[Worker, ...]:
        """Return the workers of a service that take new work."""
        return self._usable_by_service.get(service, ())

    def get(self, worker_id: str) -> Worker | None:
        """Return the worker of that id, leaving or not."""
        return self._by_id.get(worker_id)

    def _drop(self, worker_id: str) -> None:
        self._drop_at_ms_by_id.pop(worker_id, None)
        if self._by_id.pop(worker_id, None) is not None:
            self._index()

    def _index(self) -> None:
        grouped: dict[str, list[Worker]] = collections.defaultdict(list)
        for worker in self._by_id.values():
            if not worker.draining:
                grouped[worker.service].append(worker)
        self._usable_by_service = {
            service: tuple(sorted(workers, key=lambda worker: worker.worker_id))
            for service, workers in grouped.items()
        }
