"""Accepts connections and keeps track of them for a graceful stop."""

import typing as t

import anyio
import anyio.abc

from foxtailbank.address import parse_address
from foxtailbank.clock import Clock
from foxtailbank.http1.server_connection import Handler, ServerConnection
from foxtailbank.http1.server_limits import ServerLimits
from foxtailbank.http1.socket_options import detect_silence

BACKLOG = 1_024


class Server:
    """Listens on one address.

    Parameters
    ----------
    address : str
        IP number and port.
    handler : callable
        Answers one request.
    limits : callable
        Returns the bounds in force.
    clock : Clock
        Source of time.
    on_defect : callable
        Told of an error that a handler did not expect; its connection is closed.

    Attributes
    ----------
    draining : bool
        Whether answers ask clients to close.
    """

    def __init__(
        self,
        *,
        address: str,
        handler: Handler,
        limits: t.Callable[[], ServerLimits],
        clock: Clock,
        on_defect: t.Callable[[Exception], None],
    ) -> None:
        self._address = parse_address(address)
        self._handler = handler
        self._limits = limits
        self._clock = clock
        self._on_defect = on_defect
        self._open: set[ServerConnection] = set()
        self.draining = False

    @property
    def busy_count(self) -> int:
        """Requests that have no whole answer yet."""
        return sum(1 for connection in self._open if connection.busy)

    async def run(self) -> None:
        """Accept connections until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self._address.ip,
            local_port=self._address.port,
            backlog=BACKLOG,
            reuse_port=False,
        )
        async with listener:
            await listener.serve(self._serve)

    def close_idle(self) -> None:
        """Close the connections that wait for a request."""
        for connection in tuple(self._open):
            connection.close_if_idle()

    async def _serve(self, stream: anyio.abc.SocketStream) -> None:
        try:
            detect_silence(stream)
        except OSError:
            await stream.aclose()  # the client hung up before it was accepted
            return
        connection = ServerConnection(
            stream=stream,
            handler=self._handler,
            limits=self._limits,
            draining=lambda: self.draining,
            clock=self._clock,
        )
        self._open.add(connection)
        try:
            await connection.serve()
        except Exception as error:
            self._on_defect(error)
        finally:
            self._open.discard(connection)
