"""HTTP server that runs the ASGI application of an entry VM."""

import logging
import socket
import typing as t

import anyio
import hypercorn.asyncio
import hypercorn.config

from foxtailbank.address import parse_address
from foxtailbank.app import App
from foxtailbank.clock import MS_PER_S
from foxtailbank.settings import Settings

BACKLOG = 1_024
KEEP_ALIVE_MAX_REQUESTS = 1_000_000
MAX_QUEUED_MESSAGES = 256


def open_listener(address: str) -> socket.socket:
    """Open a listening TCP socket.

    Parameters
    ----------
    address : str
        IP number and port.

    Raises
    ------
    OSError
        The address is in use or does not belong to this VM.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    parsed = parse_address(address)
    sock.bind((parsed.ip, parsed.port))
    sock.listen(BACKLOG)
    return sock


async def serve(
    app: App, *, sock: socket.socket, settings: Settings, stop: anyio.Event
) -> None:
    """Serve until stopped, then let the requests in flight finish.

    Parameters
    ----------
    app : App
        Application to serve.
    sock : socket.socket
        Listening socket; closed on return.
    settings : Settings
        Source of the size and time limits.
    stop : anyio.Event
        Event that closes the listener and starts the shutdown.
    """
    config = hypercorn.config.Config()
    config.bind = [f"fd://{sock.detach()}"]
    config.backlog = BACKLOG
    config.keep_alive_max_requests = KEEP_ALIVE_MAX_REQUESTS
    config.keep_alive_timeout = settings.timing.keep_alive_ms / MS_PER_S
    config.graceful_timeout = settings.timing.drain_timeout_ms / MS_PER_S
    config.max_app_queue_size = MAX_QUEUED_MESSAGES
    config.h11_max_incomplete_size = settings.limits.header_bytes
    config.include_server_header = False
    config.accesslog = None
    config.errorlog = logging.getLogger("foxtailbank.http")
    await hypercorn.asyncio.serve(
        t.cast(t.Any, app), config, shutdown_trigger=stop.wait, mode="asgi"
    )
