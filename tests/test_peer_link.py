import contextlib

import anyio
import pytest

from foxtailbank import clock, exceptions, peer_client, peer_handler, peer_server
from foxtailbank import peer_messages as pm

SECRET = b"k" * 32
WAIT_MS = 20_000


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Recorder(peer_handler.PeerHandler):
    """Answers reports, refuses cancellations, records notices."""

    def __init__(self):
        self.notices = []
        self.noticed = anyio.Event()

    async def request(self, peer_id, message):
        if isinstance(message, pm.Report):
            return message
        if isinstance(message, pm.CancelNotice):
            raise exceptions.NotReady(detail="later", retry_after_ms=40)
        raise exceptions.MessageUnsupported()

    def notice(self, peer_id, message):
        self.notices.append((peer_id, message))
        self.noticed.set()


@contextlib.asynccontextmanager
async def serve(handler, *, secret=SECRET, vm_id="b"):
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    server = peer_server.PeerServer(
        own=pm.Hello(vm_id=vm_id), secret=secret, handler=handler
    )
    async with listener, anyio.create_task_group() as tasks:
        await tasks.start(server.run, listener)
        yield f"127.0.0.1:{port}", server
        tasks.cancel_scope.cancel()


def client_to(address, *, secret=SECRET, config=None):
    return peer_client.PeerClient(
        own=pm.Hello(vm_id="a"),
        secret=secret,
        clock=clock.SystemClock(),
        resolve={"b": address}.get,
        config=config,
    )


@pytest.mark.anyio
async def test_requests_in_flight_get_their_own_answers():
    async with serve(Recorder()) as (address, _), client_to(address) as client:
        answers = {}

        async def ask(name):
            report = pm.Report(name=name, content=b"x" * 1000)
            answers[name] = await client.request("b", report, timeout_ms=WAIT_MS)

        async with anyio.create_task_group() as tasks:
            for index in range(200):
                tasks.start_soon(ask, f"r{index}")
        assert len(answers) == 200
        assert all(answer.name == name for name, answer in answers.items())


@pytest.mark.anyio
async def test_notice_arrives_with_the_sender():
    handler = Recorder()
    async with serve(handler) as (address, _), client_to(address) as client:
        notice = pm.OnlineDispatched(endpoint_id="e", count=1)
        client.notify("b", notice)
        with anyio.fail_after(WAIT_MS / 1000):
            await handler.noticed.wait()
    assert handler.notices == [("a", notice)]


@pytest.mark.anyio
@pytest.mark.parametrize(
    "message,error",
    [
        (pm.CancelNotice(job_id="j"), exceptions.PeerRefused),
        (pm.PayloadRequest(offset=1), exceptions.MessageUnsupported),
    ],
)
async def test_refusals_are_typed(message, error):
    async with serve(Recorder()) as (address, _), client_to(address) as client:
        with pytest.raises(error):
            await client.request("b", message, timeout_ms=WAIT_MS)


@pytest.mark.anyio
async def test_wrong_secret_is_rejected_by_both_sides():
    handler = Recorder()
    async with (
        serve(handler) as (address, server),
        client_to(address, secret=b"w" * 32) as client,
    ):
        client.notify("b", pm.CancelNotice(job_id="j"))
        with pytest.raises(exceptions.PeerUnreachable):
            await client.request("b", pm.Report(name="r", content=b""), timeout_ms=2000)
        assert server.rejected_count >= 1
    assert handler.notices == []
