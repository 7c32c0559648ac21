"""Reconciles the state of endpoints with the catalogue through orders."""

import dataclasses
import typing as t

from foxtailbank.endpoint import EngineState, Order
from foxtailbank.exceptions import EndpointRefused
from foxtailbank.order_lease import OrderLease, first_order_at_ms, may_order

MAX_ORDER_MS = 120_000
MIN_ORDER_INTERVAL_MS = 2000
MAX_LOAD_BACKLOG_MS = 60_000
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, kw_only=True)
class DesiredEngineState:
    """Desired models, adapters and role of one endpoint.

    Attributes
    ----------
    models : tuple of (str, str)
        Models with their versions.
    adapters : tuple of (str, str)
        Adapters with their versions.
    role : str
        Role; empty for any.
    """

    models: tuple[tuple[str, str], ...] = ()
    adapters: tuple[tuple[str, str], ...] = ()
    role: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ManagedEndpoint:
    """An endpoint as known to the holder of the order lease.

    Attributes
    ----------
    endpoint_id : str
        The endpoint.
    checks_fence : bool
        Whether it rejects stale fencing numbers.
    in_flight : int
        Requests in flight on it, of all VMs.
    """

    endpoint_id: str
    checks_fence: bool
    in_flight: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class SendOrder:
    """Send an order if `Reconciler.may_send` still returns True."""

    endpoint_id: str
    order: Order


@dataclasses.dataclass(frozen=True, kw_only=True)
class DrainEndpoint:
    """Route no new work to an endpoint, so that its role can change."""

    endpoint_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadState:
    """Read the state of an endpoint."""

    endpoint_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReleaseEndpoint:
    """Route work to a drained endpoint again."""

    endpoint_id: str


ReconcileAction = SendOrder | DrainEndpoint | ReadState | ReleaseEndpoint


def orders_for(
    desired: DesiredEngineState, state: EngineState, fence: int
) -> tuple[Order, ...]:
    """Return the orders that lead from the present state to the desired one.

    A role change comes first; then new versions are loaded before old ones are
    unloaded.

    Parameters
    ----------
    desired : DesiredEngineState
        Desired state of the endpoint.
    state : EngineState
        Present state of the endpoint.
    fence : int
        Fencing number of the orders.
    """

    def order(kind: str, target: str, version: str = "") -> Order:
        return Order(fence=fence, kind=kind, target=target, version=version)

    orders = []
    if desired.role and desired.role != state.role:
        orders.append(order("set_role", desired.role))
    for name, version in desired.models:
        if (name, version) not in state.models:
            orders.append(order("load_model", name, version))
    for name, version in desired.adapters:
        if (name, version) not in state.adapters:
            orders.append(order("load_adapter", name, version))
    for name, version in state.models:
        if (name, version) not in desired.models:
            orders.append(order("unload_model", name, version))
    return tuple(orders)


class _EndpointProgress:
    """Progress of the reconciliation of one endpoint."""

    def __init__(self, *, first_order_at_ms: int) -> None:
        self.first_order_at_ms = first_order_at_ms
        self.state: EngineState | None = None
        self.ordered_at_ms: int | None = None
        self.is_draining = False


