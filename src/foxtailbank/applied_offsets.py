"""Which catalogue offset each VM has applied."""

import typing as t


class AppliedOffsets:
    """Offsets by VM, and by zone as its VMs summarise them."""

    def __init__(self) -> None:
        self._offset_by_vm_id: dict[str, int] = {}
        self._offset_by_zone: dict[str, int] = {}

    def note(self, vm_id: str, offset: int) -> None:
        """Note a VM's offset; offsets only grow within an incarnation."""
        self._offset_by_vm_id[vm_id] = max(offset, self._offset_by_vm_id.get(vm_id, -1))

    def forget(self, vm_id: str) -> None:
        """Forget a VM that ended or started anew."""
        self._offset_by_vm_id.pop(vm_id, None)

    def note_zone(self, zone: str, offset: int) -> None:
        """Note what a VM of another zone says of that zone."""
        self._offset_by_zone[zone] = offset

    def lowest(self, vm_ids: t.Iterable[str]) -> int:
        """Return the offset that all of some VMs have applied; -1 if unknown."""
        offsets = (self._offset_by_vm_id.get(vm_id, -1) for vm_id in vm_ids)
        return min(offsets, default=-1)

    def of_zone(self, zone: str) -> int:
        """Return the offset that all VMs of another zone applied; -1 if unknown."""
        return self._offset_by_zone.get(zone, -1)
