"""Connections that arrive while a server stops."""

import socket

import anyio
import anyio.lowlevel
import pytest

from foxtailbank.clock import SystemClock
from foxtailbank.http1.server import Server
from foxtailbank.http1.server_limits import ServerLimits

pytestmark = pytest.mark.anyio
HOST, PORT = "127.0.0.47", 18_490
ROUNDS = 50
START_TIMEOUT_S = 10


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def refuse(request, responder):
    await responder.respond(status=503)


def make_server():
    return Server(
        address=f"{HOST}:{PORT}",
        handler=refuse,
        limits=ServerLimits,
        clock=SystemClock(),
        on_handler_error=lambda error: None,
    )


async def connect():
    """Connect as soon as the server listens."""
    with anyio.fail_after(START_TIMEOUT_S):
        while True:
            try:
                return socket.create_connection((HOST, PORT))
            except ConnectionRefusedError:
                await anyio.sleep(0.01)


# Guards against InvalidStateError of the event loop, which ends a process or a test,
# when a connection arrives in the turn of the loop in which the server is cancelled.
async def test_a_connection_in_the_turn_of_a_cancellation_does_no_harm():
    for _ in range(ROUNDS):
        async with anyio.create_task_group() as group:
            group.start_soon(make_server().run)
            client = await connect()
            await anyio.lowlevel.checkpoint()
            group.cancel_scope.cancel()
        client.close()
