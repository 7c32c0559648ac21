"""A client of batch submissions that behaves as PROTOCOL.md says."""

import asyncio
import base64
import json
import secrets
import time
import typing as t

from review.standins import http
from review.standins.fleet import HOST, Record, Vm

READ_PERIOD_S = 0.5


def new_item(path: str, body: bytes, **headers: str) -> dict[str, t.Any]:
    """Return an item of a submission."""
    return {
        "id": secrets.token_hex(8),
        "path": path,
        "headers": {"X-Model": "m", "X-Token-Count": "540,400", **headers},
        "body": base64.b64encode(body).decode(),
        "tokens": 940,
    }


class Lot:
    """One batch submission and what a client knows of it."""

    def __init__(
        self, name: str, route: str, items: list[dict[str, t.Any]], record: Record
    ) -> None:
        self.name = name
        self.lot_id = secrets.token_hex(8)
        self.items = items
        self.statuses: list[int] = []
        self.listed: dict[str, str] = {}
        self._target = f"/{route}/{self.lot_id[:6]}"
        self._record = record

    @property
    def accepted(self) -> bool:
        """Whether a VM answered 202."""
        return 202 in self.statuses

    @property
    def unlisted(self) -> list[str]:
        """Ids of items that have no result yet."""
        return [item["id"] for item in self.items if item["id"] not in self.listed]

    async def submit(self, vm: Vm, *, timeout_s: float = 5.5) -> int:
        """Send it to a VM and return the status; 0 without an answer."""
        body = json.dumps({"items": self.items}).encode()
        headers = {
            "Host": HOST,
            "X-Request-Id": self.lot_id,
            "X-Deadline-Ms": "4000",
            "Content-Type": "application/json",
        }
        self._record(
            f"{self.name} {self.lot_id} of {len(self.items)} items, a body of "
            f"{len(body)} bytes, is sent to {vm.vm_id}"
        )
        answer = await http.call(
            vm.front, "POST", self._target, headers, body, timeout_s=timeout_s
        )
        status = answer.status if answer is not None else 0
        self.statuses.append(status)
        self._record(f"{self.name} is answered {status or 'not'} by {vm.vm_id}")
        return status

    async def read(self, vm: Vm, *, timeout_s: float = 2.5) -> int:
        """Read its results from the start; return the status, 0 without an answer."""
        headers = {"Host": HOST}
        after = 0
        while True:
            answer = await http.call(
                vm.front,
                "GET",
                f"/foxtailbank/lots/{self.lot_id}?after={after}",
                headers,
                timeout_s=timeout_s,
            )
            if answer is None or answer.status != 200:
                return answer.status if answer is not None else 0
            page = json.loads(answer.body)
            for result in page["results"]:
                if result["id"] not in self.listed:
                    self._record(f"{self.name} lists {result['id']} {result['state']}")
                self.listed[result["id"]] = result["state"]
            after = page["next"]
            if not page["results"]:
                return 200

    async def read_until(
        self, vms: list[Vm], until: float, *, stop_early: bool = True
    ) -> None:
        """Read it at each VM in turn, about twice a second."""
        number = 0
        while time.monotonic() < until:
            status = await self.read(vms[number % len(vms)])
            if status != 200:
                vm_id = vms[number % len(vms)].vm_id
                self._record(f"{self.name} read at {vm_id}: {status or 'no answer'}")
            if stop_early and not self.unlisted:
                return
            number += 1
            await asyncio.sleep(READ_PERIOD_S)
