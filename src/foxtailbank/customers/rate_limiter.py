"""Keeps customers to their limits, together with the other VMs, over UDP."""

import dataclasses

import anyio

from foxtailbank.address import Address, parse_address
from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.customers import rate_messages
from foxtailbank.customers.customer import Customer, Identity
from foxtailbank.customers.rate_fleet import Contact
from foxtailbank.customers.rate_limit import RateLimit
from foxtailbank.customers.rate_log import RateLog
from foxtailbank.customers.rate_messages import RateMessage
from foxtailbank.customers.rate_participant import RateParticipant
from foxtailbank.customers.rate_permits import Permit
from foxtailbank.customers.rate_wait import Outcome, PermitWait, RateOutlook
from foxtailbank.datagram_socket import Datagram, DatagramSocket
from foxtailbank.events import Event
from foxtailbank.exceptions import FoxtailbankError, FrameInvalid, RateLimited
from foxtailbank.fleet.peer_table import PeerTable
from foxtailbank.fleet.report_intervals import PeerGroup
from foxtailbank.forward.route_table import RouteTable
from foxtailbank.logs import LogFields, Logs
from foxtailbank.metrics import Count, Metrics
from foxtailbank.settings_sections import LogLevel
from foxtailbank.skipped_records import SkippedRecords
from foxtailbank.tasks import describe_error

PORT_OFFSET = 1  # from the port of the load reports
READ_RETRY_MS = 100
MAX_STEP_MS = 100  # a request looks again at least as often
LATE_SHARE = 0.4  # of the time after which a VM counts as lost: a report is missing
TRAFFIC = "rate_limits"  # label of the bytes sent


class RateUnknown(FoxtailbankError):
    """Whether the request is within its customer's limit can't be told now."""

    code = "rate_unknown"
    status = 503


