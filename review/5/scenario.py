"""The nodes of a zone are stopped and started in turn, under steady traffic."""

import asyncio
import contextlib
import dataclasses
import pathlib
import secrets
import sys
import time

from review.standins import fleet, http
from review.standins.balancer import Balancer

PLAY_S = 30.0
PER_S = 9.0
GAP_S = 1.0  # between two stops
STOP_AT_S = 6.0
DEADLINE_S = 5.0
GRACE_S = 8.0
AFTER_GRACE_S = 1.0
EXCUSED_SENT_S = 3.0  # after the SIGTERM
EXCUSED_FROM_S = GRACE_S * 5 / 6


@dataclasses.dataclass(kw_only=True)
class Sent:
    """One request of a client and its end."""

    request_id: str
    vm_id: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    is_whole: bool = False


async def scenario(record: fleet.Record) -> int:
    """Return 1 if a planned stop cuts a request that a worker had."""
    deployment = fleet.Fleet(
        record,
        vms=3,
        workers=4,
        zones=1,
        slots=8,
        events=35,
        event_s=0.06,
        routes=[fleet.route("tribute", "streaming", max_attempts=1)],
    )
    try:
        await deployment.start()
        return await _play(deployment, record)
    finally:
        deployment.stop()


async def _play(deployment: fleet.Fleet, record: fleet.Record) -> int:
    balancer = Balancer(deployment)
    asking = asyncio.create_task(balancer.run())
    started = time.monotonic()
    stopped_at: dict[str, float] = {}
    stops = asyncio.create_task(_stop_in_turn(deployment, stopped_at, record))
    sent: list[Sent] = []
    tasks = []
    while time.monotonic() < started + PLAY_S:
        tasks.append(asyncio.create_task(_send(balancer, sent, record)))
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*tasks)
    if stops is not None:
        await stops
    asking.cancel()
    runs = {i for worker in deployment.workers for i in worker.runs}
    lost = [s for s in sent if s.request_id in runs and _is_lost(s, stopped_at)]
    for one in lost:
        after_s = one.sent_at - stopped_at[one.vm_id]
        ended_s = one.ended_at - stopped_at[one.vm_id]
        record(
            f"LOST: {one.request_id}, sent to {one.vm_id} {after_s:.2f} s after its "
            f"SIGTERM, was cut {ended_s:.2f} s after it"
        )
    whole = sum(one.is_whole for one in sent)
    record(f"{len(sent)} requests, {whole} whole answers, LOST: {len(lost)}")
    if whole < len(sent) // 4:
        return 2
    return 1 if lost else 0


async def _stop_in_turn(
    deployment: fleet.Fleet, stopped_at: dict[str, float], record: fleet.Record
) -> None:
    if not fleet.has_trouble():
        return
    await asyncio.sleep(STOP_AT_S)
    stops = []
    for vm in deployment.vms:
        stopped_at[vm.vm_id] = time.monotonic()
        stops.append(asyncio.create_task(vm.stop(record)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*stops)


def _is_lost(one: Sent, stopped_at: dict[str, float]) -> bool:
    """Whether a request that was passed on counts, by the rule and its excuses."""
    if one.is_whole or one.status not in (0, 200) or one.vm_id not in stopped_at:
        return False
    sent_s = one.sent_at - stopped_at[one.vm_id]
    ended_s = one.ended_at - stopped_at[one.vm_id]
    if ended_s < 0 or sent_s > GRACE_S + AFTER_GRACE_S:
        return False
    if one.ended_at - one.sent_at >= DEADLINE_S:
        return False
    is_excused = sent_s <= EXCUSED_SENT_S and ended_s >= EXCUSED_FROM_S
    return not is_excused


async def _send(balancer: Balancer, sent: list[Sent], record: fleet.Record) -> None:
    vm = balancer.choose()
    one = Sent(
        request_id=secrets.token_hex(8), vm_id=vm.vm_id, sent_at=time.monotonic()
    )
    sent.append(one)
    record(f"{one.request_id} is sent to {vm.vm_id}")
    host, _, port = vm.front.partition(":")
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(DEADLINE_S + 1):
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(
                    f"POST /tribute/x HTTP/1.1\r\nHost: {fleet.HOST}\r\n"
                    f"X-Request-Id: {one.request_id}\r\nX-Deadline-Ms: 5000\r\n"
                    "Content-Length: 2\r\n\r\n{}".encode()
                )
                head = await http.read_head(reader)
                if head is not None:
                    one.status = int(head[0].split(" ")[1])
                    await http.read_body(reader, head[1])
                    one.is_whole = True
            except (asyncio.IncompleteReadError, ValueError):
                pass
            finally:
                writer.close()
    one.ended_at = time.monotonic()
    end = "whole" if one.is_whole else "cut"
    record(f"{one.request_id} is answered {one.status or 'not'}, {end}")


if __name__ == "__main__":
    sys.exit(fleet.main(str(pathlib.Path(__file__).parent), scenario))
