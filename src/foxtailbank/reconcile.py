"""Orders that bring endpoints to what the catalogue asks for."""

import dataclasses
import typing as t

from foxtailbank.endpoint import EngineState, Order
from foxtailbank.exceptions import EndpointRefused
from foxtailbank.holder_lease import HolderLease, first_order_ms, may_order

LONGEST_ORDER_MS = 120_000
ORDER_PAUSE_MS = 2000
LOAD_WINDOW_MS = 60_000
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Desired:
    """What one endpoint is to hold.

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
    """An endpoint as the holder sees it.

    Attributes
    ----------
    endpoint_id : str
        The endpoint.
    checks_fence : bool
        Whether it refuses old fencing numbers.
    in_flight : int
        Requests on it, of all VMs.
    """

    endpoint_id: str
    checks_fence: bool
    in_flight: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class GiveOrder:
    """Send an order, after asking `Reconciler.may_send` once more."""

    endpoint_id: str
    order: Order


@dataclasses.dataclass(frozen=True, kw_only=True)
class DrainEndpoint:
    """Send no new work to an endpoint, so that its role can change."""

    endpoint_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadState:
    """Read an endpoint's state back."""

    endpoint_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Release:
    """Let a drained endpoint have work again."""

    endpoint_id: str


ReconcileAction = GiveOrder | DrainEndpoint | ReadState | Release


def orders_for(desired: Desired, state: EngineState, fence: int) -> tuple[Order, ...]:
    """Return the orders that lead from a state to the desired one.

    A new version is loaded before the old one is unloaded, unless a role has to
    change, which comes first.

    Parameters
    ----------
    desired : Desired
        What the endpoint is to hold.
    state : EngineState
        What it holds.
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


class _Known:
    """What the holder remembers of one endpoint."""

    def __init__(self, *, earliest_ms: int) -> None:
        self.earliest_ms = earliest_ms
        self.state: EngineState | None = None
        self.ordered_at_ms: int | None = None
        self.draining = False


class Reconciler:
    """Gives orders to endpoints while this VM holds the lease.

    One order at a time is under way on an endpoint; its effect is read back before
    the next one. Loads are spread so that the bytes asked for in a window stay within
    what the weight store delivers in it.

    Parameters
    ----------
    lease : HolderLease
        Right to give orders.
    granted_at_ms : int
        When this VM saw the record that granted it, in milliseconds.
    previous_lease_ms : int
        Length of the previous holder's lease; 0 if there was none.
    store_bytes_per_s : int
        Rate of the weight store.
    sizes_by_weights : mapping of (str, str) to int
        Size in bytes of each version of a model or adapter.
    longest_order_ms : int
        Longest time that an order takes, in milliseconds.
    """

    def __init__(
        self,
        *,
        lease: HolderLease,
        granted_at_ms: int,
        previous_lease_ms: int,
        store_bytes_per_s: int,
        sizes_by_weights: t.Mapping[tuple[str, str], int],
        longest_order_ms: int = LONGEST_ORDER_MS,
    ) -> None:
        self._lease = lease
        self._granted_at_ms = granted_at_ms
        self._previous_lease_ms = previous_lease_ms
        self._store_bytes_per_s = store_bytes_per_s
        self._sizes_by_weights = sizes_by_weights
        self._longest_order_ms = longest_order_ms
        self._known_by_id: dict[str, _Known] = {}
        self._store_busy_until_ms = granted_at_ms

    def renew(self, lease: HolderLease) -> None:
        """Take over a renewed lease of the same holder."""
        self._lease = lease

    def may_send(self, now_ms: int) -> bool:
        """Return whether an order may go out now; asked right before sending."""
        return may_order(self._lease, now_ms)

    def on_state(self, endpoint_id: str, state: EngineState) -> None:
        """Take in a state that was read back."""
        known = self._known_by_id.get(endpoint_id)
        if known is not None:
            known.state = state

    def on_refused(self, endpoint_id: str, refusal: EndpointRefused) -> None:
        """Note that an order was refused; the state is read back before the next."""
        known = self._known_by_id.get(endpoint_id)
        if known is not None:
            known.state = None

    def step(
        self,
        endpoint: ManagedEndpoint,
        desired: Desired,
        now_ms: int,
    ) -> tuple[ReconcileAction, ...]:
        """Return what to do about an endpoint now; called every few seconds.

        Parameters
        ----------
        endpoint : ManagedEndpoint
            The endpoint.
        desired : Desired
            What it is to hold.
        now_ms : int
            Present time in milliseconds.
        """
        if not may_order(self._lease, now_ms):
            return ()
        known = self._remember(endpoint)
        if now_ms < known.earliest_ms:
            return ()
        state = known.state
        if state is None or state.busy:
            return (ReadState(endpoint_id=endpoint.endpoint_id),)
        if self._is_settling(known, now_ms):
            return (ReadState(endpoint_id=endpoint.endpoint_id),)
        orders = orders_for(desired, state, self._lease.fence)
        if not orders:
            return self._settled(endpoint, known)
        return self._order(endpoint, known, orders[0], now_ms)

    def _remember(self, endpoint: ManagedEndpoint) -> _Known:
        known = self._known_by_id.get(endpoint.endpoint_id)
        if known is None:
            known = _Known(
                earliest_ms=first_order_ms(
                    granted_at_ms=self._granted_at_ms,
                    previous_lease_ms=self._previous_lease_ms,
                    longest_order_ms=self._longest_order_ms,
                    checks=endpoint.checks_fence,
                )
            )
            self._known_by_id[endpoint.endpoint_id] = known
        return known

    def _is_settling(self, known: _Known, now_ms: int) -> bool:
        if known.ordered_at_ms is None:
            return False
        return now_ms - known.ordered_at_ms < ORDER_PAUSE_MS

    def _settled(
        self, endpoint: ManagedEndpoint, known: _Known
    ) -> tuple[ReconcileAction, ...]:
        read = ReadState(endpoint_id=endpoint.endpoint_id)
        if not known.draining:
            return (read,)
        known.draining = False
        return (Release(endpoint_id=endpoint.endpoint_id), read)

    def _order(
        self, endpoint: ManagedEndpoint, known: _Known, order: Order, now_ms: int
    ) -> tuple[ReconcileAction, ...]:
        if order.kind == "set_role" and endpoint.in_flight:
            known.draining = True
            return (DrainEndpoint(endpoint_id=endpoint.endpoint_id),)
        if not self._take_store_time(order, now_ms):
            return ()
        known.ordered_at_ms = now_ms
        known.state = None
        return (GiveOrder(endpoint_id=endpoint.endpoint_id, order=order),)

    def _take_store_time(self, order: Order, now_ms: int) -> bool:
        if order.kind not in ("load_model", "load_adapter"):
            return True
        if self._store_busy_until_ms > now_ms + LOAD_WINDOW_MS:
            return False
        size_bytes = self._sizes_by_weights.get((order.target, order.version), 0)
        load_ms = size_bytes * _MS_PER_S // max(1, self._store_bytes_per_s)
        self._store_busy_until_ms = max(self._store_busy_until_ms, now_ms) + load_ms
        return True
