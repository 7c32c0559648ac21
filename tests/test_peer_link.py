import contextlib

import anyio
import pytest

from foxtailbank import (
    clock,
    exceptions,
    peer_channel,
    peer_client,
    peer_codec,
    peer_handler,
    peer_link,
    peer_server,
)
from foxtailbank import peer_messages as pm

SECRET = b"k" * 32
WAIT_MS = 20_000


class RecordingHandler(peer_handler.PeerHandler):
    """Echoes reports, refuses cancellations and records notices."""

    def __init__(self):
        self.notices = []
        self.notice_received = anyio.Event()

    async def handle_request(self, peer_id, message):
        if isinstance(message, pm.Report):
            return message
        if isinstance(message, pm.CancelNotice):
            raise exceptions.NotReady(detail="later", retry_after_ms=40)
        raise exceptions.MessageUnsupported()

    def handle_notice(self, peer_id, message):
        self.notices.append((peer_id, message))
        self.notice_received.set()


@contextlib.asynccontextmanager
async def serve(handler, *, secret=SECRET, vm_id="b", port=0):
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    server = peer_server.PeerServer(
        own_hello=pm.Hello(vm_id=vm_id), secret=secret, handler=handler
    )
    async with listener, anyio.create_task_group() as tasks:
        await tasks.start(server.run, listener)
        yield f"127.0.0.1:{port}", server
        tasks.cancel_scope.cancel()


def client_to(address, *, secret=SECRET, config=None):
    return peer_client.PeerClient(
        own_hello=pm.Hello(vm_id="a"),
        secret=secret,
        clock=clock.SystemClock(),
        resolve_address={"b": address}.get,
        config=config,
    )


@pytest.mark.anyio
async def test_requests_in_flight_get_their_own_answers():
    async with serve(RecordingHandler()) as (address, _), client_to(address) as client:
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
async def test_notice_is_delivered_with_its_sender():
    handler = RecordingHandler()
    async with serve(handler) as (address, _), client_to(address) as client:
        notice = pm.OnlineDispatched(endpoint_id="e", count=1)
        client.notify("b", notice)
        with anyio.fail_after(WAIT_MS / 1000):
            await handler.notice_received.wait()
    assert handler.notices == [("a", notice)]


@pytest.mark.anyio
@pytest.mark.parametrize(
    "message,error",
    [
        (pm.CancelNotice(job_id="j"), exceptions.PeerRefused),
        (pm.PayloadRequest(offset=1), exceptions.MessageUnsupported),
    ],
)
async def test_error_replies_raise_typed_errors(message, error):
    async with serve(RecordingHandler()) as (address, _), client_to(address) as client:
        with pytest.raises(error):
            await client.request("b", message, timeout_ms=WAIT_MS)


@pytest.mark.anyio
async def test_wrong_secret_is_rejected_by_both_sides():
    handler = RecordingHandler()
    async with (
        serve(handler) as (address, server),
        client_to(address, secret=b"w" * 32) as client,
    ):
        client.notify("b", pm.CancelNotice(job_id="j"))
        with pytest.raises(exceptions.PeerUnreachable):
            await client.request("b", pm.Report(name="r", content=b""), timeout_ms=2000)
        assert server.rejected_count >= 1
    assert handler.notices == []


REPORT = pm.Report(name="r", content=b"x")
FAST_CONFIG = peer_channel.ChannelConfig(
    ping_after_ms=40, stall_timeout_ms=200, min_backoff_ms=10, max_backoff_ms=50
)


class Relay:
    """Forwards bytes; can stall or break the connections that are open."""

    def __init__(self, address):
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.last_stalled = 0
        self.connection_count = 0
        self.streams = []

    async def serve(self, stream):
        self.connection_count += 1
        number = self.connection_count
        target = await anyio.connect_tcp(self.host, self.port)
        self.streams += [stream, target]
        async with stream, target, anyio.create_task_group() as tasks:
            tasks.start_soon(self.copy, number, stream, target)
            tasks.start_soon(self.copy, number, target, stream)

    async def copy(self, number, source, target):
        with contextlib.suppress(*peer_link.CONNECTION_ERRORS):
            async for data in source:
                if number > self.last_stalled:
                    await target.send(data)
        with contextlib.suppress(*peer_link.CONNECTION_ERRORS):
            await target.send_eof()

    async def break_all(self):
        for stream in self.streams:
            await anyio.aclose_forcefully(stream)


@contextlib.asynccontextmanager
async def relay_to(address):
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    relay = Relay(address)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, relay.serve)
        yield relay, f"127.0.0.1:{port}"
        tasks.cancel_scope.cancel()


async def request_until_answered(client):
    with anyio.fail_after(WAIT_MS / 1000):
        while True:
            try:
                return await client.request("b", REPORT, timeout_ms=WAIT_MS)
            except exceptions.PeerUnreachable:
                await anyio.sleep(0.01)


@pytest.mark.anyio
async def test_stalled_connection_is_replaced():
    async with (
        serve(RecordingHandler()) as (address, _),
        relay_to(address) as (relay, relayed),
        client_to(relayed, config=FAST_CONFIG) as client,
    ):
        assert await client.request("b", REPORT, timeout_ms=WAIT_MS) == REPORT
        relay.last_stalled = relay.connection_count
        with pytest.raises(exceptions.PeerUnreachable):
            await client.request("b", REPORT, timeout_ms=WAIT_MS)
        assert await request_until_answered(client) == REPORT
        assert relay.connection_count > relay.last_stalled


