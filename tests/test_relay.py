import contextlib

import anyio
import pytest

from foxtailbank import exceptions
from foxtailbank.endpoint import EndpointCall
from foxtailbank.http_endpoint import HttpEndpoint
from foxtailbank_bench.control import StandInControl
from foxtailbank_bench.program import started
from foxtailbank_bench.records_app import RecordsApp
from foxtailbank_bench.relay_app import RelayApp
from foxtailbank_bench.relay_link import RelayLink
from foxtailbank_bench.serving import running

pytestmark = pytest.mark.anyio
TIMEOUT_S = 30
NO_TRAFFIC_S = 0.3
DATAGRAM_COUNT = 50
LOOKUP = EndpointCall(request_id="r", method="GET", path="/contracts/c1")


@contextlib.asynccontextmanager
async def relayed(target):
    link = RelayLink(name="sv-a/sv-b", host="127.0.0.1", target=target)
    with anyio.fail_after(TIMEOUT_S):
        async with (
            running(RelayApp(links=(link,))) as address,
            anyio.create_task_group() as tasks,
        ):
            await tasks.start(link.run)
            control = StandInControl(address=address)
            try:
                yield link.address, control
            finally:
                await control.aclose()
                tasks.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def relayed_records():
    async with running(RecordsApp()) as target, relayed(target) as (address, control):
        endpoint = HttpEndpoint(address=address, head_ms=500)
        try:
            yield endpoint, control
        finally:
            await endpoint.aclose()


@pytest.mark.parametrize("delay_ms", [0, 20])
async def test_traffic_passes_both_ways(delay_ms):
    async with relayed_records() as (endpoint, control):
        await control.set_faults(delay_ms=delay_ms)
        body = b"x" * 1_000_000
        call = EndpointCall(request_id="r", method="POST", path="/echo", body=body)
        for _ in range(3):
            assert body in (await endpoint.call(call)).body


@pytest.mark.parametrize(
    ("mode", "failure"),
    [
        ("cut", exceptions.EndpointFailed),
        ("stall", exceptions.EndpointStalled),
        ("mute", exceptions.EndpointStalled),
        ("refuse", exceptions.EndpointRefused),
    ],
)
@pytest.mark.parametrize("fresh", [False, True])
async def test_each_fault_mode_gives_its_failure_and_recovers(mode, failure, fresh):
    async with relayed_records() as (endpoint, control):
        await control.set_faults(mode=mode, link="sv-a/sv-b")
        call = EndpointCall(
            request_id="r", method="GET", path="/echo", fresh_connection=fresh
        )
        with pytest.raises(failure):
            await endpoint.call(call)
        await control.set_faults(mode="pass")
        assert (await endpoint.call(call)).status == 200


async def test_stalled_connection_stays_silent_after_the_link_recovers():
    async with relayed_records() as (endpoint, control):
        await endpoint.call(LOOKUP)
        await control.set_faults(mode="stall")
        await control.set_faults(mode="pass")
        with pytest.raises(exceptions.EndpointStalled):
            await endpoint.call(LOOKUP)
        assert (await endpoint.call(LOOKUP)).status == 200


@pytest.mark.parametrize("mode", ["cut", "refuse"])
async def test_open_connections_are_reset(mode):
    async with relayed_records() as (endpoint, control):
        await endpoint.call(LOOKUP)
        await control.set_faults(mode=mode)
        with pytest.raises((exceptions.EndpointFailed, exceptions.EndpointRefused)):
            await endpoint.call(LOOKUP)


@pytest.mark.parametrize("change", [{"link": "other"}, {"mode": "sideways"}])
async def test_unknown_changes_are_refused(change):
    async with relayed_records() as (_, control):
        with pytest.raises(exceptions.EndpointFailed):
            await control.set_faults(**change)


async def echo(socket):
    async for data, (host, port) in socket:
        await socket.sendto(data, host, port)


async def receive_or_none(socket):
    with anyio.move_on_after(NO_TRAFFIC_S):
        return await socket.receive()
    return None


@pytest.mark.parametrize("mode", ["cut", "stall", "mute", "refuse"])
async def test_datagrams_are_dropped_unless_the_link_passes(mode):
    target = await anyio.create_udp_socket(local_host="127.0.0.1")
    port = target.extra(anyio.abc.SocketAttribute.local_port)
    async with (
        target,
        relayed(f"127.0.0.1:{port}") as (address, control),
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(echo, target)
        host, _, relay_port = address.partition(":")
        source = await anyio.create_connected_udp_socket(host, int(relay_port))
        async with source:
            await source.send(b"1")
            assert await source.receive() == b"1"
            await control.set_faults(mode=mode)
            await source.send(b"2")
            assert await receive_or_none(source) is None
            await control.set_faults(mode="pass")
            await source.send(b"3")
            assert await source.receive() == b"3"
        tasks.cancel_scope.cancel()


async def test_started_link_forwards_datagrams_after_a_slow_bind(
    monkeypatch,
):
    bind = anyio.create_udp_socket

    async def bind_slowly(**options):
        await anyio.sleep(NO_TRAFFIC_S)
        return await bind(**options)

    async with await bind(local_host="127.0.0.1") as target:
        port = target.extra(anyio.abc.SocketAttribute.local_port)
        monkeypatch.setattr(anyio, "create_udp_socket", bind_slowly)
        async with relayed(f"127.0.0.1:{port}") as (address, _):
            host, _, relay_port = address.partition(":")
            async with await anyio.create_connected_udp_socket(
                host, int(relay_port)
            ) as source:
                await source.send(b"1")
                assert await target.receive()


async def test_many_datagrams_at_once_pass():
    async with await anyio.create_udp_socket(local_host="127.0.0.1") as target:
        port = target.extra(anyio.abc.SocketAttribute.local_port)
        async with (
            relayed(f"127.0.0.1:{port}") as (address, control),
            anyio.create_task_group() as tasks,
        ):
            await control.set_faults(delay_ms=20)
            tasks.start_soon(echo, target)
            host, _, relay_port = address.partition(":")
            async with await anyio.create_connected_udp_socket(
                host, int(relay_port)
            ) as source:
                for number in range(DATAGRAM_COUNT):
                    await source.send(b"%d" % number)
                replies = {await source.receive() for _ in range(DATAGRAM_COUNT)}
            assert len(replies) == DATAGRAM_COUNT
            tasks.cancel_scope.cancel()


async def test_program_lists_its_links():
    arguments = ["--link", "a=127.0.0.1:1", "--link", "b=127.0.0.1:2"]
    with anyio.fail_after(TIMEOUT_S):
        async with started("foxtailbank_bench.relay", *arguments) as program:
            control = StandInControl(address=program.address)
            assert sorted(await control.links()) == ["a", "b"]
            await control.aclose()
        assert program.process.returncode == 0
