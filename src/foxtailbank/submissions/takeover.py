"""Takes over the submissions of departed processes."""

import enum
import sys

import anyio

from foxtailbank import rendezvous
from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.events import Event
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.fleet.peer_table import PeerTable
from foxtailbank.lease_table import LeaseTable
from foxtailbank.log_follower import LogFollower
from foxtailbank.logs import LogFields, Logs
from foxtailbank.settings_sections import LogLevel
from foxtailbank.submissions.append_queue import AppendQueue
from foxtailbank.submissions.records import TakenOver, encode
from foxtailbank.submissions.submission import Submission
from foxtailbank.submissions.submission_table import SubmissionTable

CHECK_PERIOD_MS = 300
# Counted from when a peer's last report is too old; a delayed report ends the silence.
SILENCE_GRACE_MS = 900
STARTUP_GRACE_MS = 1_000  # from the start, until reports of all peers have arrived
# In each check; peers that have restored the ledger by the next one get their share.
MAX_CLAIMS_WHILE_RESTORING = 4
LEASE_PERIOD_MS = 700  # three renewals within a lease's lifetime


class OwnerState(enum.Enum):
    """State of the process that owns a submission, as seen by this VM."""

    ALIVE = "alive"
    SILENT = "silent"
    DEPARTED = "gone"


