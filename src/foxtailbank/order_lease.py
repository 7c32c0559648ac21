"""Lease that permits one VM to send orders to endpoints."""

import dataclasses

LEASE_MARGIN_MS = 500


@dataclasses.dataclass(frozen=True, kw_only=True)
class OrderLease:
    """Time-limited right of one VM to send orders in a scope.

    Attributes
    ----------
    scope : str
        What the orders apply to.
    holder : str
        Incarnation of the VM that holds the lease.
    fence : int
        Fencing number granted with the lease; it grows with each grant.
    requested_at_ms : int
        When this VM requested the lease, in milliseconds on a clock that also runs
        while the VM is suspended.
    lease_ms : int
        Length in milliseconds, counted from `requested_at_ms`.
    """

    scope: str
    holder: str
    fence: int
    requested_at_ms: int
    lease_ms: int


def may_order(
    lease: OrderLease | None, now_ms: int, *, margin_ms: int = LEASE_MARGIN_MS
) -> bool:
    """Return whether an order may be sent now; checked right before each one.

    Parameters
    ----------
    lease : OrderLease or None
        The lease; None if this VM holds none.
    now_ms : int
        Present time in milliseconds, on the clock of `OrderLease.requested_at_ms`.
    margin_ms : int
        Time before the end of the lease when orders stop, in milliseconds.
    """
    if lease is None:
        return False
    return now_ms - lease.requested_at_ms < lease.lease_ms - margin_ms


def first_order_at_ms(
    *, granted_at_ms: int, previous_lease_ms: int, max_order_ms: int, checks_fence: bool
) -> int:
    """Return when a new holder may send its first order to an endpoint.

    An endpoint that ignores fencing numbers may still be executing an order that the
    previous holder sent just before its lease ended.

    Parameters
    ----------
    granted_at_ms : int
        When this VM read the record that granted its lease, in milliseconds.
    previous_lease_ms : int
        Length of the previous lease; 0 if there was none.
    max_order_ms : int
        Maximum time from sending an order to its completion, in milliseconds.
    checks_fence : bool
        Whether the endpoint rejects stale fencing numbers.
    """
    if checks_fence or previous_lease_ms == 0:
        return granted_at_ms
    return granted_at_ms + previous_lease_ms + max_order_ms
