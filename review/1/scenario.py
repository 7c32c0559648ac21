"""A batch submission within all limits of the manifest, larger than one append."""

import asyncio
import pathlib
import sys
import time

from review.standins import fleet
from review.standins.lots import Lot, new_item
from review.standins.worker import Worker

RUN_DEADLINE_S = 18.0
FINISH_S = 18.0
CALM_S = 5.0  # before the end, in which no worker has an unlisted item
ITEM_BYTES = 15_000  # mean of the sheet's press-batch
LARGE_ITEMS = 200  # the most that a submission may have
SMALL_ITEMS = 100  # without the trouble; fits into one append


def _busy(workers: list[Worker]) -> bool:
    return any(worker.running for worker in workers)


async def scenario(record: fleet.Record) -> int:
    """Return 1 if an accepted item is never listed."""
    count = LARGE_ITEMS if fleet.has_trouble() else SMALL_ITEMS
    deployment = fleet.Fleet(
        record,
        vms=3,
        workers=3,
        slots=8,
        events=40,
        routes=[fleet.batch_route("press")],
    )
    try:
        await deployment.start()
        return await _play(deployment, count, record)
    finally:
        deployment.stop()


async def _play(deployment: fleet.Fleet, count: int, record: fleet.Record) -> int:
    lots = [
        Lot(
            f"lot-{vm.vm_id}",
            "press",
            [new_item("/press/item", b"x" * ITEM_BYTES) for _ in range(10)],
            record,
        )
        for vm in deployment.vms
    ]
    for lot, vm in zip(lots, deployment.vms, strict=True):
        if await lot.submit(vm) != 202:
            return 2
    started = time.monotonic()
    large = Lot(
        "the large lot",
        "press",
        [new_item("/press/item", b"x" * ITEM_BYTES) for _ in range(count)],
        record,
    )
    for vm in deployment.vms[:2]:  # one retry, at another node
        if await large.submit(vm) == 202:
            break
    judged = [*lots, large] if large.accepted else lots
    until = started + RUN_DEADLINE_S + FINISH_S
    await asyncio.gather(
        *(lot.read_until(deployment.vms, until) for lot in judged),
        _watch(deployment.workers, until, record),
    )
    is_calm = time.monotonic() < until or not _busy(deployment.workers)
    late = Lot("a later lot", "press", [new_item("/press/item", b"y")], record)
    for vm in deployment.vms:
        await late.submit(vm)
    lost = sum(len(lot.unlisted) for lot in judged)
    record(f"appends that the store refused as too large: {deployment.store.too_large}")
    for lot in judged:
        record(f"{lot.name}: {len(lot.listed)} listed, {len(lot.unlisted)} not")
    for worker in deployment.workers:
        record(f"{worker.worker_id} finished {sum(worker.finished.values())} items")
    if any(vm.own_ends for vm in deployment.vms) or not is_calm:
        return 2
    return 1 if lost else 0


async def _watch(workers: list[Worker], until: float, record: fleet.Record) -> None:
    """Record when the workers were last busy."""
    last_busy = time.monotonic()
    while time.monotonic() < until:
        if _busy(workers):
            last_busy = time.monotonic()
        elif time.monotonic() - last_busy > until:
            return
        await asyncio.sleep(0.1)
    idle_s = time.monotonic() - last_busy
    record(f"the workers have been idle for {idle_s:.1f} s")
    if idle_s < CALM_S:
        raise RuntimeError("workers are busy in the last seconds")


if __name__ == "__main__":
    sys.exit(fleet.main(str(pathlib.Path(__file__).parent), scenario))
