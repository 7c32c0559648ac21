"""Workers that send scripted bytes, and a VM that forwards requests to them."""

import contextlib
import dataclasses
import enum
import socket

import anyio
import anyio.abc

from foxtailbank.clock import SystemClock
from foxtailbank.fleet.load_table import LoadKind
from foxtailbank.http1.accept import accept
from foxtailbank.http1.client_channel import ClientChannel
from foxtailbank.http1.failures import ExchangeFailed
from foxtailbank.http1.server_connection import ServerConnection
from foxtailbank.http1.server_limits import ServerLimits
from foxtailbank.http1.socket_options import reset_on_close
from foxtailbank_platform import headers as header_names
from foxtailbank_platform.worker_client import HttpWorkerClient
from serving_fakes import ServingWorld, make_call, make_worker

HOST = "127.0.0.45"
CLOCK = SystemClock()
TIMEOUT_MS = 5_000
MAX_ENDLESS_BYTES = 48 << 20  # stops an endless answer that nobody cuts off
REQUEST_ID = "q1"
HEADERS = (
    f"{header_names.REQUEST_ID}: q1\r\n{header_names.RESPONSE_STAMP}: s\r\n".encode()
)
UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\n" + HEADERS + b"\r\n"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\n" + HEADERS + b"Transfer-Encoding: chunked\r\n\r\n"


class End(enum.Enum):
    """What a server does with its connection after an answer."""

    CLOSE = "close"
    RESET = "reset"
    KEEP = "keep"


@dataclasses.dataclass(frozen=True, kw_only=True)
class RawAnswer:
    """Bytes that a server sends, and what it does with its connection then.

    `endless` is sent over and over until the other side closes the connection. A reset
    comes after `reset_pause_s`; sooner it may overtake the data.
    """

    data: bytes = b""
    end: End = End.CLOSE
    endless: bytes = b""
    reset_pause_s: float = 0.05


def unframed(body, *, end=End.CLOSE):
    return RawAnswer(data=UNFRAMED_HEAD + body, end=end)


def chunked(body, *, last=b"0\r\n\r\n", end=End.KEEP):
    return RawAnswer(
        data=CHUNKED_HEAD + b"%x\r\n%s\r\n" % (len(body), body) + last, end=end
    )


def sized(body, *, length=None, end=End.KEEP, status=200):
    length = len(body) if length is None else length
    head = b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n" % (status, length)
    return RawAnswer(data=head + HEADERS + b"\r\n" + body, end=end)


class RawServer:
    """Server that sends the next answer of a script on each request, then none.

    Attributes
    ----------
    requests : list of bytes
        What was received before each answer.
    connections : int
        Connections accepted.
    endless_bytes : int
        Bytes sent of endless answers.
    endless_pause_s : float
        Pause after each piece of an endless answer.
    """

    def __init__(self, *script):
        self.script = list(script)
        self.requests = []
        self.connections = 0
        self.endless_bytes = 0
        self.endless_pause_s = 0.0
        self.address = ""

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        listener = await anyio.create_tcp_listener(local_host=HOST)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self.address = f"{HOST}:{port}"
        async with listener:
            task_status.started()
            await listener.serve(self._serve)

    async def _serve(self, stream):
        self.connections += 1
        ended = (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        )
        with contextlib.suppress(*ended):
            async with stream:
                while True:
                    self.requests.append(await stream.receive())
                    if not self.script:
                        return
                    if not await self._answer(stream, self.script.pop(0)):
                        return

    async def _answer(self, stream, answer):
        if answer.data:
            await stream.send(answer.data)
        while answer.endless and self.endless_bytes < MAX_ENDLESS_BYTES:
            await stream.send(answer.endless)
            self.endless_bytes += len(answer.endless)
            await anyio.sleep(self.endless_pause_s)
        if answer.end is End.RESET:
            await anyio.sleep(answer.reset_pause_s)
            reset_on_close(stream)
        return answer.end is End.KEEP


def worker_at(server, worker_id="w0"):
    return dataclasses.replace(make_worker(worker_id), address=server.address)


class RawWorkerVm(ServingWorld):
    """A VM whose only workers are raw servers, reached over sockets."""

    def __init__(self, *servers, route):
        client = HttpWorkerClient(clock=CLOCK)
        super().__init__(worker_count=len(servers), client=client)
        self._route = route
        for number, server in enumerate(servers):
            self.fleet.workers.put(worker_at(server, f"w{number}"))

    async def serve_connections(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        with socket.create_server((HOST, 0)) as listener:
            listener.setblocking(False)
            task_status.started(f"{HOST}:{listener.getsockname()[1]}")
            async with anyio.create_task_group() as group:
                while True:
                    group.start_soon(self._serve_connection, await accept(listener))

    async def _serve_connection(self, stream):
        connection = ServerConnection(
            stream=stream,
            handler=self._handle,
            limits=ServerLimits,
            draining=lambda: False,
            clock=CLOCK,
        )
        await connection.serve()

    async def _handle(self, request, responder):
        call = make_call(self.clock, body=request.body)
        await self.forwarder.serve(call, self._route, responder)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClientAnswer:
    """What a client received.

    `complete` is whether the body looked complete; `stamp` is the worker's.
    """

    status: int
    body: bytes
    complete: bool
    stamp: str = ""

    @property
    def is_whole_success(self):
        return 200 <= self.status < 300 and self.complete


async def ask(address, body=b"b"):
    """Send one request to a VM and return what its client sees."""
    channel = await ClientChannel.connect(
        address=address, clock=CLOCK, timeout_ms=TIMEOUT_MS
    )
    headers = (("Host", "h"), ("X-Request-Id", REQUEST_ID))
    await channel.send(method="POST", target="/p/x", headers=headers, body=body)
    head = await channel.receive_head(TIMEOUT_MS)
    received = b""
    complete = True
    try:
        while (part := await channel.next_chunk(TIMEOUT_MS)) is not None:
            received += part
    except ExchangeFailed:
        complete = False
    finally:
        await channel.aclose()
    return ClientAnswer(
        status=head.status,
        body=received,
        complete=complete,
        stamp=head.get(header_names.RESPONSE_STAMP),
    )


@contextlib.asynccontextmanager
async def running_servers(*servers):
    """Run servers, whose addresses are known from then on."""
    async with anyio.create_task_group() as group:
        for server in servers:
            await group.start(server.run)
        yield group
        group.cancel_scope.cancel()


async def ask_through_vm(route, *servers, first=None, body=b"b"):
    """Return what a client of a VM sees whose workers are these servers.

    `first` is the server that is asked before the others.
    """
    async with running_servers(*servers) as group:
        vm = RawWorkerVm(*servers, route=route)
        for number, server in enumerate(servers):
            if first not in (None, server):
                vm.fleet.add_in_flight(f"w{number}", LoadKind.ONLINE)
        address = await group.start(vm.serve_connections)
        return await ask(address, body)