@pytest.mark.anyio
async def test_broken_connection_fails_requests_and_is_renewed():
    async with (
        serve(RecordingHandler()) as (address, _),
        relay_to(address) as (relay, relayed),
        client_to(relayed, config=FAST_CONFIG) as client,
    ):
        assert await client.request("b", REPORT, timeout_ms=WAIT_MS) == REPORT
        await relay.break_all()
        assert await request_until_answered(client) == REPORT


@pytest.mark.anyio
async def test_slow_answer_times_out_and_the_link_stays_usable():
    class Slow(RecordingHandler):
        async def handle_request(self, peer_id, message):
            if isinstance(message, pm.CancelNotice):
                await anyio.sleep_forever()
            return message

    async with (
        serve(Slow()) as (address, _),
        client_to(address, config=FAST_CONFIG) as client,
    ):
        with pytest.raises(exceptions.PeerTimeout):
            await client.request("b", pm.CancelNotice(job_id="j"), timeout_ms=600)
        assert await client.request("b", REPORT, timeout_ms=WAIT_MS) == REPORT
        assert client.connection_count("b") == 1


@pytest.mark.anyio
async def test_full_queue_raises_peer_queue_full():
    config = peer_channel.ChannelConfig(max_queued=3)
    async with client_to("127.0.0.1:1", config=config) as client:
        for _ in range(3):
            client.notify("b", REPORT)
        with pytest.raises(exceptions.PeerQueueFull):
            client.notify("b", REPORT)


@pytest.mark.anyio
@pytest.mark.parametrize(
    "vm_id,message,error",
    [
        ("unknown", REPORT, exceptions.PeerUnreachable),
        ("b", pm.Report(name="r", content=b"x" * 2**21), exceptions.FrameTooLarge),
    ],
    ids=["address", "size"],
)
async def test_unsendable_notice_raises_at_once(vm_id, message, error):
    async with client_to("127.0.0.1:1") as client:
        with pytest.raises(error):
            client.notify(vm_id, message)


@pytest.mark.anyio
async def test_answer_that_is_too_large_becomes_a_refusal():
    class Large(RecordingHandler):
        async def handle_request(self, peer_id, message):
            return pm.Report(name="r", content=bytes(range(1, 256)) * 2**13)

    async with serve(Large()) as (address, _), client_to(address) as client:
        with pytest.raises(exceptions.PeerRefused):
            await client.request("b", REPORT, timeout_ms=WAIT_MS)


@pytest.mark.anyio
async def test_another_vm_at_the_address_is_not_used():
    handler = RecordingHandler()
    async with (
        serve(handler, vm_id="c") as (address, _),
        client_to(address, config=FAST_CONFIG) as client,
    ):
        with pytest.raises(exceptions.PeerUnreachable):
            await client.request("b", REPORT, timeout_ms=WAIT_MS)
    assert handler.notices == []


@pytest.mark.anyio
async def test_garbage_from_one_client_does_not_affect_others():
    async with (
        serve(RecordingHandler()) as (address, server),
        client_to(address) as client,
    ):
        host, _, port = address.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(b"\xff" * 200)
            with contextlib.suppress(*peer_link.CONNECTION_ERRORS):
                for _ in range(100):
                    await stream.receive()
        assert await client.request("b", REPORT, timeout_ms=WAIT_MS) == REPORT
        assert server.rejected_count == 1


@pytest.mark.anyio
async def test_kind_of_a_later_version_is_answered_as_unsupported(monkeypatch):
    def decode_none(data):
        envelope = decode(data)
        if isinstance(envelope.message, pm.CancelNotice):
            raise peer_codec.UnsupportedMessage(
                correlation=envelope.correlation, is_reply=envelope.is_reply
            )
        return envelope

    decode = peer_codec.decode
    monkeypatch.setattr(peer_codec, "decode", decode_none)
    async with serve(RecordingHandler()) as (address, _), client_to(address) as client:
        with pytest.raises(exceptions.MessageUnsupported):
            notice = pm.CancelNotice(job_id="j")
            await client.request("b", notice, timeout_ms=WAIT_MS)
        assert await client.request("b", REPORT, timeout_ms=WAIT_MS) == REPORT


@pytest.mark.anyio
async def test_queued_notice_is_sent_once_the_peer_is_alive():
    # Crash reports must not be delayed by a long reconnection backoff.
    handler = RecordingHandler()
    async with serve(RecordingHandler()) as (free_address, _):
        pass
    port = int(free_address.rpartition(":")[2])
    config = peer_channel.ChannelConfig(min_backoff_ms=WAIT_MS * 10)
    async with client_to(free_address, config=config) as client:
        with pytest.raises(exceptions.PeerUnreachable):
            await client.request("b", REPORT, timeout_ms=WAIT_MS)
        notice = pm.OnlineDispatched(endpoint_id="e", count=1)
        client.notify("b", notice)
        async with serve(handler, port=port):
            client.on_peer_alive("b")
            with anyio.fail_after(WAIT_MS / 1000):
                await handler.notice_received.wait()
    assert handler.notices == [("a", notice)]
