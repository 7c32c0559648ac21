import dataclasses
import itertools
import random

import pytest

from foxtailbank import heartbeat_writer, membership
from foxtailbank import membership_actions as actions
from foxtailbank import membership_config as mc
from foxtailbank import peer_messages as pm
from membership_net import SimulatedNetwork, fleet


@pytest.fixture
def net():
    net = SimulatedNetwork(fleet(3, 4))
    assert net.run(60_000, until=net.has_converged)
    net.events.clear()
    return net


def events_of(net, kind):
    return [(vm, event) for _, vm, event in net.events if isinstance(event, kind)]


@pytest.mark.parametrize(
    "zones,per_zone,loss,seeds",
    [(3, 1, 0.0, None), (3, 4, 0.2, None), (5, 3, 0.1, None), (3, 4, 0.1, 1)],
)
def test_views_converge(zones, per_zone, loss, seeds):
    net = SimulatedNetwork(fleet(zones, per_zone), loss=loss, seeds=seeds)
    assert net.run(90_000, until=net.has_converged)


@pytest.mark.parametrize("vm_id", ["vm-0-0", "vm-1-3", "vm-2-2"])
def test_death_is_detected_and_reaches_all_vms(net, vm_id):
    net.stop(vm_id)
    assert net.run(20_000, until=net.has_converged)
    dead = events_of(net, actions.MemberDead)
    assert sorted(vm for vm, _ in dead) == sorted(net.state_by_vm_id)
    assert {event.record.vm_id for _, event in dead} == {vm_id}


def test_orderly_leave_reaches_all_vms_without_suspicion(net):
    net.execute("vm-1-0", net.state_by_vm_id["vm-1-0"].leave(now_ms=net.now_ms))
    net.run(200)
    net.stop("vm-1-0")
    assert net.run(20_000, until=net.has_converged)
    assert len(events_of(net, actions.MemberLeft)) == 11
    assert not events_of(net, actions.MemberDead)


def test_short_pause_is_refuted(net):
    net.paused.add("vm-1-0")
    suspected = lambda: bool(events_of(net, actions.MemberSuspected))  # noqa: E731
    assert net.run(10_000, until=suspected)
    net.paused.clear()
    net.run(15_000)
    assert not events_of(net, actions.MemberDead)
    assert net.has_converged()


def test_paused_vm_suspects_nobody_and_rejoins(net):
    state = net.state_by_vm_id["vm-1-0"]
    is_probe_due = lambda: state.next_due_ms() <= net.now_ms + 300  # noqa: E731
    assert net.run(10_000, until=is_probe_due)
    net.paused.add("vm-1-0")
    net.is_cut = lambda sender, recipient: recipient == "vm-1-0"
    net.run(30_000)
    net.events.clear()
    net.paused.clear()
    net.is_cut = lambda sender, recipient: False
    assert net.run(30_000, until=net.has_converged)
    assert not events_of(net, actions.MemberDead)
    assert not [
        vm for vm, _ in events_of(net, actions.MemberSuspected) if vm == "vm-1-0"
    ]


def test_lost_links_between_two_vms_kill_neither(net):
    net.is_cut = lambda sender, recipient: {sender, recipient} == {"vm-1-0", "vm-1-1"}
    net.run(60_000)
    assert not events_of(net, actions.MemberDead)


@pytest.mark.parametrize("incarnation", [2, 1, 0], ids=["later", "same", "earlier"])
def test_restarted_vm_is_a_new_incarnation(net, incarnation):
    net.stop("vm-1-0")
    net.run(2000)
    old = net.state_by_vm_id["vm-1-1"].view.members("zone-1")[0].incarnation
    state = net.start("vm-1-0", incarnation=incarnation, contacts=["vm-1-1"])
    assert net.run(40_000, until=net.has_converged)
    if incarnation != 1:
        assert state.own.incarnation > old
    for observer in net.state_by_vm_id.values():
        found = [member.vm_id for member in observer.view.members("zone-1")]
        assert found.count("vm-1-0") == 1


