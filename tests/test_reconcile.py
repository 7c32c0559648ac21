import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from foxtailbank.endpoint import EngineState
from foxtailbank.exceptions import EndpointRefused
from foxtailbank.order_lease import OrderLease, first_order_at_ms, may_order
from foxtailbank.reconcile import (
    DesiredEngineState,
    DrainEndpoint,
    ManagedEndpoint,
    ReadState,
    Reconciler,
    ReleaseEndpoint,
    SendOrder,
    orders_for,
)

LEASE_MS = 10_000
ORDER_MS = 3000
STEP_MS = 500


def lease(fence=1, requested_at_ms=0, holder="a"):
    return OrderLease(
        scope="orders",
        holder=holder,
        fence=fence,
        requested_at_ms=requested_at_ms,
        lease_ms=LEASE_MS,
    )


def reconciler(holder_lease=None, granted_at_ms=0, previous_lease_ms=0, rate=1000):
    return Reconciler(
        lease=holder_lease or lease(),
        granted_at_ms=granted_at_ms,
        previous_lease_ms=previous_lease_ms,
        store_bytes_per_s=rate,
        sizes_by_weights={("m", "2"): 60_000},
        max_order_ms=ORDER_MS,
    )


def state(models=(), role="", adapters=(), fence=0, busy=False):
    return EngineState(
        fence=fence, models=models, adapters=adapters, role=role, busy=busy
    )


@pytest.mark.parametrize(
    ("desired", "held", "kinds"),
    [
        (DesiredEngineState(models=(("m", "1"),)), state((("m", "1"),)), []),
        (
            DesiredEngineState(models=(("m", "2"),)),
            state((("m", "1"),)),
            ["load_model", "unload_model"],
        ),
        (
            DesiredEngineState(models=(("m", "1"),), adapters=(("x", "1"),), role="r"),
            state((("m", "1"),)),
            ["set_role", "load_adapter"],
        ),
        (DesiredEngineState(), state((("m", "1"),)), ["unload_model"]),
    ],
)
def test_orders_lead_to_the_desired_state(desired, held, kinds):
    assert [order.kind for order in orders_for(desired, held, 1)] == kinds


@pytest.mark.parametrize(
    ("held", "now_ms", "is_allowed"),
    [
        (None, 0, False),
        (lease(), 0, True),
        (lease(), LEASE_MS - 501, True),
        (lease(), LEASE_MS - 500, False),
        (lease(requested_at_ms=400), LEASE_MS - 500, True),
    ],
)
def test_lease_is_checked_with_a_margin(held, now_ms, is_allowed):
    assert may_order(held, now_ms) == is_allowed


@pytest.mark.parametrize(
    ("checks", "previous_lease_ms", "expected_ms"),
    [(True, LEASE_MS, 5), (False, 0, 5), (False, LEASE_MS, 5 + LEASE_MS + ORDER_MS)],
)
def test_new_holder_waits_where_fencing_numbers_are_ignored(
    checks, previous_lease_ms, expected_ms
):
    first_at_ms = first_order_at_ms(
        granted_at_ms=5,
        previous_lease_ms=previous_lease_ms,
        max_order_ms=ORDER_MS,
        checks_fence=checks,
    )
    assert first_at_ms == expected_ms


def test_role_changes_only_on_a_drained_endpoint():
    holder = reconciler()
    desired = DesiredEngineState(role="r")
    busy = ManagedEndpoint(endpoint_id="e", checks_fence=True, in_flight=1)
    free = ManagedEndpoint(endpoint_id="e", checks_fence=True)
    assert holder.step(busy, desired, 0) == (ReadState(endpoint_id="e"),)
    holder.on_state("e", state())
    assert holder.step(busy, desired, 0) == (DrainEndpoint(endpoint_id="e"),)
    (action,) = holder.step(free, desired, 1)
    assert isinstance(action, SendOrder)
    holder.on_state("e", state(role="r"))
    released = holder.step(free, desired, 5000)
    assert ReleaseEndpoint(endpoint_id="e") in released


