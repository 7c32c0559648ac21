"""Clients that take up a stream again at another VM while two versions serve."""

import contextlib
import dataclasses

import anyio
import pytest

from foxtailbank.clock import MS_PER_S
from foxtailbank.http1.client_channel import ClientChannel
from foxtailbank.software_version_log import FIRST_CHECK_MS
from foxtailbank_platform import headers as names
from foxtailbank_soak.worker import encode_event
from platform_deployment import CLOCK, running_deployment

pytestmark = pytest.mark.anyio
NET = "127.0.33"
EVENTS = 6
EVENT_INTERVAL_S = 0.1
STREAMS = 6  # begin at each version with near certainty
RELEASE = ("v1", "v1", "v2", "v2")
STREAM = "/res/x"


@pytest.fixture
def anyio_backend():
    return "asyncio"


@dataclasses.dataclass(kw_only=True)
class Stream:
    """A stream that a client has begun to read."""

    request_id: str
    channel: ClientChannel
    received: bytes = b""


@contextlib.asynccontextmanager
async def running_release(versions=RELEASE):
    """Run workers of two versions and two VMs that follow them."""
    async with running_deployment(net=NET, versions=versions) as deployment:
        for worker in deployment.workers:
            worker.events = EVENTS
            worker.event_interval_s = EVENT_INTERVAL_S
        first_vm = await deployment.start_two_vms()
        await anyio.sleep(1)  # the VMs have heard of each other
        yield deployment, first_vm


async def begin(number, vm=1):
    """Begin a stream and read its first event."""
    request_id = f"first-{number}"
    channel = await ClientChannel.connect(
        address=f"{NET}.1{vm}:18144", clock=CLOCK, timeout_ms=1_000
    )
    headers = (("Host", "h.example"), ("X-Request-Id", request_id))
    await channel.send(method="POST", target=STREAM, headers=headers, body=b"")
    await channel.receive_head(5_000)
    stream = Stream(request_id=request_id, channel=channel)
    while encode_event(1) not in stream.received:
        stream.received += await channel.next_chunk(5_000)
    return stream


async def take_up(stream, number, vm=2):
    """Continue a stream at another VM; return its status and all that was read."""
    after = stream.received.count(b"id: ")
    headers = (
        ("X-Request-Id", f"second-{number}"),
        ("Resumes", stream.request_id),
        ("Last-Event-Id", str(after)),
        ("X-Deadline-Ms", "5000"),
    )
    target = STREAM
    async with _channel(vm) as channel:
        sent = (("Host", "h.example"), *headers)
        await channel.send(method="POST", target=target, headers=sent, body=b"")
        head = await channel.receive_head(10_000)
        body = await channel.read_all(10_000)
    return head, stream.received + body


@contextlib.asynccontextmanager
async def _channel(vm):
    channel = await ClientChannel.connect(
        address=f"{NET}.1{vm}:18144", clock=CLOCK, timeout_ms=1_000
    )
    try:
        yield channel
    finally:
        await channel.aclose()


def versions_by_stream(deployment):
    """Return the software versions that ran each stream, by its number."""
    versions = {}
    for worker in deployment.workers:
        for run in worker.runs:
            number = run.get(names.REQUEST_ID).partition("-")[2]
            versions.setdefault(number, set()).add(worker.software_version)
    return versions


def whole_stream():
    return b"".join(encode_event(number) for number in range(1, EVENTS + 1))


# Guards against a stream that a client takes up again at another software version,
# and against refusals of streams whose version still serves.
@pytest.mark.parametrize("vm_dies", [False, True], ids=["vm-alive", "vm-dead"])
async def test_returning_clients_get_the_version_that_began_their_stream(vm_dies):
    async with running_release() as (deployment, first_vm):
        streams = [await begin(number) for number in range(STREAMS)]
        await anyio.sleep(0.1)
        if vm_dies:
            first_vm.cancel()
        for stream in streams:
            await stream.channel.aclose()
        for number, stream in enumerate(streams):
            head, received = await take_up(stream, number)
            assert head.status == 200
            assert received == whole_stream()
        versions = versions_by_stream(deployment)
        assert [len(versions[str(number)]) for number in range(STREAMS)] == [
            1
        ] * STREAMS
        assert set().union(*versions.values()) == {"v1", "v2"}


