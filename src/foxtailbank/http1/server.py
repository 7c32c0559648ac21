"""HTTP/1.1 server that tracks its connections for a graceful shutdown."""

import socket
import typing as t

import anyio
import anyio.abc

from foxtailbank.address import Address, parse_address
from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.http1.accept import accept
from foxtailbank.http1.body_memory import BodyMemory
from foxtailbank.http1.connection_budget import (
    ConnectionAccount,
    ConnectionBudget,
    Door,
    unbounded,
)
from foxtailbank.http1.request_reader import KeepsBody, keep_every_body
from foxtailbank.http1.server_connection import Handler, ServerConnection
from foxtailbank.http1.server_limits import ServerLimits
from foxtailbank.http1.socket_options import (
    CLIENT_TIMEOUT_MS,
    enable_dead_peer_detection,
)
from foxtailbank.http1.socket_stream import BufferlessStream

BACKLOG = 1_024
ACCEPT_PAUSE_MS = 100  # until descriptors may be free again


class Server:
    """Accepts and serves connections on one address.

    Parameters
    ----------
    address : str
        IP number and port.
    handler : callable
        Handles one request.
    limits : callable
        Returns the current limits.
    clock : Clock
        Source of time.
    on_handler_error : callable
        Called with an unexpected error of a handler, whose connection is closed, and
        with one that keeps new connections from being accepted.
    body_memory : BodyMemory, optional
        Memory for the bodies of requests; not bounded by default.
    budget : ConnectionBudget, optional
        What the connections of all servers may hold; not bounded by default.
    reserved_count : int, optional
        Connections that this server may have whatever others hold.
    keeps_body : callable, optional
        As for `RequestReader`.
    client_timeout_ms : int, optional
        How long a client may leave sent data unread, in milliseconds.

    Attributes
    ----------
    draining : bool
        Whether responses carry ``Connection: close``.
    """

    def __init__(
        self,
        *,
        address: str,
        handler: Handler,
        limits: t.Callable[[], ServerLimits],
        clock: Clock,
        on_handler_error: t.Callable[[Exception], None],
        body_memory: BodyMemory | None = None,
        budget: ConnectionBudget | None = None,
        reserved_count: int = 0,
        keeps_body: KeepsBody = keep_every_body,
        client_timeout_ms: int = CLIENT_TIMEOUT_MS,
    ) -> None:
        self._client_timeout_ms = client_timeout_ms
        self._body_memory = body_memory
        self._budget = budget or unbounded(clock)
        self._door = Door(name=address, reserved_count=reserved_count)
        self._budget.add_door(self._door)
        self._keeps_body = keeps_body
        self._address = parse_address(address)
        self._handler = handler
        self._limits = limits
        self._clock = clock
        self._on_handler_error = on_handler_error
        self._connections: set[ServerConnection] = set()
        self.draining = False

    @property
    def active_request_count(self) -> int:
        """Number of requests without a complete response."""
        return sum(1 for connection in self._connections if connection.is_busy)

    async def run(self) -> None:
        """Accept connections until cancelled."""
        with _listen(self._address) as listening:
            async with anyio.create_task_group() as group:
                await self._accept_all(listening, group)

    async def _accept_all(
        self, listening: socket.socket, group: anyio.abc.TaskGroup
    ) -> None:
        while True:
            try:
                stream = await accept(listening)
            except OSError as error:
                self._on_handler_error(error)
                await anyio.sleep(ACCEPT_PAUSE_MS / MS_PER_S)
            else:
                account = self._budget.open(self._door)
                if account is None:
                    await stream.aclose()
                else:
                    group.start_soon(self._serve, stream, account)

    def close_idle(self, *, first_request_ms: int = 0) -> None:
        """Close the connections that are between requests.

        Parameters
        ----------
        first_request_ms : int
            As for `ServerConnection.close_if_idle`.
        """
        for connection in tuple(self._connections):
            connection.close_if_idle(first_request_ms=first_request_ms)

    async def _serve(
        self, stream: BufferlessStream, account: ConnectionAccount
    ) -> None:
        try:
            await self._serve_counted(stream, account)
        finally:
            self._budget.discard(account)

    async def _serve_counted(
        self, stream: BufferlessStream, account: ConnectionAccount
    ) -> None:
        if account.is_closed:  # for others, before it was served
            await stream.aclose()
            return
        try:
            enable_dead_peer_detection(stream, user_timeout_ms=self._client_timeout_ms)
        except OSError:
            # The client disconnected before the connection was accepted.
            await stream.aclose()
            return
        connection = ServerConnection(
            stream=stream,
            handler=self._handler,
            limits=self._limits,
            draining=lambda: self.draining,
            clock=self._clock,
            body_memory=self._body_memory,
            account=account,
            keeps_body=self._keeps_body,
        )
        self._connections.add(connection)
        try:
            await connection.serve()
        except Exception as error:
            self._on_handler_error(error)
        finally:
            self._connections.discard(connection)


def _listen(address: Address) -> socket.socket:
    """Return a socket that listens on an address.

    The address is a number, so no resolver is asked, which would need a thread and a
    network.
    """
    family = socket.AF_INET6 if ":" in address.ip else socket.AF_INET
    listening = socket.socket(family, socket.SOCK_STREAM)
    try:
        listening.setblocking(False)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((address.ip, address.port))
        listening.listen(BACKLOG)
    except BaseException:
        listening.close()
        raise
    return listening
