"""Takes over the items of entry VMs that are gone."""

import enum

import anyio

from foxtailbank import rendezvous
from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.events import Event
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.fleet.peer_book import Peer, PeerBook
from foxtailbank.lease_book import LeaseBook
from foxtailbank.logs import LogFields, Logs
from foxtailbank.settings_sections import LogLevel
from foxtailbank.submissions.append_queue import AppendQueue
from foxtailbank.submissions.book import SubmissionBook
from foxtailbank.submissions.records import Taken, encode
from foxtailbank.submissions.submission import Submission

PERIOD_MS = 300
SILENT_MS = 900  # after a peer's last report is too old; a late one ends it
SETTLE_MS = 1_000  # after the start, until reports of all peers came
LEASE_PERIOD_MS = 700  # three renewals within a lease's life


class OwnerState(enum.Enum):
    """What is known of the process that owns a submission."""

    ALIVE = "alive"
    SILENT = "silent"
    GONE = "gone"


class Takeover:
    """Finds submissions whose owner is gone and claims its share of them.

    Every VM comes to the same successor for each submission as long as they see the
    same peers; where they do not, the first claim on the log wins. An owner that is
    only silent is left alone as long as it holds its lease at the platform, for it
    may be cut off from its peers and go on.

    Parameters
    ----------
    vm_id : str
        This VM.
    me : str
        This process, as ``vm/incarnation``.
    book : SubmissionBook
        The ledger.
    appends : AppendQueue
        Writes claims.
    peers : PeerBook
        Entry VMs that are alive.
    leases : LeaseBook
        Leases of all processes.
    logs : Logs
        Takes a line for each claim.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        vm_id: str,
        me: str,
        book: SubmissionBook,
        appends: AppendQueue,
        peers: PeerBook,
        leases: LeaseBook,
        logs: Logs,
        clock: Clock,
    ) -> None:
        self._vm_id = vm_id
        self._me = me
        self._book = book
        self._appends = appends
        self._peers = peers
        self._leases = leases
        self._logs = logs
        self._clock = clock
        self._silent_since_ms: dict[str, int] = {}
        self._claimed: set[tuple[str, int]] = set()
        self._started_ms = clock.now_ms()
        self._renewed_ms = -LEASE_PERIOD_MS
        self.stopping = False

    async def run(self) -> None:
        """Look for orphans until cancelled."""
        while True:
            await anyio.sleep(PERIOD_MS / MS_PER_S)
            try:
                await self.renew()
                await self.look()
            except FoxtailbankError as failure:
                reason = f"{failure.code}: {failure.detail}"
                fields = LogFields(task="takeover", reason=reason)
                self._logs.write(
                    Event.TASK_FAILED, level=LogLevel.WARNING, fields=fields
                )

    async def stop(self) -> None:
        """Claim nothing more and give the lease up."""
        self.stopping = True
        await self._leases.release()

    async def look(self) -> None:
        """Claim what is due."""
        now_ms = self._clock.now_ms()
        if self.stopping or now_ms - self._started_ms < SETTLE_MS:
            return
        alive = self._peers.alive(now_ms)
        by_owner: dict[str, list[Submission]] = {}
        for submission in self._book.ledger.all():
            if submission.is_open and submission.owner != self._me:
                by_owner.setdefault(submission.owner, []).append(submission)
        self._silent_since_ms = {
            owner: self._silent_since_ms.get(owner, now_ms)
            for owner in by_owner
            if self._state_of(owner, alive) is OwnerState.SILENT
        }
        for owner, submissions in by_owner.items():
            mine = [s for s in submissions if self._is_successor(s, alive)]
            if mine and await self._is_gone(owner, alive, now_ms):
                for submission in mine:
                    self._claim(submission)

    async def renew(self) -> None:
        """Renew the lease if it is due and anything depends on it."""
        now_ms = self._clock.now_ms()
        if self.stopping or now_ms - self._renewed_ms < LEASE_PERIOD_MS:
            return
        if not self._owns_any:
            return
        self._renewed_ms = now_ms
        await self._leases.renew()

    @property
    def _owns_any(self) -> bool:
        return any(
            submission.is_open and submission.owner == self._me
            for submission in self._book.ledger.all()
        )

    def _state_of(self, owner: str, alive: tuple[Peer, ...]) -> OwnerState:
        vm_id, _, incarnation = owner.rpartition("/")
        if vm_id == self._vm_id:
            return OwnerState.GONE
        peer = self._peers.get(vm_id)
        if peer is None or not peer.incarnation:
            return OwnerState.SILENT
        if str(peer.incarnation) != incarnation or peer.stopping:
            return OwnerState.GONE
        return OwnerState.ALIVE if peer in alive else OwnerState.SILENT

    async def _is_gone(self, owner: str, alive: tuple[Peer, ...], now_ms: int) -> bool:
        state = self._state_of(owner, alive)
        if state is not OwnerState.SILENT:
            return state is OwnerState.GONE
        if now_ms - self._silent_since_ms.get(owner, now_ms) < SILENT_MS:
            return False
        vm_id, _, incarnation = owner.rpartition("/")
        return not await self._leases.is_held(vm_id=vm_id, incarnation=incarnation)

    def _is_successor(self, submission: Submission, alive: tuple[Peer, ...]) -> bool:
        candidates = [peer.vm_id for peer in alive] + [self._vm_id]
        key = f"{submission.submission_id}/{submission.generation}"
        chosen = max(candidates, key=lambda vm: rendezvous.score(key, vm))
        return chosen == self._vm_id

    def _claim(self, submission: Submission) -> None:
        generation = submission.generation + 1
        claim = (submission.submission_id, generation)
        if claim in self._claimed:
            return
        self._claimed.add(claim)
        record = Taken(
            submission_id=submission.submission_id,
            generation=generation,
            owner=self._me,
        )
        stored = encode(record, unique=f"{self._me}/{generation}")
        self._appends.put((stored,), urgent=False)
        fields = LogFields(
            job_id=submission.submission_id,
            reason=f"owner {submission.owner} is gone",
            count=generation,
        )
        self._logs.write(Event.SUBMISSION_TAKEN_OVER, fields=fields)
