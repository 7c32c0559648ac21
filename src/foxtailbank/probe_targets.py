"""Selection of the VMs to probe next."""

import math
import random

from foxtailbank import member_table
from foxtailbank import peer_messages as pm

MAX_ZONE_PROBES = 2


class ProbeTargets:
    """Selects probe targets: own-zone VMs in turn, samples of other zones, seeds.

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
        self._unprobed_vm_ids: list[str] = []
        self._unprobed_zones: list[str] = []

    def add_seed(self, seed: pm.MemberRecord) -> None:
        """Add an address at which a VM may be reachable; own addresses are ignored."""
        own = self._table.own
        if seed.address != own.address and seed.vm_id != own.vm_id:
            self._seed_by_address[seed.address] = seed

    def retain_seeds(self, vm_ids: frozenset[str]) -> None:
        """Drop seeds with a known VM id that is not in `vm_ids`."""
        self._seed_by_address = {
            address: seed
            for address, seed in self._seed_by_address.items()
            if not seed.vm_id or seed.vm_id in vm_ids
        }

    def next_in_zone(self) -> pm.MemberRecord | None:
        """Return the next VM of the own zone, in shuffled round-robin order."""
        live_ids = {one.vm_id for one in self._table.own_view.live}
        live_ids.discard(self._table.own.vm_id)
        while self._unprobed_vm_ids:
            vm_id = self._unprobed_vm_ids.pop()
            if vm_id in live_ids:
                return self._table.find(vm_id)
        if not live_ids:
            return None
        self._unprobed_vm_ids = sorted(live_ids)
        self._rng.shuffle(self._unprobed_vm_ids)
        return self._table.find(self._unprobed_vm_ids.pop())

    def next_zones(self, known: tuple[str, ...]) -> tuple[str, ...]:
        """Return the zones to probe in this period.

        Parameters
        ----------
        known : tuple of str
            All known zones, with or without the own one.

        Returns
        -------
        tuple of str
            Enough that the VMs of this zone together probe each other zone about
            once a period; at most `MAX_ZONE_PROBES`, which bounds the work of
            small zones.
        """
        others = {zone for zone in known if zone != self._table.own.zone}
        own_count = max(1, len(self._table.own_view.live))
        count = min(MAX_ZONE_PROBES, len(others), math.ceil(len(others) / own_count))
        chosen: list[str] = []
        while len(chosen) < count:
            if not self._unprobed_zones:
                self._unprobed_zones = sorted(others)
                self._rng.shuffle(self._unprobed_zones)
            zone = self._unprobed_zones.pop()
            if zone in others and zone not in chosen:
                chosen.append(zone)
        return tuple(chosen)

    def sample(
        self, zone: str, count: int, *, exclude: str = ""
    ) -> tuple[pm.MemberRecord, ...]:
        """Return up to `count` random live VMs of a zone, never the own VM."""
        excluded = (self._table.own.vm_id, exclude)
        view = self._table.view_by_zone.get(zone)
        found = [one for one in view.live if one.vm_id not in excluded] if view else []
        return tuple(self._rng.sample(found, min(count, len(found))))

    def choose_seed(self) -> pm.MemberRecord | None:
        """Return a random seed that is still to be reached; None if there is none.

        A seed qualifies unless its VM is known to be live or, for a seed of another
        zone, any VM of that zone is.
        """
        unreached = [
            seed for seed in self._seed_by_address.values() if self._is_unreached(seed)
        ]
        return self._rng.choice(unreached) if unreached else None

    def _is_unreached(self, seed: pm.MemberRecord) -> bool:
        if seed.vm_id:
            if self._table.is_live(seed.vm_id):
                return False
        elif self._table.has_live_address(seed.address):
            return False
        if not seed.zone or seed.zone == self._table.own.zone:
            return True
        view = self._table.view_by_zone.get(seed.zone)
        return view is None or not view.live
