"""Exchanges load reports with the other entry VMs over UDP."""

import collections
import dataclasses
import typing as t

import anyio

from foxtailbank.address import Address, AddressInvalid, parse_address
from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.datagram_socket import (
    MAX_DATAGRAMS_PER_READ,
    Datagram,
    DatagramSocket,
)
from foxtailbank.events import Event
from foxtailbank.exceptions import FoxtailbankError, FrameInvalid
from foxtailbank.fleet import load_report, report_intervals
from foxtailbank.fleet.crash_report import CrashReport, PartCompletion
from foxtailbank.fleet.load_report import LoadReport
from foxtailbank.fleet.load_table import PeerLoad
from foxtailbank.fleet.peer_table import PeerTable
from foxtailbank.fleet.report_intervals import PeerGroup
from foxtailbank.fleet.stream_origin import StreamReport
from foxtailbank.forward.fleet_state import FleetState
from foxtailbank.keyed_log import KeyedLog, KeyedRecord
from foxtailbank.log_follower import LogFollower
from foxtailbank.logs import LogFields, Logs
from foxtailbank.settings_sections import LogLevel
from foxtailbank.skipped_records import SkippedRecords
from foxtailbank.stream_exchange import ReportSender, StreamExchange
from foxtailbank.submissions.append_queue import AppendQueue
from foxtailbank.tasks import describe_error

ADDRESS_POLL_FAST_MS = 1_000  # until all known addresses belong to live peers
ADDRESS_POLL_SLOW_MS = 20_000
# How long a crash report or a completion is repeated in the load reports. A peer that
# hears none of them for longer reads the log.
RECENT_MS = 10_000
READ_RETRY_MS = 100
EXPIRE_INTERVAL_MS = 250  # a small part of the silence timeout
SILENT_PEERS_PER_POLL = 4  # that get a report, in case that they can be reached again


