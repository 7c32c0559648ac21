"""Continuous batching of the engine stand-in."""

import collections
import typing as t

import anyio
import msgspec

from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank_bench.engine_stream import EngineStream
from foxtailbank_bench.prefix_cache import BLOCK_BYTES, BYTES_PER_TOKEN, PrefixCache

US_PER_MS = 1_000
BLOCK_TOKENS = BLOCK_BYTES // BYTES_PER_TOKEN


class EngineRates(msgspec.Struct, frozen=True, kw_only=True):
    """Speed and capacity of an engine.

    Attributes
    ----------
    base_step_ms : float
        Duration of a step with an empty batch, in milliseconds.
    per_stream_ms : float
        Additional duration per running stream, in milliseconds.
    prefill_us_per_token : float
        Additional duration per uncached prompt token, in microseconds.
    max_running : int
        Maximum number of streams in the running batch.
    max_waiting : int
        Maximum number of admitted requests that wait for a slot.
    """

    base_step_ms: float = 20.0
    per_stream_ms: float = 0.25
    prefill_us_per_token: float = 100.0
    max_running: int = 32
    max_waiting: int = 256


class StepLoop:
    """Runs streams in one continuous batch, in order of arrival.

    Parameters
    ----------
    rates : EngineRates
        Speed and capacity of the engine.
    cache : PrefixCache
        Prefixes that need no prefill.
    clock : Clock
        Source of time.
    on_start : callable
        Called with each stream that enters the running batch.
    on_change : callable
        Called after each change of the batch or the queue.
    """

    def __init__(
        self,
        *,
        rates: EngineRates,
        cache: PrefixCache,
        clock: Clock,
        on_start: t.Callable[[EngineStream], None],
        on_change: t.Callable[[], None],
    ) -> None:
        self._rates = rates
        self._cache = cache
        self._clock = clock
        self._on_start = on_start
        self._on_change = on_change
        self._waiting: collections.deque[EngineStream] = collections.deque()
        self._running: list[EngineStream] = []
        self._stream_admitted = anyio.Event()
        self.slow_factor = 1.0
        self.step_ms = 0.0

    @property
    def running(self) -> int:
        """Number of streams in the running batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of admitted requests that wait for a slot."""
        return len(self._waiting)

    @property
    def is_full(self) -> bool:
        """Whether another request would be refused."""
        free = self._rates.max_running - self.running
        return self.waiting >= self._rates.max_waiting + free

    def admit(self, stream: EngineStream) -> None:
        """Queue a stream for the running batch."""
        self._waiting.append(stream)
        self._on_change()
        self._stream_admitted.set()

    def remove(self, stream: EngineStream) -> None:
        """Remove a stream from the batch or queue and free its slot."""
        if stream in self._running:
            self._running.remove(stream)
        elif stream in self._waiting:
            self._waiting.remove(stream)
        self._on_change()

    def cancel(self, request_id: str) -> bool:
        """Cancel all streams of a request; return whether there were any."""
        found = [
            stream
            for stream in (*self._running, *self._waiting)
            if stream.entry.request_id == request_id
        ]
        for stream in found:
            stream.cancel()
            self.remove(stream)
        return bool(found)

    async def run(self) -> None:
        """Run steps until cancelled."""
        due_s = anyio.current_time()
        while True:
            if not self._running and not self._waiting:
                self._stream_admitted = anyio.Event()
                await self._stream_admitted.wait()
                due_s = anyio.current_time()
            prefill_tokens = self._fill_batch()
            self.step_ms = self._duration_ms(prefill_tokens)
            # The schedule may lag by one step duration at most. Without this bound, a
            # long stall would be followed by a burst of steps without a wait.
            due_s = max(due_s, anyio.current_time() - self.step_ms / MS_PER_S)
            due_s += self.step_ms / MS_PER_S
            await anyio.sleep_until(due_s)
            self._step()

    def _fill_batch(self) -> int:
        prefill_tokens = 0
        while self._waiting and len(self._running) < self._rates.max_running:
            stream = self._waiting.popleft()
            self._running.append(stream)
            self._on_start(stream)
            prefill_tokens += self._prefill(stream)
        return prefill_tokens

    def _prefill(self, stream: EngineStream) -> int:
        cached = self._cache.cached_blocks(stream.prefixes) * BLOCK_TOKENS
        self._cache.store(stream.prefixes, now_ms=self._clock.now_ms())
        return stream.prompt_tokens - cached + stream.entry.resume_at

    def _duration_ms(self, prefill_tokens: int) -> float:
        rates = self._rates
        step_ms = rates.base_step_ms + rates.per_stream_ms * len(self._running)
        step_ms += rates.prefill_us_per_token * prefill_tokens / US_PER_MS
        return step_ms * self.slow_factor

    def _step(self) -> None:
        for stream in self._running:
            stream.advance()
        if any(stream.ended for stream in self._running):
            self._running = [item for item in self._running if not item.ended]
        self._on_change()
