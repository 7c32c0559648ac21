"""Which entry VMs are live: probes, suspicion and gossip under a byte budget."""

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

PAUSE_PERIODS = 3
FACT_LIFETIME_MS = 3_600_000

Actions = tuple[actions.MembershipAction, ...]
MembershipConfig = config_module.MembershipConfig


class Membership:
    """The protocol's state at one VM; makes decisions, does no input or output.

    Parameters
    ----------
    own : MemberRecord
        This VM; the incarnation is the civil time of its start.
    rng : random.Random
        Source of random choices.
    now_ms : int
        Present time.
    config : MembershipConfig
        Times and bounds.
    zones : iterable of str
        Availability zones that exist by the settings.
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
        """Present record of this VM."""
        return self._table.own

    def set_own_state(self, state: heartbeat_writer.OwnState, *, now_ms: int) -> None:
        """Set what heartbeats tell of this VM.

        Parameters
        ----------
        state : OwnState
            Load and applied offsets.
        now_ms : int
            Present time.
        """
        offset = state.catalogue_offset
        if offset != self._writer.own_state.catalogue_offset:
            self._offsets.note(self.own.vm_id, offset)
            fact = pm.Fact(
                kind=pm.FactKind.CATALOGUE_APPLIED,
                subject=self.own.vm_id,
                version=offset + 1,
                remaining_ms=FACT_LIFETIME_MS,
            )
            self.spread(fact, now_ms=now_ms)
        self._writer.own_state = state

    def spread(self, fact: pm.Fact, *, now_ms: int) -> bool:
        """Tell all VMs a fact, and return whether it was new."""
        is_new = self._facts.merge(fact, now_ms=now_ms)
        if is_new:
            key = (fact.kind, fact.subject)
            self._queue.put(key, size_bytes=gossip.fact_bytes(fact))
        return is_new

    def seed(self, *, address: str, vm_id: str = "", zone: str = "") -> None:
        """Name an address where an entry VM may be found."""
        self._targets.add_seed(pm.MemberRecord(vm_id=vm_id, zone=zone, address=address))

    def listed(self, vms: t.Iterable[vm_list.Vm], *, now_ms: int) -> Actions:
        """Take in the platform's list of VMs.

        Parameters
        ----------
        vms : iterable of Vm
            The list; endpoints in it are ignored.
        now_ms : int
            Present time.

        Returns
        -------
        tuple of MembershipAction
            VMs of cut-off zones that are no longer listed are taken to be dead.
        """
        entries = [one for one in vms if one.role is vm_list.VmRole.ENTRY]
        gone = self._listed_ids - {one.vm_id for one in entries}
        self._listed_ids = frozenset(one.vm_id for one in entries)
        self._targets.retain_seeds(self._listed_ids)
        for one in entries:
            self.seed(address=one.address, vm_id=one.vm_id, zone=one.zone)
        reachable = self.view.reachable_zones(now_ms=now_ms)
        changes: list[actions.MembershipAction] = []
        for record in self.view.members():
            if record.vm_id in gone and record.zone not in reachable:
                changes += self._table.declare(
                    record, pm.MemberStatus.DEAD, now_ms=now_ms
                )
        return tuple(changes)

    def leave(self, *, now_ms: int) -> Actions:
        """Leave in order; tells a few VMs of this zone and one of each other."""
        self._table.renew_own(now_ms, status=pm.MemberStatus.LEFT)
        told = [*self._targets.pick(self.own.zone, self._config.indirect_count + 1)]
        for zone in self.view.other_zones:
            told += self._targets.pick(zone, 1)
        sent: list[actions.MembershipAction] = []
        for record in told:
            sent += self._writer.write(
                record, pm.HeartbeatKind.PING, now_ms=now_ms, is_urgent=True
            )
        return tuple(sent)

    def next_due_ms(self) -> int:
        """Return when `tick` is to be called next."""
        due_ms = [self._next_probe_ms, *self._suspect_until_by_vm_id.values()]
        probe_ms = self._prober.next_due_ms()
        return min(due_ms if probe_ms is None else [*due_ms, probe_ms])

    def tick(self, *, now_ms: int) -> Actions:
        """Do what is due.

        Parameters
        ----------
        now_ms : int
            Present time.

        Returns
        -------
        tuple of MembershipAction
            Datagrams to send and changes to tell.
        """
        gap_ms = now_ms - self._last_tick_ms
        self._last_tick_ms = now_ms
        if gap_ms > PAUSE_PERIODS * self._config.period_ms:
            self._forgive_pause(now_ms)
        done: list[actions.MembershipAction] = []
        done += self._prober.follow_up(now_ms=now_ms)
        for suspect in self._prober.suspects(now_ms=now_ms):
            done += self._declare(suspect, pm.MemberStatus.SUSPECT, now_ms)
        done += self._end_suspicions(now_ms)
        if now_ms >= self._next_probe_ms:
            self._next_probe_ms = now_ms + self._config.period_ms
            done += self._start_period(now_ms)
        return tuple(done)

    def _forgive_pause(self, now_ms: int) -> None:
        self._prober.clear()
        until_ms = now_ms + self._config.suspicion_ms
        for vm_id in self._suspect_until_by_vm_id:
            self._suspect_until_by_vm_id[vm_id] = until_ms

    def _start_period(self, now_ms: int) -> Actions:
        self._table.expire(now_ms=now_ms)
        for key in self._facts.expire(now_ms=now_ms):
            self._queue.discard(key)
        done: list[actions.MembershipAction] = list(self._reachability(now_ms))
        if self.own.status is pm.MemberStatus.LEFT:
            return tuple(done)
        targets = [self._targets.in_zone(), self._targets.seed()]
        for zone in self._targets.zones(self.view.zones):
            targets += self._targets.pick(zone, 1)
        for target in targets:
            if target is not None:
                done += self._prober.probe(target, now_ms=now_ms)
        return tuple(done)

    def _reachability(self, now_ms: int) -> Actions:
        reachable = self.view.reachable_zones(now_ms=now_ms)
        changed = sorted(reachable ^ self._reachable)
        self._reachable = reachable
        return tuple(
            actions.ZoneReachabilityChanged(zone=zone, is_reachable=zone in reachable)
            for zone in changed
        )

    def _end_suspicions(self, now_ms: int) -> Actions:
        changes: list[actions.MembershipAction] = []
        for vm_id, until_ms in list(self._suspect_until_by_vm_id.items()):
            record = self._table.find(vm_id)
            if record is None or record.status is not pm.MemberStatus.SUSPECT:
                del self._suspect_until_by_vm_id[vm_id]
            elif until_ms <= now_ms:
                del self._suspect_until_by_vm_id[vm_id]
                changes += self._declare(record, pm.MemberStatus.DEAD, now_ms)
        return tuple(changes)

    def _declare(
        self, record: pm.MemberRecord, status: pm.MemberStatus, now_ms: int
    ) -> Actions:
        return self._told(self._table.declare(record, status, now_ms=now_ms), now_ms)

    def _told(self, changes: Actions, now_ms: int) -> Actions:
        """Keep the timers in step with changes of the table."""
        for change in changes:
            if isinstance(change, actions.MemberSuspected):
                self._suspect_until_by_vm_id.setdefault(
                    change.record.vm_id, now_ms + self._config.suspicion_ms
                )
            elif isinstance(change, actions.MemberDead | actions.MemberLeft):
                self._forget(change.record)
            elif isinstance(change, actions.MemberJoined):
                self._offsets.forget(change.record.vm_id)
        return changes

    def _forget(self, record: pm.MemberRecord) -> None:
        self._offsets.forget(record.vm_id)
        self._writer.forget(record.vm_id)
        self.view.loads_by_vm_id.pop(record.vm_id, None)
        if record.status is pm.MemberStatus.DEAD:
            self.seed(address=record.address, vm_id=record.vm_id, zone=record.zone)

    def received(self, heartbeat: pm.Heartbeat, *, now_ms: int) -> Actions:
        """Take in an authentic datagram.

        Parameters
        ----------
        heartbeat : Heartbeat
            Its content.
        now_ms : int
            Present time.

        Returns
        -------
        tuple of MembershipAction
            Datagrams to send and changes to tell.
        """
        sender = heartbeat.sender
        if sender.vm_id == self.own.vm_id:
            return self._told(self._table.apply(sender, now_ms=now_ms), now_ms)
        if heartbeat.recipient not in ("", self.own.vm_id):
            return ()
        verdict = self._guard.check(
            vm_id=sender.vm_id,
            incarnation=sender.incarnation,
            sequence=heartbeat.sequence,
        )
        if verdict is replay_guard.Verdict.REPLAYED:
            return ()
        if verdict is replay_guard.Verdict.OLD_INCARNATION:
            return self._prober.answer(heartbeat, now_ms=now_ms)
        done = [*self._take_in(heartbeat, now_ms)]
        done += self._HANDLER_BY_KIND[heartbeat.kind](self, heartbeat, now_ms)
        if heartbeat.kind is not pm.HeartbeatKind.VIEW_PART:
            done += self._sync.compare(heartbeat, now_ms=now_ms)
        return tuple(done)

    def _take_in(self, heartbeat: pm.Heartbeat, now_ms: int) -> Actions:
        sender = heartbeat.sender
        done = [*self._table.apply(sender, now_ms=now_ms)]
        if heartbeat.kind is pm.HeartbeatKind.VIEW_PART:
            done += self._table.apply_view_part(heartbeat, now_ms=now_ms)
        else:
            for record in heartbeat.updates:
                done += self._table.apply(record, now_ms=now_ms)
        done = [*self._told(tuple(done), now_ms)]
        for fact in heartbeat.facts:
            if self.spread(fact, now_ms=now_ms):
                done.append(actions.FactLearned(fact=fact))
                self._note_applied(fact)
        if self._table.is_live(sender.vm_id):
            self.view.loads_by_vm_id[sender.vm_id] = heartbeat.loads
            self._writer.note_facts_hash(sender.vm_id, heartbeat.facts_hash)
            self._offsets.note(sender.vm_id, heartbeat.catalogue_offset)
        self._note_zone_offset(heartbeat)
        return tuple(done)

    def _note_zone_offset(self, heartbeat: pm.Heartbeat) -> None:
        for digest in heartbeat.digests:
            if digest.zone == heartbeat.sender.zone != self.own.zone:
                self._offsets.note_zone(digest.zone, digest.catalogue_offset)

    def _note_applied(self, fact: pm.Fact) -> None:
        if fact.kind is pm.FactKind.CATALOGUE_APPLIED:
            self._offsets.note(fact.subject, fact.version - 1)

    def _on_ping(self, heartbeat: pm.Heartbeat, now_ms: int) -> Actions:
        return self._prober.answer(heartbeat, now_ms=now_ms)

    def _on_ack(self, heartbeat: pm.Heartbeat, now_ms: int) -> Actions:
        return self._prober.on_ack(heartbeat, now_ms=now_ms)

    def _on_ping_request(self, heartbeat: pm.Heartbeat, now_ms: int) -> Actions:
        return self._prober.on_ping_request(heartbeat, now_ms=now_ms)

    def _on_view_request(self, heartbeat: pm.Heartbeat, now_ms: int) -> Actions:
        return self._sync.answer(heartbeat, now_ms=now_ms)

    def _on_view_part(self, heartbeat: pm.Heartbeat, now_ms: int) -> Actions:
        return self._sync.ask_next(heartbeat, now_ms=now_ms)

    _HANDLER_BY_KIND: t.ClassVar[
        dict[pm.HeartbeatKind, t.Callable[[t.Any, pm.Heartbeat, int], Actions]]
    ] = {
        pm.HeartbeatKind.PING: _on_ping,
        pm.HeartbeatKind.ACK: _on_ack,
        pm.HeartbeatKind.PING_REQUEST: _on_ping_request,
        pm.HeartbeatKind.VIEW_REQUEST: _on_view_request,
        pm.HeartbeatKind.VIEW_PART: _on_view_part,
    }