class Takeover:
    """Takes over this VM's share of the submissions whose owner has departed.

    VMs that see the same peers choose the same successor for each submission, among
    those that have restored the ledger. If they see different ones, the first
    `TakenOver` record in the log counts. A silent owner keeps its submissions while it
    holds its lease at the platform, as it may be cut off from its peers and still be
    running. While peers are restoring the ledger, claims are spread over time, as
    these peers are to get their share.

    Parameters
    ----------
    vm_id : str
        This VM.
    owner_id : str
        This process, as ``vm/incarnation``.
    table : SubmissionTable
        Holds the ledger.
    follower : LogFollower
        Restores the ledger.
    appends : AppendQueue
        Queue for the submission log.
    peers : PeerTable
        Entry VMs and their reports.
    leases : LeaseTable
        Leases of all processes.
    logs : Logs
        Receives a line for each takeover and each failed check.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        vm_id: str,
        owner_id: str,
        table: SubmissionTable,
        follower: LogFollower,
        appends: AppendQueue,
        peers: PeerTable,
        leases: LeaseTable,
        logs: Logs,
        clock: Clock,
    ) -> None:
        self._vm_id = vm_id
        self._owner_id = owner_id
        self._table = table
        self._follower = follower
        self._appends = appends
        self._peers = peers
        self._leases = leases
        self._logs = logs
        self._clock = clock
        self._silent_since_ms: dict[str, int] = {}
        self._claimed: set[tuple[str, int]] = set()  # submission and generation
        self._started_ms = clock.now_ms()
        self._renewed_ms = -LEASE_PERIOD_MS
        self.stopping = False

    async def run(self) -> None:
        """Renew the lease and take over orphans until cancelled."""
        while True:
            await anyio.sleep(CHECK_PERIOD_MS / MS_PER_S)
            try:
                await self.renew_lease()
                await self.take_over_orphans()
            except FoxtailbankError as failure:
                reason = f"{failure.code}: {failure.detail}"
                fields = LogFields(task="takeover", reason=reason)
                self._logs.write(
                    Event.TASK_FAILED, level=LogLevel.WARNING, fields=fields
                )

    async def stop(self) -> None:
        """Stop taking over submissions and release the lease."""
        self.stopping = True
        await self._leases.release()

    async def take_over_orphans(self) -> None:
        """Take over the submissions of departed owners that this VM is to succeed."""
        now_ms = self._clock.now_ms()
        if self.stopping or not self._follower.has_caught_up:
            return
        if now_ms - self._started_ms < STARTUP_GRACE_MS:
            return
        alive = self._peers.alive(now_ms)
        alive_ids = frozenset(peer.vm_id for peer in alive)
        able_ids = frozenset(peer.vm_id for peer in alive if not peer.restoring)
        submissions_by_owner = self._unclaimed_by_owner()
        is_any_restoring = len(able_ids) < len(alive)
        claims_left = MAX_CLAIMS_WHILE_RESTORING if is_any_restoring else sys.maxsize
        self._silent_since_ms = {
            owner: self._silent_since_ms.get(owner, now_ms)
            for owner in submissions_by_owner
            if self._state_of(owner, alive_ids) is OwnerState.SILENT
        }
        for owner, submissions in submissions_by_owner.items():
            if not self._is_missing(owner, alive_ids, now_ms):
                continue
            own_share = [s for s in submissions if self._is_successor(s, able_ids)]
            chosen = own_share[:claims_left]
            if chosen and await self._has_departed(owner, alive_ids):
                claims_left -= len(chosen)
                for submission in chosen:
                    self._take_over(submission)

    def _unclaimed_by_owner(self) -> dict[str, list[Submission]]:
        """Return the open submissions of others that this VM has not claimed."""
        submissions_by_owner: dict[str, list[Submission]] = {}
        for submission in self._table.ledger.all():
            if not submission.is_open or submission.owner == self._owner_id:
                continue
            if _next_generation(submission) not in self._claimed:
                submissions_by_owner.setdefault(submission.owner, []).append(submission)
        return submissions_by_owner

    async def renew_lease(self) -> None:
        """Renew the lease if renewal is due and this process owns open submissions."""
        now_ms = self._clock.now_ms()
        if self.stopping or now_ms - self._renewed_ms < LEASE_PERIOD_MS:
            return
        if not self._owns_open_submissions:
            return
        self._renewed_ms = now_ms
        await self._leases.renew()

    @property
    def _owns_open_submissions(self) -> bool:
        return any(
            submission.is_open and submission.owner == self._owner_id
            for submission in self._table.ledger.all()
        )

    def _state_of(self, owner: str, alive_ids: frozenset[str]) -> OwnerState:
        vm_id, _, incarnation = owner.rpartition("/")
        if vm_id == self._vm_id:
            return OwnerState.DEPARTED
        peer = self._peers.get(vm_id)
        if peer is None or not peer.incarnation:
            return OwnerState.SILENT
        if str(peer.incarnation) != incarnation or peer.stopping:
            return OwnerState.DEPARTED
        return OwnerState.ALIVE if vm_id in alive_ids else OwnerState.SILENT

    def _is_missing(self, owner: str, alive_ids: frozenset[str], now_ms: int) -> bool:
        """Whether an owner has departed or has been silent for the grace time."""
        state = self._state_of(owner, alive_ids)
        if state is OwnerState.SILENT:
            silent_ms = now_ms - self._silent_since_ms.get(owner, now_ms)
            return silent_ms >= SILENCE_GRACE_MS
        return state is OwnerState.DEPARTED

    async def _has_departed(self, owner: str, alive_ids: frozenset[str]) -> bool:
        """Whether a missing owner is known to have departed or holds no lease."""
        if self._state_of(owner, alive_ids) is OwnerState.DEPARTED:
            return True
        vm_id, _, incarnation = owner.rpartition("/")
        return not await self._leases.is_held(vm_id=vm_id, incarnation=incarnation)

    def _is_successor(self, submission: Submission, able_ids: frozenset[str]) -> bool:
        """Whether this VM comes first among itself and the peers that have state."""
        key = f"{submission.submission_id}/{submission.generation}"
        chosen = max(able_ids | {self._vm_id}, key=lambda vm: rendezvous.score(key, vm))
        return chosen == self._vm_id

    def _take_over(self, submission: Submission) -> None:
        generation = submission.generation + 1
        self._claimed.add(_next_generation(submission))
        record = TakenOver(
            submission_id=submission.submission_id,
            generation=generation,
            owner=self._owner_id,
        )
        stored = encode(record, key_suffix=f"{self._owner_id}/{generation}")
        self._appends.put((stored,), urgent=False)
        fields = LogFields(
            job_id=submission.submission_id,
            reason=f"owner {submission.owner} is gone",
            count=generation,
        )
        self._logs.write(Event.SUBMISSION_TAKEN_OVER, fields=fields)


def _next_generation(submission: Submission) -> tuple[str, int]:
    return (submission.submission_id, submission.generation + 1)
