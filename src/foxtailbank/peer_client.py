"""Requests and notices to other entry VMs."""

import collections.abc as c
import types

import anyio
import anyio.abc

from foxtailbank import clock as clock_module
from foxtailbank import exceptions, peer_channel
from foxtailbank import peer_messages as pm


class PeerClient:
    """Connections to other entry VMs, opened when first needed.

    Use as an asynchronous context manager; leaving it closes all connections.

    Parameters
    ----------
    own : Hello
        This VM.
    secret : bytes
        Secret that all entry VMs share.
    clock : Clock
        Source of time.
    resolve : callable
        Gives the address, ``"127.0.0.1:8400"``, of a VM's id, or None.
    config : ChannelConfig
        Times and bounds of each connection.
    """

    def __init__(
        self,
        *,
        own: pm.Hello,
        secret: bytes,
        clock: clock_module.Clock,
        resolve: c.Callable[[str], str | None],
        config: peer_channel.ChannelConfig | None = None,
    ) -> None:
        self._own = own
        self._secret = secret
        self._clock = clock
        self._resolve = resolve
        self._config = config or peer_channel.ChannelConfig()
        self._channel_by_vm_id: dict[str, peer_channel.PeerChannel] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    async def __aenter__(self) -> "PeerClient":
        self._tasks = await anyio.create_task_group().__aenter__()
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> bool | None:
        tasks = self._tasks
        self._tasks = None
        if tasks is None:
            return None
        tasks.cancel_scope.cancel()
        return await tasks.__aexit__(error_type, error, traceback)

    async def request(
        self, vm_id: str, message: pm.PeerMessage, *, timeout_ms: int
    ) -> pm.PeerMessage:
        """Return a VM's answer.

        Parameters
        ----------
        vm_id : str
            Whom to ask.
        message : PeerMessage
            What to ask.
        timeout_ms : int
            Milliseconds to wait, connection included.

        Returns
        -------
        PeerMessage
            The answer.

        Raises
        ------
        PeerTimeout
            No answer came in time; the request may have been carried out.
        PeerUnreachable
            No connection could be opened, or it broke.
        PeerQueueFull
            Too many messages wait; nothing was sent.
        PeerRefused
            The peer refused.
        MessageUnsupported
            The peer does not know the message.
        """
        return await self._channel(vm_id).request(message, timeout_ms=timeout_ms)

    def notify(self, vm_id: str, message: pm.PeerMessage) -> None:
        """Queue a notice; it is lost if the connection breaks.

        Parameters
        ----------
        vm_id : str
            Whom to tell.
        message : PeerMessage
            What to tell.

        Raises
        ------
        PeerUnreachable
            The VM's address is not known.
        PeerQueueFull
            Too many messages wait; nothing was queued.
        """
        self._channel(vm_id).notify(message)

    def on_peer_alive(self, vm_id: str) -> None:
        """Send what waits for a VM at once, since it was heard from."""
        channel = self._channel_by_vm_id.get(vm_id)
        if channel is not None:
            channel.on_peer_alive()

    def connection_count(self, vm_id: str) -> int:
        """Return how many connections to a VM were opened so far."""
        channel = self._channel_by_vm_id.get(vm_id)
        return channel.connection_count if channel is not None else 0

    def drop(self, vm_id: str) -> None:
        """Close the connection to a VM that ended."""
        channel = self._channel_by_vm_id.pop(vm_id, None)
        if channel is not None:
            channel.stop()

    def _channel(self, vm_id: str) -> peer_channel.PeerChannel:
        address = self._resolve(vm_id)
        if address is None or self._tasks is None:
            raise exceptions.PeerUnreachable(detail=f"no address of {vm_id}")
        channel = self._channel_by_vm_id.get(vm_id)
        if channel is not None and channel.is_open and channel.address == address:
            return channel
        if channel is not None:
            channel.stop()
        channel = peer_channel.PeerChannel(
            vm_id=vm_id,
            address=address,
            own=self._own,
            secret=self._secret,
            clock=self._clock,
            config=self._config,
        )
        self._channel_by_vm_id[vm_id] = channel
        self._tasks.start_soon(channel.run)
        return channel
