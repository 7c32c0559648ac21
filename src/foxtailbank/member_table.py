"""Known entry VMs, by availability zone."""

import dataclasses
import typing as t

from foxtailbank import gossip, zone_view
from foxtailbank import membership_actions as actions
from foxtailbank import peer_messages as pm

# A VM that is missing from its zone's view counts as dead only if its record has
# not changed for this long.
ABSENCE_GRACE_MS = 15_000


class MemberTable:
    """Views of all zones; queues each change for gossip.

    Parameters
    ----------
    own : MemberRecord
        This VM.
    queue : GossipQueue
        Receives changed records, keyed by VM id.
    """

    def __init__(self, *, own: pm.MemberRecord, queue: gossip.GossipQueue) -> None:
        self.own = own
        self._queue = queue
        self._zone_by_vm_id: dict[str, str] = {}
        self.view_by_zone: dict[str, zone_view.ZoneView] = {}
        self._store(own, now_ms=0)

    @property
    def own_view(self) -> zone_view.ZoneView:
        """View of this VM's zone."""
        return self.view_by_zone[self.own.zone]

    @property
    def live_count(self) -> int:
        """Number of VMs in the fleet believed live, including this one."""
        return sum(len(view.live) for view in self.view_by_zone.values())

    def find(self, vm_id: str) -> pm.MemberRecord | None:
        """Return the record of a VM, or None if it is unknown."""
        zone = self._zone_by_vm_id.get(vm_id)
        if zone is None:
            return None
        return self.view_by_zone[zone].record_by_vm_id.get(vm_id)

    def has_live_address(self, address: str) -> bool:
        """Return whether a VM at this address is believed live."""
        return any(
            record.address == address
            for view in self.view_by_zone.values()
            for record in view.live
        )

    def is_live(self, vm_id: str) -> bool:
        """Return whether a VM is believed live."""
        record = self.find(vm_id)
        return record is not None and record.status in zone_view.LIVE_STATUSES

    def update_own(self, now_ms: int, **changes: t.Any) -> None:
        """Change fields of this VM's record and queue it for gossip."""
        self.own = dataclasses.replace(self.own, **changes)
        self._store(self.own, now_ms=now_ms)

    def apply(
        self, record: pm.MemberRecord, *, now_ms: int
    ) -> tuple[actions.MembershipAction, ...]:
        """Merge a record received from another VM.

        Parameters
        ----------
        record : MemberRecord
            Received record.
        now_ms : int
            Current time.

        Returns
        -------
        tuple of MembershipAction
            Resulting changes; empty if the record is not newer.
        """
        if record.vm_id == self.own.vm_id:
            return self._apply_own(record, now_ms)
        if not record.vm_id:
            return ()
        known = self.find(record.vm_id)
        if known is not None and not zone_view.supersedes(record, known):
            return ()
        if known is None and record.status not in zone_view.LIVE_STATUSES:
            return ()
        self._store(record, now_ms=now_ms)
        return _actions_for(known, record)

    def apply_view_part(
        self, part: pm.Heartbeat, *, now_ms: int
    ) -> tuple[actions.MembershipAction, ...]:
        """Merge part of another VM's view.

        VMs of another zone that are missing from a view sent by a VM of that
        zone are declared dead.
        """
        changes: list[actions.MembershipAction] = []
        for record in part.updates:
            changes += self.apply(record, now_ms=now_ms)
        zone = part.view_zone
        if zone == self.own.zone or part.sender.zone != zone:
            return tuple(changes)
        view = self.view_by_zone.get(zone)
        if view is None:
            return tuple(changes)
        missing = view.missing_from_part(
            present_ids={record.vm_id for record in part.updates},
            after_id=part.after_id,
            through_id=part.through_id,
            merged_before_ms=now_ms - ABSENCE_GRACE_MS,
        )
        for record in missing:
            changes += self.set_status(record, pm.MemberStatus.DEAD, now_ms=now_ms)
        return tuple(changes)

    def set_status(
        self, record: pm.MemberRecord, status: pm.MemberStatus, *, now_ms: int
    ) -> tuple[actions.MembershipAction, ...]:
        """Change a VM's status, keeping its incarnation and revision."""
        return self.apply(dataclasses.replace(record, status=status), now_ms=now_ms)

    def expire(self, *, now_ms: int) -> None:
        """Drop records of VMs that died or left long ago."""
        for view in self.view_by_zone.values():
            view.expire(now_ms=now_ms)

    def _store(self, record: pm.MemberRecord, *, now_ms: int) -> None:
        old_zone = self._zone_by_vm_id.get(record.vm_id, record.zone)
        if old_zone != record.zone:
            self.view_by_zone[old_zone].remove(record.vm_id)
        self._zone_by_vm_id[record.vm_id] = record.zone
        if record.zone not in self.view_by_zone:
            self.view_by_zone[record.zone] = zone_view.ZoneView(zone=record.zone)
        self.view_by_zone[record.zone].merge(record, now_ms=now_ms)
        self._queue.put(record.vm_id, size_bytes=gossip.member_bytes(record))

    def _apply_own(
        self, record: pm.MemberRecord, now_ms: int
    ) -> tuple[actions.MembershipAction, ...]:
        if record.incarnation > self.own.incarnation:
            incarnation = record.incarnation + 1
            self.update_own(now_ms, incarnation=incarnation, revision=0)
            return (actions.IncarnationRaised(incarnation=incarnation),)
        if zone_view.supersedes(record, self.own):
            self.update_own(now_ms, revision=record.revision + 1)
        return ()


def _actions_for(
    known: pm.MemberRecord | None, record: pm.MemberRecord
) -> tuple[actions.MembershipAction, ...]:
    if record.status is pm.MemberStatus.DEAD:
        return (actions.MemberDead(record=record),)
    if record.status is pm.MemberStatus.LEFT:
        return (actions.MemberLeft(record=record),)
    if record.status is pm.MemberStatus.SUSPECT:
        return (actions.MemberSuspected(record=record),)
    is_same = (
        known is not None
        and known.status in zone_view.LIVE_STATUSES
        and known.incarnation == record.incarnation
        and known.address == record.address
    )
    return () if is_same else (actions.MemberJoined(record=record),)
