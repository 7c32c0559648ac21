"""Pattern: a large fleet of small VMs passes on many streams of short events."""

import anyio
import pytest

from foxtailbank.fleet.report_pace import SMALL_GROUP, PeerGroup
from foxtailbank.forward.route import RouteKind
from foxtailbank.forward.stream_pace import StreamPace
from foxtailbank_soak.worker import event_of
from serving_fakes import FakeAnswer, FakeResponder, ServingWorld, make_route

pytestmark = pytest.mark.anyio
EVENTS = 40
EVENT_GAP_MS = 5
WHOLE = b"".join(event_of(number + 1) for number in range(EVENTS))


@pytest.fixture
def anyio_backend():
    return "asyncio"


class SteadyAnswer(FakeAnswer):
    """Answer whose events come one by one; a read returns all that have come."""

    def __init__(self, *, clock):
        super().__init__()
        self._clock = clock
        self._start_ms = clock.now_ms()
        self._read = 0

    @property
    def is_complete(self):
        return self._read == EVENTS

    async def next_part(self, timeout_ms):
        if self.is_complete:
            return None
        while self._come() <= self._read:
            await anyio.sleep(EVENT_GAP_MS / 1000)
        first, self._read = self._read, self._come()
        return b"".join(event_of(n + 1) for n in range(first, self._read))

    def _come(self):
        age_ms = self._clock.now_ms() - self._start_ms
        return min(EVENTS, 1 + age_ms // EVENT_GAP_MS)


class CountingResponder(FakeResponder):
    def __init__(self):
        super().__init__()
        self.pieces = []

    async def send(self, data):
        self.pieces.append(data)
        await super().send(data)


async def serve_stream(*, far, resumable=False):
    world = ServingWorld()
    world.client.script.append(SteadyAnswer(clock=world.clock))
    world.fleet.neighbourhood.count_peers(PeerGroup.FAR, far)
    world.responder = CountingResponder()
    route = make_route(kind=RouteKind.STREAM, resumable=resumable)
    return await world.serve(route)


@pytest.mark.parametrize("resumable", [False, True])
async def test_events_of_a_large_fleet_travel_together_and_whole(resumable):
    seen = await serve_stream(far=SMALL_GROUP + 1, resumable=resumable)
    assert seen.complete
    assert seen.body == WHOLE
    assert len(seen.pieces) <= EVENTS / 3
    assert seen.pieces[0].count(b"id:") < EVENTS / 3, "the first one goes on at once"


@pytest.mark.parametrize(
    ("arrivals_ms", "pass_ms", "pauses_ms"),
    [
        pytest.param((0, 20, 60), 200, [0, 40, 40], id="close-together"),
        pytest.param((0, 41, 82), 200, [0, 0, 0], id="far-apart"),
        pytest.param((0, 41, 50, 91), 200, [0, 0, 40, 40], id="closer-later"),
        pytest.param((0, 10, 30), 50, [0, 20, 20], id="a-strict-deployment"),
        pytest.param((0, 15, 30), 50, [0, 0, 0], id="strict-and-far-apart"),
    ],
)
def test_only_events_that_a_pause_joins_are_let_gather(arrivals_ms, pass_ms, pauses_ms):
    pace = StreamPace(pass_ms=pass_ms)
    assert [pace.pause_ms(now_ms) for now_ms in arrivals_ms] == pauses_ms


async def test_an_end_that_has_come_is_not_waited_for(monkeypatch):
    world = ServingWorld(Ended(parts=(WHOLE,)))
    world.fleet.neighbourhood.count_peers(PeerGroup.FAR, SMALL_GROUP + 1)
    sleeps = []

    async def sleep(seconds):
        sleeps.append(seconds)

    monkeypatch.setattr(anyio, "sleep", sleep)
    seen = await world.serve(make_route(kind=RouteKind.STREAM))
    assert seen.complete
    assert sleeps == []


class Ended(FakeAnswer):
    is_complete = True
