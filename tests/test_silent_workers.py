"""Sound workers that send nothing for a second."""

import anyio
import pytest

from foxtailbank.clock import MS_PER_S
from foxtailbank.forward.route import RouteKind
from foxtailbank.http1.failures import ResponseTimeout
from serving_fakes import FakeResponse, ServingWorld, make_route

pytestmark = pytest.mark.anyio
SILENCE_MS = 1_200
FIRST = b"id: 1\ndata: a\n\n"
SECOND = b"id: 2\ndata: b\n\n"
RESUMABLE = make_route(
    kind=RouteKind.STREAM, resumable=True, max_attempts=3, timeout_ms=5_000
)


@pytest.fixture
def anyio_backend():
    return "asyncio"


class PausingResponse(FakeResponse):
    """Response that pauses before each part but the first."""

    async def next_chunk(self, timeout_ms):
        is_first = len(self._parts) == 2
        if not is_first and self._parts:
            await anyio.sleep(min(SILENCE_MS, timeout_ms) / MS_PER_S)
            if timeout_ms < SILENCE_MS:
                raise ResponseTimeout
        return await super().next_chunk(timeout_ms)


# Guards against a run that is cut, and a worker that is avoided, for a short silence.
async def test_stream_of_a_worker_that_is_silent_for_a_second_is_not_cut():
    world = ServingWorld(
        PausingResponse(parts=(FIRST, SECOND)), FakeResponse(parts=(SECOND,))
    )
    seen = await world.serve(RESUMABLE, max_wait_ms=5_000)
    assert (seen.body, seen.complete) == (FIRST + SECOND, True)
    assert len(world.client.sent) == 1
