"""All VMs that a VM knows of, by availability zone."""

import dataclasses
import typing as t

from foxtailbank import gossip, zone_view
from foxtailbank import membership_actions as actions
from foxtailbank import peer_messages as pm

SETTLED_MS = 15_000


class MemberTable:
    """Views of all zones, and the updates that are still to be spread.

    Parameters
    ----------
    own : MemberRecord
        This VM.
    queue : GossipQueue
        Where changes are put, under the VM's id.
    """

    def __init__(self, *, own: pm.MemberRecord, queue: gossip.GossipQueue) -> None:
        self.own = own
        self._queue = queue
        self._zone_by_vm_id: dict[str, str] = {}
        self.view_by_zone: dict[str, zone_view.ZoneView] = {}
        self._put(own, now_ms=0)

    @property
    def own_view(self) -> zone_view.ZoneView:
        """View of this VM's zone."""
        return self.view_by_zone[self.own.zone]

    @property
    def live_count(self) -> int:
        """VMs of the fleet believed live, this one included."""
        return sum(len(view.live) for view in self.view_by_zone.values())

    def find(self, vm_id: str) -> pm.MemberRecord | None:
        """Return what is known of a VM."""
        zone = self._zone_by_vm_id.get(vm_id)
        if zone is None:
            return None
        return self.view_by_zone[zone].record_by_vm_id.get(vm_id)

    def has_live_address(self, address: str) -> bool:
        """Return whether a VM at this address is believed live."""
        return any(
            one.address == address
            for view in self.view_by_zone.values()
            for one in view.live
        )

    def is_live(self, vm_id: str) -> bool:
        """Return whether a VM is believed live."""
        record = self.find(vm_id)
        return record is not None and record.status in zone_view.LIVE

    def renew_own(self, now_ms: int, **changes: t.Any) -> None:
        """Change this VM's record and spread it."""
        self.own = dataclasses.replace(self.own, **changes)
        self._put(self.own, now_ms=now_ms)

    def apply(
        self, record: pm.MemberRecord, *, now_ms: int
    ) -> tuple[actions.MembershipAction, ...]:
        """Take in a record from another VM.

        Parameters
        ----------
        record : MemberRecord
            What was heard.
        now_ms : int
            Present time.

        Returns
        -------
        tuple of MembershipAction
            What changed.
        """
        if record.vm_id == self.own.vm_id:
            return self._apply_own(record, now_ms)
        if not record.vm_id:
            return ()
        known = self.find(record.vm_id)
        if known is not None and not zone_view.supersedes(record, known):
            return ()
        if known is None and record.status not in zone_view.LIVE:
            return ()
        self._put(record, now_ms=now_ms)
        return _changes(known, record)

    def apply_view_part(
        self, part: pm.Heartbeat, *, now_ms: int
    ) -> tuple[actions.MembershipAction, ...]:
        """Take in part of another VM's view.

        VMs of a foreign zone that the zone's own view does not have are taken
        to be dead.
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
        absent = view.absent(
            present={one.vm_id for one in part.updates},
            after_id=part.after_id,
            through_id=part.through_id,
            settled_before_ms=now_ms - SETTLED_MS,
        )
        for record in absent:
            changes += self.declare(record, pm.MemberStatus.DEAD, now_ms=now_ms)
        return tuple(changes)

    def declare(
        self, record: pm.MemberRecord, status: pm.MemberStatus, *, now_ms: int
    ) -> tuple[actions.MembershipAction, ...]:
        """Give a VM a status at its present version."""
        return self.apply(dataclasses.replace(record, status=status), now_ms=now_ms)

    def expire(self, *, now_ms: int) -> None:
        """Forget VMs that ended long ago."""
        for view in self.view_by_zone.values():
            view.expire(now_ms=now_ms)

    def _put(self, record: pm.MemberRecord, *, now_ms: int) -> None:
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
            raised = record.incarnation + 1
            self.renew_own(now_ms, incarnation=raised, revision=0)
            return (actions.IncarnationRaised(incarnation=raised),)
        if zone_view.supersedes(record, self.own):
            self.renew_own(now_ms, revision=record.revision + 1)
        return ()


def _changes(
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
        and known.status in zone_view.LIVE
        and known.incarnation == record.incarnation
        and known.address == record.address
    )
    return () if is_same else (actions.MemberJoined(record=record),)
