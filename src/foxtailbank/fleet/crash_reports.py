"""Reports of online requests that were running when their worker crashed."""

import collections
import copy
import typing as t

from foxtailbank.fleet.crash_report import CrashReport, PartCompletion
from foxtailbank.fleet.crashing_parts import CrashingParts, find_crashing_parts

REPORT_TTL_MS = 120_000
CRASHED_WORKERS_LIMIT = 3
MAX_REPORTS = 4_096  # the oldest are dropped above this
MAX_COMPLETED_PARTS = 8_192  # the least recently completed are dropped above this


class CrashReportTable:
    """Crash reports of all entry VMs.

    A request that was reported for several workers is no longer sent to any, nor are
    requests with a prompt part that was found to crash workers. Times are wall time in
    milliseconds, since VMs compare them and a restarted VM reads earlier reports.
    """

    def __init__(self) -> None:
        self._report_by_key: dict[tuple[int, str], CrashReport] = {}
        self._workers_by_fingerprint: dict[int, set[str]] = {}
        self._first_wall_ms_by_worker: dict[str, int] = {}
        self._suspected_parts: set[int] = set()
        self._completed_wall_ms_by_part: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._crashing: tuple[CrashingParts, ...] | None = ()
        self._next_expiry_wall_ms: int | None = None

    def fork(self) -> "CrashReportTable":
        """Return a copy that can be asked without an effect on this one."""
        fork = copy.copy(self)
        fork._report_by_key = dict(self._report_by_key)
        fork._workers_by_fingerprint = dict(self._workers_by_fingerprint)
        fork._suspected_parts = set(self._suspected_parts)
        return fork

    def add(self, report: CrashReport, wall_ms: int) -> bool:
        """Add a report; return whether it is new and has not expired."""
        if _expires_wall_ms(report) <= wall_ms or report.key in self._report_by_key:
            return False
        while len(self._report_by_key) >= MAX_REPORTS:
            self._remove(next(iter(self._report_by_key)))
        self._report_by_key[report.key] = report
        workers = self._workers_by_fingerprint.setdefault(report.fingerprint, set())
        workers.add(report.worker_id)
        first_wall_ms = self._first_wall_ms_by_worker.get(report.worker_id)
        self._first_wall_ms_by_worker[report.worker_id] = min(
            report.crashed_wall_ms, first_wall_ms or report.crashed_wall_ms
        )
        self._suspected_parts.update(report.prompt_parts)
        self._schedule_expiry(_expires_wall_ms(report))
        self._crashing = None
        return True

    def clear(self, fingerprint: int) -> None:
        """Remove the reports of a request that has completed on a worker."""
        for worker_id in tuple(self._workers_by_fingerprint.get(fingerprint, ())):
            self._remove((fingerprint, worker_id))

    def complete_parts(
        self, parts: t.Iterable[int], wall_ms: int
    ) -> tuple[PartCompletion, ...]:
        """Record a complete answer; return what clears suspected parts.

        Parameters
        ----------
        parts : iterable of int
            Digests of the shared parts of the request's prompt.
        wall_ms : int
            When the answer was complete.
        """
        completions = tuple(
            PartCompletion(part=part, completed_wall_ms=wall_ms) for part in parts
        )
        return tuple(
            completion for completion in completions if self.add_completion(completion)
        )

    def add_completion(self, completion: PartCompletion) -> bool:
        """Record that a part was in a complete answer; return whether it was suspect.

        It is not suspect of earlier crashes any more.
        """
        part = completion.part
        known_wall_ms = self._completed_wall_ms_by_part.get(part, 0)
        if completion.completed_wall_ms <= known_wall_ms:
            return False
        self._completed_wall_ms_by_part[part] = completion.completed_wall_ms
        self._completed_wall_ms_by_part.move_to_end(part)
        if len(self._completed_wall_ms_by_part) > MAX_COMPLETED_PARTS:
            self._completed_wall_ms_by_part.popitem(last=False)
        if part not in self._suspected_parts:
            return False
        self._suspected_parts.discard(part)
        self._crashing = None
        return True

    def has_crashed_before(self, worker_id: str, wall_ms: int) -> bool:
        """Return whether a worker process is reported to have crashed before a time."""
        first_wall_ms = self._first_wall_ms_by_worker.get(worker_id)
        return first_wall_ms is not None and first_wall_ms < wall_ms

    def is_refused(self, fingerprint: int) -> bool:
        """Return whether the request has crashed too many workers."""
        return self.worker_count(fingerprint) >= CRASHED_WORKERS_LIMIT

    def worker_count(self, fingerprint: int) -> int:
        """Return the number of workers that crashed under a request."""
        return len(self._workers_by_fingerprint.get(fingerprint, ()))

    def refused_ms(
        self, fingerprint: int, parts: t.Collection[int], wall_ms: int
    ) -> int:
        """Return for how long a request is refused yet; 0 if it may be sent.

        Parameters
        ----------
        fingerprint : int
            Digest of the request.
        parts : collection of int
            Digests of the shared parts of its prompt.
        wall_ms : int
            Present time.
        """
        crash_times_wall_ms = [
            crashing.last_crash_wall_ms
            for crashing in self.crashing_parts(parts, wall_ms)
        ]
        if self.is_refused(fingerprint):
            crash_times_wall_ms += [
                self._report_by_key[fingerprint, worker_id].crashed_wall_ms
                for worker_id in self._workers_by_fingerprint[fingerprint]
            ]
        if not crash_times_wall_ms:
            return 0
        return max(1, max(crash_times_wall_ms) + REPORT_TTL_MS - wall_ms)

    def crashing_parts(
        self, parts: t.Collection[int], wall_ms: int
    ) -> tuple[CrashingParts, ...]:
        """Return those groups of crashing parts that a prompt has at a time."""
        self._expire(wall_ms)
        if self._crashing is None:
            self._crashing = find_crashing_parts(
                self._report_by_key.values(), self._completed_wall_ms_by_part
            )
        return tuple(group for group in self._crashing if group.parts.issubset(parts))

    def _remove(self, key: tuple[int, str]) -> None:
        report = self._report_by_key.pop(key)
        # Not the known set, which a fork may have, too.
        workers = self._workers_by_fingerprint[report.fingerprint] - {report.worker_id}
        self._workers_by_fingerprint[report.fingerprint] = workers
        if not workers:
            del self._workers_by_fingerprint[report.fingerprint]
        self._crashing = None

    def _schedule_expiry(self, expires_wall_ms: int) -> None:
        known = self._next_expiry_wall_ms
        self._next_expiry_wall_ms = min(expires_wall_ms, known or expires_wall_ms)

    def _expire(self, wall_ms: int) -> None:
        if self._next_expiry_wall_ms is None or wall_ms < self._next_expiry_wall_ms:
            return
        for key, report in tuple(self._report_by_key.items()):
            if _expires_wall_ms(report) <= wall_ms:
                self._remove(key)
        self._first_wall_ms_by_worker = {
            worker_id: first_wall_ms
            for worker_id, first_wall_ms in self._first_wall_ms_by_worker.items()
            if first_wall_ms + REPORT_TTL_MS > wall_ms
        }
        self._next_expiry_wall_ms = None
        reported_parts: set[int] = set()
        for report in self._report_by_key.values():
            self._schedule_expiry(_expires_wall_ms(report))
            reported_parts.update(report.prompt_parts)
        self._suspected_parts &= reported_parts


def _expires_wall_ms(report: CrashReport) -> int:
    return report.crashed_wall_ms + REPORT_TTL_MS
