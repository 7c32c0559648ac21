"""Exchange of load reports over real sockets, within a zone and across zones."""

import contextlib
import random
import time

import anyio
import pytest

from foxtailbank.clock import MS_PER_S, SystemClock
from foxtailbank.datagram_socket import DatagramSocket
from foxtailbank.fleet import load_report
from foxtailbank.fleet.configuration_reading import (
    ConfigurationReading,
    version_mark,
)
from foxtailbank.fleet.crash_report import CrashReport, PartCompletion
from foxtailbank.fleet.load_table import LoadKind, WorkerLoad
from foxtailbank.fleet.peer_table import PeerTable
from foxtailbank.forward.fleet_state import FleetState
from foxtailbank.forward.route_table import RouteTable
from foxtailbank.keyed_log import AppendId, KeyedRecord
from foxtailbank.load_exchange import LoadExchange
from foxtailbank.log_follower import LogState
from serving_fakes import (
    FakeKeyedLog,
    make_follower,
    make_logs,
    make_report,
)

pytestmark = pytest.mark.anyio
CLOCK = SystemClock()
HOST = "127.0.0.41"
PORT = 18_461
PEER_COUNT = 12
SENDER_COUNT = 23  # VMs in one zone
ROUNDS = 8
WAIT_S = 10
SETTLE_S = 0.05  # until reports that answer a join have been sent
STOOD_STILL_S = 0.3
SOON_MS = 350  # less than the gap between two reports without a change


class NoAppends:
    def put(self, records, *, urgent):
        pass


class NoState(LogState):
    def restore(self, newest):
        pass

    def apply_records(self, part):
        pass


def make_exchange(addresses, *, follower=None):
    fleet = FleetState(
        rng=random.Random(1),
        vm_id="me",
        zone="z1",
        routes=RouteTable(),
        logs=make_logs(),
        clock=CLOCK,
    )
    exchange = LoadExchange(
        vm_id="me",
        zone="z1",
        incarnation=1,
        address=f"{HOST}:{PORT}",
        addresses=addresses,
        appends=NoAppends(),
        peers=PeerTable(vm_id="me", zone="z1"),
        fleet=fleet,
        follower=follower or make_follower(FakeKeyedLog(), NoState(), CLOCK),
        logs=make_logs(),
        clock=CLOCK,
    )
    return exchange, fleet


async def wait_for_load(socket):
    """Wait for a report with one request in flight."""
    async for datagram, _ in socket:
        report = load_report.decode(datagram)
        load = report.load_by_worker.get("w1")
        if load is not None and load.online == 1:
            return


async def test_load_change_is_reported_to_peers_in_all_zones():
    addresses = FakeKeyedLog()
    exchange, fleet = make_exchange(addresses)
    async with contextlib.AsyncExitStack() as stack:
        sockets = []
        for number in range(PEER_COUNT):
            socket = await stack.enter_async_context(
                await anyio.create_udp_socket(
                    local_host=HOST, local_port=PORT + 1 + number
                )
            )
            sockets.append(socket)
            address = f"{HOST}:{PORT + 1 + number}"
            record = KeyedRecord(key=f"vm{number}", value=address.encode())
            step = AppendId(producer="other", epoch=1, sequence=number)
            await addresses.append((record,), append_id=step)
        with anyio.fail_after(WAIT_S):
            async with anyio.create_task_group() as group:
                group.start_soon(exchange.run)
                for number, socket in enumerate(sockets):
                    await socket.receive()
                    zone = "z1" if number % 2 else "z2"
                    report = make_report(f"vm{number}", zone=zone)
                    await socket.sendto(load_report.encode(report), HOST, PORT)
                for _ in range(50):
                    fleet.notify_load()
                    await anyio.sleep(0.002)
                fleet.add_in_flight("w1", LoadKind.ONLINE)
                async with anyio.create_task_group() as waiters:
                    for socket in sockets:
                        waiters.start_soon(wait_for_load, socket)
                group.cancel_scope.cancel()


# Guards against a VM that sends on what its peers know to crash workers, or refuses
# what they have had answered, until it reads the log.
async def test_crash_reports_and_completions_of_peers_are_applied():
    exchange, fleet = make_exchange(FakeKeyedLog())
    wall_ms = CLOCK.wall_ms()
    crashes = tuple(
        CrashReport(
            fingerprint=number,
            worker_id=f"w{number}",
            crashed_wall_ms=wall_ms,
            answered=True,
            prompt_parts=(9,),
        )
        for number in range(3)
    )
    completion = PartCompletion(part=9, completed_wall_ms=wall_ms + 1)
    crashed = make_report("vm0", sequence=1, crash_reports=crashes)
    cleared = make_report("vm0", sequence=2, completions=(completion,))
    with anyio.fail_after(WAIT_S):
        async with (
            await anyio.create_udp_socket(local_host=HOST) as socket,
            anyio.create_task_group() as group,
        ):
            group.start_soon(exchange.run)
            await anyio.sleep(SETTLE_S)
            for report, is_refused in ((crashed, True), (cleared, False)):
                await socket.sendto(load_report.encode(report), HOST, PORT)
                while (fleet.crashes.crash_age_ms((9,)) is not None) != is_refused:
                    await anyio.sleep(0.01)
            group.cancel_scope.cancel()


