"""Requests that wait until a VM that was frozen has read the configuration."""

import random
import types

import pytest

from customer_samples import GateWorld, make_customer
from foxtailbank.entry import key_hash
from foxtailbank.forward.stop_gate import StopGate
from foxtailbank.http1.connection_budget import unbounded
from foxtailbank.http1.server_request import ServerRequest
from foxtailbank.metrics import Metrics
from foxtailbank.relay.relay_messages import ATTEMPT_HEADER, RelayedAttempt, encode
from foxtailbank_platform.ingress import Ingress
from serving_fakes import (
    FakeResponder,
    make_logs,
    make_route,
    make_routes,
    manual_clock,
)

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class World(GateWorld):
    """A VM that finds a newer version when it renews its lease."""

    def __init__(self, *, found):
        super().__init__(manual_clock())
        self.put_routes(make_route(max_attempts=1))
        self.found = found
        self.served = []
        self.lease.renew = self._renew
        vm = types.SimpleNamespace(
            gate=StopGate(rng=random.Random(1)),
            routes=self.routes,
            customers=self.gate,
            key_lease=self.lease,
            forwarder=types.SimpleNamespace(serve=self._serve),
            relay=types.SimpleNamespace(may_accept=lambda services: True),
            rates=types.SimpleNamespace(admit=self._admit),
        )
        self.ingress = Ingress(
            vm=vm, budget=unbounded(manual_clock()), logs=make_logs(), metrics=Metrics()
        )

    def put_routes(self, *routes):
        customers = (make_customer(),)
        version = self.routes.version + 1
        self.routes.apply(make_routes(*routes, version=version, customers=customers))

    async def _renew(self):
        if self.found is not None:
            self.put_routes(*self.found)
            self.found = None

    async def _admit(self, identity):
        return None  # no limit

    async def _serve(self, call, route, responder, **options):
        self.served.append(route.max_attempts)
        await responder.respond(status=200)
        return True


def make_request(*headers):
    return ServerRequest(
        method="POST",
        target="/p/x",
        headers=(("host", "h"), ("authorization", "Token k1"), *headers),
        body=b"",
        arrived_ms=0,
    )


# Guards against a VM that wakes up, reads that a route has changed or gone, and uses
# the old one still.
@pytest.mark.parametrize(
    ("found", "status", "served"),
    [
        pytest.param(None, 200, [1], id="nothing-new"),
        pytest.param((make_route(max_attempts=3),), 200, [3], id="changed"),
        pytest.param((), 404, [], id="gone"),
    ],
)
async def test_routes_are_those_of_the_reading(found, status, served):
    world = World(found=found)
    responder = FakeResponder()
    await world.ingress.handle(make_request(), responder)
    assert (responder.status, world.served) == (status, served)


async def test_an_attempt_for_another_vm_is_left_to_others():
    world = World(found=())
    attempt = RelayedAttempt(vm_id="vm2", remaining_ms=900, key_hash=key_hash("k1"))
    responder = FakeResponder()
    await world.ingress.handle_relayed(
        make_request((ATTEMPT_HEADER, encode(attempt))), responder
    )
    assert (responder.status, world.served) == (503, [])
