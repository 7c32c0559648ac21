"""Membership and peer links of one entry VM."""

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

Message = t.TypeVar("Message", bound=pm.PeerMessage)


class MessageTable(PeerHandler):
    """Leads each kind of peer message to its handler."""

    def __init__(self) -> None:
        self._requests: dict[
            type[pm.PeerMessage],
            t.Callable[[str, t.Any], t.Awaitable[pm.PeerMessage]],
        ] = {}
        self._notices: dict[type[pm.PeerMessage], t.Callable[[str, t.Any], None]] = {}

    def on_request(
        self,
        kind: type[Message],
        handler: t.Callable[[str, Message], t.Awaitable[pm.PeerMessage]],
    ) -> None:
        """Let a coroutine function answer a kind of request."""
        self._requests[kind] = handler

    def on_notice(
        self, kind: type[Message], handler: t.Callable[[str, Message], None]
    ) -> None:
        """Let a function take a kind of notice."""
        self._notices[kind] = handler

    async def request(self, peer_id: str, message: pm.PeerMessage) -> pm.PeerMessage:
        """Answer a request.

        Raises
        ------
        MessageUnsupported
            No handler knows its kind.
        """
        handler = self._requests.get(type(message))
        if handler is None:
            raise MessageUnsupported(detail=type(message).__name__)
        return await handler(peer_id, message)

    def notice(self, peer_id: str, message: pm.PeerMessage) -> None:
        """Take in a notice; unknown kinds are ignored."""
        handler = self._notices.get(type(message))
        if handler is not None:
            handler(peer_id, message)


class Peering:
    """Knows the other entry VMs and talks to them.

    Parameters
    ----------
    settings : Settings
        Addresses, zones and timing.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of random choices.
    secret : bytes
        Secret that all entry VMs share.
    started_ms : int
        Civil time of this start, which numbers the incarnation.
    on_change : callable
        Called with each change of membership.

    Attributes
    ----------
    membership : Membership
        State of the protocol.
    handlers : MessageTable
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
                self.membership.seed(address=seed)
        self._heartbeats = HeartbeatService(
            state=self.membership,
            clock=clock,
            secret=secret,
            on_change=self._on_member,
        )
        self._on_change = on_change
        hello = pm.Hello(vm_id=vm.id, zone=vm.zone, incarnation=started_ms)
        self.handlers = MessageTable()
        self._server = PeerServer(own=hello, secret=secret, handler=self.handlers)
        self.client = PeerClient(
            own=hello, secret=secret, clock=clock, resolve=self._resolve
        )

    def live(self) -> tuple[pm.MemberRecord, ...]:
        """Return live entry VMs of reachable zones, this one included."""
        return self.membership.view.live(now_ms=self._clock.now_ms())

    def others(self) -> tuple[pm.MemberRecord, ...]:
        """Return live entry VMs of reachable zones but this one."""
        own = self._settings.vm.id
        return tuple(one for one in self.live() if one.vm_id != own)

    def online_elsewhere(self, pool: str) -> int:
        """Return the online requests that other live VMs have on a pool."""
        return sum(
            load.in_flight
            for one in self.others()
            for load in self.membership.view.loads(one.vm_id)
            if load.pool == pool
        )

    def incarnation_of(self, vm_id: str) -> int | None:
        """Return the incarnation of a live VM; None if it is not live."""
        for one in self.live():
            if one.vm_id == vm_id:
                return one.incarnation
        return None

    def has_contact_with_all(self, *, within_ms: int) -> bool:
        """Return whether every availability zone was heard from lately."""
        return self.membership.view.has_contact_with_all(
            within_ms=within_ms, now_ms=self._clock.now_ms()
        )

    def tell(self, vm_id: str, message: pm.PeerMessage) -> bool:
        """Send a notice; return whether it was queued."""
        try:
            self.client.notify(vm_id, message)
        except FoxtailbankError:
            return False
        return True

    def tell_all(self, message: pm.PeerMessage) -> None:
        """Send a notice to every other live VM."""
        for one in self.others():
            self.tell(one.vm_id, message)

    def listed(self, vms: t.Iterable[Vm]) -> None:
        """Take in the entry VMs of the platform's list."""
        entries = [vm for vm in vms if vm.role is VmRole.ENTRY]
        self.membership.listed(entries, now_ms=self._clock.now_ms())

    def set_own_state(self, state: OwnState) -> None:
        """Set what heartbeats tell of this VM."""
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
        """Tell the other VMs that this one leaves."""
        await self._heartbeats.leave()

    def _on_member(self, action: MembershipAction) -> None:
        if isinstance(action, MemberJoined):
            self.client.on_peer_alive(action.record.vm_id)
        self._on_change(action)

    def _resolve(self, vm_id: str) -> str | None:
        for one in self.membership.view.members():
            if one.vm_id == vm_id:
                return one.address
        return None
