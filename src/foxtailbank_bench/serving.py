"""Runs an ASGI application on a listening socket."""

import contextlib
import dataclasses
import logging
import signal
import socket
import sys
import typing as t

import anyio
import anyio.abc
import hypercorn.asyncio
import hypercorn.config
import msgspec

from foxtailbank.asgi import Receive, Scope, Send

KEEP_ALIVE_MAX_REQUESTS = 10_000_000
KEEP_ALIVE_S = 60.0
GRACEFUL_S = 5.0
BACKLOG = 1_024
MAX_QUEUED_MESSAGES = 1_000

App: t.TypeAlias = t.Callable[[Scope, Receive, Send], t.Awaitable[None]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ListeningNotice:
    """Line that a program prints once it accepts connections.

    Attributes
    ----------
    address : str
        IP number and port.
    event : str
        Event name.
    """

    address: str
    event: str = "listening"


def listen(*, host: str, port: int) -> socket.socket:
    """Return a listening socket.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        Port; 0 picks a free one.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(BACKLOG)
    return sock


def address_of(sock: socket.socket) -> str:
    """Return a socket's own IP number and port."""
    host, port = sock.getsockname()
    return f"{host}:{port}"


async def serve(
    app: App,
    *,
    sock: socket.socket,
    stop: anyio.Event,
    graceful_s: float = GRACEFUL_S,
) -> None:
    """Serve until `stop` is set.

    Parameters
    ----------
    app : callable
        ASGI application.
    sock : socket.socket
        Listening socket; the server closes it.
    stop : anyio.Event
        Stops the server once set.
    graceful_s : float
        Seconds for running requests to finish after `stop` is set.
    """
    config = hypercorn.config.Config()
    config.bind = [f"fd://{sock.detach()}"]
    config.backlog = BACKLOG
    config.keep_alive_max_requests = KEEP_ALIVE_MAX_REQUESTS
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.graceful_timeout = graceful_s
    config.max_app_queue_size = MAX_QUEUED_MESSAGES
    config.include_server_header = False
    config.accesslog = None
    config.errorlog = logging.getLogger("foxtailbank_bench.server")
    await hypercorn.asyncio.serve(
        t.cast(t.Any, app), config, shutdown_trigger=stop.wait, mode="asgi"
    )


@contextlib.asynccontextmanager
async def running(app: App, *, graceful_s: float = 0.2) -> t.AsyncIterator[str]:
    """Serve an application in this process, on a free port of 127.0.0.1.

    Parameters
    ----------
    app : callable
        ASGI application.
    graceful_s : float
        Seconds for running requests to finish at shutdown.

    Yields
    ------
    str
        IP number and port.
    """
    sock = listen(host="127.0.0.1", port=0)
    address = address_of(sock)
    stop = anyio.Event()
    failure: Exception | None = None
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_serve, app, sock, stop, graceful_s)
        try:
            yield address
        except Exception as error:
            # Raised outside the task group, which would wrap it in an exception group.
            failure = error
        finally:
            stop.set()
    if failure is not None:
        raise failure


async def run_program(
    app: App,
    *,
    host: str,
    port: int,
    background: t.Callable[[], t.Coroutine[t.Any, t.Any, None]] | None = None,
    on_stop: t.Callable[[], None] | None = None,
    graceful_s: float = GRACEFUL_S,
) -> None:
    """Serve until SIGTERM or SIGINT, and print the address on standard output.

    Parameters
    ----------
    app : callable
        ASGI application.
    host : str
        IP number to listen on.
    port : int
        Port; 0 picks a free one.
    background : callable, optional
        Coroutine function that runs until the server has stopped.
    on_stop : callable, optional
        Called before the listening socket closes.
    graceful_s : float
        Seconds for running requests to finish at shutdown.
    """
    sock = listen(host=host, port=port)
    stop = anyio.Event()
    announce(ListeningNotice(address=address_of(sock)))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_signals, stop, on_stop)
        if background is not None:
            tasks.start_soon(background)
        # hypercorn's task group can leave the task that runs it marked as cancelled,
        # so the server runs in a separate task.
        async with anyio.create_task_group() as server:
            server.start_soon(_serve, app, sock, stop, graceful_s)
        tasks.cancel_scope.cancel()


def announce(notice: ListeningNotice) -> None:
    """Print a notice as one line of JSON."""
    sys.stdout.write(msgspec.json.encode(notice).decode() + "\n")
    sys.stdout.flush()


async def _serve(
    app: App, sock: socket.socket, stop: anyio.Event, graceful_s: float
) -> None:
    # The server stops by itself once `stop` is set; cancelling it makes it fail.
    with anyio.CancelScope(shield=True):
        await serve(app, sock=sock, stop=stop, graceful_s=graceful_s)


async def _watch_signals(
    stop: anyio.Event, on_stop: t.Callable[[], None] | None
) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            if on_stop is not None:
                on_stop()
            stop.set()
