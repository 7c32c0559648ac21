"""Accepted items that are given up as another route is removed."""

import asyncio
import base64
import json
import os
import pathlib
import secrets
import sys
import tempfile

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins_3 import web  # noqa: E402
from standins_3.engine import Engine, event_text  # noqa: E402
from standins_3.record import Record  # noqa: E402
from standins_3.store import Store, StorePort  # noqa: E402
from standins_3.vms import EntryVm  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NET = f"127.{secrets.randbelow(100) + 100}.{secrets.randbelow(250) + 1}"
HOST = "notices.example"
ZONES = ("zone-a", "zone-b", "zone-c")
EVENTS = 100
ITEMS = 24
FINISH_S = 18.0
RETENTION_S = 60


def manifest(version: int, *, has_draft_route: bool) -> dict[str, object]:
    """Return a configuration with a batch route, with or without an online one."""
    common = {
        "host": HOST,
        "target_latency_ms": 400,
        "service": "wordsmith",
        "session_affinity": True,
    }
    batch = {
        **common,
        "name": "r-press-batch",
        "path_prefix": "/press-batch/",
        "type": "batch",
        "timeout_ms": 15000,
        "priority": 2,
        "max_attempts": 3,
        "cap": 1700000,
        "run_deadline_ms": 18000,
        "retention_s": RETENTION_S,
    }
    draft = {
        **common,
        "name": "r-notice-draft",
        "path_prefix": "/notice-draft/",
        "type": "streaming",
        "timeout_ms": 5000,
        "priority": 0,
        "max_attempts": 2,
        "resumable": True,
        "gap_aim_ms": 300,
    }
    limits = {
        "header_bytes": 16384,
        "body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    service = {
        "name": "wordsmith",
        "health_path": "/health",
        "max_conns": 370,
        "protocol": "h1",
    }
    return {
        "version": version,
        "routes": [batch, draft] if has_draft_route else [batch],
        "services": [service],
        "limits": limits,
    }


class Case:
    """Three VMs and three workers of one service."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.record = Record(HERE / "record.txt")
        self.store = Store()
        self._engines = [
            Engine(
                worker_id=f"engine-{number}",
                service="wordsmith",
                zone=ZONES[number],
                ip=f"{NET}.{20 + number}",
                store=self.store,
                record=self.record,
                slots=4,
                events=EVENTS,
            )
            for number in range(3)
        ]
        self._directory = directory
        self._vms: list[EntryVm] = []
        self._lot_id = secrets.token_hex(8)
        self._item_ids = [secrets.token_hex(8) for _ in range(ITEMS)]

    async def run(self) -> int:
        """Play the case and return the exit status."""
        self.store.put("keyed.op", "config", manifest(1, has_draft_route=True))
        for engine in self._engines:
            await engine.boot()
        for number, zone in enumerate(ZONES):
            port = StorePort(store=self.store, ip=f"{NET}.10")
            await port.start()
            vm = EntryVm(
                name=f"front-{number}",
                zone=zone,
                ip=f"{NET}.{100 + number}",
                store=port.address,
                zones=ZONES,
                directory=self._directory,
            )
            self._vms.append(vm)
            vm.start()
        try:
            return await self._play()
        finally:
            for vm in self._vms:
                vm.end()

    async def _play(self) -> int:
        if not all([await vm.wait_until_ready() for vm in self._vms]):
            self.record.add("end", "", "a VM did not become ready")
            return NOT_RUN
        await asyncio.sleep(4.0)  # the VMs know each other and are in touch
        if not await self._submit():
            return NOT_RUN
        await asyncio.sleep(1.0)
        if TROUBLE:
            self.store.put("keyed.op", "config", manifest(2, has_draft_route=False))
            self.record.add("config", "", "version 2: without r-notice-draft")
        results = await self._read_results(self.record.now_s + FINISH_S)
        return self._judge(results)

    async def _submit(self) -> bool:
        items = [
            {
                "id": item_id,
                "path": f"/notice-draft/{number}",
                "headers": {"X-Model": "m", "X-Token-Count": "350,100"},
                "body": base64.b64encode(b"notice").decode(),
                "tokens": 450,
            }
            for number, item_id in enumerate(self._item_ids)
        ]
        self.record.add("sent", self._lot_id, f"{ITEMS} items to r-press-batch")
        answer = await web.call(
            self._vms[0].front,
            method="POST",
            target=f"/press-batch/{self._lot_id}",
            headers={
                "Host": HOST,
                "X-Request-Id": self._lot_id,
                "X-Deadline-Ms": "4000",
                "Content-Type": "application/json",
            },
            body=json.dumps({"items": items}).encode(),
        )
        status = answer.status if answer is not None else 0
        self.record.add("answered", self._lot_id, str(status))
        return status == 202

    async def _read_results(self, until_s: float) -> list[dict[str, str]]:
        results: list[dict[str, str]] = []
        while len(results) < ITEMS and self.record.now_s < until_s:
            answer = await web.call(
                self._vms[1].front,
                method="GET",
                target=f"/foxtailbank/lots/{self._lot_id}?after={len(results)}",
                headers={"Host": HOST, "X-Wait-Ms": "1000"},
            )
            if answer is None or answer.status != 200:
                await asyncio.sleep(0.5)
                continue
            page = json.loads(answer.body)
            for result in page["results"]:
                self.record.add("result", result["id"], result["state"])
            results += page["results"]
        return results

    def _judge(self, results: list[dict[str, str]]) -> int:
        """No item has had a 422 or a 500, and none is as old as the retention."""
        given_up = [r for r in results if r["state"] == "dead_letter"]
        never_run = [r for r in given_up if r["id"] not in self.record.runs_by_id]
        whole = [r for r in results if r["text"] == _whole_text(r["id"])]
        summary = {
            "items": ITEMS,
            "completed and whole": len(whole),
            "dead_letter": len(given_up),
            "never run of these": len(never_run),
        }
        self.record.add("end", "", json.dumps(summary))
        if given_up:
            return BROKEN
        return HELD if len(whole) == ITEMS else NOT_RUN


def _whole_text(item_id: str) -> str:
    numbers = range(1, EVENTS + 1)
    return "\n".join(event_text(item_id, number) for number in numbers)


def main() -> int:
    """Play the case in a temporary folder."""
    with tempfile.TemporaryDirectory() as directory:
        return asyncio.run(Case(pathlib.Path(directory)).run())


if __name__ == "__main__":
    sys.exit(main())
