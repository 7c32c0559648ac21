"""Client for requests and notices to other entry VMs."""

import collections.abc as c
import types

import anyio
import anyio.abc

from foxtailbank import clock as clock_module
from foxtailbank import exceptions, peer_channel
from foxtailbank import peer_messages as pm


class PeerClient:
    """Manages connections to other entry VMs, opened on first use.

    An asynchronous context manager; exiting it closes all connections.

    Parameters
    ----------
    own_hello : Hello
        Hello message of this VM.
    secret : bytes
        Secret shared by all entry VMs.
    clock : Clock
        Source of time.
    resolve_address : callable
        Returns the address of a VM by its id, such as ``"127.0.0.1:8400"``, or
        None if it is unknown.
    config : ChannelConfig
        Timeouts and limits of each connection.
    """

    def __init__(
        self,
        *,
        own_hello: pm.Hello,
        secret: bytes,
        clock: clock_module.Clock,
        resolve_address: c.Callable[[str], str | None],
        config: peer_channel.ChannelConfig | None = None,
    ) -> None:
        self._own_hello = own_hello
        self._secret = secret
        self._clock = clock
        self._resolve_address = resolve_address
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
        """Send a request and return the answer.

        Parameters
        ----------
        vm_id : str
            Recipient.
        message : PeerMessage
            The request.
        timeout_ms : int
            Timeout in milliseconds, including the time to connect.

        Returns
        -------
        PeerMessage
            The answer.

        Raises
        ------
        PeerTimeout
            No answer arrived in time; the request may have been executed.
        PeerUnreachable
            No connection could be opened, or it broke.
        PeerQueueFull
            Too many messages are queued; nothing was sent.
        PeerRefused
            The peer answered with `Refused`.
        MessageUnsupported
            The peer does not support this kind of message.
        """
        return await self._channel(vm_id).request(message, timeout_ms=timeout_ms)

    def notify(self, vm_id: str, message: pm.PeerMessage) -> None:
        """Queue a notice; it is lost if the connection breaks.

        Parameters
        ----------
        vm_id : str
            Recipient.
        message : PeerMessage
            The notice.

        Raises
        ------
        PeerUnreachable
            The VM's address is unknown.
        PeerQueueFull
            Too many messages are queued; this one was not.
        """
        self._channel(vm_id).notify(message)

    def on_peer_alive(self, vm_id: str) -> None:
        """Reconnect to a VM at once instead of waiting for the backoff."""
        channel = self._channel_by_vm_id.get(vm_id)
        if channel is not None:
            channel.on_peer_alive()

    def connection_count(self, vm_id: str) -> int:
        """Return the number of connections opened by the channel to a VM."""
        channel = self._channel_by_vm_id.get(vm_id)
        return channel.connection_count if channel is not None else 0

    def disconnect(self, vm_id: str) -> None:
        """Close the connection to a VM that has shut down."""
        channel = self._channel_by_vm_id.pop(vm_id, None)
        if channel is not None:
            channel.stop()

    def _channel(self, vm_id: str) -> peer_channel.PeerChannel:
        address = self._resolve_address(vm_id)
        if address is None or self._tasks is None:
            raise exceptions.PeerUnreachable(detail=f"no known address for {vm_id}")
        channel = self._channel_by_vm_id.get(vm_id)
        if channel is not None and channel.is_open and channel.address == address:
            return channel
        if channel is not None:
            channel.stop()
        channel = peer_channel.PeerChannel(
            vm_id=vm_id,
            address=address,
            own_hello=self._own_hello,
            secret=self._secret,
            clock=self._clock,
            config=self._config,
        )
        self._channel_by_vm_id[vm_id] = channel
        self._tasks.start_soon(channel.run)
        return channel