def test_unreachable_zone_is_distinguished_from_dead_vms(net):
    net.is_cut = lambda sender, recipient: (
        (net.zone_by_vm_id[sender] == "zone-0")
        != (net.zone_by_vm_id[recipient] == "zone-0")
    )
    net.run(20_000)
    inside, outside = net.state_by_vm_id["vm-0-0"], net.state_by_vm_id["vm-1-0"]
    now_ms = net.now_ms
    assert not events_of(net, actions.MemberDead)
    assert inside.view.reachable_zones(now_ms=now_ms) == {"zone-0"}
    assert outside.view.reachable_zones(now_ms=now_ms) == {"zone-1", "zone-2"}
    assert len(outside.view.members("zone-0")) == 4
    assert outside.view.live(now_ms=now_ms, zone="zone-0") == ()
    assert not outside.view.has_contact_with_all(within_ms=6000, now_ms=now_ms)
    net.is_cut = lambda sender, recipient: False
    assert net.run(20_000, until=net.has_converged)
    assert outside.view.has_contact_with_all(within_ms=6000, now_ms=net.now_ms)


def test_changes_during_a_partition_are_known_after_it(net):
    net.is_cut = lambda sender, recipient: (
        (net.zone_by_vm_id[sender] == "zone-0")
        != (net.zone_by_vm_id[recipient] == "zone-0")
    )
    net.stop("vm-0-1")
    net.stop("vm-1-1")
    net.run(200_000)
    net.is_cut = lambda sender, recipient: False
    assert net.run(60_000, until=net.has_converged)


def test_partition_within_a_zone_heals(net):
    net.is_cut = lambda sender, recipient: (
        (sender == "vm-1-0") != (recipient == "vm-1-0")
    )
    net.run(200_000)
    assert events_of(net, actions.MemberDead)
    net.is_cut = lambda sender, recipient: False
    assert net.run(60_000, until=net.has_converged)


def test_unlisted_vms_of_a_cut_off_zone_are_dead(net):
    for vm_id in list(net.state_by_vm_id):
        if vm_id.startswith("vm-0"):
            net.stop(vm_id)
    net.run(20_000)
    state = net.state_by_vm_id["vm-1-0"]
    assert len(state.view.members("zone-0")) == 4
    net.list_vms("vm-1-0", list(net.state_by_vm_id))
    assert state.view.members("zone-0") == ()


def heartbeats(results, kind):
    sent = [
        action.payload
        for action in results
        if isinstance(action, actions.SendHeartbeat)
    ]
    return [heartbeat for heartbeat in sent if heartbeat.kind is kind]


def membership_of(vm_id, zone):
    return membership.Membership(
        own=pm.MemberRecord(
            vm_id=vm_id, zone=zone, address=f"{vm_id}:1", incarnation=1
        ),
        rng=random.Random(vm_id),
        now_ms=0,
    )


@pytest.mark.parametrize("delay_ms,is_reachable", [(100, True), (60_000, False)])
def test_contact_counts_from_when_the_ping_was_sent(delay_ms, is_reachable):
    first, second = membership_of("a", "zone-a"), membership_of("b", "zone-b")
    first.add_seed(address="b:1")
    ping = heartbeats(first.tick(now_ms=0), pm.HeartbeatKind.PING)[0]
    ack = heartbeats(second.on_heartbeat(ping, now_ms=0), pm.HeartbeatKind.ACK)[0]
    first.on_heartbeat(ack, now_ms=delay_ms)
    zones = first.view.reachable_zones(now_ms=delay_ms)
    assert ("zone-b" in zones) is is_reachable


def test_dead_vms_are_probed_again_without_a_vm_list():
    net = SimulatedNetwork(fleet(1, 2))
    assert net.run(20_000, until=net.has_converged)
    for vm_id in net.state_by_vm_id:
        net.execute(vm_id, net.state_by_vm_id[vm_id].on_vm_list([], now_ms=net.now_ms))
    net.is_cut = lambda sender, recipient: True
    net.run(30_000)
    assert len(events_of(net, actions.MemberDead)) == 2
    net.is_cut = lambda sender, recipient: False
    assert net.run(30_000, until=net.has_converged)


