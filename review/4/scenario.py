"""The list of workers holds an entry whose bytes can't be read."""

import asyncio
import pathlib
import sys
import time

from review.standins import fleet
from review.standins.online import PlainClients

BEFORE_S = 5.0
RECOVER_S = 12.0
AFTER_S = 20.0
PER_S = 20.0
ENDS = 3  # ends by itself after which a process counts for the rule
MACHINES = 2
# Cut off in the middle; a reader that does not know the field "notes" skips it.
BAD_ENTRY = b'{"service":"wordsmith","notes":' + b"[" * 4000


async def scenario(record: fleet.Record) -> int:
    """Return 1 if processes end by themselves three times on two machines."""
    deployment = fleet.Fleet(
        record,
        vms=3,
        workers=3,
        slots=8,
        routes=[fleet.route("plain", "safe")],
    )
    try:
        await deployment.start()
        return await _play(deployment, record)
    finally:
        deployment.stop()


async def _play(deployment: fleet.Fleet, record: fleet.Record) -> int:
    started = time.monotonic()
    until = started + BEFORE_S + RECOVER_S + AFTER_S
    clients = PlainClients(deployment, "/plain/plain/x", PER_S, record)
    online = asyncio.create_task(clients.run(until))
    await asyncio.sleep(BEFORE_S)
    if fleet.has_trouble():
        record(f"an entry of {len(BAD_ENTRY)} bytes comes into the list of workers")
        deployment.store.put("keyed.servers", "i-other", BAD_ENTRY)
    await online
    before = clients.served_share(started, started + BEFORE_S)
    after = clients.served_share(started + BEFORE_S + RECOVER_S, until)
    record(f"share of requests served before: {before:.3f}, later: {after:.3f}")
    ended = 0
    for vm in deployment.vms:
        record(f"{vm.vm_id} ended by itself {len(vm.own_ends)} times")
        ended += len(vm.own_ends) >= ENDS
    if before < 0.25:
        return 2
    is_broken = ended >= max(MACHINES, len(deployment.vms) / 10)
    return 1 if is_broken else 0


if __name__ == "__main__":
    sys.exit(fleet.main(str(pathlib.Path(__file__).parent), scenario))
