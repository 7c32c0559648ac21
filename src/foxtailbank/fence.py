"""Fencing state of order scopes, replayed from the ledger."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Fence:
    """VM that may send orders in a scope.

    Attributes
    ----------
    holder : str
        Incarnation of the VM.
    number : int
        Fencing number.
    lease_ms : int
        Length of the lease in milliseconds.
    """

    holder: str
    number: int
    lease_ms: int