class LoadExchange(ReportSender):
    """Keeps the load table up to date with the other entry VMs.

    Parameters
    ----------
    vm_id : str
        This VM.
    zone : str
        Its availability zone.
    incarnation : int
        This process.
    address : str
        IP address and port for the datagrams.
    addresses : KeyedLog
        Log in which each VM records its address.
    appends : AppendQueue
        Appends to that log.
    peers : PeerTable
        The other VMs.
    fleet : FleetState
        Loads and crash reports.
    follower : LogFollower
        Restores the submissions; reports say whether it has done so.
    logs : Logs
        Receives a line for each peer that joins or is lost.
    clock : Clock
        Source of time.

    Attributes
    ----------
    stopping : bool
        Whether reports say that this VM is shutting down.
    """

    def __init__(
        self,
        *,
        vm_id: str,
        zone: str,
        incarnation: int,
        address: str,
        addresses: KeyedLog,
        appends: AppendQueue,
        peers: PeerTable,
        fleet: FleetState,
        follower: LogFollower,
        logs: Logs,
        clock: Clock,
    ) -> None:
        self._vm_id = vm_id
        self._zone = zone
        self._incarnation = incarnation
        self._address = parse_address(address)
        self._addresses = addresses
        self._appends = appends
        self._peers = peers
        self._fleet = fleet
        self._follower = follower
        self._logs = logs
        self._clock = clock
        self._sequence = 0
        self._read_all_ms = clock.now_ms()  # when no datagram was left unread
        self._changed_by_group = {group: anyio.Event() for group in PeerGroup}
        self._crash_reports: collections.deque[CrashReport] = collections.deque(
            maxlen=load_report.MAX_CRASH_REPORTS
        )
        self._completions: collections.deque[PartCompletion] = collections.deque(
            maxlen=load_report.MAX_COMPLETIONS
        )
        self._known_alive: set[str] = set()
        self._refused = SkippedRecords(event=Event.PEER_REFUSED, logs=logs, clock=clock)
        self._expired_ms = -EXPIRE_INTERVAL_MS
        self._socket: DatagramSocket | None = None
        self._streams = StreamExchange(
            vm_id=vm_id,
            origins=fleet.origins,
            peers=peers,
            tiers=fleet.tiers,
            sender=self,
            clock=clock,
        )
        self.stopping = False
        fleet.add_load_listener(self.report_soon)
        fleet.crashes.add_report_listener(self._on_own_crash)
        fleet.crashes.add_completion_listener(self._on_own_completion)
        follower.add_catch_up_listener(self.report_soon)

    def report_soon(self) -> None:
        """Send a report as soon as the minimum interval allows."""
        for changed in self._changed_by_group.values():
            changed.set()

    async def run(self) -> None:
        """Exchange reports until cancelled."""
        with DatagramSocket(address=self._address) as socket:
            self._socket = socket
            await self._exchange(socket)

    def send_report(
        self,
        targets: t.Iterable[Address],
        *,
        streams: tuple[StreamReport, ...] = (),
        questions: tuple[int, ...] = (),
    ) -> None:
        """Send a report at once; see `ReportSender.send_report`."""
        if self._socket is None:
            return
        report = dataclasses.replace(self._report(), questions=questions)
        if streams:
            report = dataclasses.replace(report, streams=streams)
        datagram = load_report.encode(report)
        for target in targets:
            self._send_one(self._socket, datagram, target)

    async def _exchange(self, socket: DatagramSocket) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._receive, socket)
            group.start_soon(self._poll_addresses)
            group.start_soon(self._streams.run)
            for peer_group in PeerGroup:
                group.start_soon(self._send, socket, peer_group)

    async def _send(self, socket: DatagramSocket, group: PeerGroup) -> None:
        while True:
            now_ms = self._clock.now_ms()
            changed = self._changed_by_group[group] = anyio.Event()
            self._fleet.tiers.set_cell(self._peers.update_cell(now_ms))
            targets = self._peers.target_addresses(group, now_ms)
            self._fleet.tiers.set_peer_count(group, len(targets))
            if targets:
                datagram = load_report.encode(self._report())
            for target in targets:
                self._send_one(socket, datagram, target)
            self._expire_peers(now_ms)
            self._fleet.limits.share = self._fleet.view.heard_share
            min_interval_ms = report_intervals.send_interval_ms(
                group, len(targets), is_split=self._fleet.tiers.is_split
            )
            idle_ms = report_intervals.idle_interval_ms(len(targets))
            await anyio.sleep(min_interval_ms / MS_PER_S)
            with anyio.move_on_after((idle_ms - min_interval_ms) / MS_PER_S):
                await changed.wait()

    def _send_one(
        self, socket: DatagramSocket, datagram: bytes, target: Address
    ) -> None:
        try:
            socket.send(datagram, target)
        except OSError as error:
            fields = LogFields(peer=str(target), reason=repr(error))
            self._logs.write(Event.PEER_REFUSED, level=LogLevel.DEBUG, fields=fields)

    def _report(self) -> LoadReport:
        self._sequence += 1
        recent_wall_ms = self._clock.wall_ms() - RECENT_MS
        load_by_worker = self._fleet.loads.own_by_worker()
        return LoadReport(
            vm_id=self._vm_id,
            zone=self._zone,
            incarnation=self._incarnation,
            sequence=self._sequence,
            stopping=self.stopping,
            restoring=not self._follower.has_caught_up,
            load_by_worker=load_by_worker,
            speed_code_by_worker=self._fleet.speeds.codes(
                load_by_worker, self._clock.now_ms()
            ),
            crash_reports=tuple(
                crash
                for crash in self._crash_reports
                if crash.crashed_wall_ms > recent_wall_ms
            ),
            completions=tuple(
                completion
                for completion in self._completions
                if completion.completed_wall_ms > recent_wall_ms
            ),
            limits=self._fleet.limits.reports(self._clock.now_ms()),
            streams=self._fleet.origins.recent(),
            lost_services=self._fleet.reach.lost_services(),
            draining=self._fleet.draining.reports(),
            customers=self._fleet.customer_loads.reports(),
            reads_texts=True,
            configuration=self._fleet.configuration_reading,
        )

    async def _receive(self, socket: DatagramSocket) -> None:
        while True:
            datagrams = await self._read(socket)
            read_ms = self._clock.now_ms()
            for datagram in datagrams:
                self._on_datagram(datagram)
            if 0 < len(datagrams) < MAX_DATAGRAMS_PER_READ:
                self._read_all_ms = read_ms
            near = self._fleet.tiers.peer_count(PeerGroup.NEAR)
            pause_ms = report_intervals.read_pause_ms(
                near, is_split=self._fleet.tiers.is_split
            )
            if pause_ms:
                await anyio.sleep(pause_ms / MS_PER_S)

    async def _read(self, socket: DatagramSocket) -> tuple[Datagram, ...]:
        try:
            return await socket.receive()
        except OSError as error:  # of a datagram sent earlier, or of the network
            fields = LogFields(task="load reports", reason=describe_error(error))
            self._logs.write(Event.TASK_FAILED, level=LogLevel.WARNING, fields=fields)
            await anyio.sleep(READ_RETRY_MS / MS_PER_S)
            return ()

    def _on_datagram(self, datagram: Datagram) -> None:
        try:
            report = load_report.decode(datagram.data)
        except FrameInvalid as failure:
            source = str(datagram.source)
            fields = LogFields(peer=source, reason=failure.detail)
            self._refused.add(source, fields)
            return
        self._apply(report, datagram.source)

    def _apply(self, report: LoadReport, address: Address) -> None:
        now_ms = self._clock.now_ms()
        known = self._peers.get(report.vm_id)
        if not self._peers.on_report(
            report, address, now_ms, arrived_ms=self._read_all_ms
        ):
            return
        if known is not None and known.restoring and not report.restoring:
            fields = LogFields(peer=report.vm_id)
            self._logs.write(Event.PEER_RESTORED, level=LogLevel.DEBUG, fields=fields)
        self._fleet.reachability.on_report(report.zone, now_ms)
        if report.vm_id not in self._known_alive and not report.stopping:
            self._known_alive.add(report.vm_id)
            reason = "restoring" if report.restoring else ""
            fields = LogFields(peer=report.vm_id, reason=reason)
            self._logs.write(Event.PEER_JOINED, fields=fields)
            self.report_soon()
        load = PeerLoad(
            vm_id=report.vm_id,
            incarnation=report.incarnation,
            load_by_worker=report.load_by_worker,
            zone=report.zone,
        )
        self._fleet.customer_loads.on_report(report.vm_id, report.customers, now_ms)
        self._fleet.apply_peer_load(load, now_ms)
        self._fleet.apply_peer_speeds(report.speed_code_by_worker)
        self._streams.on_report(report, address)
        for crash in report.crash_reports:
            self._fleet.crashes.on_peer_report(crash, vm_id=report.vm_id)
        for completion in report.completions:
            self._fleet.crashes.reports.add_completion(completion)
        for draining in report.draining:
            self._fleet.draining.on_peer_report(draining, vm_id=report.vm_id)
        for limit in report.limits:
            self._fleet.limits.on_report(
                limit,
                vm_id=report.vm_id,
                incarnation=report.incarnation,
                now_ms=now_ms,
            )

    def _expire_peers(self, now_ms: int) -> None:
        if now_ms - self._expired_ms < EXPIRE_INTERVAL_MS:
            return
        self._expired_ms = now_ms
        timeout_ms = self._peers.silence_timeout_ms(PeerGroup.FAR, now_ms)
        self._fleet.expire_peer_loads(now_ms, timeout_ms)
        alive = {peer.vm_id for peer in self._peers.alive(now_ms)}
        for vm_id in self._known_alive - alive:
            self._logs.write(Event.PEER_LOST, fields=LogFields(peer=vm_id))
        self._known_alive &= alive

    def _on_own_crash(self, crash: CrashReport) -> None:
        self._crash_reports.append(crash)
        self.report_soon()

    def _on_own_completion(self, completion: PartCompletion) -> None:
        self._completions.append(completion)
        self.report_soon()

    async def _poll_addresses(self) -> None:
        own = f"{self._address.ip}:{self._address.port}"
        record = KeyedRecord(key=self._vm_id, value=own.encode())
        self._appends.put((record,), urgent=False)
        while True:
            count = await self._read_addresses()
            now_ms = self._clock.now_ms()
            self.send_report(
                self._peers.silent_addresses(SILENT_PEERS_PER_POLL, now_ms)
            )
            alive = len(self._peers.alive(now_ms))
            all_known = count > 1 and alive >= count - 1
            period_ms = ADDRESS_POLL_SLOW_MS if all_known else ADDRESS_POLL_FAST_MS
            await anyio.sleep(period_ms / MS_PER_S)

    async def _read_addresses(self) -> int:
        now_ms = self._clock.now_ms()
        try:
            newest = await self._addresses.read_newest()
        except FoxtailbankError as failure:
            fields = LogFields(task="addresses", reason=failure.code)
            self._logs.write(Event.TASK_FAILED, level=LogLevel.DEBUG, fields=fields)
            return 0
        for record in newest.records:
            try:
                address = parse_address(record.value.decode("ascii", "replace"))
            except AddressInvalid as error:
                fields = LogFields(peer=record.key, reason=str(error))
                self._logs.write(Event.RECORD_SKIPPED, fields=fields)
                continue
            if self._peers.add_address(record.key, address, now_ms):
                self.report_soon()
        self._peers.is_complete = True
        return len(newest.records)
