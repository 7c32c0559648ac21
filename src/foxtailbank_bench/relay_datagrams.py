"""Relay of the UDP datagrams of one link."""

import typing as t

import anyio
import anyio.abc

from foxtailbank.clock import MS_PER_S
from foxtailbank_bench.relay_faults import LinkFaults, LinkMode

MAX_SOURCES = 1_024


class DatagramRelay:
    """Forwards datagrams to the target and its replies to their source.

    Parameters
    ----------
    port : int
        Port to listen on.
    target : (str, int)
        IP number and port.
    faults : LinkFaults
        Faults of the link; the owner changes this object in place.
    """

    def __init__(
        self, *, port: int, target: tuple[str, int], faults: LinkFaults
    ) -> None:
        self._port = port
        self._target = target
        self._faults = faults
        self._send_lock = anyio.Lock()  # anyio sockets allow one sender at a time
        self._sockets_by_source: dict[
            tuple[str, int], anyio.abc.ConnectedUDPSocket
        ] = {}

    async def run(self, host: str, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Forward datagrams until cancelled; report the start once the port is bound.

        Parameters
        ----------
        host : str
            IP number to listen on.
        """
        async with (
            await anyio.create_udp_socket(
                local_host=host, local_port=self._port
            ) as listener,
            anyio.create_task_group() as tasks,
        ):
            task_status.started()
            async for data, (source_host, source_port) in listener:
                source = (source_host, source_port)
                upstream = self._sockets_by_source.get(source)
                if upstream is None:
                    if len(self._sockets_by_source) >= MAX_SOURCES:
                        continue
                    upstream = await self._connect(source)
                    tasks.start_soon(
                        self._forward_replies, upstream, listener, source, tasks
                    )
                self._forward(tasks, upstream.send, data)

    async def _connect(self, source: tuple[str, int]) -> anyio.abc.ConnectedUDPSocket:
        host, port = self._target
        upstream = await anyio.create_connected_udp_socket(host, port)
        self._sockets_by_source[source] = upstream
        return upstream

    async def _forward_replies(
        self,
        upstream: anyio.abc.ConnectedUDPSocket,
        listener: anyio.abc.UDPSocket,
        source: tuple[str, int],
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        async with upstream:
            while True:
                try:
                    data = await upstream.receive()
                except (anyio.BrokenResourceError, OSError):
                    # Nothing is listening at the target at present.
                    await anyio.sleep(1 / MS_PER_S)
                    continue
                self._forward(tasks, listener.sendto, data, *source)

    def _forward(
        self,
        tasks: anyio.abc.TaskGroup,
        send: t.Callable[..., t.Awaitable[None]],
        *arguments: t.Any,
    ) -> None:
        if self._faults.mode is LinkMode.PASS:
            tasks.start_soon(self._send_delayed, send, arguments)

    async def _send_delayed(
        self, send: t.Callable[..., t.Awaitable[None]], arguments: tuple[t.Any, ...]
    ) -> None:
        await anyio.sleep((self._faults.delay_ms or 0) / MS_PER_S)
        try:
            async with self._send_lock:
                await send(*arguments)
        except (anyio.BrokenResourceError, OSError):
            return
