"""Order in which batch chunks start: deadlines first, owners fairly."""

import collections
import dataclasses
import enum
import typing as t

SAFETY = 1.25
LATE_SLACK_MS = 60_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ChunkView:
    """A chunk that may start.

    Attributes
    ----------
    job_id : str
        Its job.
    chunk : int
        Its number in the job.
    owner : str
        Owner of the job.
    deadline_ms : int
        Deadline of the job, in wall milliseconds.
    job_tokens_left : int
        Tokens that the whole job still needs, on all VMs.
    """

    job_id: str
    chunk: int
    owner: str
    deadline_ms: int
    job_tokens_left: int


class Urgency(enum.IntEnum):
    """How a job stands to its deadline.

    Attributes
    ----------
    LATE
        Its expected finish lies after its deadline unless it gets more than now.
    TIGHT
        Its slack is small.
    EASY
        Its slack is ample.
    """

    LATE = 0
    TIGHT = 1
    EASY = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Feasibility:
    """Expected finish of a job.

    Attributes
    ----------
    expected_finish_ms : int
        In wall milliseconds, at the present rate.
    slack_ms : int
        Time between expected finish and deadline; negative when late.
    urgency : Urgency
        What follows from the slack.
    """

    expected_finish_ms: int
    slack_ms: int
    urgency: Urgency


def feasibility(
    *, tokens_left: int, tokens_per_s: float, deadline_ms: int, now_ms: int
) -> Feasibility:
    """Estimate when a job finishes.

    Parameters
    ----------
    tokens_left : int
        Tokens that the job still needs.
    tokens_per_s : float
        Rate that the job can expect.
    deadline_ms : int
        Deadline in wall milliseconds.
    now_ms : int
        Present wall time in milliseconds.
    """
    needed_ms = _needed_ms(tokens_left, tokens_per_s)
    slack_ms = deadline_ms - now_ms - needed_ms
    return Feasibility(
        expected_finish_ms=now_ms + needed_ms,
        slack_ms=slack_ms,
        urgency=_urgency(slack_ms, needed_ms),
    )


def _needed_ms(tokens_left: int, tokens_per_s: float) -> int:
    return int(tokens_left * SAFETY * 1000 / max(tokens_per_s, 0.001))


def _urgency(slack_ms: int, needed_ms: int) -> Urgency:
    if slack_ms < 0:
        return Urgency.LATE
    if slack_ms < max(LATE_SLACK_MS, needed_ms // 4):
        return Urgency.TIGHT
    return Urgency.EASY


def reserve_for(urgency: Urgency, reserve_streams: int) -> int:
    """Return how much of a batch reserve a job may use.

    The reserve is part of the batch limit of an endpoint, so that a late job takes
    places from other batch work and never from online.

    Parameters
    ----------
    urgency : Urgency
        Urgency of the job.
    reserve_streams : int
        Batch streams that are held back for urgent jobs.
    """
    if urgency is Urgency.LATE:
        return reserve_streams
    if urgency is Urgency.TIGHT:
        return reserve_streams // 2
    return 0


class BatchOrder:
    """Picks the next chunk among those that this VM owns.

    Jobs that would miss their deadline come first, then the owner that had least
    service for its weight, and of its jobs the one due first. An owner can't use
    urgency to starve the others: its late jobs pass ahead only while its service is
    within a bound of the least served owner.

    Parameters
    ----------
    tokens_per_s : float
        Batch rate of the fleet that a job can expect, until `set_rate`.
    max_lead_tokens : int
        Tokens of service, per unit of weight, by which an owner with late jobs may
        lead the least served owner.
    """

    def __init__(self, *, tokens_per_s: float, max_lead_tokens: int = 100_000) -> None:
        self._tokens_per_s = tokens_per_s
        self._max_lead_tokens = max_lead_tokens
        self._served_by_owner: dict[str, float] = {}
        self._weights_by_owner: collections.defaultdict[str, float] = (
            collections.defaultdict(lambda: 1.0)
        )

    def set_rate(self, tokens_per_s: float) -> None:
        """Set the batch rate that a job can expect, in tokens a second."""
        self._tokens_per_s = tokens_per_s

    def set_weight(self, owner: str, weight: float) -> None:
        """Set an owner's share in relation to the others."""
        self._weights_by_owner[owner] = weight

    def on_served(self, owner: str, tokens: int) -> None:
        """Count tokens that were computed for an owner."""
        weight = self._weights_by_owner[owner]
        served = self._served_by_owner.get(owner, 0.0) + tokens / weight
        self._served_by_owner[owner] = served

    def next_chunk(
        self, chunks: t.Iterable[ChunkView], now_ms: int
    ) -> ChunkView | None:
        """Return the chunk to start next.

        Parameters
        ----------
        chunks : iterable of ChunkView
            Chunks that may start.
        now_ms : int
            Present wall time in milliseconds.

        Returns
        -------
        ChunkView or None
            None when there is no chunk.
        """
        candidates = list(chunks)
        if not candidates:
            return None
        self._join_owners({chunk.owner for chunk in candidates})
        least = min(self._served_by_owner[chunk.owner] for chunk in candidates)
        return min(candidates, key=lambda chunk: self._rank(chunk, least, now_ms))

    def urgency(self, chunk: ChunkView, now_ms: int) -> Urgency:
        """Return the urgency of a chunk's job.

        Parameters
        ----------
        chunk : ChunkView
            The chunk.
        now_ms : int
            Present wall time in milliseconds.
        """
        needed_ms = _needed_ms(chunk.job_tokens_left, self._tokens_per_s)
        return _urgency(chunk.deadline_ms - now_ms - needed_ms, needed_ms)

    def _rank(
        self, chunk: ChunkView, least_served: float, now_ms: int
    ) -> tuple[bool, float, int, str, int]:
        served = self._served_by_owner[chunk.owner]
        within_lead = served - least_served <= self._max_lead_tokens
        passes = within_lead and self.urgency(chunk, now_ms) is not Urgency.EASY
        order = 0.0 if passes else served
        return (not passes, order, chunk.deadline_ms, chunk.job_id, chunk.chunk)

    def _join_owners(self, owners: set[str]) -> None:
        """Start new owners at the least service, so that idleness earns no credit."""
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