# Guards against VMs that are cut off from each other and each use a whole limit.
async def test_a_vm_uses_the_share_of_limits_of_the_vms_that_it_hears():
    addresses = FakeKeyedLog()
    for number in range(3):
        address = f"{HOST}:{PORT + 30 + number}".encode()
        step = AppendId(producer="other", epoch=1, sequence=number)
        record = KeyedRecord(key=f"vm{number}", value=address)
        await addresses.append((record,), append_id=step)
    exchange, fleet = make_exchange(addresses)
    with anyio.fail_after(WAIT_S):
        async with (
            await anyio.create_udp_socket(
                local_host=HOST, local_port=PORT + 30
            ) as socket,
            anyio.create_task_group() as group,
        ):
            group.start_soon(exchange.run)
            while fleet.limits.share != 1 / 4:
                await anyio.sleep(0.01)
            await socket.sendto(load_report.encode(make_report("vm0")), HOST, PORT)
            while fleet.limits.share != 2 / 4:
                await anyio.sleep(0.01)
            group.cancel_scope.cancel()


async def test_reports_of_many_peers_are_read_in_few_wakeups(monkeypatch):
    exchange, fleet = make_exchange(FakeKeyedLog())
    reads = []
    receive = DatagramSocket.receive

    async def counted(self):
        datagrams = await receive(self)
        reads.append(len(datagrams))
        return datagrams

    async def send_reports(socket):
        await anyio.sleep(0.1)
        for sequence in range(1, ROUNDS + 1):
            for number in range(SENDER_COUNT):
                load = {"w1": WorkerLoad(online=1)}
                report = make_report(
                    f"vm{number}", sequence=sequence, load_by_worker=load
                )
                await socket.sendto(load_report.encode(report), HOST, PORT)
                await anyio.sleep(0.002)

    monkeypatch.setattr(DatagramSocket, "receive", counted)
    with anyio.fail_after(WAIT_S):
        async with (
            await anyio.create_udp_socket(local_host=HOST) as socket,
            anyio.create_task_group() as group,
        ):
            group.start_soon(exchange.run)
            await send_reports(socket)
            while sum(reads) < ROUNDS * SENDER_COUNT:
                await anyio.sleep(0.01)
            group.cancel_scope.cancel()
    assert len(reads) <= ROUNDS * SENDER_COUNT / 2
    assert fleet.loads.total("w1").online == SENDER_COUNT


# Guards against a VM that is chosen as a successor before it knows any submission, or
# not chosen for long after.
async def test_a_restored_state_is_reported_soon():
    submissions = FakeKeyedLog()
    follower = make_follower(submissions, NoState(), CLOCK, has_caught_up=False)
    exchange, _ = make_exchange(FakeKeyedLog(), follower=follower)
    with anyio.fail_after(WAIT_S):
        async with (
            await anyio.create_udp_socket(local_host=HOST) as socket,
            anyio.create_task_group() as group,
        ):
            group.start_soon(exchange.run)
            await anyio.sleep(0.1)
            report = load_report.encode(make_report("vm"))
            await socket.sendto(report, HOST, PORT)
            datagram, _ = await socket.receive()
            assert load_report.decode(datagram).restoring
            await anyio.sleep(SETTLE_S)
            restored_ms = CLOCK.now_ms()
            group.start_soon(follower.run)
            async for datagram, _ in socket:
                if not load_report.decode(datagram).restoring:
                    break
            assert CLOCK.now_ms() - restored_ms < SOON_MS
            group.cancel_scope.cancel()


# Guards against a report that is held for new though the VM stood still before it read
# it.
async def test_a_report_that_waited_is_not_new():
    exchange, _ = make_exchange(FakeKeyedLog())
    reading = ConfigurationReading(mark=version_mark(1), age_ms=7)
    reports = [
        make_report("vm0", sequence=number, configuration=reading) for number in (1, 2)
    ]
    ages_ms = []
    with anyio.fail_after(WAIT_S):
        async with (
            await anyio.create_udp_socket(local_host=HOST) as socket,
            anyio.create_task_group() as group,
        ):
            group.start_soon(exchange.run)
            await anyio.sleep(SETTLE_S)
            for report in reports:
                await socket.sendto(load_report.encode(report), HOST, PORT)
                time.sleep(STOOD_STILL_S)  # of the whole process
                while (peer := exchange._peers.get("vm0")) is None or (
                    peer.sequence < report.sequence
                ):
                    await anyio.sleep(0.001)
                age_ms = exchange._peers.configuration_age_ms(1, CLOCK.now_ms())
                ages_ms.append(age_ms)
            group.cancel_scope.cancel()
    assert min(ages_ms) >= STOOD_STILL_S * MS_PER_S + 7
