"""Direct and indirect liveness probes of other VMs."""

from foxtailbank import (
    heartbeat_writer,
    member_table,
    probe_table,
    probe_targets,
    zone_contacts,
)
from foxtailbank import membership_actions as actions
from foxtailbank import membership_config as config_module
from foxtailbank import peer_messages as pm

Actions = tuple[actions.MembershipAction, ...]


class Prober:
    """Sends liveness probes and acknowledges those of other VMs.

    Parameters
    ----------
    table : MemberTable
        Known VMs.
    targets : ProbeTargets
        Selects the VMs that send indirect probes.
    writer : HeartbeatWriter
        Builds the datagrams.
    contacts : ZoneContacts
        Records the time of each contact.
    config : MembershipConfig
        Timeouts and limits.
    """

    def __init__(
        self,
        *,
        table: member_table.MemberTable,
        targets: probe_targets.ProbeTargets,
        writer: heartbeat_writer.HeartbeatWriter,
        contacts: zone_contacts.ZoneContacts,
        config: config_module.MembershipConfig,
    ) -> None:
        self._table = table
        self._targets = targets
        self._writer = writer
        self._contacts = contacts
        self._config = config
        self._probes = probe_table.ProbeTable()

    def next_due_ms(self) -> int | None:
        """Return when the next probe step is due; None without open probes."""
        return self._probes.next_due_ms()

    def clear(self) -> None:
        """Discard all open probes."""
        self._probes.clear()

    def probe(self, target: pm.MemberRecord, *, now_ms: int) -> Actions:
        """Send a ping to a VM."""
        known = self._table.find(target.vm_id)
        is_not_alive = known is not None and known.status is not pm.MemberStatus.ALIVE
        sent = self._writer.write(
            target,
            pm.HeartbeatKind.PING,
            now_ms=now_ms,
            updates=(known,) if known is not None and is_not_alive else (),
        )
        if sent:
            probe = probe_table.Probe(
                target=target,
                sent_ms=now_ms,
                due_ms=now_ms + self._config.ack_timeout_ms,
            )
            self._probes.add(probe, sequence=self._writer.sequence)
        return sent

    def send_indirect_probes(self, *, now_ms: int) -> Actions:
        """Ask other VMs to probe own-zone VMs that missed the ack timeout."""
        sent: list[actions.MembershipAction] = []
        for probe in self._probes.due_probes(now_ms=now_ms):
            if not self._may_suspect(probe):
                self._probes.close(probe)
            elif not probe.is_indirect:
                sent += self._probe_indirectly(probe, now_ms)
        return tuple(sent)

    def collect_unanswered(self, *, now_ms: int) -> tuple[pm.MemberRecord, ...]:
        """Close probes without any answer, direct or indirect; return their targets."""
        found: list[pm.MemberRecord] = []
        for probe in self._probes.due_probes(now_ms=now_ms):
            record = self._table.find(probe.target.vm_id)
            self._probes.close(probe)
            if record is not None:
                found.append(record)
        return tuple(found)

    def on_ack(self, heartbeat: pm.Heartbeat, *, now_ms: int) -> Actions:
        """Handle an acknowledgement."""
        probe = self._probes.find(heartbeat.echo)
        own = self._table.own
        if probe is None or heartbeat.recipient_incarnation != own.incarnation:
            return ()
        sender = heartbeat.sender
        responder = heartbeat.subject or sender
        if probe.target.vm_id not in ("", responder.vm_id):
            return ()
        self._probes.close(probe)
        self._contacts.record(sender.zone, at_ms=probe.sent_ms)
        if sender.zone == own.zone:
            self._contacts.record_ages(heartbeat.contacts, asked_ms=probe.sent_ms)
        if probe.relay_for is not None:
            return self.acknowledge(probe.relay_for, now_ms=now_ms, subject=sender)
        return ()

    def on_ping_request(self, heartbeat: pm.Heartbeat, *, now_ms: int) -> Actions:
        """Probe a VM on behalf of the sender of the request."""
        if heartbeat.subject is None:
            return ()
        sent = self._writer.write(
            heartbeat.subject, pm.HeartbeatKind.PING, now_ms=now_ms
        )
        if sent:
            probe = probe_table.Probe(
                target=heartbeat.subject,
                sent_ms=now_ms,
                due_ms=now_ms + self._config.indirect_timeout_ms,
                relay_for=heartbeat,
            )
            self._probes.add(probe, sequence=self._writer.sequence)
        return sent

    def acknowledge(
        self,
        heartbeat: pm.Heartbeat,
        *,
        now_ms: int,
        subject: pm.MemberRecord | None = None,
    ) -> Actions:
        """Acknowledge a datagram.

        The reply includes the known record of the sender if it differs from the
        sender's own, for example if the sender is suspected.

        Parameters
        ----------
        heartbeat : Heartbeat
            The datagram.
        now_ms : int
            Present time in milliseconds.
        subject : MemberRecord or None
            VM that answered, if this VM probed it on behalf of the sender.
        """
        sender = heartbeat.sender
        known = self._table.find(sender.vm_id)
        differs = known is not None and known != sender
        is_own_zone = sender.zone == self._table.own.zone
        return self._writer.write(
            sender,
            pm.HeartbeatKind.ACK,
            now_ms=now_ms,
            is_urgent=True,
            echo=heartbeat.sequence,
            recipient_incarnation=sender.incarnation,
            updates=(known,) if known is not None and differs else (),
            contacts=self._contact_ages(now_ms) if is_own_zone else (),
            subject=subject,
        )

    def _may_suspect(self, probe: probe_table.Probe) -> bool:
        target = self._table.find(probe.target.vm_id)
        return (
            probe.relay_for is None
            and target is not None
            and target.zone == self._table.own.zone
            and self._table.is_live(target.vm_id)
        )

    def _probe_indirectly(self, probe: probe_table.Probe, now_ms: int) -> Actions:
        probe.is_indirect = True
        probe.due_ms = now_ms + self._config.indirect_timeout_ms
        target = self._table.find(probe.target.vm_id)
        helpers = self._targets.sample(
            self._table.own.zone,
            self._config.indirect_count,
            exclude=probe.target.vm_id,
        )
        sent: list[actions.MembershipAction] = []
        for helper in helpers:
            request = self._writer.write(
                helper, pm.HeartbeatKind.PING_REQUEST, now_ms=now_ms, subject=target
            )
            if request:
                self._probes.add(probe, sequence=self._writer.sequence)
            sent += request
        return tuple(sent)

    def _contact_ages(self, now_ms: int) -> tuple[pm.ZoneAge, ...]:
        other_count = max(0, len(self._table.view_by_zone) - 1)
        bound_ms = self._config.unreachable_ms(other_count)
        return self._contacts.ages(within_ms=bound_ms, now_ms=now_ms)
