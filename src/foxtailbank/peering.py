"""Membership and peer connections of one entry VM."""

import random
import typing as t

import anyio
import anyio.abc

from foxtailbank import peer_messages as pm
from foxtailbank.address import parse_address
from foxtailbank.clock import Clock
from foxtailbank.exceptions import FoxtailbankError, MessageUnsupported
from foxtailbank.heartbeat import HeartbeatService
from foxtailbank.heartbeat_writer import OwnState
from foxtailbank.membership import Membership
from foxtailbank.membership_actions import MemberJoined, MembershipAction
from foxtailbank.peer_client import PeerClient
from foxtailbank.peer_handler import PeerHandler
from foxtailbank.peer_server import PeerServer
from foxtailbank.settings import Settings
from foxtailbank.vm_list import Vm, VmRole

MessageT = t.TypeVar("MessageT", bound=pm.PeerMessage)


class MessageDispatcher(PeerHandler):
    """Dispatches peer messages to handlers by message type."""

    def __init__(self) -> None:
        self._request_handler_by_type: dict[
            type[pm.PeerMessage],
            t.Callable[[str, t.Any], t.Awaitable[pm.PeerMessage]],
        ] = {}
        self._notice_handler_by_type: dict[
            type[pm.PeerMessage], t.Callable[[str, t.Any], None]
        ] = {}

    def set_request_handler(
        self,
        message_type: type[MessageT],
        handler: t.Callable[[str, MessageT], t.Awaitable[pm.PeerMessage]],
    ) -> None:
        """Set the coroutine function that answers requests of a type."""
        self._request_handler_by_type[message_type] = handler

    def set_notice_handler(
        self, message_type: type[MessageT], handler: t.Callable[[str, MessageT], None]
    ) -> None:
        """Set the function that processes notices of a type."""
        self._notice_handler_by_type[message_type] = handler

    async def handle_request(
        self, peer_id: str, message: pm.PeerMessage
    ) -> pm.PeerMessage:
        """Answer a request.

        Raises
        ------
        MessageUnsupported
            There is no handler for its type.
        """
        handler = self._request_handler_by_type.get(type(message))
        if handler is None:
            raise MessageUnsupported(detail=type(message).__name__)
        return await handler(peer_id, message)

    def handle_notice(self, peer_id: str, message: pm.PeerMessage) -> None:
        """Process a notice; a notice without a handler is ignored."""
        handler = self._notice_handler_by_type.get(type(message))
        if handler is not None:
            handler(peer_id, message)


class Peering:
    """Tracks the other entry VMs and exchanges messages with them.

    Parameters
    ----------
    settings : Settings
        Addresses, zones and timing.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of random choices.
    secret : bytes
        Secret shared by all entry VMs.
    started_ms : int
        Wall-clock time of this start in milliseconds; used as the incarnation.
    on_change : callable
        Called with each change of membership.

    Attributes
    ----------
    membership : Membership
        State of the membership protocol.
    handlers : MessageDispatcher
        Handlers of peer messages.
    client : PeerClient
        Sends messages.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        clock: Clock,
        rng: random.Random,
        secret: bytes,
        started_ms: int,
        on_change: t.Callable[[MembershipAction], None],
    ) -> None:
        vm = settings.vm
        self._settings = settings
        self._clock = clock
        self.membership = Membership(
            own=pm.MemberRecord(
                vm_id=vm.id,
                zone=vm.zone,
                address=vm.peer_address,
                incarnation=started_ms,
            ),
            rng=rng,
            now_ms=clock.now_ms(),
            zones=vm.zones,
        )
        for seed in settings.peers.seeds:
            if seed != vm.peer_address:
                self.membership.add_seed(address=seed)
        self._heartbeats = HeartbeatService(
            state=self.membership,
            clock=clock,
            secret=secret,
            on_change=self._on_membership_change,
        )
        self._on_change = on_change
        hello = pm.Hello(vm_id=vm.id, zone=vm.zone, incarnation=started_ms)
        self.handlers = MessageDispatcher()
        self._server = PeerServer(own_hello=hello, secret=secret, handler=self.handlers)
        self.client = PeerClient(
            own_hello=hello,
            secret=secret,
            clock=clock,
            resolve_address=self._resolve_address,
        )

    def live_vms(self) -> tuple[pm.MemberRecord, ...]:
        """Return the live entry VMs in reachable zones, including this one."""
        return self.membership.view.live(now_ms=self._clock.now_ms())

    def live_peers(self) -> tuple[pm.MemberRecord, ...]:
        """Return the live entry VMs in reachable zones, excluding this one."""
        own = self._settings.vm.id
        return tuple(member for member in self.live_vms() if member.vm_id != own)

    def peer_online_in_flight(self, pool: str) -> int:
        """Return the number of online requests of other live VMs in a pool."""
        return sum(
            load.in_flight
            for member in self.live_peers()
            for load in self.membership.view.loads(member.vm_id)
            if load.pool == pool
        )

    def incarnation_of(self, vm_id: str) -> int | None:
        """Return the incarnation of a VM, or None if it is not live."""
        for member in self.live_vms():
            if member.vm_id == vm_id:
                return member.incarnation
        return None

    def has_contact_with_all(self, *, within_ms: int) -> bool:
        """Return whether every availability zone was contacted recently."""
        return self.membership.view.has_contact_with_all(
            within_ms=within_ms, now_ms=self._clock.now_ms()
        )

    def notify(self, vm_id: str, message: pm.PeerMessage) -> bool:
        """Send a notice; return whether it was queued."""
        try:
            self.client.notify(vm_id, message)
        except FoxtailbankError:
            return False
        return True

    def notify_all(self, message: pm.PeerMessage) -> None:
        """Send a notice to every other live VM."""
        for member in self.live_peers():
            self.notify(member.vm_id, message)

    def update_vm_list(self, vms: t.Iterable[Vm]) -> None:
        """Update the membership from the platform's list of VMs."""
        entries = [vm for vm in vms if vm.role is VmRole.ENTRY]
        self.membership.on_vm_list(entries, now_ms=self._clock.now_ms())

    def set_own_state(self, state: OwnState) -> None:
        """Set the state that heartbeats report for this VM."""
        self.membership.set_own_state(state, now_ms=self._clock.now_ms())

    async def run(self) -> None:
        """Serve peers until cancelled."""
        address = parse_address(self._settings.vm.peer_address)
        listener = await anyio.create_tcp_listener(
            local_host=address.ip, local_port=address.port
        )
        socket = await anyio.create_udp_socket(
            local_host=address.ip, local_port=address.port
        )
        async with listener, self.client, anyio.create_task_group() as tasks:
            tasks.start_soon(self._server.run, listener)
            tasks.start_soon(self._heartbeats.run, socket)
            await anyio.sleep_forever()

    async def leave(self) -> None:
        """Notify the other VMs that this one is leaving."""
        await self._heartbeats.leave()

    def _on_membership_change(self, action: MembershipAction) -> None:
        if isinstance(action, MemberJoined):
            self.client.on_peer_alive(action.record.vm_id)
        self._on_change(action)

    def _resolve_address(self, vm_id: str) -> str | None:
        for member in self.membership.view.members():
            if member.vm_id == vm_id:
                return member.address
        return None