def test_replayed_datagram_is_ignored(net):
    state = net.state_by_vm_id["vm-1-0"]
    sent = []
    for period in itertools.count():
        results = net.state_by_vm_id["vm-1-1"].tick(now_ms=net.now_ms + 1000 * period)
        sent += [a for a in results if isinstance(a, actions.SendHeartbeat)]
        if any(action.to == "vm-1-0:1" for action in sent) or period > 20:
            break
    heartbeat = next(action.payload for action in sent if action.to == "vm-1-0:1")
    assert state.on_heartbeat(heartbeat, now_ms=net.now_ms)
    assert not state.on_heartbeat(heartbeat, now_ms=net.now_ms)
    other = dataclasses.replace(heartbeat, recipient="vm-1-2", sequence=10**6)
    assert not state.on_heartbeat(other, now_ms=net.now_ms)


@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_fact_reaches_all_and_later_joiners_until_it_ends(net, loss):
    net.loss = loss
    fact = pm.Fact(
        kind=pm.FactKind.QUARANTINE, subject="fp", version=1, remaining_ms=200_000
    )
    net.state_by_vm_id["vm-0-0"].publish_fact(fact, now_ms=net.now_ms)

    def holders():
        return [
            vm_id
            for vm_id, state in net.state_by_vm_id.items()
            if state.view.facts(pm.FactKind.QUARANTINE, now_ms=net.now_ms)
        ]

    assert net.run(20_000, until=lambda: len(holders()) == 12)
    net.run(60_000)
    net.stop("vm-2-0")
    net.start("vm-2-0", incarnation=2, contacts=["vm-2-1"])
    assert net.run(30_000, until=lambda: len(holders()) == 12)
    net.run(160_000)
    assert holders() == []


def test_applied_offsets_are_aggregated_by_zone(net):
    for index, (vm_id, state) in enumerate(net.state_by_vm_id.items()):
        offset = 5 if vm_id == "vm-1-2" else 9 + index
        own = heartbeat_writer.OwnState(catalogue_offset=offset)
        state.set_own_state(own, now_ms=net.now_ms)
    view = net.state_by_vm_id["vm-0-0"].view
    expected = {"zone-0": 9, "zone-1": 5, "zone-2": 17}
    assert net.run(20_000, until=lambda: view.catalogue_offset_by_zone() == expected)


@pytest.mark.parametrize("budget", [600, 1200, 2500])
def test_sent_bytes_stay_within_the_budget_under_churn(budget):
    net = SimulatedNetwork(
        fleet(5, 4), config=mc.MembershipConfig(budget_bytes_per_s=budget)
    )
    net.encode = True
    for step in range(6):
        net.run(5000)
        net.stop(f"vm-1-{step % 4}")
        net.start(f"vm-1-{step % 4}", incarnation=10 + step)
        net.list_vms(f"vm-1-{step % 4}")
    bound = budget * net.now_ms / 1000 + 2 * budget
    assert max(net.sent_bytes_by_vm_id.values()) <= bound


def test_suspicion_does_not_run_out_while_this_vm_is_paused():
    first, second = membership_of("a", "zone-a"), membership_of("b", "zone-a")
    second.add_seed(address="a:1")
    ping = heartbeats(second.tick(now_ms=0), pm.HeartbeatKind.PING)[0]
    first.on_heartbeat(ping, now_ms=0)
    suspicion = dataclasses.replace(second.own, status=pm.MemberStatus.SUSPECT)
    third = pm.MemberRecord(vm_id="c", zone="zone-a", address="c:1", incarnation=1)
    heartbeat = dataclasses.replace(ping, sender=third, updates=(suspicion,))
    first.on_heartbeat(heartbeat, now_ms=100)
    suspicion_ms = mc.MembershipConfig().suspicion_ms
    assert suspicion_ms > 1000

    def dead(now_ms):
        results = first.tick(now_ms=now_ms)
        return [action for action in results if isinstance(action, actions.MemberDead)]

    assert not dead(60_000)
    for now_ms in range(60_500, 60_000 + suspicion_ms, 500):
        assert not dead(now_ms)
    assert dead(60_000 + suspicion_ms)


def test_fleet_started_at_once_converges_without_false_deaths():
    net = SimulatedNetwork(fleet(16, 6))
    net.run(55_000)
    assert net.has_converged()
    assert not events_of(net, actions.MemberDead)
