"""Leases in memory."""

from foxtailbank.keyed_log import StoreRefused
from foxtailbank.lease_table import LeaseTable


class FakeLeases(LeaseTable):
    """Leases in memory; `held` contains strings of the form ``vm/incarnation``."""

    def __init__(self):
        self.held = set()
        self.up = True
        self.renewals = 0

    async def renew(self):
        self.renewals += 1

    async def release(self):
        return None

    async def is_held(self, *, vm_id, incarnation):
        if not self.up:
            raise StoreRefused()
        return f"{vm_id}/{incarnation}" in self.held
