"""Coalescing of events when a large fleet of small VMs forwards many streams."""

import anyio
import pytest

from foxtailbank.fleet.report_intervals import SMALL_GROUP, PeerGroup
from foxtailbank.forward.route import RouteKind
from foxtailbank.forward.stream_pacer import StreamPacer
from foxtailbank_soak.worker import encode_event
from serving_fakes import FakeResponder, FakeResponse, ServingWorld, make_route

pytestmark = pytest.mark.anyio
EVENTS = 40
EVENT_GAP_MS = 5
ALL_EVENTS = b"".join(encode_event(number + 1) for number in range(EVENTS))


class SteadyResponse(FakeResponse):
    """Response whose events arrive one by one; a read returns all that have arrived."""

    def __init__(self, *, clock):
        super().__init__()
        self._clock = clock
        self._start_ms = clock.now_ms()
        self._events_read = 0

    @property
    def is_complete(self):
        return self._events_read == EVENTS

    async def next_chunk(self, timeout_ms):
        if self.is_complete:
            return None
        while self._available_events() <= self._events_read:
            await anyio.sleep(EVENT_GAP_MS / 1000)
        first, self._events_read = self._events_read, self._available_events()
        return b"".join(encode_event(n + 1) for n in range(first, self._events_read))

    def _available_events(self):
        age_ms = self._clock.now_ms() - self._start_ms
        return min(EVENTS, 1 + age_ms // EVENT_GAP_MS)


class RecordingResponder(FakeResponder):
    def __init__(self):
        super().__init__()
        self.writes = []

    async def send(self, data):
        self.writes.append(data)
        await super().send(data)


async def serve_stream(*, far, resumable=False):
    world = ServingWorld()
    world.client.script.append(SteadyResponse(clock=world.clock))
    world.fleet.tiers.set_peer_count(PeerGroup.FAR, far)
    world.responder = RecordingResponder()
    route = make_route(kind=RouteKind.STREAM, resumable=resumable)
    return await world.serve(route)


@pytest.mark.parametrize("resumable", [False, True])
async def test_large_fleet_coalesces_whole_events(resumable):
    seen = await serve_stream(far=SMALL_GROUP + 1, resumable=resumable)
    assert seen.complete
    assert seen.body == ALL_EVENTS
    assert len(seen.writes) <= EVENTS / 3
    assert seen.writes[0].count(b"id:") < EVENTS / 3, (
        "the first event is sent without a pause"
    )


@pytest.mark.parametrize(
    ("arrivals_ms", "pass_ms", "pauses_ms"),
    [
        pytest.param((0, 20, 60), 200, [0, 40, 40], id="close-together"),
        pytest.param((0, 41, 82), 200, [0, 0, 0], id="far-apart"),
        pytest.param((0, 41, 50, 91), 200, [0, 0, 40, 40], id="close-together-later"),
        pytest.param((0, 10, 30), 50, [0, 20, 20], id="low-delay-limit"),
        pytest.param((0, 15, 30), 50, [0, 0, 0], id="low-delay-limit-far-apart"),
    ],
)
def test_pause_only_when_events_are_close_together(arrivals_ms, pass_ms, pauses_ms):
    pace = StreamPacer(pass_ms=pass_ms)
    assert [pace.pause_ms(now_ms) for now_ms in arrivals_ms] == pauses_ms


async def test_no_pause_after_response_is_complete(monkeypatch):
    world = ServingWorld(CompleteResponse(parts=(ALL_EVENTS,)))
    world.fleet.tiers.set_peer_count(PeerGroup.FAR, SMALL_GROUP + 1)
    sleeps = []

    async def sleep(seconds):
        sleeps.append(seconds)

    monkeypatch.setattr(anyio, "sleep", sleep)
    seen = await world.serve(make_route(kind=RouteKind.STREAM))
    assert seen.complete
    assert sleeps == []


class CompleteResponse(FakeResponse):
    is_complete = True
