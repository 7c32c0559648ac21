"""Takes over the items of entry VMs that are gone."""

import anyio
import xxhash

from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.events import Event
from foxtailbank.fleet.peer_book import Peer, PeerBook
from foxtailbank.logs import LogFields, Logs
from foxtailbank.submissions.append_queue import AppendQueue
from foxtailbank.submissions.book import SubmissionBook
from foxtailbank.submissions.records import Taken, encode
from foxtailbank.submissions.submission import Submission

PERIOD_MS = 300
ORPHANED_MS = 900  # after a peer's silence; a late report ends it
SETTLE_MS = 1_500  # after the start, until reports of all peers came


class Takeover:
    """Finds submissions whose owner is gone and claims its share of them.

    Every VM comes to the same successor for each submission as long as they see the
    same peers; where they do not, the first claim on the log wins.

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
        logs: Logs,
        clock: Clock,
    ) -> None:
        self._vm_id = vm_id
        self._me = me
        self._book = book
        self._appends = appends
        self._peers = peers
        self._logs = logs
        self._clock = clock
        self._orphaned_ms_by_id: dict[str, int] = {}
        self._claimed: set[tuple[str, int]] = set()
        self._started_ms = clock.now_ms()
        self.stopping = False

    async def run(self) -> None:
        """Look for orphans until cancelled."""
        while True:
            await anyio.sleep(PERIOD_MS / MS_PER_S)
            self.look(self._clock.now_ms())

    def look(self, now_ms: int) -> None:
        """Claim what is due."""
        if self.stopping or now_ms - self._started_ms < SETTLE_MS:
            return
        alive = self._peers.alive(now_ms)
        owners = {f"{peer.vm_id}/{peer.incarnation}" for peer in alive}
        owners.add(self._me)
        orphans: dict[str, int] = {}
        for submission in self._book.ledger.all():
            if not submission.is_open or submission.owner in owners:
                continue
            submission_id = submission.submission_id
            since_ms = self._orphaned_ms_by_id.get(submission_id, now_ms)
            orphans[submission_id] = since_ms
            if now_ms - since_ms >= ORPHANED_MS and self._is_successor(
                submission, alive
            ):
                self._claim(submission)
        self._orphaned_ms_by_id = orphans

    def _is_successor(self, submission: Submission, alive: tuple[Peer, ...]) -> bool:
        candidates = [peer.vm_id for peer in alive] + [self._vm_id]
        key = f"{submission.submission_id}/{submission.generation}"
        chosen = max(candidates, key=lambda vm: xxhash.xxh64_intdigest(f"{key}/{vm}"))
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
