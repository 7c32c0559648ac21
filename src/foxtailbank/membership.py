"""Failure detection for entry VMs: probes, suspicion and gossip in a byte budget."""

import random
import typing as t

from foxtailbank import (
    applied_offsets,
    facts,
    fleet_view,
    gossip,
    heartbeat_writer,
    member_table,
    probe_targets,
    prober,
    replay_guard,
    view_sync,
    vm_list,
    zone_contacts,
)
from foxtailbank import membership_actions as actions
from foxtailbank import membership_config as config_module
from foxtailbank import peer_messages as pm

# A longer gap between ticks means that this process was suspended.
MAX_TICK_GAP_PERIODS = 3
FACT_LIFETIME_MS = 3_600_000

Actions = tuple[actions.MembershipAction, ...]
MembershipConfig = config_module.MembershipConfig


class Membership:
    """Protocol state of one VM; performs no I/O.

    Methods return actions for the caller to carry out.

    Parameters
    ----------
    own : MemberRecord
        This VM; its incarnation is the wall-clock time of its start.
    rng : random.Random
        Source of random choices.
    now_ms : int
        Current time.
    config : MembershipConfig
        Timeouts and limits.
    zones : iterable of str
        Availability zones named in the settings.
    """

    def __init__(
        self,
        *,
        own: pm.MemberRecord,
        rng: random.Random,
        now_ms: int,
        config: MembershipConfig | None = None,
        zones: t.Iterable[str] = (),
    ) -> None:
        self._config = config or MembershipConfig()
        self._queue = gossip.GossipQueue()
        self._table = member_table.MemberTable(own=own, queue=self._queue)
        self._facts = facts.FactTable()
        self._offsets = applied_offsets.AppliedOffsets()
        self._guard = replay_guard.ReplayGuard()
        self._targets = probe_targets.ProbeTargets(table=self._table, rng=rng)
        self._contacts = zone_contacts.ZoneContacts()
        self._writer = heartbeat_writer.HeartbeatWriter(
            table=self._table,
            fact_table=self._facts,
            offsets=self._offsets,
            queue=self._queue,
            config=self._config,
            now_ms=now_ms,
        )
        self._prober = prober.Prober(
            table=self._table,
            targets=self._targets,
            writer=self._writer,
            contacts=self._contacts,
            config=self._config,
        )
        self._sync = view_sync.ViewSync(
            table=self._table,
            writer=self._writer,
            interval_ms=self._config.view_interval_ms,
        )
        self.view = fleet_view.FleetView(
            table=self._table,
            fact_table=self._facts,
            offsets=self._offsets,
            contacts=self._contacts,
            config=self._config,
            zones=zones,
        )
        self._listed_ids: frozenset[str] = frozenset()
        self._suspect_until_by_vm_id: dict[str, int] = {}
        self._reachable: frozenset[str] = frozenset()
        self._last_tick_ms = now_ms
        self._next_probe_ms = now_ms

    @property
    def own(self) -> pm.MemberRecord:
        """Current record of this VM."""
        return self._table.own

    def set_own_state(self, state: heartbeat_writer.OwnState, *, now_ms: int) -> None:
        """Set the state of this VM that heartbeats report.

        Parameters
        ----------
        state : OwnState
            Load and applied offsets.
        now_ms : int
            Current time.
        """
        offset = state.catalogue_offset
        if offset != self._writer.own_state.catalogue_offset:
            self._offsets.update(self.own.vm_id, offset)
            fact = pm.Fact(
                kind=pm.FactKind.CATALOGUE_APPLIED,
                subject=self.own.vm_id,
                version=offset + 1,
                remaining_ms=FACT_LIFETIME_MS,
            )
            self.publish_fact(fact, now_ms=now_ms)
        self._writer.own_state = state

    def publish_fact(self, fact: pm.Fact, *, now_ms: int) -> bool:
        """Queue a fact for gossip to all VMs; return whether it was new."""
        is_new = self._facts.merge(fact, now_ms=now_ms)
        if is_new:
            key = (fact.kind, fact.subject)
            self._queue.put(key, size_bytes=gossip.fact_bytes(fact))
        return is_new

    def add_seed(self, *, address: str, vm_id: str = "", zone: str = "") -> None:
        """Add an address at which an entry VM may be found."""
        self._targets.add_seed(pm.MemberRecord(vm_id=vm_id, zone=zone, address=address))

    def on_vm_list(self, vms: t.Iterable[vm_list.Vm], *, now_ms: int) -> Actions:
        """Apply the platform's list of VMs.

        VMs of unreachable zones that are no longer listed are declared dead.

        Parameters
        ----------
        vms : iterable of Vm
            The list; endpoints in it are ignored.
        now_ms : int
            Current time.

        Returns
        -------
        tuple of MembershipAction
            Resulting changes.
        """
        entries = [vm for vm in vms if vm.role is vm_list.VmRole.ENTRY]
        removed_ids = self._listed_ids - {vm.vm_id for vm in entries}
        self._listed_ids = frozenset(vm.vm_id for vm in entries)
        self._targets.retain_seeds(self._listed_ids)
        for vm in entries:
            self.add_seed(address=vm.address, vm_id=vm.vm_id, zone=vm.zone)
        reachable = self.view.reachable_zones(now_ms=now_ms)
        changes: list[actions.MembershipAction] = []
        for record in self.view.members():
            if record.vm_id in removed_ids and record.zone not in reachable:
                changes += self._table.set_status(
                    record, pm.MemberStatus.DEAD, now_ms=now_ms
                )
        return tuple(changes)

    def leave(self, *, now_ms: int) -> Actions:
        """Leave the fleet and notify a few VMs of this zone and one of each other."""
        self._table.update_own(now_ms, status=pm.MemberStatus.LEFT)
        recipients = [
            *self._targets.sample(self.own.zone, self._config.indirect_count + 1)
        ]
        for zone in self.view.other_zones:
            recipients += self._targets.sample(zone, 1)
        sent: list[actions.MembershipAction] = []
        for record in recipients:
            sent += self._writer.write(
                record, pm.HeartbeatKind.PING, now_ms=now_ms, is_urgent=True
            )
        return tuple(sent)

    def next_due_ms(self) -> int:
        """Return the time at which `tick` must be called next."""
        due_ms = [self._next_probe_ms, *self._suspect_until_by_vm_id.values()]
        probe_ms = self._prober.next_due_ms()
        return min(due_ms if probe_ms is None else [*due_ms, probe_ms])

    def tick(self, *, now_ms: int) -> Actions:
        """Send due probes and expire suspicions.

        Parameters
        ----------
        now_ms : int
            Current time.

        Returns
        -------
        tuple of MembershipAction
            Datagrams to send and changes to report.
        """
        gap_ms = now_ms - self._last_tick_ms
        self._last_tick_ms = now_ms
        if gap_ms > MAX_TICK_GAP_PERIODS * self._config.period_ms:
            self._reset_timers(now_ms)
        results: list[actions.MembershipAction] = []
        results += self._prober.send_indirect_probes(now_ms=now_ms)
        for suspect in self._prober.collect_unanswered(now_ms=now_ms):
            results += self._set_status(suspect, pm.MemberStatus.SUSPECT, now_ms)
        results += self._expire_suspicions(now_ms)
        if now_ms >= self._next_probe_ms:
            self._next_probe_ms = now_ms + self._config.period_ms
            results += self._start_period(now_ms)
        return tuple(results)

    def _reset_timers(self, now_ms: int) -> None:
        """Drop open probes and restart suspicion timers after a suspension."""
        self._prober.clear()
        until_ms = now_ms + self._config.suspicion_ms
        for vm_id in self._suspect_until_by_vm_id:
            self._suspect_until_by_vm_id[vm_id] = until_ms

    def _start_period(self, now_ms: int) -> Actions:
        self._table.expire(now_ms=now_ms)
        for key in self._facts.expire(now_ms=now_ms):
            self._queue.discard(key)
        results: list[actions.MembershipAction] = list(
            self._reachability_changes(now_ms)
        )
        if self.own.status is pm.MemberStatus.LEFT:
            return tuple(results)
        targets = [self._targets.next_in_zone(), self._targets.choose_seed()]
        for zone in self._targets.next_zones(self.view.zones):
            targets += self._targets.sample(zone, 1)
        for target in targets:
            if target is not None:
                results += self._prober.probe(target, now_ms=now_ms)
        return tuple(results)

    def _reachability_changes(self, now_ms: int) -> Actions:
        reachable = self.view.reachable_zones(now_ms=now_ms)
        changed = sorted(reachable ^ self._reachable)
        self._reachable = reachable
        return tuple(
            actions.ZoneReachabilityChanged(zone=zone, is_reachable=zone in reachable)
            for zone in changed
        )

    def _expire_suspicions(self, now_ms: int) -> Actions:
        changes: list[actions.MembershipAction] = []
        for vm_id, until_ms in list(self._suspect_until_by_vm_id.items()):
            record = self._table.find(vm_id)
            if record is None or record.status is not pm.MemberStatus.SUSPECT:
                del self._suspect_until_by_vm_id[vm_id]
            elif until_ms <= now_ms:
                del self._suspect_until_by_vm_id[vm_id]
                changes += self._set_status(record, pm.MemberStatus.DEAD, now_ms)
        return tuple(changes)

    def _set_status(
        self, record: pm.MemberRecord, status: pm.MemberStatus, now_ms: int
    ) -> Actions:
        return self._track_changes(
            self._table.set_status(record, status, now_ms=now_ms), now_ms
        )

    def _track_changes(self, changes: Actions, now_ms: int) -> Actions:
        """Update suspicion timers and per-VM state after changes to the table."""
        for change in changes:
            if isinstance(change, actions.MemberSuspected):
                self._suspect_until_by_vm_id.setdefault(
                    change.record.vm_id, now_ms + self._config.suspicion_ms
                )
            elif isinstance(change, actions.MemberDead | actions.MemberLeft):
                self._forget(change.record)
            elif isinstance(change, actions.MemberJoined):
                self._offsets.remove(change.record.vm_id)
        return changes

    def _forget(self, record: pm.MemberRecord) -> None:
        self._offsets.remove(record.vm_id)
        self._writer.forget(record.vm_id)
        self.view.loads_by_vm_id.pop(record.vm_id, None)
        if record.status is pm.MemberStatus.DEAD:
            self.add_seed(address=record.address, vm_id=record.vm_id, zone=record.zone)

    def on_heartbeat(self, heartbeat: pm.Heartbeat, *, now_ms: int) -> Actions:
        """Handle an authenticated heartbeat.

        Parameters
        ----------
        heartbeat : Heartbeat
            Received heartbeat.
        now_ms : int
            Current time.

        Returns
        -------
        tuple of MembershipAction
            Datagrams to send and changes to report.
        """
        sender = heartbeat.sender
        if sender.vm_id == self.own.vm_id:
            return self._track_changes(self._table.apply(sender, now_ms=now_ms), now_ms)
        if heartbeat.recipient not in ("", self.own.vm_id):
            return ()
        verdict = self._guard.check_and_record(
            vm_id=sender.vm_id,
            incarnation=sender.incarnation,
            sequence=heartbeat.sequence,
        )
        if verdict is replay_guard.ReplayVerdict.REPLAYED:
            return ()
        if verdict is replay_guard.ReplayVerdict.OLD_INCARNATION:
            return self._prober.acknowledge(heartbeat, now_ms=now_ms)
        results = [*self._apply_content(heartbeat, now_ms)]
        results += self._HANDLER_BY_KIND[heartbeat.kind](self, heartbeat, now_ms)
        if heartbeat.kind is not pm.HeartbeatKind.VIEW_PART:
            results += self._sync.request_differing_view(heartbeat, now_ms=now_ms)
        return tuple(results)

    def _apply_content(self, heartbeat: pm.Heartbeat, now_ms: int) -> Actions:
        sender = heartbeat.sender
        results = [*self._table.apply(sender, now_ms=now_ms)]
        if heartbeat.kind is pm.HeartbeatKind.VIEW_PART:
            results += self._table.apply_view_part(heartbeat, now_ms=now_ms)
        else:
            for record in heartbeat.updates:
                results += self._table.apply(record, now_ms=now_ms)
        results = [*self._track_changes(tuple(results), now_ms)]
        for fact in heartbeat.facts:
            if self.publish_fact(fact, now_ms=now_ms):
                results.append(actions.FactLearned(fact=fact))
                self._record_applied_offset(fact)
        if self._table.is_live(sender.vm_id):
            self.view.loads_by_vm_id[sender.vm_id] = heartbeat.loads
            self._writer.record_facts_hash(sender.vm_id, heartbeat.facts_hash)
            self._offsets.update(sender.vm_id, heartbeat.catalogue_offset)
        self._record_zone_offset(heartbeat)
        return tuple(results)

    def _record_zone_offset(self, heartbeat: pm.Heartbeat) -> None:
        for digest in heartbeat.digests:
            if digest.zone == heartbeat.sender.zone != self.own.zone:
                self._offsets.update_zone(digest.zone, digest.catalogue_offset)

    def _record_applied_offset(self, fact: pm.Fact) -> None:
        if fact.kind is pm.FactKind.CATALOGUE_APPLIED:
            self._offsets.update(fact.subject, fact.version - 1)

    def _on_ping(self, heartbeat: pm.Heartbeat, now_ms: int) -> Actions:
        return self._prober.acknowledge(heartbeat, now_ms=now_ms)

    def _on_ack(self, heartbeat: pm.Heartbeat, now_ms: int) -> Actions:
        return self._prober.on_ack(heartbeat, now_ms=now_ms)

    def _on_ping_request(self, heartbeat: pm.Heartbeat, now_ms: int) -> Actions:
        return self._prober.on_ping_request(heartbeat, now_ms=now_ms)

    def _on_view_request(self, heartbeat: pm.Heartbeat, now_ms: int) -> Actions:
        return self._sync.answer_request(heartbeat, now_ms=now_ms)

    def _on_view_part(self, heartbeat: pm.Heartbeat, now_ms: int) -> Actions:
        return self._sync.request_next_part(heartbeat, now_ms=now_ms)

    _HANDLER_BY_KIND: t.ClassVar[
        dict[pm.HeartbeatKind, t.Callable[[t.Any, pm.Heartbeat, int], Actions]]
    ] = {
        pm.HeartbeatKind.PING: _on_ping,
        pm.HeartbeatKind.ACK: _on_ack,
        pm.HeartbeatKind.PING_REQUEST: _on_ping_request,
        pm.HeartbeatKind.VIEW_REQUEST: _on_view_request,
        pm.HeartbeatKind.VIEW_PART: _on_view_part,
    }
