"""Whom to probe next."""

import math
import random

from foxtailbank import member_table
from foxtailbank import peer_messages as pm

MAX_ZONE_PROBES = 2


class ProbeTargets:
    """Choice of VMs: each of the own zone in turn, a contact of other zones, seeds.

    Parameters
    ----------
    table : MemberTable
        Known VMs.
    rng : random.Random
        Source of random choices.
    """

    def __init__(self, *, table: member_table.MemberTable, rng: random.Random) -> None:
        self._table = table
        self._rng = rng
        self._seed_by_address: dict[str, pm.MemberRecord] = {}
        self._member_order: list[str] = []
        self._zone_order: list[str] = []

    def add_seed(self, seed: pm.MemberRecord) -> None:
        """Add an address where a VM may be found."""
        own = self._table.own
        if seed.address != own.address and seed.vm_id != own.vm_id:
            self._seed_by_address[seed.address] = seed

    def retain_seeds(self, vm_ids: frozenset[str]) -> None:
        """Drop seeds whose VM has a name that is not among those given."""
        self._seed_by_address = {
            address: seed
            for address, seed in self._seed_by_address.items()
            if not seed.vm_id or seed.vm_id in vm_ids
        }

    def in_zone(self) -> pm.MemberRecord | None:
        """Return the next VM of the own zone; each once before any twice."""
        live_ids = {one.vm_id for one in self._table.own_view.live}
        live_ids.discard(self._table.own.vm_id)
        while self._member_order:
            vm_id = self._member_order.pop()
            if vm_id in live_ids:
                return self._table.find(vm_id)
        if not live_ids:
            return None
        self._member_order = sorted(live_ids)
        self._rng.shuffle(self._member_order)
        return self._table.find(self._member_order.pop())

    def zones(self, known: tuple[str, ...]) -> tuple[str, ...]:
        """Return the zones to contact now.

        Parameters
        ----------
        known : tuple of str
            All zones.

        Returns
        -------
        tuple of str
            So many that the VMs of this zone together contact each once a period,
            bounded for small zones.
        """
        others = {zone for zone in known if zone != self._table.own.zone}
        own_count = max(1, len(self._table.own_view.live))
        count = min(MAX_ZONE_PROBES, len(others), math.ceil(len(others) / own_count))
        chosen: list[str] = []
        while len(chosen) < count:
            if not self._zone_order:
                self._zone_order = sorted(others)
                self._rng.shuffle(self._zone_order)
            zone = self._zone_order.pop()
            if zone in others and zone not in chosen:
                chosen.append(zone)
        return tuple(chosen)

    def pick(
        self, zone: str, count: int, *, apart_from: str = ""
    ) -> tuple[pm.MemberRecord, ...]:
        """Return random live VMs of a zone, not this one."""
        skipped = (self._table.own.vm_id, apart_from)
        view = self._table.view_by_zone.get(zone)
        found = [one for one in view.live if one.vm_id not in skipped] if view else []
        return tuple(self._rng.sample(found, min(count, len(found))))

    def seed(self) -> pm.MemberRecord | None:
        """Return a seed that no live VM is known for."""
        wanted = [
            seed for seed in self._seed_by_address.values() if self._is_wanted(seed)
        ]
        return self._rng.choice(wanted) if wanted else None

    def _is_wanted(self, seed: pm.MemberRecord) -> bool:
        if seed.vm_id:
            if self._table.is_live(seed.vm_id):
                return False
        elif self._table.has_live_address(seed.address):
            return False
        if not seed.zone or seed.zone == self._table.own.zone:
            return True
        view = self._table.view_by_zone.get(seed.zone)
        return view is None or not view.live
