"""Right to give orders in a scope, as replayed from the ledger."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Fence:
    """Who may give orders in a scope.

    Attributes
    ----------
    number : int
        Fencing number.
    lease_ms : int
        How long the holder may act, in milliseconds.
    """

    holder: str
    number: int
    lease_ms: int
