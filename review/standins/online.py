"""Clients of plain requests that behave as PROTOCOL.md says."""

import asyncio
import secrets
import time

from review.standins import http
from review.standins.fleet import HOST, Fleet, Record

CONNECT_S = 1.0


class PlainClients:
    """Sends requests of one route at a steady rate, one new channel each."""

    def __init__(self, fleet: Fleet, path: str, per_s: float, record: Record) -> None:
        self.statuses: list[tuple[float, int]] = []
        self._fleet = fleet
        self._path = path
        self._per_s = per_s
        self._record = record

    async def run(self, until: float) -> None:
        """Send until a time."""
        tasks = []
        number = 0
        while time.monotonic() < until:
            tasks.append(asyncio.create_task(self._send(number)))
            number += 1
            await asyncio.sleep(1 / self._per_s)
        await asyncio.gather(*tasks)

    def served_share(self, since: float, until: float) -> float:
        """Return the share of the requests sent in a time that got a success."""
        chosen = [s for at, s in self.statuses if since <= at < until]
        return sum(status == 200 for status in chosen) / max(1, len(chosen))

    async def _send(self, number: int) -> None:
        sent_at = time.monotonic()
        vm = self._fleet.vms[number % len(self._fleet.vms)]
        request_id = secrets.token_hex(8)
        headers = {"Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": "1000"}
        self._record(f"{request_id} is sent to {vm.vm_id}")
        answer = await http.call(
            vm.front, "POST", self._path, headers, b"{}", timeout_s=1 + CONNECT_S
        )
        status = answer.status if answer is not None else 0
        self.statuses.append((sent_at, status))
        self._record(f"{request_id} is answered {status or 'not'}")
