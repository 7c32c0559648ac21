"""Read-only view of the fleet as known to a VM."""

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
    """Queries on the membership state.

    Parameters
    ----------
    table : MemberTable
        Known VMs.
    fact_table : FactTable
        Known facts.
    offsets : AppliedOffsets
        Catalogue offsets of the VMs.
    contacts : ZoneContacts
        Time of the last contact with each zone.
    config : MembershipConfig
        Timeouts and limits.
    zones : iterable of str
        Availability zones named in the settings.
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
        """Current record of this VM."""
        return self._table.own

    @property
    def zones(self) -> tuple[str, ...]:
        """Zones named in the settings, and other zones with live VMs."""
        found = {zone for zone, view in self._table.view_by_zone.items() if view.live}
        return tuple(sorted(found | self._configured_zones))

    @property
    def other_zones(self) -> tuple[str, ...]:
        """All zones except this VM's."""
        return tuple(zone for zone in self.zones if zone != self.own.zone)

    def members(self, zone: str | None = None) -> tuple[pm.MemberRecord, ...]:
        """Return VMs believed live, including those of unreachable zones."""
        views = self._table.view_by_zone
        if zone is not None:
            return views[zone].live if zone in views else ()
        return tuple(record for name in sorted(views) for record in views[name].live)

    def live(
        self, *, now_ms: int, zone: str | None = None
    ) -> tuple[pm.MemberRecord, ...]:
        """Return live VMs of reachable zones, including this VM."""
        reachable = self.reachable_zones(now_ms=now_ms)
        return tuple(
            member for member in self.members(zone) if member.zone in reachable
        )

    def reachable_zones(self, *, now_ms: int) -> frozenset[str]:
        """Return zones contacted within `unreachable_ms`, and this VM's own."""
        max_age_ms = self.unreachable_ms
        ages = (
            (zone, self._contacts.age_ms(zone, now_ms=now_ms))
            for zone in self.other_zones
        )
        reachable = {
            zone for zone, age in ages if age is not None and age <= max_age_ms
        }
        return frozenset(reachable | {self.own.zone})

    @property
    def unreachable_ms(self) -> int:
        """Time without contact after which a zone counts as unreachable."""
        return self._config.unreachable_ms(len(self.other_zones))

    def has_contact_with_all(self, *, within_ms: int, now_ms: int) -> bool:
        """Return whether every other zone was contacted recently.

        Parameters
        ----------
        within_ms : int
            Maximum age of the last contact, capped at `unreachable_ms`.
        now_ms : int
            Current time.
        """
        max_age_ms = min(within_ms, self.unreachable_ms)
        ages = (self._contacts.age_ms(zone, now_ms=now_ms) for zone in self.other_zones)
        return all(age is not None and age <= max_age_ms for age in ages)

    def facts(self, kind: pm.FactKind, *, now_ms: int) -> tuple[pm.Fact, ...]:
        """Return the facts of a kind that are neither expired nor cleared."""
        return self._facts.active(kind, now_ms=now_ms)

    def loads(self, vm_id: str) -> tuple[pm.PoolLoad, ...]:
        """Return the latest load that a VM reported."""
        return self.loads_by_vm_id.get(vm_id, ())

    def catalogue_offset(self, vm_id: str) -> int:
        """Return the catalogue offset that a VM has applied; -1 if unknown."""
        return self._offsets.lowest((vm_id,))

    def catalogue_offset_by_zone(self) -> dict[str, int]:
        """Return, by zone, the catalogue offset that all its live VMs have applied."""
        offsets = {zone: self._offsets.zone_offset(zone) for zone in self.other_zones}
        own_ids = (record.vm_id for record in self._table.own_view.live)
        offsets[self.own.zone] = self._offsets.lowest(own_ids)
        return offsets
