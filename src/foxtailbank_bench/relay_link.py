"""Relayed link for TCP and UDP."""

import contextlib
import socket

import anyio
import anyio.abc

from foxtailbank_bench.relay_connection import RelayConnection, close
from foxtailbank_bench.relay_datagrams import DatagramRelay
from foxtailbank_bench.relay_faults import LinkFaults, LinkMode


class RelayLink:
    """Listens on its own port and forwards traffic to a target.

    Parameters
    ----------
    name : str
        Name of the link.
    host : str
        IP number to listen on.
    target : str
        IP number and port.
    """

    def __init__(self, *, name: str, host: str, target: str) -> None:
        target_host, _, target_port = target.rpartition(":")
        self.name = name
        self._host = host
        self._target = (target_host, int(target_port))
        self._faults = LinkFaults(mode=LinkMode.PASS, delay_ms=0)
        self._connections: set[RelayConnection] = set()
        self._changed = anyio.Event()
        self._listening = False
        # This socket never listens: it reserves the port while connections are refused.
        self._port_holder = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._port_holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._port_holder.bind((host, 0))
        self._port = self._port_holder.getsockname()[1]

    @property
    def address(self) -> str:
        """IP number and port that the link listens on."""
        return f"{self._host}:{self._port}"

    async def apply_faults(self, change: LinkFaults) -> None:
        """Change the link's faults and wait until they are in force."""
        self._faults.apply(change)
        if change.mode is LinkMode.STALL:
            for connection in self._connections:
                connection.stall()
        if change.mode is LinkMode.MUTE:
            for connection in self._connections:
                connection.mute()
        if change.mode in (LinkMode.CUT, LinkMode.REFUSE):
            for connection in self._connections:
                connection.reset()
        self._notify_changed()
        while self._listening == self._is_refusing:
            await self._changed.wait()

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Forward traffic until cancelled; report the start once the port listens."""
        datagrams = DatagramRelay(
            port=self._port, target=self._target, faults=self._faults
        )
        async with anyio.create_task_group() as tasks:
            await tasks.start(datagrams.run, self._host)
            await tasks.start(self._listen_unless_refusing)
            task_status.started()

    @property
    def _is_refusing(self) -> bool:
        return self._faults.mode is LinkMode.REFUSE

    def _notify_changed(self) -> None:
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    async def _listen_unless_refusing(
        self, *, task_status: anyio.abc.TaskStatus[None]
    ) -> None:
        async with anyio.create_task_group() as connections:
            connections.start_soon(self._report_started, task_status)
            while True:
                await self._listen(connections)
                while self._is_refusing:
                    await self._changed.wait()

    async def _report_started(self, task_status: anyio.abc.TaskStatus[None]) -> None:
        while not self._listening:
            await self._changed.wait()
        task_status.started()

    async def _listen(self, connections: anyio.abc.TaskGroup) -> None:
        async with (
            await anyio.create_tcp_listener(
                local_host=self._host, local_port=self._port
            ) as listener,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(listener.serve, self._accept, connections)
            self._set_listening(True)
            while not self._is_refusing:
                await self._changed.wait()
            tasks.cancel_scope.cancel()
        self._set_listening(False)

    def _set_listening(self, listening: bool) -> None:
        self._listening = listening
        self._notify_changed()

    async def _accept(self, client: anyio.abc.SocketStream) -> None:
        if self._faults.mode is not LinkMode.CUT:
            with contextlib.suppress(OSError):
                target = await anyio.connect_tcp(*self._target)
                await self._relay(client, target)
                return
        await close(client, reset=True)

    async def _relay(
        self, client: anyio.abc.SocketStream, target: anyio.abc.SocketStream
    ) -> None:
        connection = RelayConnection(client=client, target=target, faults=self._faults)
        if self._faults.mode is LinkMode.STALL:
            connection.stall()
        if self._faults.mode is LinkMode.MUTE:
            connection.mute()
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)