class RateLimiter:
    """Decides whether requests of limited customers may pass.

    Without limited customers it opens no socket and sends nothing.

    Parameters
    ----------
    vm_id : str
        This VM.
    incarnation : int
        This process.
    peer_address : str
        IP address and port of its load reports.
    routes : RouteTable
        Customers in force.
    peers : PeerTable
        The other VMs.
    clock : Clock
        Source of time; it counts suspension.
    logs : Logs
        Log lines.
    metrics : Metrics
        Counters.
    """

    def __init__(
        self,
        *,
        vm_id: str,
        incarnation: int,
        peer_address: str,
        routes: RouteTable,
        peers: PeerTable,
        clock: Clock,
        logs: Logs,
        metrics: Metrics,
    ) -> None:
        self._address = _rate_address(parse_address(peer_address))
        self._routes = routes
        self._peers = peers
        self._clock = clock
        self._logs = logs
        self._metrics = metrics
        self._log = RateLog(logs=logs, metrics=metrics)
        self._refused = SkippedRecords(event=Event.PEER_REFUSED, logs=logs, clock=clock)
        self._participant = RateParticipant(
            vm_id=vm_id,
            incarnation=incarnation,
            limits=lambda: self._limit_by_customer,
            send=self._send,
        )
        self._limit_by_customer: dict[str, RateLimit] = {}
        self._has_limits = anyio.Event()
        self._socket: DatagramSocket | None = None
        routes.add_listener(self._on_routes)

    async def admit(self, identity: Identity | None) -> Permit | None:
        """Wait until a request may pass.

        Parameters
        ----------
        identity : Identity or None
            Who sent it; None if it needed no key.

        Returns
        -------
        Permit or None
            To be given back if the request reaches no worker; None without a limit.

        Raises
        ------
        RateLimited
            Its customer is beyond its limit; the error tells when to come back.
        RateUnknown
            The VM that knows does not answer.
        """
        if identity is None or not identity.customer.is_limited:
            return None
        customer = identity.customer
        limit = self._limit_by_customer.get(customer.name)
        if limit is None:
            limit = RateLimit.of(customer)
        now_ms = self._clock.now_ms()
        wait = self._participant.request(customer.name, limit, now_ms)
        if wait.outcome is None:
            await self._wait(customer.name, wait)
        self._log_decision(customer, wait, limit)
        if wait.permit is not None:
            return wait.permit
        detail = f"customer {customer.name}: {customer.rate_per_s:g} requests a second"
        failure = RateLimited if wait.outcome is Outcome.LIMIT else RateUnknown
        raise failure(detail=detail, retry_after_ms=wait.retry_after_ms)

    def outlook(self, customer: Customer) -> RateOutlook | None:
        """Return what `admit` would do now, without an effect; None without a limit."""
        if not customer.is_limited:
            return None
        return self._participant.outlook(customer.name, self._clock.now_ms())

    def give_back(self, permit: Permit | None) -> None:
        """Give back the permit of a request that reached no worker."""
        if permit is not None:
            self._participant.give_back(permit, self._clock.now_ms())

    def stop(self) -> None:
        """Let other VMs grant, as this one is shutting down."""
        if self._has_limits.is_set():
            self._participant.stop(self._clock.now_ms())

    async def run(self) -> None:
        """Exchange permits with the other VMs once a customer has a limit."""
        await self._has_limits.wait()
        with DatagramSocket(address=self._address) as socket:
            self._socket = socket
            try:
                async with anyio.create_task_group() as group:
                    group.start_soon(self._receive, socket)
                    group.start_soon(self._tick)
            finally:
                self._socket = None

    async def _wait(self, customer: str, wait: PermitWait) -> None:
        """Wait until a request is decided on."""
        decided = anyio.Event()
        wait.add_listener(decided.set)
        try:
            while wait.outcome is None:
                now_ms = self._clock.now_ms()
                due_ms = self._participant.due_ms(customer) or now_ms + MAX_STEP_MS
                step_ms = min(MAX_STEP_MS, max(1, due_ms - now_ms))
                with anyio.move_on_after(step_ms / MS_PER_S):
                    await decided.wait()
                if wait.outcome is None:
                    self._participant.on_time(customer, self._clock.now_ms())
        except anyio.get_cancelled_exc_class():  # the client has left
            self._participant.cancel(customer, wait, self._clock.now_ms())
            raise

    async def _tick(self) -> None:
        while True:
            if self._peers.is_complete:
                now_ms = self._clock.now_ms()
                self._participant.tick(self._contacts(now_ms), now_ms)
            await anyio.sleep(self._participant.tick_ms / MS_PER_S)

    def _contacts(self, now_ms: int) -> tuple[Contact, ...]:
        silence_ms = {
            group: self._peers.silence_timeout_ms(group, now_ms) for group in PeerGroup
        }
        contacts = []
        for peer in self._peers.all():
            if peer.stopping:
                continue
            group = PeerGroup.NEAR if self._peers.is_near(peer) else PeerGroup.FAR
            contact = Contact(
                vm_id=peer.vm_id,
                incarnation=peer.incarnation,
                heard_ms=peer.last_update_ms,
                silence_ms=silence_ms[group],
                late_ms=int(LATE_SHARE * silence_ms[group]),
            )
            contacts.append(contact)
        return tuple(contacts)

    async def _receive(self, socket: DatagramSocket) -> None:
        while True:
            try:
                datagrams = await socket.receive()
            except OSError as error:  # of a datagram sent earlier, or of the network
                fields = LogFields(task=TRAFFIC, reason=describe_error(error))
                self._logs.write(
                    Event.TASK_FAILED, level=LogLevel.WARNING, fields=fields
                )
                await anyio.sleep(READ_RETRY_MS / MS_PER_S)
                continue
            for datagram in datagrams:
                self._on_datagram(datagram)

    def _on_datagram(self, datagram: Datagram) -> None:
        try:
            message = rate_messages.decode(datagram.data)
        except FrameInvalid as failure:
            self._refuse(datagram, failure.detail)
            return
        peer = self._peers.get(message.vm_id)
        if peer is None or _rate_address(peer.address) != datagram.source:
            self._refuse(datagram, f"not the address of {message.vm_id!r}")
            return
        self._participant.on_message(message, self._clock.now_ms())

    def _refuse(self, datagram: Datagram, reason: str) -> None:
        source = str(datagram.source)
        self._refused.add(source, LogFields(peer=source, reason=reason))

    def _send(self, vm_id: str, message: RateMessage) -> None:
        peer = self._peers.get(vm_id)
        if peer is None or self._socket is None:
            return
        datagram = rate_messages.encode(message)
        try:
            self._socket.send(datagram, _rate_address(peer.address))
        except OSError as error:  # as if it were lost
            fields = LogFields(peer=vm_id, reason=repr(error))
            self._logs.write(Event.PEER_REFUSED, level=LogLevel.DEBUG, fields=fields)
            return
        self._metrics.count(Count.PEER_BYTES, reason=TRAFFIC, by=len(datagram))

    def _on_routes(self) -> None:
        self._limit_by_customer = {
            customer.name: RateLimit.of(customer)
            for customer in self._routes.customers.all()
            if customer.is_limited
        }
        self._log.forget_all_but(frozenset(self._limit_by_customer))
        if self._limit_by_customer:
            self._has_limits.set()

    def _log_decision(
        self, customer: Customer, wait: PermitWait, limit: RateLimit
    ) -> None:
        now_ms = self._clock.now_ms()
        self._log.on_decision(
            customer.name,
            wait,
            limit=limit,
            granting_vm=self._participant.fleet.granting_vm(customer.name),
            age_ms=self._participant.answer_age_ms(customer.name, now_ms),
            now_ms=now_ms,
        )


def _rate_address(peer_address: Address) -> Address:
    return dataclasses.replace(peer_address, port=peer_address.port + PORT_OFFSET)
