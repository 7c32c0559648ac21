"""Pool of idle client connections by address."""

import collections

from foxtailbank.clock import Clock
from foxtailbank.http1.client_channel import ClientChannel

MAX_IDLE_PER_ADDRESS = 16


class ChannelPool:
    """Keeps connections open between requests.

    Parameters
    ----------
    clock : Clock
        Source of time.
    connect_ms : int
        Bound on opening a connection, in milliseconds.
    """

    def __init__(self, *, clock: Clock, connect_ms: int) -> None:
        self._clock = clock
        self._connect_ms = connect_ms
        self._idle_by_address: dict[str, list[ClientChannel]] = collections.defaultdict(
            list
        )
        self._retired_before_ms = -1

    async def acquire(self, address: str, *, request_id: str = "") -> ClientChannel:
        """Return an idle connection, or open a new one.

        Parameters
        ----------
        address : str
            IP number and port.
        request_id : str, optional
            Id of the request to send; connections on which a request of that id was
            answered with a failure are left to others.

        Raises
        ------
        NotConnected
            No connection could be made.
        """
        idle = self._idle_by_address[address]
        passed_over: list[ClientChannel] = []
        try:
            while idle:
                channel = idle.pop()
                if not self._is_usable(channel):
                    await channel.aclose()
                elif request_id and not channel.may_carry(request_id):
                    passed_over.append(channel)
                else:
                    return channel
        finally:
            idle += passed_over
        return await self.connect(address)

    async def connect(self, address: str) -> ClientChannel:
        """Open a new connection.

        Parameters
        ----------
        address : str
            IP number and port.

        Raises
        ------
        NotConnected
            No connection could be made.
        """
        return await ClientChannel.connect(
            address=address, clock=self._clock, timeout_ms=self._connect_ms
        )

    async def release(self, address: str, channel: ClientChannel) -> None:
        """Return a connection to the pool if it is reusable, else close it."""
        idle = self._idle_by_address[address]
        if channel.is_reusable() and len(idle) < MAX_IDLE_PER_ADDRESS:
            channel.start_idle()
            idle.append(channel)
            return
        await channel.aclose()

    def retire_open(self) -> None:
        """Do not reuse any connection that is open now.

        A time-out on one connection suggests that a device on the path has dropped
        its state for the others as well.
        """
        self._retired_before_ms = self._clock.now_ms()

    def _is_usable(self, channel: ClientChannel) -> bool:
        if channel.opened_ms <= self._retired_before_ms:
            return False
        return channel.is_still_idle()
