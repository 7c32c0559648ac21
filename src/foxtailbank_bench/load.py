"""Open-loop load generator; reads a job from standard input, prints a result."""

import functools
import sys
import time

import anyio
import msgspec

from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.http_channel import HttpChannel, OpenAnswer
from foxtailbank.sse import DONE_EVENT
from foxtailbank_bench.latency_histogram import LatencyHistogram, Percentiles
from foxtailbank_bench.load_plan import Arrival, bursts, plan
from foxtailbank_bench.scenario import OnlineLoad

EVENT = b"data: {"
HEAD_MS = 30_000
OK = 200
START_DELAY_S = 0.2


class LoadJob(msgspec.Struct, frozen=True, kw_only=True):
    """What to send.

    Attributes
    ----------
    addresses : tuple of str
        Where to send, in turn.
    key : str
        Caller's key.
    model : str
        Model to ask for.
    load : OnlineLoad
        Rates.
    duration_s : float
        Time within which requests are sent.
    seed : int
        Seed of arrivals and prompts.
    """

    addresses: tuple[str, ...]
    key: str
    model: str
    load: OnlineLoad
    duration_s: float
    seed: int


class LoadResult(msgspec.Struct, frozen=True, kw_only=True):
    """What the callers saw.

    Attributes
    ----------
    ttft, gap : Percentiles
        Time to first token from the intended send time; time between tokens.
    late_send : Percentiles
        How late the generator itself was.
    sent, failed, tokens : int
        Counts; failed includes answers that ended early.
    took_s : float
        Until the last answer ended.
    bursts_wall_ms : tuple of int
        When the bursts were sent.
    """

    ttft: Percentiles
    gap: Percentiles
    late_send: Percentiles
    sent: int
    failed: int
    tokens: int
    took_s: float
    bursts_wall_ms: tuple[int, ...]


class LoadGenerator:
    """Sends every request at its time, whatever became of those before.

    Parameters
    ----------
    job : LoadJob
        What to send.
    """

    def __init__(self, *, job: LoadJob) -> None:
        self._job = job
        self._channels = [HttpChannel(address=one) for one in job.addresses]
        self._ttft = LatencyHistogram()
        self._gap = LatencyHistogram()
        self._late = LatencyHistogram()
        self._failed = 0
        self._tokens = 0

    async def run(self) -> LoadResult:
        """Send everything and wait for the answers."""
        job = self._job
        arrivals = plan(job.load, duration_s=job.duration_s, seed=job.seed)
        start_s = time.monotonic() + START_DELAY_S
        start_wall_s = time.time() + START_DELAY_S
        async with anyio.create_task_group() as tasks:
            for number, arrival in enumerate(arrivals):
                due_s = start_s + arrival.at_s
                await anyio.sleep(max(0.0, due_s - time.monotonic()))
                channel = self._channels[number % len(self._channels)]
                tasks.start_soon(self._request, channel, arrival, due_s)
        took_s = time.monotonic() - start_s
        for channel in self._channels:
            await channel.aclose()
        burst_s = bursts(job.load, duration_s=job.duration_s)
        return LoadResult(
            ttft=self._ttft.percentiles(),
            gap=self._gap.percentiles(),
            late_send=self._late.percentiles(),
            sent=len(arrivals),
            failed=self._failed,
            tokens=self._tokens,
            took_s=took_s,
            bursts_wall_ms=tuple(round((start_wall_s + s) * 1_000) for s in burst_s),
        )

    async def _request(
        self, channel: HttpChannel, arrival: Arrival, due_s: float
    ) -> None:
        self._late.record_s(time.monotonic() - due_s)
        body = {
            "model": self._job.model,
            "prompt": arrival.prompt,
            "max_tokens": self._job.load.tokens,
            "stream": True,
        }
        headers = (
            ("authorization", f"Bearer {self._job.key}"),
            ("content-type", "application/json"),
        )
        last = b""
        try:
            async with channel.open(
                "POST",
                "/v1/completions",
                headers=headers,
                content=msgspec.json.encode(body),
                head_ms=HEAD_MS,
            ) as answer:
                if answer.status == OK:
                    last = await self._follow(answer, due_s)
        except FoxtailbankError:
            pass
        if not last.endswith(DONE_EVENT):
            self._failed += 1

    async def _follow(self, answer: OpenAnswer, due_s: float) -> bytes:
        last_s = 0.0
        last = b""
        async for part in answer.parts():
            now_s = time.monotonic()
            count = part.count(EVENT)
            if count and not last_s:
                self._ttft.record_s(now_s - due_s)
            elif count:
                self._gap.record_s(now_s - last_s)
            last_s = now_s if count else last_s
            self._tokens += count
            last = (last + part)[-len(DONE_EVENT) :]
        return last


def main() -> int:
    """Run the job on standard input."""
    job = msgspec.json.decode(sys.stdin.buffer.read(), type=LoadJob)
    result = anyio.run(functools.partial(LoadGenerator(job=job).run))
    sys.stdout.buffer.write(msgspec.json.encode(result))
    return 0


if __name__ == "__main__":
    sys.exit(main())
