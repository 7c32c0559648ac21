"""Peer messages about shares of limits."""

import dataclasses

from foxtailbank import peer_messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShareRequest(peer_messages.PeerMessage):
    """Asks a peer to lend units of a limit, or to renew a loan.

    Attributes
    ----------
    limit_key, loan_id : str
        Limit and loan. A repeated request with the same `loan_id` renews that loan.
    units : int
        Units requested.
    attempt : int
        Number that identifies this request; a renewal has a new one.
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
        As in the request.
    units : int
        Units lent.
    loan_ms : int
        Duration, counted from when the borrower sent the request.
    attempt : int
        As in the request.
    """

    limit_key: str
    loan_id: str
    units: int
    loan_ms: int
    attempt: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShareReturn(peer_messages.PeerMessage):
    """Returns borrowed units before the loan expires."""

    limit_key: str
    loan_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShareEpochQuery(peer_messages.PeerMessage):
    """Asks which epoch's shares a holder keeps to."""

    epoch: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShareEpochApplied(peer_messages.PeerMessage):
    """Reports the latest epoch whose shares a holder keeps to."""

    holder_id: str
    epoch: int
