"""Tracks the catalogue offset that each VM has applied."""

import typing as t


class AppliedOffsets:
    """Applied offsets by VM, and by zone as reported by its VMs."""

    def __init__(self) -> None:
        self._offset_by_vm_id: dict[str, int] = {}
        self._offset_by_zone: dict[str, int] = {}

    def update(self, vm_id: str, offset: int) -> None:
        """Update a VM's offset, which never decreases within an incarnation."""
        self._offset_by_vm_id[vm_id] = max(offset, self._offset_by_vm_id.get(vm_id, -1))

    def remove(self, vm_id: str) -> None:
        """Remove a VM that stopped or restarted."""
        self._offset_by_vm_id.pop(vm_id, None)

    def update_zone(self, zone: str, offset: int) -> None:
        """Set another zone's offset, as reported by one of its VMs."""
        self._offset_by_zone[zone] = offset

    def lowest(self, vm_ids: t.Iterable[str]) -> int:
        """Return the lowest offset applied by the given VMs; -1 if unknown."""
        offsets = (self._offset_by_vm_id.get(vm_id, -1) for vm_id in vm_ids)
        return min(offsets, default=-1)

    def zone_offset(self, zone: str) -> int:
        """Return the offset applied by all VMs of another zone; -1 if unknown."""
        return self._offset_by_zone.get(zone, -1)
