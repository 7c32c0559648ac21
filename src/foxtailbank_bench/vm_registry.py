"""VM list of the platform stand-in."""

import collections

from foxtailbank.vm_list import Vm


class VmRegistry:
    """VM list whose reads return the state of `lag_ms` ago.

    Parameters
    ----------
    vms : tuple of Vm
        Initial VM list.

    Attributes
    ----------
    lag_ms : int
        Age of the list that reads return, in milliseconds.
    """

    def __init__(self, *, vms: tuple[Vm, ...] = ()) -> None:
        self._vms_by_id = {vm.vm_id: vm for vm in vms}
        self._versions: collections.deque[tuple[int, tuple[Vm, ...]]]
        self._versions = collections.deque([(0, vms)])
        self.lag_ms = 0

    def put(self, vm: Vm, *, now_ms: int) -> None:
        """Add or replace a VM."""
        self._vms_by_id[vm.vm_id] = vm
        self._add_version(now_ms)

    def delete(self, vm_id: str, *, now_ms: int) -> None:
        """Remove a VM; unknown identifiers are ignored."""
        self._vms_by_id.pop(vm_id, None)
        self._add_version(now_ms)

    def listed(self, *, now_ms: int) -> tuple[Vm, ...]:
        """Return the list as it was `lag_ms` before `now_ms`."""
        as_of_ms = now_ms - self.lag_ms
        while len(self._versions) > 1 and self._versions[1][0] <= as_of_ms:
            self._versions.popleft()
        return self._versions[0][1]

    def _add_version(self, now_ms: int) -> None:
        self._versions.append((now_ms, tuple(self._vms_by_id.values())))
