"""Limits that workers name on the requests they take from all entry VMs together.

Each VM counts what all VMs send to a limited worker in a leaky bucket: its own sends
at once, those of its peers as their reports arrive. A bucket leaks at the worker's
rate, so what was sent too much, before the VMs knew of each other's sends, is made up
for.
"""

import collections
import copy
import dataclasses

from foxtailbank.clock import MS_PER_S
from foxtailbank.events import Event
from foxtailbank.fleet.load_table import LoadKind
from foxtailbank.logs import LogFields, Logs

BURST_S = 0.5  # of a worker's rate, that all VMs together may send at once
MIN_BURST = 2.0  # requests
# Of a burst. The rest is left to online requests, which are due at once.
BATCH_BURST_SHARE = 0.5
LOGGED_CHANGE_SHARE = 0.1  # smaller changes of a limit have no log line
# An answer without a limit ends it. A worker that gets no requests gives no answers.
EXPIRY_MS = 300_000
MIN_PER_S = 1 / 60  # a worker that takes none is asked again after a minute
REPORTED_MS = 10_000  # after a VM's last request to a worker, its peers know of all


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitReport:
    """What one VM knows of a worker's limit, and sent to it.

    Attributes
    ----------
    worker_id : str
        The worker.
    per_s : float or None
        Requests a second that it takes from all VMs; None if it names no limit.
    age_ms : int
        Time since the answer that said so.
    sent_count : int
        Requests that this process of the VM has sent to it.
    """

    worker_id: str
    per_s: float | None
    age_ms: int
    sent_count: int


@dataclasses.dataclass(kw_only=True)
class _Limit:
    """Limit of one worker, and what is in its bucket.

    Attributes
    ----------
    per_s : float
        Requests a second.
    logged_per_s : float
        The same in the last log line.
    level : float
        Requests that were sent and have not leaked yet.
    leaked_ms : int
        When the level was last brought up to date.
    """

    per_s: float
    logged_per_s: float
    level: float
    leaked_ms: int

    @property
    def burst(self) -> float:
        """Requests that the bucket takes at once."""
        return max(MIN_BURST, BURST_S * self.per_s)


