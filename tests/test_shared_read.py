"""Reads that concurrent callers share, beside a slow store and callers that leave."""

import anyio
import pytest

from foxtailbank.clock import MS_PER_S, SystemClock
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.shared_read import SharedRead

pytestmark = pytest.mark.anyio
TIMEOUT_MS = 700
RETRY_MS = 200
MAX_AGE_MS = 500
CALLER_COUNT = 20
CALL_INTERVAL_MS = 50


class SlowState:
    """State whose reads take a while; its age counts from when they were sent."""

    def __init__(self, latency_ms):
        self.latency_ms = latency_ms
        self.clock = SystemClock()
        self.reads = 0
        self.complete_ms = None
        self.shared = SharedRead(
            read=self._read,
            timeout_ms=TIMEOUT_MS,
            retry_ms=RETRY_MS,
            clock=self.clock,
        )

    async def _read(self):
        self.reads += 1
        sent_ms = self.clock.now_ms()
        await anyio.sleep(self.latency_ms / MS_PER_S)
        self.complete_ms = sent_ms

    def is_recent(self):
        now_ms = self.clock.now_ms()
        return self.complete_ms is not None and now_ms - self.complete_ms <= MAX_AGE_MS

    async def refresh(self, outcomes):
        try:
            await self.shared.run_until(self.is_recent)
        except FoxtailbankError as failure:
            outcomes.append(type(failure))
        else:
            outcomes.append(None)


# A read that took longer than the greatest age was sent again, and the caller refused.
@pytest.mark.parametrize("latency_ms", [50, 300, 520, 620])
async def test_a_read_sent_after_the_call_is_enough(latency_ms):
    state = SlowState(latency_ms)
    outcomes = []
    async with anyio.create_task_group() as group:
        group.start_soon(state.shared.serve)
        await state.refresh(outcomes)
        group.cancel_scope.cancel()
    assert outcomes == [None]
    assert state.reads == 1


# A caller that gave up cancelled the read that others waited for, and all were refused.
@pytest.mark.parametrize("latency_ms", [50, 200, 300])
async def test_callers_that_leave_end_no_read_of_others(latency_ms):
    state = SlowState(latency_ms)
    outcomes = []
    async with anyio.create_task_group() as group:
        group.start_soon(state.shared.serve)
        async with anyio.create_task_group() as callers:
            for number in range(CALLER_COUNT):
                if number % 2:
                    callers.start_soon(state.refresh, outcomes)
                else:
                    callers.start_soon(_refresh_and_leave, state)
                await anyio.sleep(CALL_INTERVAL_MS / MS_PER_S)
        group.cancel_scope.cancel()
    assert outcomes == [None] * (CALLER_COUNT // 2)


async def _refresh_and_leave(state):
    with anyio.move_on_after(CALL_INTERVAL_MS / 2 / MS_PER_S):
        await state.refresh([])
