"""What a VM knows of the fleet."""

import typing as t

from foxtailbank import (
    applied_offsets,
    facts,
    member_table,
    zone_contacts,
)
from foxtailbank import membership_config as config_module
from foxtailbank import peer_messages as pm


class FleetView:
    """Read side of the membership state.

    Parameters
    ----------
    table : MemberTable
        Known VMs.
    fact_table : FactTable
        Known facts.
    offsets : AppliedOffsets
        Catalogue offsets of the VMs.
    contacts : ZoneContacts
        When zones were last heard from.
    config : MembershipConfig
        Times and bounds.
    zones : iterable of str
        Availability zones that exist by the settings.
    """

    def __init__(
        self,
        *,
        table: member_table.MemberTable,
        fact_table: facts.FactTable,
        offsets: applied_offsets.AppliedOffsets,
        contacts: zone_contacts.ZoneContacts,
        config: config_module.MembershipConfig,
        zones: t.Iterable[str],
    ) -> None:
        self._table = table
        self._facts = fact_table
        self._offsets = offsets
        self._contacts = contacts
        self._config = config
        self._configured_zones = frozenset(zones) | {table.own.zone}
        self.loads_by_vm_id: dict[str, tuple[pm.PoolLoad, ...]] = {}

    @property
    def own(self) -> pm.MemberRecord:
        """Present record of this VM."""
        return self._table.own

    @property
    def zones(self) -> tuple[str, ...]:
        """Zones of the settings, and further ones with live VMs."""
        found = {zone for zone, view in self._table.view_by_zone.items() if view.live}
        return tuple(sorted(found | self._configured_zones))

    @property
    def other_zones(self) -> tuple[str, ...]:
        """All zones but this VM's."""
        return tuple(zone for zone in self.zones if zone != self.own.zone)

    def members(self, zone: str | None = None) -> tuple[pm.MemberRecord, ...]:
        """Return VMs believed live, in one zone or all, cut-off ones included."""
        views = self._table.view_by_zone
        if zone is not None:
            return views[zone].live if zone in views else ()
        return tuple(record for one in sorted(views) for record in views[one].live)

    def live(
        self, *, now_ms: int, zone: str | None = None
    ) -> tuple[pm.MemberRecord, ...]:
        """Return live VMs of reachable zones, this one included."""
        reachable = self.reachable_zones(now_ms=now_ms)
        return tuple(one for one in self.members(zone) if one.zone in reachable)

    def reachable_zones(self, *, now_ms: int) -> frozenset[str]:
        """Return the zones with contact within the bound, the own one included."""
        bound_ms = self.unreachable_ms
        ages = (
            (zone, self._contacts.age_ms(zone, now_ms=now_ms))
            for zone in self.other_zones
        )
        reachable = {zone for zone, age in ages if age is not None and age <= bound_ms}
        return frozenset(reachable | {self.own.zone})

    @property
    def unreachable_ms(self) -> int:
        """Time without contact after which a zone counts as cut off."""
        return self._config.unreachable_ms(len(self.other_zones))

    def has_contact_with_all(self, *, within_ms: int, now_ms: int) -> bool:
        """Return whether every other zone was heard from within a bound.

        Parameters
        ----------
        within_ms : int
            Bound in milliseconds; above `unreachable_ms` it counts as that.
        now_ms : int
            Present time.
        """
        bound_ms = min(within_ms, self.unreachable_ms)
        ages = (self._contacts.age_ms(zone, now_ms=now_ms) for zone in self.other_zones)
        return all(age is not None and age <= bound_ms for age in ages)

    def facts(self, kind: pm.FactKind, *, now_ms: int) -> tuple[pm.Fact, ...]:
        """Return the facts of a kind that hold now."""
        return self._facts.holding(kind, now_ms=now_ms)

    def loads(self, vm_id: str) -> tuple[pm.PoolLoad, ...]:
        """Return the latest load that a VM told."""
        return self.loads_by_vm_id.get(vm_id, ())

    def catalogue_offset(self, vm_id: str) -> int:
        """Return the catalogue offset that a VM applied; -1 if unknown."""
        return self._offsets.lowest((vm_id,))

    def catalogue_offset_by_zone(self) -> dict[str, int]:
        """Return the catalogue offset that all live VMs of each zone applied."""
        offsets = {zone: self._offsets.of_zone(zone) for zone in self.other_zones}
        own_ids = (one.vm_id for one in self._table.own_view.live)
        offsets[self.own.zone] = self._offsets.lowest(own_ids)
        return offsets
