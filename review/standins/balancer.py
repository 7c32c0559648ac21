"""The platform's address: it selects the VM of each new channel."""

import asyncio
import random

from review.standins.fleet import Fleet, Vm

ASK_PERIOD_S = 1.0
MISSES = 2


class Balancer:
    """Asks each VM once a second whether it is ready, and leaves out those that miss.

    If fewer than half of the zone's VMs are in rotation, all of them are used.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._misses = {vm.vm_id: 0 for vm in fleet.vms}
        self._rng = random.Random(37)

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await asyncio.gather(*(self._ask(vm) for vm in self._fleet.vms))
            await asyncio.sleep(ASK_PERIOD_S)

    def choose(self) -> Vm:
        """Return the VM of a new channel."""
        vms = self._fleet.vms
        rotation = [vm for vm in vms if self._misses[vm.vm_id] < MISSES]
        return self._rng.choice(vms if 2 * len(rotation) < len(vms) else rotation)

    async def _ask(self, vm: Vm) -> None:
        is_ready = await self._fleet.is_ready(vm)
        known = self._misses[vm.vm_id]
        self._misses[vm.vm_id] = 0 if is_ready else known + 1
