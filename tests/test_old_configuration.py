"""Requests for a route of which this VM has not read yet."""

import random
import socket
import types

import anyio
import pytest

from foxtailbank.forward.route_table import RouteTable
from foxtailbank.forward.stop_gate import StopGate
from foxtailbank.http1.connection_budget import unbounded
from foxtailbank.http1.server_connection import ServerConnection
from foxtailbank.http1.server_limits import ServerLimits
from foxtailbank.http1.server_request import ServerRequest
from foxtailbank.http1.socket_stream import BufferlessStream
from foxtailbank.metrics import Metrics
from foxtailbank_platform.ingress import Ingress
from serving_fakes import (
    FakeResponder,
    make_logs,
    make_route,
    make_routes,
    manual_clock,
)

pytestmark = pytest.mark.anyio
HEAD = b"POST /p/x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n"
STEP_S = 0.05
CONFIG_APPLY_MS = 2_000  # later than this a route that was added must be known


class OldVm:
    """A VM whose configuration lacks the route and is of a given age."""

    def __init__(self, *, age_ms=0):
        self.bodies = []
        self.routes = RouteTable()
        self.routes.apply(make_routes(version=1))
        self.routes.set_age_source(lambda: age_ms)
        vm = types.SimpleNamespace(
            gate=StopGate(rng=random.Random(1)),
            routes=self.routes,
            customers=types.SimpleNamespace(admit=self._admit),
            key_lease=types.SimpleNamespace(age_ms=age_ms),
            forwarder=types.SimpleNamespace(serve=self._serve),
            rates=types.SimpleNamespace(admit=self._admit),
        )
        self.ingress = Ingress(
            vm=vm, budget=unbounded(manual_clock()), logs=make_logs(), metrics=Metrics()
        )

    def read_new_route(self):
        self.routes.apply(make_routes(make_route(), version=2))

    async def _admit(self, *_):
        return None

    async def _serve(self, call, route, responder):
        self.bodies.append(call.body)
        await responder.respond(status=200)
        return True


# Guards against a request that reached its worker without its body: the route was read
# between its head and the end of its body, which had been dropped for want of a route.
async def test_body_is_whole_if_the_route_is_read_within_the_request():
    vm = OldVm()
    near, far = socket.socketpair()
    near.setblocking(False)
    connection = ServerConnection(
        stream=BufferlessStream(sock=near),
        handler=vm.ingress.handle,
        limits=ServerLimits,
        draining=lambda: False,
        clock=manual_clock(),
        keeps_body=vm.ingress.keeps_body,
    )
    with far:
        far.sendall(HEAD + b"he")
        async with anyio.create_task_group() as group:
            group.start_soon(connection.serve)
            await anyio.sleep(STEP_S)
            vm.read_new_route()
            far.sendall(b"llo")
            await anyio.sleep(STEP_S)
            far.shutdown(socket.SHUT_WR)
    assert vm.bodies in ([], [b"hello"])


# Guards against a 404 for a route that was added after this VM last read the log.
@pytest.mark.parametrize(
    ("age_ms", "status"), [(0, 404), (CONFIG_APPLY_MS + 1, 503), (None, 503)]
)
async def test_route_is_denied_only_by_a_recent_configuration(age_ms, status):
    responder = FakeResponder()
    request = ServerRequest(
        method="GET", target="/p/x", headers=(("host", "h"),), body=b"", arrived_ms=0
    )
    await OldVm(age_ms=age_ms).ingress.handle(request, responder)
    assert responder.status == status
