"""Open-loop load generator: reads a job from standard input and prints the result."""

import functools
import sys
import time

import anyio
import msgspec

from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.http_channel import HttpChannel, StreamedResponse
from foxtailbank.sse import DONE_EVENT
from foxtailbank_bench.latency_histogram import LatencyHistogram, Percentiles
from foxtailbank_bench.load_plan import Arrival, burst_times_s, plan_arrivals
from foxtailbank_bench.scenario import OnlineLoad

EVENT_PREFIX = b"data: {"
RESPONSE_HEAD_TIMEOUT_MS = 30_000
HTTP_OK = 200
START_DELAY_S = 0.2


class LoadJob(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of a load run.

    Attributes
    ----------
    addresses : tuple of str
        Entry addresses, used in rotation.
    key : str
        API key of the caller.
    model : str
        Model that the requests name.
    load : OnlineLoad
        Request rates and sizes.
    duration_s : float
        Period in which requests are sent, in seconds.
    seed : int
        Random seed for arrival times and prompts.
    """

    addresses: tuple[str, ...]
    key: str
    model: str
    load: OnlineLoad
    duration_s: float
    seed: int


class LoadResult(msgspec.Struct, frozen=True, kw_only=True):
    """Latencies and counts as the callers saw them.

    Attributes
    ----------
    ttft, gap : Percentiles
        Time to first token, measured from the scheduled send time, and time between
        tokens.
    late_send : Percentiles
        Delay of the generator itself: actual less scheduled send time.
    sent, failed, tokens : int
        Counts; failed includes responses that ended early.
    took_s : float
        Time from the start until the last response ended, in seconds.
    bursts_wall_ms : tuple of int
        Scheduled wall-clock times of the bursts, in Unix milliseconds.
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
    """Sends each request at its scheduled time, whether or not earlier ones are done.

    Parameters
    ----------
    job : LoadJob
        Parameters of the run.
    """

    def __init__(self, *, job: LoadJob) -> None:
        self._job = job
        self._channels = [HttpChannel(address=address) for address in job.addresses]
        self._ttft = LatencyHistogram()
        self._gap = LatencyHistogram()
        self._send_delay = LatencyHistogram()
        self._failed = 0
        self._tokens = 0

    async def run(self) -> LoadResult:
        """Send all requests and wait for the responses."""
        job = self._job
        arrivals = plan_arrivals(job.load, duration_s=job.duration_s, seed=job.seed)
        start_s = time.monotonic() + START_DELAY_S
        start_wall_s = time.time() + START_DELAY_S
        async with anyio.create_task_group() as tasks:
            for number, arrival in enumerate(arrivals):
                scheduled_s = start_s + arrival.at_s
                await anyio.sleep(max(0.0, scheduled_s - time.monotonic()))
                channel = self._channels[number % len(self._channels)]
                tasks.start_soon(self._send_request, channel, arrival, scheduled_s)
        took_s = time.monotonic() - start_s
        for channel in self._channels:
            await channel.aclose()
        bursts_s = burst_times_s(job.load, duration_s=job.duration_s)
        return LoadResult(
            ttft=self._ttft.percentiles(),
            gap=self._gap.percentiles(),
            late_send=self._send_delay.percentiles(),
            sent=len(arrivals),
            failed=self._failed,
            tokens=self._tokens,
            took_s=took_s,
            bursts_wall_ms=tuple(round((start_wall_s + s) * 1_000) for s in bursts_s),
        )

    async def _send_request(
        self, channel: HttpChannel, arrival: Arrival, scheduled_s: float
    ) -> None:
        self._send_delay.record_s(time.monotonic() - scheduled_s)
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
        tail = b""
        try:
            async with channel.open(
                "POST",
                "/v1/completions",
                headers=headers,
                content=msgspec.json.encode(body),
                head_ms=RESPONSE_HEAD_TIMEOUT_MS,
            ) as response:
                if response.status == HTTP_OK:
                    tail = await self._read_stream(response, scheduled_s)
        except FoxtailbankError:
            pass
        if not tail.endswith(DONE_EVENT):
            self._failed += 1

    async def _read_stream(
        self, response: StreamedResponse, scheduled_s: float
    ) -> bytes:
        last_token_s = 0.0
        tail = b""
        async for part in response.chunks():
            now_s = time.monotonic()
            count = part.count(EVENT_PREFIX)
            if count and not last_token_s:
                self._ttft.record_s(now_s - scheduled_s)
            elif count:
                self._gap.record_s(now_s - last_token_s)
            last_token_s = now_s if count else last_token_s
            self._tokens += count
            tail = (tail + part)[-len(DONE_EVENT) :]
        return tail


def main() -> int:
    """Run the job given on standard input and return the exit code."""
    job = msgspec.json.decode(sys.stdin.buffer.read(), type=LoadJob)
    result = anyio.run(functools.partial(LoadGenerator(job=job).run))
    sys.stdout.buffer.write(msgspec.json.encode(result))
    return 0


if __name__ == "__main__":
    sys.exit(main())
