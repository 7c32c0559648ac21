"""Paced reading merges events into fewer chunks and loses none of them."""

import anyio
import pytest

from foxtailbank.clock import SystemClock
from foxtailbank.http1.client_channel import ClientChannel
from foxtailbank.http1.failures import ResponseTimeout
from foxtailbank.submissions.paced_reading import read_paced
from foxtailbank_platform.headers import EXPECTED_WORKER
from foxtailbank_soak.worker import WorkerStandIn, encode_event
from serving_fakes import FakeResponse

pytestmark = pytest.mark.anyio
CLOCK = SystemClock()
ADDRESS = "127.0.0.43:18481"
EVENTS = 40


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def test_events_in_quick_succession_are_read_together_and_completely():
    worker = WorkerStandIn("w1", ADDRESS, clock=CLOCK, events=EVENTS)
    async with anyio.create_task_group() as group:
        group.start_soon(worker.server.run)
        await anyio.sleep(0.1)
        channel = await ClientChannel.connect(
            address=ADDRESS, clock=CLOCK, timeout_ms=1_000
        )
        headers = (("Host", "h"), (EXPECTED_WORKER, "w1"))
        await channel.send(method="POST", target="/b/", headers=headers, body=b"")
        await channel.receive_head(5_000)
        parts = [part async for part in read_paced(channel, gap_ms=5_000)]
        await channel.aclose()
        group.cancel_scope.cancel()
    assert len(parts) < EVENTS / 2
    assert b"".join(parts) == b"".join(encode_event(n + 1) for n in range(EVENTS))


async def test_a_failure_within_the_body_is_raised():
    answer = FakeResponse(parts=(b"a", ResponseTimeout(detail="x")))
    received = []
    with pytest.raises(ResponseTimeout):
        async for part in read_paced(answer, gap_ms=100):
            received.append(part)
    assert received == [b"a"]
