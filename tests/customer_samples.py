"""Customers, their keys and gates for tests."""

import random

from foxtailbank.customers.customer import Customer
from foxtailbank.customers.customer_gate import CustomerGate
from foxtailbank.customers.key_lease import KeyLease
from foxtailbank.entry import key_hash
from foxtailbank.forward.route_table import RouteTable
from serving_fakes import FakeKeyedLog, make_follower, make_logs, make_routes

LEASE_MS = 4_750
PUBLIC_PREFIX = "/public/"


def make_customer(name="acme", keys=("k1",), **changes):
    hashes = frozenset(map(key_hash, keys))
    return Customer(name=name, key_hashes=hashes, **changes)


class GateWorld:
    """A gate whose configuration was complete when the world was made."""

    def __init__(self, clock, *, customers=None, max_age_ms=LEASE_MS):
        self.clock = clock
        self.log = FakeKeyedLog()
        self.follower = make_follower(self.log, None, clock)
        self.routes = RouteTable()
        self.version = 0
        self.put(*(customers if customers is not None else (make_customer(),)))
        self.lease = KeyLease(
            max_age_ms=max_age_ms,
            routes=self.routes,
            logs=make_logs(),
            rng=random.Random(1),
        )
        self.lease.follow(self.follower)
        self.gate = CustomerGate(routes=self.routes, lease=self.lease)

    def put(self, *customers):
        """Apply a further version of the configuration."""
        self.version += 1
        self.routes.apply(make_routes(version=self.version, customers=customers))

    def set_failing(self):
        """Let the last poll of the configuration have failed."""
        self.follower._failing_since_ms = self.clock.now_ms()

    async def serve_reads(self):
        """Serve reads that are asked for; no polls are made."""
        await self.follower._shared_read.serve()
