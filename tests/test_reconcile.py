import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from foxtailbank.endpoint import EngineState
from foxtailbank.exceptions import EndpointRefused
from foxtailbank.holder_lease import HolderLease, first_order_ms, may_order
from foxtailbank.reconcile import (
    Desired,
    DrainEndpoint,
    GiveOrder,
    ManagedEndpoint,
    ReadState,
    Reconciler,
    Release,
    orders_for,
)

LEASE_MS = 10_000
ORDER_MS = 3000
STEP_MS = 500


def lease(fence=1, asked_at_ms=0, holder="a"):
    return HolderLease(
        scope="orders",
        holder=holder,
        fence=fence,
        asked_at_ms=asked_at_ms,
        lease_ms=LEASE_MS,
    )


def reconciler(holder_lease=None, granted_at_ms=0, previous_lease_ms=0, rate=1000):
    return Reconciler(
        lease=holder_lease or lease(),
        granted_at_ms=granted_at_ms,
        previous_lease_ms=previous_lease_ms,
        store_bytes_per_s=rate,
        sizes_by_weights={("m", "2"): 60_000},
        longest_order_ms=ORDER_MS,
    )


def state(models=(), role="", adapters=(), fence=0, busy=False):
    return EngineState(
        fence=fence, models=models, adapters=adapters, role=role, busy=busy
    )


@pytest.mark.parametrize(
    ("desired", "held", "kinds"),
    [
        (Desired(models=(("m", "1"),)), state((("m", "1"),)), []),
        (
            Desired(models=(("m", "2"),)),
            state((("m", "1"),)),
            ["load_model", "unload_model"],
        ),
        (
            Desired(models=(("m", "1"),), adapters=(("x", "1"),), role="r"),
            state((("m", "1"),)),
            ["set_role", "load_adapter"],
        ),
        (Desired(), state((("m", "1"),)), ["unload_model"]),
    ],
)
def test_orders_lead_to_the_desired_state(desired, held, kinds):
    assert [order.kind for order in orders_for(desired, held, 1)] == kinds


@pytest.mark.parametrize(
    ("held", "now_ms", "may"),
    [
        (None, 0, False),
        (lease(), 0, True),
        (lease(), LEASE_MS - 501, True),
        (lease(), LEASE_MS - 500, False),
        (lease(asked_at_ms=400), LEASE_MS - 500, True),
    ],
)
def test_lease_is_checked_with_a_margin(held, now_ms, may):
    assert may_order(held, now_ms) == may


@pytest.mark.parametrize(
    ("checks", "previous_lease_ms", "first_ms"),
    [(True, LEASE_MS, 5), (False, 0, 5), (False, LEASE_MS, 5 + LEASE_MS + ORDER_MS)],
)
def test_new_holder_waits_for_endpoints_that_ignore_the_fence(
    checks, previous_lease_ms, first_ms
):
    waited = first_order_ms(
        granted_at_ms=5,
        previous_lease_ms=previous_lease_ms,
        longest_order_ms=ORDER_MS,
        checks=checks,
    )
    assert waited == first_ms


def test_role_changes_only_on_a_drained_endpoint():
    holder = reconciler()
    desired = Desired(role="r")
    busy = ManagedEndpoint(endpoint_id="e", checks_fence=True, in_flight=1)
    free = ManagedEndpoint(endpoint_id="e", checks_fence=True)
    assert holder.step(busy, desired, 0) == (ReadState(endpoint_id="e"),)
    holder.on_state("e", state())
    assert holder.step(busy, desired, 0) == (DrainEndpoint(endpoint_id="e"),)
    (action,) = holder.step(free, desired, 1)
    assert isinstance(action, GiveOrder)
    holder.on_state("e", state(role="r"))
    released = holder.step(free, desired, 5000)
    assert Release(endpoint_id="e") in released


