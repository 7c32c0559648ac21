"""Endpoints that this VM may route to, by pool."""

import typing as t

from foxtailbank.backend import Backend
from foxtailbank.drain import DrainSource
from foxtailbank.endpoint import PlainService
from foxtailbank.vm_list import Vm, VmRole, VmState

ServiceFactory = t.Callable[[Vm], PlainService]


class EndpointDirectory:
    """Holds one backend for each listed endpoint VM.

    Parameters
    ----------
    factory : callable
        Makes the service adapter of a listed VM.

    Attributes
    ----------
    backends_by_id : dict of str to Backend
        All known endpoints.
    entry_vms_by_id : dict of str to Vm
        Listed entry VMs.
    """

    def __init__(self, *, factory: ServiceFactory) -> None:
        self._factory = factory
        self.backends_by_id: dict[str, Backend] = {}
        self.entry_vms_by_id: dict[str, Vm] = {}
        self._backends_by_pool: dict[str, tuple[Backend, ...]] = {}

    def apply(self, vms: t.Sequence[Vm], now_ms: int) -> tuple[Backend, ...]:
        """Apply a new version of the VM list.

        Parameters
        ----------
        vms : sequence of Vm
            All listed VMs.
        now_ms : int
            Present time in milliseconds.

        Returns
        -------
        tuple of Backend
            Backends that are no longer listed; requests in flight there continue.
        """
        self.entry_vms_by_id = {vm.vm_id: vm for vm in vms if vm.role is VmRole.ENTRY}
        listed = {vm.vm_id: vm for vm in vms if vm.role is not VmRole.ENTRY}
        removed = tuple(
            backend
            for backend_id, backend in self.backends_by_id.items()
            if backend_id not in listed
        )
        for backend in removed:
            backend.listed = False
            del self.backends_by_id[backend.endpoint_id]
        for vm in listed.values():
            self._apply_vm(vm, now_ms)
        self._index()
        return removed

    def backends_in_pool(self, name: str) -> tuple[Backend, ...]:
        """Return the backends of a model or service."""
        return self._backends_by_pool.get(name, ())

    def pool_names(self) -> tuple[str, ...]:
        """Return the names of all pools with a listed endpoint."""
        return tuple(self._backends_by_pool)

    def _apply_vm(self, vm: Vm, now_ms: int) -> None:
        known = self.backends_by_id.get(vm.vm_id)
        if known is None or known.vm.address != vm.address:
            known = Backend(vm=vm, service=self._factory(vm))
            self.backends_by_id[vm.vm_id] = known
        known.vm = vm
        known.update_drain_state(
            DrainSource.VM_LIST, vm.state is VmState.LEAVING, now_ms
        )

    def _index(self) -> None:
        by_pool: dict[str, list[Backend]] = {}
        for backend_id in sorted(self.backends_by_id):
            backend = self.backends_by_id[backend_id]
            by_pool.setdefault(backend.vm.pool, []).append(backend)
        self._backends_by_pool = {name: tuple(found) for name, found in by_pool.items()}
