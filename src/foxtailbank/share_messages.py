"""Typed messages about shares of limits."""

import dataclasses

from foxtailbank import peer_messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShareRequest(peer_messages.PeerMessage):
    """Asks a peer to lend units of a limit, or to prolong a loan.

    Attributes
    ----------
    limit_key, loan_id : str
        Names of the limit and the loan; idempotent by the loan's name.
    units : int
        Units wanted.
    attempt : int
        Number of the request among those for the loan.
    """

    limit_key: str
    loan_id: str
    units: int
    attempt: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShareGrant(peer_messages.PeerMessage):
    """Lends units of a limit; zero units if the peer has none to spare.

    Attributes
    ----------
    limit_key, loan_id : str
        As asked.
    units : int
        Units lent.
    loan_ms : int
        Duration, counted from when the borrower sent the attempt.
    attempt : int
        Number of the request that is answered.
    """

    limit_key: str
    loan_id: str
    units: int
    loan_ms: int
    attempt: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShareReturn(peer_messages.PeerMessage):
    """Gives a loan back before its end."""

    limit_key: str
    loan_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShareEpochQuery(peer_messages.PeerMessage):
    """Asks whether a holder keeps to its share of an epoch."""

    epoch: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShareEpochApplied(peer_messages.PeerMessage):
    """Tells the latest epoch whose shares a holder keeps to."""

    holder_id: str
    epoch: int
