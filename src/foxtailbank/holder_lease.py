"""Lease of the VM that may give orders to endpoints."""

import dataclasses

ORDER_MARGIN_MS = 500


@dataclasses.dataclass(frozen=True, kw_only=True)
class HolderLease:
    """Right to give orders for a scope.

    Attributes
    ----------
    scope : str
        What the orders are about.
    holder : str
        Incarnation of the VM that holds it.
    fence : int
        Fencing number; the offset of the ledger record that granted the lease.
    asked_at_ms : int
        When this VM sent the request for it, on a clock that counts suspension.
    lease_ms : int
        Length, counted from `asked_at_ms`.
    """

    scope: str
    holder: str
    fence: int
    asked_at_ms: int
    lease_ms: int


def may_order(
    lease: HolderLease | None, now_ms: int, *, margin_ms: int = ORDER_MARGIN_MS
) -> bool:
    """Return whether an order may go out now; asked right before each one.

    Parameters
    ----------
    lease : HolderLease or None
        The lease; None if this VM holds none.
    now_ms : int
        Present time in milliseconds, on a clock that counts suspension.
    margin_ms : int
        Time before the end of the lease at which orders stop, in milliseconds.
    """
    if lease is None:
        return False
    return now_ms - lease.asked_at_ms < lease.lease_ms - margin_ms


def first_order_ms(
    *, granted_at_ms: int, previous_lease_ms: int, longest_order_ms: int, checks: bool
) -> int:
    """Return when a new holder may give its first order to an endpoint.

    An endpoint that ignores fencing numbers may still be carrying out an order of
    the previous holder, who could send it until its lease ended.

    Parameters
    ----------
    granted_at_ms : int
        When this VM saw the record that granted its lease, in milliseconds.
    previous_lease_ms : int
        Length of the previous lease; 0 if there was none.
    longest_order_ms : int
        Longest time that an order takes from sending to its end, in milliseconds.
    checks : bool
        Whether the endpoint refuses old fencing numbers.
    """
    if checks or previous_lease_ms == 0:
        return granted_at_ms
    return granted_at_ms + previous_lease_ms + longest_order_ms