class WorkerLimits:
    """Tracks the limits that workers name, and what all VMs have sent to these workers.

    Parameters
    ----------
    logs : Logs
        Receives a line for each limit, change and end.

    Attributes
    ----------
    share : float
        Share of the limits that belongs to this VM and the peers that it hears.
    """

    def __init__(self, *, logs: Logs) -> None:
        self._logs = logs
        self._limit_by_id: dict[str, _Limit] = {}
        self._said_ms_by_id: dict[str, int] = {}
        self._sent_count_by_id: collections.Counter[str] = collections.Counter()
        self._sent_ms_by_id: dict[str, int] = {}
        self._peer_sent_count: dict[tuple[str, int, str], int] = {}
        self.share = 1.0

    def fork(self) -> "WorkerLimits":
        """Return a copy whose limits can be asked without an effect on these."""
        fork = copy.copy(self)
        fork._limit_by_id = {
            worker_id: copy.copy(limit)
            for worker_id, limit in self._limit_by_id.items()
        }
        return fork

    def on_answer(self, worker_id: str, per_s: float | None, now_ms: int) -> None:
        """Apply the limit that a worker's answer names; None for none."""
        if per_s is not None or worker_id in self._limit_by_id:
            self._apply(worker_id, per_s, said_ms=now_ms, now_ms=now_ms, peer="")

    def on_sent(self, worker_id: str, now_ms: int) -> None:
        """Count a request that is about to be sent."""
        self._sent_count_by_id[worker_id] += 1
        self._sent_ms_by_id[worker_id] = now_ms
        self._fill(worker_id, 1, now_ms)

    @property
    def has_limits(self) -> bool:
        """Whether any worker is limited."""
        return bool(self._limit_by_id)

    def is_limited(self, worker_id: str) -> bool:
        """Return whether a worker names a limit."""
        return worker_id in self._limit_by_id

    def answer_age_ms(self, worker_id: str, now_ms: int) -> int:
        """Return the time since a limited worker last answered any VM."""
        return now_ms - self._said_ms_by_id[worker_id]

    def wait_ms(self, worker_id: str, kind: LoadKind, now_ms: int) -> float:
        """Return the time until a worker takes another request; 0 if it does now."""
        limit = self._limit_by_id.get(worker_id)
        if limit is None:
            return 0.0
        self._leak(limit, now_ms)
        burst = limit.burst
        if kind is LoadKind.BATCH:
            burst = max(1.0, BATCH_BURST_SHARE * burst)
        excess = limit.level + 1 - burst
        return max(0.0, excess * MS_PER_S / self._rate_per_s(limit))

    def reports(self, now_ms: int) -> tuple[LimitReport, ...]:
        """Return what peers need to know of the workers that this VM has sent to."""
        self._expire(now_ms)
        return tuple(
            LimitReport(
                worker_id=worker_id,
                per_s=self._per_s(worker_id),
                age_ms=now_ms - said_ms,
                sent_count=self._sent_count_by_id[worker_id],
            )
            for worker_id, said_ms in self._said_ms_by_id.items()
            if now_ms - self._sent_ms_by_id.get(worker_id, -REPORTED_MS) < REPORTED_MS
        )

    def on_report(
        self, report: LimitReport, *, vm_id: str, incarnation: int, now_ms: int
    ) -> None:
        """Apply the report of another VM."""
        worker_id = report.worker_id
        said_ms = now_ms - report.age_ms
        if said_ms > self._said_ms_by_id.get(worker_id, -EXPIRY_MS):
            self._apply(
                worker_id, report.per_s, said_ms=said_ms, now_ms=now_ms, peer=vm_id
            )
        key = (vm_id, incarnation, worker_id)
        # Of the first report it is not known when its requests were sent.
        known_count = self._peer_sent_count.get(key, report.sent_count)
        self._peer_sent_count[key] = report.sent_count
        self._fill(worker_id, max(0, report.sent_count - known_count), now_ms)

    def forget(self, worker_id: str) -> None:
        """Drop the state of a removed worker."""
        self._limit_by_id.pop(worker_id, None)
        self._said_ms_by_id.pop(worker_id, None)
        self._sent_ms_by_id.pop(worker_id, None)
        self._sent_count_by_id.pop(worker_id, None)
        self._peer_sent_count = {
            key: count
            for key, count in self._peer_sent_count.items()
            if key[2] != worker_id
        }

    def _per_s(self, worker_id: str) -> float | None:
        limit = self._limit_by_id.get(worker_id)
        return limit.per_s if limit is not None else None

    def _apply(
        self,
        worker_id: str,
        per_s: float | None,
        *,
        said_ms: int,
        now_ms: int,
        peer: str,
    ) -> None:
        self._said_ms_by_id[worker_id] = said_ms
        if per_s is None:
            if self._limit_by_id.pop(worker_id, None) is not None:
                fields = LogFields(endpoint=worker_id, peer=peer)
                self._logs.write(Event.WORKER_UNLIMITED, fields=fields)
            return
        limit = self._limit_by_id.get(worker_id)
        if limit is None:
            limit = _Limit(per_s=per_s, logged_per_s=per_s, level=0, leaked_ms=now_ms)
            limit.level = limit.burst  # what was sent before is not known
            self._limit_by_id[worker_id] = limit
            self._log_limit(worker_id, per_s, peer)
            return
        self._leak(limit, now_ms)
        limit.per_s = per_s
        change = abs(per_s - limit.logged_per_s)
        if change >= LOGGED_CHANGE_SHARE * limit.logged_per_s:
            limit.logged_per_s = per_s
            self._log_limit(worker_id, per_s, peer)

    def _fill(self, worker_id: str, count: int, now_ms: int) -> None:
        limit = self._limit_by_id.get(worker_id)
        if limit is not None:
            self._leak(limit, now_ms)
            limit.level += count

    def _leak(self, limit: _Limit, now_ms: int) -> None:
        leaked = self._rate_per_s(limit) * (now_ms - limit.leaked_ms) / MS_PER_S
        limit.level = max(0.0, limit.level - leaked)
        limit.leaked_ms = now_ms

    def _rate_per_s(self, limit: _Limit) -> float:
        return max(MIN_PER_S, limit.per_s * self.share)

    def _expire(self, now_ms: int) -> None:
        expired = [
            worker_id
            for worker_id, said_ms in self._said_ms_by_id.items()
            if now_ms - said_ms > EXPIRY_MS
        ]
        for worker_id in expired:
            self.forget(worker_id)

    def _log_limit(self, worker_id: str, per_s: float, peer: str) -> None:
        fields = LogFields(endpoint=worker_id, peer=peer, per_s=per_s)
        self._logs.write(Event.WORKER_LIMITED, fields=fields)