def test_loads_stay_within_the_rate_of_the_weight_store():
    holder = reconciler(rate=1000)
    desired = DesiredEngineState(models=(("m", "2"),))
    sent_at_ms = []
    pending = {f"e{n}" for n in range(6)}
    for now_ms in range(0, LEASE_MS * 60, 1000):
        holder.on_lease_renewed(lease(requested_at_ms=now_ms))
        for endpoint_id in sorted(pending):
            endpoint = ManagedEndpoint(endpoint_id=endpoint_id, checks_fence=True)
            for action in holder.step(endpoint, desired, now_ms):
                if isinstance(action, ReadState):
                    holder.on_state(endpoint_id, state())
                if isinstance(action, SendOrder):
                    sent_at_ms.append(now_ms)
                    pending.discard(endpoint_id)
    assert not pending
    spacing_ms = [sent_at_ms[n + 2] - sent_at_ms[n] for n in range(4)]
    assert min(spacing_ms) >= 60_000 - 1000


def test_no_actions_after_the_lease_ends():
    holder = reconciler()
    endpoint = ManagedEndpoint(endpoint_id="e", checks_fence=True)
    assert holder.step(endpoint, DesiredEngineState(role="r"), LEASE_MS - 501)
    assert holder.step(endpoint, DesiredEngineState(role="r"), LEASE_MS - 500) == ()


class _FakeEngine:
    """Engine whose orders take `ORDER_MS` and that may ignore fencing numbers."""

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


class _LeaseHolder:
    def __init__(self, fence, granted_at_ms, desired):
        self.fence = fence
        self.desired = desired
        self.reconciler = reconciler(
            lease(fence, granted_at_ms),
            granted_at_ms,
            LEASE_MS if fence > 1 else 0,
        )

    def next_order(self, engine, now_ms, renew):
        """Run a reconciliation step and return the order to send, if any."""
        if renew:
            self.reconciler.on_lease_renewed(lease(self.fence, now_ms))
        managed = ManagedEndpoint(endpoint_id="e", checks_fence=engine.checks)
        for action in self.reconciler.step(managed, self.desired, now_ms):
            if isinstance(action, SendOrder):
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
    is_paused_while_sending=st.booleans(),
    is_checked_before_pause=st.booleans(),
)
def test_converges_although_the_old_holder_pauses(
    checks, pause_from_ms, pause_ms, is_paused_while_sending, is_checked_before_pause
):
    engine = _FakeEngine(checks)
    old = _LeaseHolder(1, 0, DesiredEngineState(role="old"))
    granted_at_ms = pause_from_ms + LEASE_MS
    new = None
    delayed_order = None
    wake_ms = pause_from_ms + pause_ms
    stale_sends = 0
    for now_ms in range(0, wake_ms + 4 * LEASE_MS, STEP_MS):
        if now_ms < pause_from_ms or now_ms >= wake_ms:
            order = old.next_order(engine, now_ms, renew=now_ms < pause_from_ms)
            is_last_turn = now_ms + STEP_MS >= pause_from_ms and now_ms < pause_from_ms
            if order and is_paused_while_sending and is_last_turn:
                delayed_order = order
            elif order:
                old.send(engine, order, now_ms)
        if delayed_order and now_ms >= wake_ms:
            if is_checked_before_pause:
                old.write(engine, delayed_order, now_ms)
            else:
                stale_sends += old.send(engine, delayed_order, now_ms)
            delayed_order = None
        if new is None and now_ms >= granted_at_ms:
            new = _LeaseHolder(2, now_ms, DesiredEngineState(role="new"))
        if new is not None:
            order = new.next_order(engine, now_ms, renew=True)
            if order:
                new.send(engine, order, now_ms)
    assert engine.state(now_ms).role == "new"
    assert stale_sends == 0
