"""Workers that send a second copy of some answers, late, on a kept channel."""

import asyncio
import collections
import pathlib
import random
import secrets
import sys
import time

from review.standins import fleet, http
from review.standins.worker import Worker

PLAY_S = 80.0
SPOILED_SHARE = 0.02  # of the answers; the default dose of garble
CLIENTS = 45
WAVE_S = 0.5  # all clients send at once, under half of what the workers can do
DEADLINE_S = 1.0
QUEUE = 4  # requests that a full worker keeps waiting
NOT_RUN = (408, 421, 429, 503)


class RepeatingWorker(Worker):
    """Sends some answers again where the next answer on the channel is due."""

    rng = random.Random(37)
    copies = 0
    refusals = 0
    at_work = 0

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        late = b""
        try:
            while (request := await http.read_message(reader)) is not None:
                if late:
                    RepeatingWorker.copies += 1
                    self._log(f"{self.worker_id} sends a late copy: {late[:90]!r}")
                    self.send(writer, late)
                answer = await self._answer_of(request)
                self.send(writer, answer)
                is_spoiled = self.rng.random() < SPOILED_SHARE
                late = answer if fleet.has_trouble() and is_spoiled else b""
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer_of(self, request: http.Message) -> bytes:
        refusal = self.refusal(request)
        if refusal is not None:
            return refusal
        request_id = request.headers["x-request-id"]
        self.running += 1
        try:
            while self.at_work >= self.slots:
                await asyncio.sleep(0.001)
            self.at_work += 1
            try:
                self.runs[request_id] += 1
                self._log(f"{self.worker_id} runs {request_id}")
                await asyncio.sleep(self.run_s)
            finally:
                self.at_work -= 1
        finally:
            self.running -= 1
        body = b"done " + request_id.encode()
        return http.encode_response(200, self.success_headers(request), body)

    def refusal(self, request: http.Message) -> bytes | None:
        """Refuse only what does not fit into the queue."""
        headers = {"X-Request-Id": request.headers.get("x-request-id", "")}
        if request.headers.get("x-expect-instance", "") != self.worker_id:
            headers["X-Instance-Id"] = self.worker_id
            return http.encode_response(421, headers)
        if self.running >= self.slots + QUEUE:
            headers["X-Not-Executed"] = "1"
            RepeatingWorker.refusals += 1
            return http.encode_response(503, headers)
        return None


async def scenario(record: fleet.Record) -> int:
    """Return 1 if a request ran twice, or ran although it was refused."""
    deployment = fleet.Fleet(
        record,
        vms=3,
        workers=3,
        slots=4,
        worker_type=RepeatingWorker,
        routes=[fleet.route("plain", "unsafe", timeout_ms=1_000)],
    )
    try:
        await deployment.start()
        return await _play(deployment, record)
    finally:
        deployment.stop()


async def _play(deployment: fleet.Fleet, record: fleet.Record) -> int:
    status_by_id: dict[str, int] = {}
    until = time.monotonic() + PLAY_S
    clients = [
        _client(number, deployment, status_by_id, until, record)
        for number in range(CLIENTS)
    ]
    await asyncio.gather(*clients)
    await asyncio.sleep(1)
    runs: collections.Counter[str] = collections.Counter()
    for worker in deployment.workers:
        runs.update(worker.runs)
    twice = [request_id for request_id, count in runs.items() if count > 1]
    refused = [
        request_id
        for request_id, status in status_by_id.items()
        if status in NOT_RUN and runs[request_id]
    ]
    for request_id in twice:
        record(f"TWICE: {request_id} ran {runs[request_id]} times")
    for request_id in refused:
        record(f"REFUSED: {request_id} was answered {status_by_id[request_id]}")
    statuses = collections.Counter(status_by_id.values())
    record(f"late copies: {RepeatingWorker.copies}; answers: {dict(statuses)}")
    record(f"requests that workers refused: {RepeatingWorker.refusals}")
    record(f"requests that ran twice: {len(twice)}; refused but run: {len(refused)}")
    if statuses[200] < len(status_by_id) // 4:
        return 2
    return 1 if twice or refused else 0


async def _client(
    number: int,
    deployment: fleet.Fleet,
    status_by_id: dict[str, int],
    until: float,
    record: fleet.Record,
) -> None:
    wave_at = time.monotonic()
    while time.monotonic() < until:
        await _send(number, deployment, status_by_id, record)
        wave_at += WAVE_S
        while wave_at < time.monotonic():
            wave_at += WAVE_S
        await asyncio.sleep(wave_at - time.monotonic())


async def _send(
    number: int,
    deployment: fleet.Fleet,
    status_by_id: dict[str, int],
    record: fleet.Record,
) -> None:
    """Send a request, and again at another node after a promise that it has not run."""
    give_up = time.monotonic() + DEADLINE_S
    for attempt in range(2):
        left_s = give_up - time.monotonic()
        vm = deployment.vms[(number + attempt) % len(deployment.vms)]
        request_id = secrets.token_hex(8)
        headers = {
            "Host": fleet.HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(int(left_s * 1000)),
        }
        record(f"{request_id} is sent to {vm.vm_id}")
        answer = await http.call(
            vm.front, "POST", "/plain/x", headers, b"{}", timeout_s=left_s + 1.5
        )
        status = answer.status if answer is not None else 0
        status_by_id[request_id] = status
        record(f"{request_id} is answered {status or 'not'}")
        if answer is None or status not in NOT_RUN:
            return
        retry_after_s = float(answer.headers.get("retry-after", "0"))
        left_s = give_up - time.monotonic()
        if left_s < 0.05:
            return
        await asyncio.sleep(min(retry_after_s, left_s / 3))


if __name__ == "__main__":
    sys.exit(fleet.main(str(pathlib.Path(__file__).parent), scenario))