# Guards against a stream that goes on at a VM which knows nothing of it yet.
async def test_vm_that_has_just_started_asks_the_others():
    async with running_release() as (deployment, _):
        streams = [await begin(number) for number in range(STREAMS)]
        for stream in streams:
            await stream.channel.aclose()
        await anyio.sleep(4)  # no report of the first VM names these streams any more
        deployment.start_vm(3)
        await deployment.until_ready(3)
        await anyio.sleep(1)
        for number, stream in enumerate(streams):
            head, received = await take_up(stream, number, vm=3)
            assert (head.status, received) == (200, whole_stream())
        versions = versions_by_stream(deployment)
        assert all(len(ran_at) == 1 for ran_at in versions.values())


# Guards against a guess where nobody knows the version that began a stream.
async def test_stream_of_which_no_vm_knows_is_refused_at_once():
    async with running_release() as (deployment, _):
        stream = Stream(request_id="unheard-of", channel=None, received=encode_event(1))
        began_ms = CLOCK.now_ms()
        head, _ = await take_up(stream, 0)
        assert head.status == 503
        assert float(head.get("retry-after")) > 0
        assert CLOCK.now_ms() - began_ms < 500
        assert versions_by_stream(deployment) == {}


# Guards against a stream that goes on at the new version once the old one is gone, or
# at its worker's address once a process of the new version has it.
@pytest.mark.parametrize("address_is_reused", [False, True])
async def test_stream_whose_version_is_gone_is_refused(address_is_reused):
    async with running_release(("v1", "v2")) as (deployment, _):
        old, new = deployment.workers
        deployment.store.put("keyed.servers", new.worker_id, None)
        await anyio.sleep(1.5)
        stream = await begin(0)
        await stream.channel.aclose()
        await anyio.sleep(0.1)
        deployment.store.put("keyed.servers", new.worker_id, new.entry())
        if address_is_reused:
            old.worker_id = "w9"  # the list still names the former process
        else:
            deployment.store.put("keyed.servers", old.worker_id, None)
        await anyio.sleep(1.5)
        head, _ = await take_up(stream, 0)
        assert head.status == 503
        assert head.get("retry-after")
        assert new.runs == []


# Guards against refusals after a restart of all VMs, when one version alone serves.
async def test_stream_goes_on_where_one_version_has_served_for_long(monkeypatch):
    async with running_release(("v1", "v1")):
        monkeypatch.setattr("foxtailbank.fleet.stream_lifetimes.MIN_LIFETIME_MS", 1_000)
        monkeypatch.setattr("foxtailbank.fleet.stream_lifetimes.CLIENT_ATTEMPTS", 0)
        await anyio.sleep(1)
        stream = Stream(request_id="unheard-of", channel=None, received=encode_event(1))
        head, received = await take_up(stream, 0)
        assert (head.status, received) == (200, whole_stream())


# Guards against a stream of two versions, or refusals for 20 s, after all VMs lost
# power at once: none of them remembers it.
@pytest.mark.parametrize(
    ("versions", "status"),
    [
        pytest.param(("v1", "v1"), 200, id="one-version-all-along"),
        pytest.param(("v1", "v2"), 503, id="two-serve"),
        pytest.param(("v1", "v2", "left"), 503, id="old-version-has-just-left"),
    ],
)
async def test_streams_are_taken_up_after_all_vms_were_killed(versions, status):
    async with running_release(versions[:2]) as (deployment, first_vm):
        second_vm = deployment.scope_by_number[2]
        await anyio.sleep(FIRST_CHECK_MS / MS_PER_S + 0.5)
        stream = await begin(0)
        first_vm.cancel()
        second_vm.cancel()
        await stream.channel.aclose()
        if "left" in versions:
            deployment.store.put("keyed.servers", deployment.workers[0].worker_id, None)
        deployment.start_vm(3)
        await deployment.until_ready(3)
        await anyio.sleep(0.5)
        head, received = await take_up(stream, 0, vm=3)
        assert head.status == status
        if status == 200:
            assert received == whole_stream()
        else:
            assert versions_by_stream(deployment)["0"] <= {"v1", "v2"}
            assert len(versions_by_stream(deployment)["0"]) == 1
