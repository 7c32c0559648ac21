"""The platform stand-in's list of VMs."""

import collections

from foxtailbank.vm_list import Vm


class VmRegistry:
    """VMs by identifier, shown as they were some time ago.

    Parameters
    ----------
    vms : tuple of Vm
        VMs listed from the start.
    """

    def __init__(self, *, vms: tuple[Vm, ...] = ()) -> None:
        self._vms_by_id = {vm.vm_id: vm for vm in vms}
        self._versions: collections.deque[tuple[int, tuple[Vm, ...]]]
        self._versions = collections.deque([(0, vms)])
        self.lag_ms = 0

    def put(self, vm: Vm, *, now_ms: int) -> None:
        """Add or replace a VM."""
        self._vms_by_id[vm.vm_id] = vm
        self._changed(now_ms)

    def delete(self, vm_id: str, *, now_ms: int) -> None:
        """Take a VM off the list; unknown ones are ignored."""
        self._vms_by_id.pop(vm_id, None)
        self._changed(now_ms)

    def listed(self, *, now_ms: int) -> tuple[Vm, ...]:
        """Return the list as it stood one lag before a point in time."""
        shown_ms = now_ms - self.lag_ms
        while len(self._versions) > 1 and self._versions[1][0] <= shown_ms:
            self._versions.popleft()
        return self._versions[0][1]

    def _changed(self, now_ms: int) -> None:
        self._versions.append((now_ms, tuple(self._vms_by_id.values())))
