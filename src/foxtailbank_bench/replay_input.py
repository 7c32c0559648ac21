"""Modelled engine and recorded load of a policy replay."""

import dataclasses
import random

from foxtailbank.preemption import BatchStream


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineModel:
    """Cost model of a continuously batching engine; times in milliseconds."""

    max_running: int = 64
    base_ms: float = 20.0
    per_stream_ms: float = 0.4
    prefill_ms_per_token: float = 0.05
    report_interval_ms: float = 100.0
    report_lag_ms: float = 500.0
    network_ms: float = 1.0

    def tokens_per_ms(self, streams: int) -> float:
        """Return the rate of a batch of a given size without prefill."""
        return streams / (self.base_ms + self.per_stream_ms * streams)


@dataclasses.dataclass(kw_only=True, eq=False)
class ReplayStream:
    """A stream in the replay."""

    online: bool
    arrived_ms: float
    prompt: int
    left: int
    done: int = 0
    deadline_ms: float = 0.0
    cancelled: bool = False
    last_token_ms: float | None = None

    def view(self, number: int) -> BatchStream:
        """Return what a preemption policy is told of the stream."""
        return BatchStream(
            stream_id=f"{number:06}",
            deadline_ms=int(self.deadline_ms),
            prompt_tokens=self.prompt,
            done_tokens=self.done,
            expected_tokens=self.done + self.left,
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Workload:
    """Online arrivals with bursts, and the shape of batch items."""

    duration_ms: float = 240_000.0
    requests_per_s: float = 0.4
    burst_requests_per_s: float = 6.0
    burst_ms: float = 2500.0
    burst_every_ms: float = 20_000.0
    online_prompt: int = 200
    online_tokens: int = 80
    batch_prompt: int = 200
    batch_tokens: int = 200

    def arrivals(self, seed: int) -> list[tuple[float, int]]:
        """Return the recorded sequence: arrival times and output lengths."""
        rng = random.Random(seed)
        arrivals = []
        now_ms = 0.0
        while now_ms < self.duration_ms:
            in_burst = now_ms % self.burst_every_ms < self.burst_ms
            rate = self.burst_requests_per_s if in_burst else self.requests_per_s
            step_ms = rng.expovariate(rate / 1000)
            edge_ms = self._next_edge_ms(now_ms)
            if now_ms + step_ms > edge_ms:
                now_ms = edge_ms
                continue
            now_ms += step_ms
            length = 1 + int(rng.expovariate(1 / self.online_tokens))
            arrivals.append((now_ms, length))
        return arrivals

    def item(self, number: int, now_ms: float) -> ReplayStream:
        """Return a batch item; prompts, lengths and deadlines vary."""
        rng = random.Random(number)
        return ReplayStream(
            online=False,
            arrived_ms=now_ms,
            prompt=rng.randrange(self.batch_prompt // 2, self.batch_prompt * 3 // 2),
            left=1 + int(rng.expovariate(1 / self.batch_tokens)),
            deadline_ms=now_ms + rng.randrange(3_600_000),
        )

    def _next_edge_ms(self, now_ms: float) -> float:
        cycle, phase = divmod(now_ms, self.burst_every_ms)
        offset_ms = self.burst_ms if phase < self.burst_ms else self.burst_every_ms
        return cycle * self.burst_every_ms + offset_ms
