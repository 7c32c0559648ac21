"""Membership over UDP."""

import collections.abc as c
import contextlib
import logging

import anyio
import anyio.abc

from foxtailbank import clock as clock_module
from foxtailbank import exceptions, membership, peer_codec
from foxtailbank import membership_actions as actions

logger = logging.getLogger(__name__)
MAX_SLEEP_MS = 250


class HeartbeatService:
    """Carries datagrams between a socket and the membership state.

    Parameters
    ----------
    state : Membership
        The decisions.
    clock : Clock
        Source of time.
    secret : bytes
        Secret that all entry VMs share.
    on_change : callable
        Called with each action that is no datagram.
    """

    def __init__(
        self,
        *,
        state: membership.Membership,
        clock: clock_module.Clock,
        secret: bytes,
        on_change: c.Callable[[actions.MembershipAction], None],
    ) -> None:
        self.state = state
        self._clock = clock
        self._secret = secret
        self._on_change = on_change
        self._socket: anyio.abc.UDPSocket | None = None
        self._sending = anyio.Lock()
        self.rejected_count = 0

    async def run(
        self,
        socket: anyio.abc.UDPSocket,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled.

        Parameters
        ----------
        socket : UDPSocket
            Bound to the address that the VM's own record names.
        task_status : TaskStatus
            Told once datagrams are served.
        """
        self._socket = socket
        async with socket, anyio.create_task_group() as tasks:
            tasks.start_soon(self._receive, socket)
            task_status.started()
            await self._tick_forever()

    async def leave(self) -> None:
        """Tell other VMs that this one leaves."""
        await self._do(self.state.leave(now_ms=self._clock.now_ms()))

    async def _tick_forever(self) -> None:
        while True:
            now_ms = self._clock.now_ms()
            await self._do(self.state.tick(now_ms=now_ms))
            wait_ms = max(1, self.state.next_due_ms() - now_ms)
            await anyio.sleep(min(wait_ms, MAX_SLEEP_MS) / clock_module.MS_PER_S)

    async def _receive(self, socket: anyio.abc.UDPSocket) -> None:
        async for datagram, _ in socket:
            try:
                heartbeat = peer_codec.open_datagram(datagram, secret=self._secret)
            except exceptions.PeerError as error:
                self.rejected_count += 1
                logger.debug("datagram rejected", extra={"code": error.code})
                continue
            now_ms = self._clock.now_ms()
            await self._do(self.state.received(heartbeat, now_ms=now_ms))

    async def _do(self, done: membership.Actions) -> None:
        for action in done:
            if isinstance(action, actions.SendHeartbeat):
                await self._send(action)
            else:
                self._on_change(action)

    async def _send(self, action: actions.SendHeartbeat) -> None:
        host, _, port = action.to.rpartition(":")
        if self._socket is None or not port.isdecimal():
            return
        try:
            datagram = peer_codec.seal_datagram(action.payload, secret=self._secret)
        except exceptions.FrameTooLarge:
            logger.exception("heartbeat exceeds the bound on datagrams")
            return
        async with self._sending:
            with contextlib.suppress(OSError, anyio.ClosedResourceError):
                await self._socket.sendto(datagram, host, int(port))


async def open_socket(*, host: str, port: int) -> anyio.abc.UDPSocket:
    """Return a UDP socket bound to an address; port 0 picks a free one."""
    return await anyio.create_udp_socket(local_host=host, local_port=port)
