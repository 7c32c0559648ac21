"""UDP transport of the membership protocol."""

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
    """Passes datagrams between a socket and the membership state.

    Parameters
    ----------
    state : Membership
        State of the membership protocol.
    clock : Clock
        Source of time.
    secret : bytes
        Secret shared by all entry VMs.
    on_change : callable
        Called with each action other than `SendHeartbeat`.
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
        self._send_lock = anyio.Lock()
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
            Bound to the address in this VM's own record.
        task_status : TaskStatus
            Notified once datagrams are being received.
        """
        self._socket = socket
        async with socket, anyio.create_task_group() as tasks:
            tasks.start_soon(self._receive, socket)
            task_status.started()
            await self._tick_forever()

    async def leave(self) -> None:
        """Notify other VMs that this one is leaving."""
        await self._execute(self.state.leave(now_ms=self._clock.now_ms()))

    async def _tick_forever(self) -> None:
        while True:
            now_ms = self._clock.now_ms()
            await self._execute(self.state.tick(now_ms=now_ms))
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
            await self._execute(self.state.on_heartbeat(heartbeat, now_ms=now_ms))

    async def _execute(self, results: membership.Actions) -> None:
        for action in results:
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
            logger.exception("heartbeat exceeds the maximum datagram size")
            return
        async with self._send_lock:
            with contextlib.suppress(OSError, anyio.ClosedResourceError):
                await self._socket.sendto(datagram, host, int(port))


async def open_socket(*, host: str, port: int) -> anyio.abc.UDPSocket:
    """Return a UDP socket bound to an address; port 0 selects a free one."""
    return await anyio.create_udp_socket(local_host=host, local_port=port)
