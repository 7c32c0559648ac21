"""Measures membership, the peer codec and peer links; prints JSON lines."""

import argparse
import collections.abc as c
import dataclasses
import functools
import heapq
import json
import random
import resource
import statistics
import sys
import time
import typing as t

import anyio
import anyio.abc

from foxtailbank import (
    clock,
    heartbeat_writer,
    membership,
    peer_client,
    peer_codec,
    peer_handler,
    peer_server,
    vm_list,
)
from foxtailbank import membership_actions as actions
from foxtailbank import peer_messages as pm

SECRET = b"0123456789abcdef0123456789abcdef"
VM_COUNTS = (3, 6, 12, 24, 48, 96, 340)
MAX_ZONES = 16
STEP_MS = 50
SETTLE_MS = 60_000
MEASURE_MS = 20_000
DETECTION_LIMIT_MS = 30_000
ITERATIONS = 2000
US_PER_S = 1_000_000


class FleetSimulation:
    """Simulates the membership protocol of a fleet, without sockets.

    Parameters
    ----------
    vm_count : int
        Number of VMs. They are spread evenly over a quarter as many zones, at
        least 3 and at most 16.
    """

    def __init__(self, *, vm_count: int) -> None:
        self.now_ms = 0
        self.cpu_s = 0.0
        self.sent_bytes = 0
        self.sent_count = 0
        self.detection_times_ms: list[int] = []
        self._is_measured = False
        self._rng = random.Random(vm_count)
        self._in_flight: list[tuple[int, int, str, bytes | pm.Heartbeat]] = []
        zone_count = min(MAX_ZONES, max(3, vm_count // 4))
        self._vms = [
            vm_list.Vm(
                vm_id=f"entry-{index}",
                role=vm_list.VmRole.ENTRY,
                zone=f"zone-{index % zone_count}",
                address=f"10.0.{index // 250}.{index % 250}:8400",
            )
            for index in range(vm_count)
        ]
        self.state_by_address = {vm.address: self._make_state(vm) for vm in self._vms}

    def _make_state(self, vm: vm_list.Vm) -> membership.Membership:
        state = membership.Membership(
            own=pm.MemberRecord(
                vm_id=vm.vm_id,
                zone=vm.zone,
                address=vm.address,
                incarnation=1_764_800_000_000,
            ),
            rng=random.Random(vm.vm_id),
            now_ms=0,
            zones={listed.zone for listed in self._vms},
        )
        state.on_vm_list(self._vms, now_ms=0)
        return state

    def run(self, duration_ms: int, *, is_measured: bool = False) -> None:
        """Advance simulated time; encode and decode datagrams only when measured."""
        self._is_measured = is_measured
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            self._step()

    def is_settled(self) -> bool:
        """Return whether every VM sees all VMs as members."""
        count = len(self.state_by_address)
        return all(
            len(state.view.members()) == count
            for state in self.state_by_address.values()
        )

    def _step(self) -> None:
        started_s = time.process_time()
        while self._in_flight and self._in_flight[0][0] <= self.now_ms:
            _, _, address, content = heapq.heappop(self._in_flight)
            state = self.state_by_address.get(address)
            if state is not None:
                self._perform(
                    state.on_heartbeat(_decode_heartbeat(content), now_ms=self.now_ms)
                )
        for state in list(self.state_by_address.values()):
            if state.next_due_ms() <= self.now_ms:
                self._perform(state.tick(now_ms=self.now_ms))
        self.cpu_s += time.process_time() - started_s

    def _perform(self, pending: membership.Actions) -> None:
        for action in pending:
            if isinstance(action, actions.MemberDead):
                self.detection_times_ms.append(self.now_ms)
            if isinstance(action, actions.SendHeartbeat):
                self._send(action)

    def _send(self, action: actions.SendHeartbeat) -> None:
        content: bytes | pm.Heartbeat = action.payload
        if self._is_measured:
            content = peer_codec.seal_datagram(action.payload, secret=SECRET)
            self.sent_bytes += len(content) + heartbeat_writer.UDP_HEADER_BYTES
        self.sent_count += 1
        due_ms = self.now_ms + self._rng.randrange(1, 5)
        datagram = (due_ms, self.sent_count, action.to, content)
        heapq.heappush(self._in_flight, datagram)


def _decode_heartbeat(content: bytes | pm.Heartbeat) -> pm.Heartbeat:
    if isinstance(content, bytes):
        return peer_codec.open_datagram(content, secret=SECRET)
    return content


def measure_fleet(vm_count: int) -> dict[str, t.Any]:
    """Return the cost of membership per VM in a fleet of `vm_count` VMs."""
    before_bytes = _peak_resident_bytes()
    simulation = FleetSimulation(vm_count=vm_count)
    settled_ms = None
    for _ in range(SETTLE_MS // 1000):
        simulation.run(1000)
        if settled_ms is None and simulation.is_settled():
            settled_ms = simulation.now_ms
    state_bytes = (_peak_resident_bytes() - before_bytes) / vm_count
    simulation.cpu_s, simulation.sent_count = 0.0, 0
    simulation.run(MEASURE_MS, is_measured=True)
    seconds = MEASURE_MS / clock.MS_PER_S
    cpu_s = simulation.cpu_s
    sent_bytes, sent_count = simulation.sent_bytes, simulation.sent_count
    detection = measure_detection(simulation)
    return {
        "vms": vm_count,
        "zones": len(
            {state.own.zone for state in simulation.state_by_address.values()}
        ),
        "settled_ms": settled_ms,
        "cpu_us_per_vm_and_s": round(cpu_s / vm_count / seconds * US_PER_S),
        "datagrams_per_vm_and_s": round(sent_count / vm_count / seconds, 2),
        "bytes_per_vm_and_s": round(sent_bytes / vm_count / seconds),
        "resident_bytes_per_vm": round(state_bytes),
        **detection,
    }


def _peak_resident_bytes() -> int:
    """Return the peak resident memory of this process."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss << 10


def measure_detection(simulation: FleetSimulation) -> dict[str, t.Any]:
    """Stop one VM and return how long the others take to declare it dead."""
    address = next(
        (
            state.own.address
            for state in simulation.state_by_address.values()
            if len(state.view.members(state.own.zone)) > 1
        ),
        None,
    )
    if address is None:
        return {"detected_first_ms": None, "detected_all_ms": None}
    del simulation.state_by_address[address]
    simulation.detection_times_ms.clear()
    stopped_ms = simulation.now_ms
    simulation.run(DETECTION_LIMIT_MS)
    delays_ms = [time_ms - stopped_ms for time_ms in simulation.detection_times_ms]
    observer_count = len(simulation.state_by_address)
    return {
        "detected_first_ms": min(delays_ms, default=None),
        "detected_median_ms": statistics.median(delays_ms) if delays_ms else None,
        "detected_all_ms": max(delays_ms) if len(delays_ms) >= observer_count else None,
    }


def measure_codec() -> t.Iterator[dict[str, t.Any]]:
    """Yield the cost of encoding and decoding common messages."""
    own = pm.MemberRecord(vm_id="entry-1", zone="sv-a", address="10.0.0.1:8400")
    heartbeat = pm.Heartbeat(
        kind=pm.HeartbeatKind.PING,
        sender=own,
        recipient="entry-2",
        digests=(pm.ZoneDigest(zone="sv-a", count=4, view_hash=1 << 60),),
    )
    messages = (
        pm.OnlineDispatched(endpoint_id="wordsmith-1", count=1),
        pm.CancelNotice(job_id="job-1"),
        heartbeat,
        dataclasses.replace(heartbeat, updates=(own,) * 5),
    )
    for message in messages:
        envelope = peer_codec.Envelope(message=message)
        data = peer_codec.encode(envelope)
        yield {
            "message": type(message).__name__,
            "bytes": len(data),
            "encode_us": _processor_time_us(
                functools.partial(peer_codec.encode, envelope)
            ),
            "decode_us": _processor_time_us(functools.partial(peer_codec.decode, data)),
        }


def _processor_time_us(call: c.Callable[[], t.Any]) -> float:
    started_s = time.process_time()
    for _ in range(ITERATIONS):
        call()
    return round((time.process_time() - started_s) / ITERATIONS * US_PER_S, 1)


class _EchoHandler(peer_handler.PeerHandler):
    def __init__(self) -> None:
        self.notice_count = 0

    async def handle_request(
        self, peer_id: str, message: pm.PeerMessage
    ) -> pm.PeerMessage:
        return message

    def handle_notice(self, peer_id: str, message: pm.PeerMessage) -> None:
        self.notice_count += 1


async def measure_link() -> dict[str, t.Any]:
    """Return the processor time of a request and a notice, both sides together."""
    handler = _EchoHandler()
    message = pm.OnlineDispatched(endpoint_id="wordsmith-1", count=1)
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    server = peer_server.PeerServer(
        own_hello=pm.Hello(vm_id="b"), secret=SECRET, handler=handler
    )
    client = peer_client.PeerClient(
        own_hello=pm.Hello(vm_id="a"),
        secret=SECRET,
        clock=clock.SystemClock(),
        resolve_address=lambda _: f"127.0.0.1:{port}",
    )
    async with listener, anyio.create_task_group() as tasks, client:
        await tasks.start(server.run, listener)
        await client.request("b", message, timeout_ms=5000)
        request_us = await _measure_requests_us(client, message)
        notice_us = await _measure_notices_us(client, message, handler)
        tasks.cancel_scope.cancel()
    return {"request_cpu_us": request_us, "notice_cpu_us": notice_us}


async def _measure_requests_us(
    client: peer_client.PeerClient, message: pm.PeerMessage
) -> int:
    started_s = time.process_time()
    for _ in range(ITERATIONS):
        await client.request("b", message, timeout_ms=5000)
    return round((time.process_time() - started_s) / ITERATIONS * US_PER_S)


async def _measure_notices_us(
    client: peer_client.PeerClient, message: pm.PeerMessage, handler: _EchoHandler
) -> int:
    started_s = time.process_time()
    for sent in range(1, ITERATIONS + 1):
        client.notify("b", message)
        while handler.notice_count < sent:
            await anyio.sleep(0)
    return round((time.process_time() - started_s) / ITERATIONS * US_PER_S)


def main(arguments: c.Sequence[str] | None = None) -> int:
    """Run the measurements and print one JSON line each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--vms", type=int, nargs="*", default=list(VM_COUNTS))
    options = parser.parse_args(arguments)
    for line in measure_codec():
        print(json.dumps(line), flush=True)
    print(json.dumps(anyio.run(measure_link)), flush=True)
    for vm_count in options.vms:
        print(json.dumps(measure_fleet(vm_count)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