class Reconciler:
    """Decides on orders to endpoints while this VM holds the order lease.

    An endpoint gets one order at a time; its state is read back before the next.
    Loads are spread over time to what the weight store can deliver: none is ordered
    while the loads already ordered would keep the store busy for longer than
    `MAX_LOAD_BACKLOG_MS`.

    Parameters
    ----------
    lease : OrderLease
        Lease that permits this VM to send orders.
    granted_at_ms : int
        When this VM read the record that granted the lease, in milliseconds.
    previous_lease_ms : int
        Length of the previous holder's lease; 0 if there was none.
    store_bytes_per_s : int
        Throughput of the weight store in bytes per second.
    sizes_by_weights : mapping of (str, str) to int
        Size in bytes of each version of a model or adapter.
    max_order_ms : int
        Maximum time that an order takes, in milliseconds.
    """

    def __init__(
        self,
        *,
        lease: OrderLease,
        granted_at_ms: int,
        previous_lease_ms: int,
        store_bytes_per_s: int,
        sizes_by_weights: t.Mapping[tuple[str, str], int],
        max_order_ms: int = MAX_ORDER_MS,
    ) -> None:
        self._lease = lease
        self._granted_at_ms = granted_at_ms
        self._previous_lease_ms = previous_lease_ms
        self._store_bytes_per_s = store_bytes_per_s
        self._sizes_by_weights = sizes_by_weights
        self._max_order_ms = max_order_ms
        self._progress_by_id: dict[str, _EndpointProgress] = {}
        self._store_busy_until_ms = granted_at_ms

    def on_lease_renewed(self, lease: OrderLease) -> None:
        """Replace the lease by its renewal."""
        self._lease = lease

    def may_send(self, now_ms: int) -> bool:
        """Return whether an order may be sent now; checked right before sending."""
        return may_order(self._lease, now_ms)

    def on_state(self, endpoint_id: str, state: EngineState) -> None:
        """Record a state that was read from an endpoint."""
        progress = self._progress_by_id.get(endpoint_id)
        if progress is not None:
            progress.state = state

    def on_refused(self, endpoint_id: str, refusal: EndpointRefused) -> None:
        """Discard the known state, so that it is read again before the next order."""
        progress = self._progress_by_id.get(endpoint_id)
        if progress is not None:
            progress.state = None

    def step(
        self,
        endpoint: ManagedEndpoint,
        desired: DesiredEngineState,
        now_ms: int,
    ) -> tuple[ReconcileAction, ...]:
        """Return the next actions for an endpoint; called every few seconds.

        Parameters
        ----------
        endpoint : ManagedEndpoint
            The endpoint.
        desired : DesiredEngineState
            Desired state of the endpoint.
        now_ms : int
            Present time in milliseconds.
        """
        if not may_order(self._lease, now_ms):
            return ()
        progress = self._progress_of(endpoint)
        if now_ms < progress.first_order_at_ms:
            return ()
        state = progress.state
        if state is None or state.busy:
            return (ReadState(endpoint_id=endpoint.endpoint_id),)
        if self._is_order_recent(progress, now_ms):
            return (ReadState(endpoint_id=endpoint.endpoint_id),)
        orders = orders_for(desired, state, self._lease.fence)
        if not orders:
            return self._on_converged(endpoint, progress)
        return self._order_actions(endpoint, progress, orders[0], now_ms)

    def _progress_of(self, endpoint: ManagedEndpoint) -> _EndpointProgress:
        progress = self._progress_by_id.get(endpoint.endpoint_id)
        if progress is None:
            progress = _EndpointProgress(
                first_order_at_ms=first_order_at_ms(
                    granted_at_ms=self._granted_at_ms,
                    previous_lease_ms=self._previous_lease_ms,
                    max_order_ms=self._max_order_ms,
                    checks_fence=endpoint.checks_fence,
                )
            )
            self._progress_by_id[endpoint.endpoint_id] = progress
        return progress

    def _is_order_recent(self, progress: _EndpointProgress, now_ms: int) -> bool:
        if progress.ordered_at_ms is None:
            return False
        return now_ms - progress.ordered_at_ms < MIN_ORDER_INTERVAL_MS

    def _on_converged(
        self, endpoint: ManagedEndpoint, progress: _EndpointProgress
    ) -> tuple[ReconcileAction, ...]:
        read = ReadState(endpoint_id=endpoint.endpoint_id)
        if not progress.is_draining:
            return (read,)
        progress.is_draining = False
        return (ReleaseEndpoint(endpoint_id=endpoint.endpoint_id), read)

    def _order_actions(
        self,
        endpoint: ManagedEndpoint,
        progress: _EndpointProgress,
        order: Order,
        now_ms: int,
    ) -> tuple[ReconcileAction, ...]:
        if order.kind == "set_role" and endpoint.in_flight:
            progress.is_draining = True
            return (DrainEndpoint(endpoint_id=endpoint.endpoint_id),)
        if not self._reserve_store_time(order, now_ms):
            return ()
        progress.ordered_at_ms = now_ms
        progress.state = None
        return (SendOrder(endpoint_id=endpoint.endpoint_id, order=order),)

    def _reserve_store_time(self, order: Order, now_ms: int) -> bool:
        if order.kind not in ("load_model", "load_adapter"):
            return True
        if self._store_busy_until_ms > now_ms + MAX_LOAD_BACKLOG_MS:
            return False
        size_bytes = self._sizes_by_weights.get((order.target, order.version), 0)
        load_ms = size_bytes * _MS_PER_S // max(1, self._store_bytes_per_s)
        self._store_busy_until_ms = max(self._store_busy_until_ms, now_ms) + load_ms
        return True