def test_loads_are_spread_under_the_rate_of_the_store():
    holder = reconciler(rate=1000)
    desired = Desired(models=(("m", "2"),))
    given_at_ms = []
    pending = {f"e{n}" for n in range(6)}
    for now_ms in range(0, LEASE_MS * 60, 1000):
        holder.renew(lease(asked_at_ms=now_ms))
        for endpoint_id in sorted(pending):
            endpoint = ManagedEndpoint(endpoint_id=endpoint_id, checks_fence=True)
            for action in holder.step(endpoint, desired, now_ms):
                if isinstance(action, ReadState):
                    holder.on_state(endpoint_id, state())
                if isinstance(action, GiveOrder):
                    given_at_ms.append(now_ms)
                    pending.discard(endpoint_id)
    assert not pending
    spacing_ms = [given_at_ms[n + 2] - given_at_ms[n] for n in range(4)]
    assert min(spacing_ms) >= 60_000 - 1000


def test_nothing_is_done_after_the_lease():
    holder = reconciler()
    endpoint = ManagedEndpoint(endpoint_id="e", checks_fence=True)
    assert holder.step(endpoint, Desired(role="r"), LEASE_MS - 501)
    assert holder.step(endpoint, Desired(role="r"), LEASE_MS - 500) == ()


class _Engine:
    """Engine that takes ORDER_MS for an order and may ignore the fence."""

    def __init__(self, checks):
        self.checks = checks
        self.fence = 0
        self.role = ""
        self.pending = []

    def order(self, order, now_ms):
        if self.checks and order.fence < self.fence:
            raise EndpointRefused
        if self.checks:
            self.fence = order.fence
        self.pending.append((now_ms + ORDER_MS - 1, order.target))

    def state(self, now_ms):
        while self.pending and self.pending[0][0] <= now_ms:
            self.role = self.pending.pop(0)[1]
        return state(role=self.role, fence=self.fence, busy=bool(self.pending))


class _Holder:
    def __init__(self, fence, granted_at_ms, desired):
        self.fence = fence
        self.desired = desired
        self.reconciler = reconciler(
            lease(fence, granted_at_ms),
            granted_at_ms,
            LEASE_MS if fence > 1 else 0,
        )

    def turn(self, engine, now_ms, renew):
        """Decide, and return the order that is about to be sent."""
        if renew:
            self.reconciler.renew(lease(self.fence, now_ms))
        managed = ManagedEndpoint(endpoint_id="e", checks_fence=engine.checks)
        for action in self.reconciler.step(managed, self.desired, now_ms):
            if isinstance(action, GiveOrder):
                return action.order
            if isinstance(action, ReadState):
                self.reconciler.on_state("e", engine.state(now_ms))
        return None

    def send(self, engine, order, now_ms):
        if not self.reconciler.may_send(now_ms):
            return False
        self.write(engine, order, now_ms)
        return True

    def write(self, engine, order, now_ms):
        try:
            engine.order(order, now_ms)
        except EndpointRefused as refusal:
            self.reconciler.on_refused("e", refusal)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    checks=st.booleans(),
    pause_from_ms=st.integers(0, 4000),
    pause_ms=st.integers(LEASE_MS, 4 * LEASE_MS),
    paused_while_sending=st.booleans(),
    checked_before_pause=st.booleans(),
)
def test_end_state_is_desired_though_the_old_holder_pauses(
    checks, pause_from_ms, pause_ms, paused_while_sending, checked_before_pause
):
    engine = _Engine(checks)
    old = _Holder(1, 0, Desired(role="old"))
    granted_at_ms = pause_from_ms + LEASE_MS
    new = None
    held_back = None
    wake_ms = pause_from_ms + pause_ms
    foreign_after_first_order = 0
    for now_ms in range(0, wake_ms + 4 * LEASE_MS, STEP_MS):
        if now_ms < pause_from_ms or now_ms >= wake_ms:
            order = old.turn(engine, now_ms, renew=now_ms < pause_from_ms)
            last_turn = now_ms + STEP_MS >= pause_from_ms and now_ms < pause_from_ms
            if order and paused_while_sending and last_turn:
                held_back = order
            elif order:
                old.send(engine, order, now_ms)
        if held_back and now_ms >= wake_ms:
            if checked_before_pause:
                old.write(engine, held_back, now_ms)
            else:
                foreign_after_first_order += old.send(engine, held_back, now_ms)
            held_back = None
        if new is None and now_ms >= granted_at_ms:
            new = _Holder(2, now_ms, Desired(role="new"))
        if new is not None:
            order = new.turn(engine, now_ms, renew=True)
            if order:
                new.send(engine, order, now_ms)
    assert engine.state(now_ms).role == "new"
    assert foreign_after_first_order == 0
