"""Order in which batch chunks start: by deadline, with fair shares for owners."""

import collections
import dataclasses
import enum
import typing as t

ESTIMATE_SAFETY_FACTOR = 1.25  # on the estimated time that a job needs
TIGHT_SLACK_MS = 60_000  # a job with less slack is tight, however small it is


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ChunkCandidate:
    """A chunk that may start.

    Attributes
    ----------
    job_id : str
        Id of its job.
    chunk : int
        Number of the chunk in the job.
    owner : str
        Owner of the job.
    deadline_ms : int
        Deadline of the job, in milliseconds of wall time.
    job_tokens_left : int
        Tokens still to be computed for the complete job, on all VMs.
    """

    job_id: str
    chunk: int
    owner: str
    deadline_ms: int
    job_tokens_left: int


class Urgency(enum.IntEnum):
    """Urgency of a job with regard to its deadline.

    Attributes
    ----------
    LATE
        At the present rate the job is expected to finish after its deadline.
    TIGHT
        Its slack is below the larger of `TIGHT_SLACK_MS` and a quarter of the time
        that it needs.
    RELAXED
        Its slack is larger.
    """

    LATE = 0
    TIGHT = 1
    RELAXED = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Feasibility:
    """Expected finish of a job.

    Attributes
    ----------
    expected_finish_ms : int
        Milliseconds of wall time, at the present rate.
    slack_ms : int
        Milliseconds between expected finish and deadline; negative when late.
    urgency : Urgency
        Urgency that follows from the slack.
    """

    expected_finish_ms: int
    slack_ms: int
    urgency: Urgency


def estimate_feasibility(
    *, tokens_left: int, tokens_per_s: float, deadline_ms: int, now_ms: int
) -> Feasibility:
    """Estimate when a job finishes and how urgent it is.

    Parameters
    ----------
    tokens_left : int
        Tokens still to be computed for the job.
    tokens_per_s : float
        Expected token rate of the job.
    deadline_ms : int
        Deadline in milliseconds of wall time.
    now_ms : int
        Present wall time in milliseconds.
    """
    needed_ms = _needed_ms(tokens_left, tokens_per_s)
    slack_ms = deadline_ms - now_ms - needed_ms
    return Feasibility(
        expected_finish_ms=now_ms + needed_ms,
        slack_ms=slack_ms,
        urgency=_classify_slack(slack_ms, needed_ms),
    )


def _needed_ms(tokens_left: int, tokens_per_s: float) -> int:
    return int(tokens_left * ESTIMATE_SAFETY_FACTOR * 1000 / max(tokens_per_s, 0.001))


def _classify_slack(slack_ms: int, needed_ms: int) -> Urgency:
    if slack_ms < 0:
        return Urgency.LATE
    if slack_ms < max(TIGHT_SLACK_MS, needed_ms // 4):
        return Urgency.TIGHT
    return Urgency.RELAXED


def usable_reserve(urgency: Urgency, reserve_streams: int) -> int:
    """Return the part of a batch reserve that a job may use.

    The reserve is part of the batch limit of an endpoint, so a late job takes slots
    from other batch work and never from online requests.

    Parameters
    ----------
    urgency : Urgency
        Urgency of the job.
    reserve_streams : int
        Batch streams reserved for urgent jobs.
    """
    if urgency is Urgency.LATE:
        return reserve_streams
    if urgency is Urgency.TIGHT:
        return reserve_streams // 2
    return 0


class BatchOrder:
    """Picks the next chunk among those that this VM owns.

    Jobs that are late or tight come first, by deadline. Then comes the owner with the
    least service for its weight and, among its jobs, the earliest deadline. Urgency
    can't be used to starve other owners: an owner's urgent jobs come first only while
    its service is at most `max_lead_tokens` ahead of the least served owner.

    Parameters
    ----------
    tokens_per_s : float
        Token rate that a batch job can expect from the fleet, until `set_rate`.
    max_lead_tokens : int
        Tokens of service, per unit of weight, by which an owner with urgent jobs may
        be ahead of the least served owner.
    """

    def __init__(self, *, tokens_per_s: float, max_lead_tokens: int = 100_000) -> None:
        self._tokens_per_s = tokens_per_s
        self._max_lead_tokens = max_lead_tokens
        self._served_by_owner: dict[str, float] = {}
        self._weights_by_owner: collections.defaultdict[str, float] = (
            collections.defaultdict(lambda: 1.0)
        )

    def set_rate(self, tokens_per_s: float) -> None:
        """Set the token rate that a batch job can expect, per second."""
        self._tokens_per_s = tokens_per_s

    def set_weight(self, owner: str, weight: float) -> None:
        """Set the weight of an owner's share; it is 1 by default."""
        self._weights_by_owner[owner] = weight

    def on_served(self, owner: str, tokens: int) -> None:
        """Record tokens that were computed for an owner."""
        weight = self._weights_by_owner[owner]
        served = self._served_by_owner.get(owner, 0.0) + tokens / weight
        self._served_by_owner[owner] = served

    def next_chunk(
        self, chunks: t.Iterable[ChunkCandidate], now_ms: int
    ) -> ChunkCandidate | None:
        """Return the chunk to start next.

        Parameters
        ----------
        chunks : iterable of ChunkCandidate
            Chunks that may start.
        now_ms : int
            Present wall time in milliseconds.

        Returns
        -------
        ChunkCandidate or None
            None if there is no chunk.
        """
        candidates = list(chunks)
        if not candidates:
            return None
        self._update_owners({chunk.owner for chunk in candidates})
        least = min(self._served_by_owner[chunk.owner] for chunk in candidates)
        return min(candidates, key=lambda chunk: self._rank(chunk, least, now_ms))

    def urgency(self, chunk: ChunkCandidate, now_ms: int) -> Urgency:
        """Return the urgency of a chunk's job.

        Parameters
        ----------
        chunk : ChunkCandidate
            The chunk.
        now_ms : int
            Present wall time in milliseconds.
        """
        needed_ms = _needed_ms(chunk.job_tokens_left, self._tokens_per_s)
        return _classify_slack(chunk.deadline_ms - now_ms - needed_ms, needed_ms)

    def _rank(
        self, chunk: ChunkCandidate, least_served: float, now_ms: int
    ) -> tuple[bool, float, int, str, int]:
        served = self._served_by_owner[chunk.owner]
        within_lead = served - least_served <= self._max_lead_tokens
        is_first = within_lead and self.urgency(chunk, now_ms) is not Urgency.RELAXED
        order = 0.0 if is_first else served
        return (not is_first, order, chunk.deadline_ms, chunk.job_id, chunk.chunk)

    def _update_owners(self, owners: set[str]) -> None:
        """Drop owners without chunks and add new ones.

        New owners start at the least service of the others, so that an idle owner
        earns no credit.
        """
        known = [
            self._served_by_owner[owner]
            for owner in owners
            if owner in self._served_by_owner
        ]
        start = min(known, default=0.0)
        for owner in list(self._served_by_owner):
            if owner not in owners:
                del self._served_by_owner[owner]
        for owner in owners:
            self._served_by_owner.setdefault(owner, start)
