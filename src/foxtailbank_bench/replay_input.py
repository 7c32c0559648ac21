"""Engine cost model and synthetic load for the policy simulation."""

import dataclasses
import random

from foxtailbank.preemption import BatchStream


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineModel:
    """Cost model of an engine with continuous batching; times in milliseconds."""

    max_running: int = 64
    base_step_ms: float = 20.0
    per_stream_ms: float = 0.4
    prefill_ms_per_token: float = 0.05
    report_interval_ms: float = 100.0
    report_lag_ms: float = 500.0
    network_ms: float = 1.0

    def tokens_per_ms(self, streams: int) -> float:
        """Return the tokens per millisecond of a batch of `streams` without prefill."""
        return streams / (self.base_step_ms + self.per_stream_ms * streams)


@dataclasses.dataclass(kw_only=True, eq=False)
class ReplayStream:
    """State of an online or batch stream in the simulation."""

    online: bool
    arrived_ms: float
    prompt_tokens: int
    remaining_tokens: int
    done_tokens: int = 0
    deadline_ms: float = 0.0
    cancelled: bool = False
    last_token_ms: float | None = None

    def to_batch_stream(self, number: int) -> BatchStream:
        """Return the stream as a preemption policy sees it."""
        return BatchStream(
            stream_id=f"{number:06}",
            deadline_ms=int(self.deadline_ms),
            prompt_tokens=self.prompt_tokens,
            generated_tokens=self.done_tokens,
            expected_tokens=self.done_tokens + self.remaining_tokens,
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Workload:
    """Online arrivals with periodic bursts, and the mean sizes of batch items."""

    duration_ms: float = 240_000.0
    requests_per_s: float = 0.4
    burst_requests_per_s: float = 6.0
    burst_ms: float = 2500.0
    burst_period_ms: float = 20_000.0
    online_prompt_tokens: int = 200
    online_tokens: int = 80
    batch_prompt_tokens: int = 200
    batch_tokens: int = 200

    def arrivals(self, seed: int) -> list[tuple[float, int]]:
        """Return arrival times in milliseconds and output lengths in tokens."""
        rng = random.Random(seed)
        arrivals = []
        now_ms = 0.0
        while now_ms < self.duration_ms:
            in_burst = now_ms % self.burst_period_ms < self.burst_ms
            rate = self.burst_requests_per_s if in_burst else self.requests_per_s
            interval_ms = rng.expovariate(rate / 1000)
            rate_change_ms = self._next_rate_change_ms(now_ms)
            if now_ms + interval_ms > rate_change_ms:
                now_ms = rate_change_ms
                continue
            now_ms += interval_ms
            output_tokens = 1 + int(rng.expovariate(1 / self.online_tokens))
            arrivals.append((now_ms, output_tokens))
        return arrivals

    def batch_item(self, number: int, now_ms: float) -> ReplayStream:
        """Return a batch item whose sizes and deadline vary with its number."""
        rng = random.Random(number)
        return ReplayStream(
            online=False,
            arrived_ms=now_ms,
            prompt_tokens=rng.randrange(
                self.batch_prompt_tokens // 2, self.batch_prompt_tokens * 3 // 2
            ),
            remaining_tokens=1 + int(rng.expovariate(1 / self.batch_tokens)),
            deadline_ms=now_ms + rng.randrange(3_600_000),
        )

    def _next_rate_change_ms(self, now_ms: float) -> float:
        cycle, phase_ms = divmod(now_ms, self.burst_period_ms)
        offset_ms = self.burst_ms if phase_ms < self.burst_ms else self.burst_period_ms
        return cycle * self.burst_period_ms + offset_ms
