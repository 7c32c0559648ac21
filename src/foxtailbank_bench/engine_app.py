"""The engine stand-in's HTTP interface."""

import contextlib
import typing as t
import urllib.parse
import uuid

import anyio
import msgspec

from foxtailbank.clock import Clock, SystemClock
from foxtailbank.endpoint import Order
from foxtailbank_bench import asgi
from foxtailbank_bench.completion_request import (
    CHAT_PATH,
    TEXT_PATH,
    CompletionRequest,
    parse_request,
)
from foxtailbank_bench.connections import Connections
from foxtailbank_bench.engine_orders import EngineOrders, OrderRefused
from foxtailbank_bench.engine_stream import EngineStream
from foxtailbank_bench.journal import Journal, JournalEntry, digest_of
from foxtailbank_bench.load_history import LoadHistory
from foxtailbank_bench.prefix_cache import PrefixCache
from foxtailbank_bench.step_loop import EngineRates, StepLoop

DEFAULT_CRASH_MARKER = "__crash__"
GAP_EVERY = 16
NOT_ADMITTED = ((b"x-not-admitted", b"1"),)
EVENT_STREAM = [(b"content-type", b"text/event-stream; charset=utf-8")]
UNAVAILABLE = 503


class EngineFaults(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Change of the engine's faults; what is left out stays as it is.

    Attributes
    ----------
    crash_marker : str
        The process ends when a prompt with this text enters the batch.
    stall_open : bool
        True lets all connections used so far send nothing any more.
    drain : bool
        Whether the engine is leaving: it admits nothing new.
    reject : bool
        Whether the engine admits nothing, without leaving.
    slow_factor : float
        Multiplies the duration of each step.
    report_lag_ms : int
        Age of load reports and cache events, in milliseconds.
    """

    crash_marker: str | None = None
    stall_open: bool | None = None
    drain: bool | None = None
    reject: bool | None = None
    slow_factor: float | None = None
    report_lag_ms: int | None = None


class EngineApp:
    """ASGI application of a model engine.

    Parameters
    ----------
    orders : EngineOrders
        What the engine holds.
    rates : EngineRates
        How fast it is and how much it takes.
    crash : callable
        Ends the process.
    journal : Journal, optional
        Record of the requests.
    cache_blocks : int
        Most blocks in the prefix cache.
    report_lag_ms : int
        Age of load reports and cache events, in milliseconds.
    zone : str
        Availability zone.
    clock : Clock, optional
        Source of time.
    """

    def __init__(
        self,
        *,
        orders: EngineOrders,
        rates: EngineRates,
        crash: t.Callable[[], None],
        journal: Journal | None = None,
        cache_blocks: int = 2_048,
        report_lag_ms: int = 0,
        zone: str = "",
        clock: Clock | None = None,
    ) -> None:
        self._orders = orders
        self._crash = crash
        self._journal = journal or Journal()
        self._zone = zone
        self._clock = clock or SystemClock()
        self._cache = PrefixCache(max_blocks=cache_blocks)
        self._history = LoadHistory(lag_ms=report_lag_ms, max_running=rates.max_running)
        self._loop = StepLoop(
            rates=rates,
            cache=self._cache,
            clock=self._clock,
            on_start=self._crash_if_marked,
            on_change=self._note_load,
        )
        self._connections = Connections()
        self._faults = EngineFaults(
            crash_marker=DEFAULT_CRASH_MARKER, drain=False, reject=False
        )

    async def run(self) -> None:
        """Make steps and carry out orders for ever."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._loop.run)
            tasks.start_soon(self._orders.run)

    def drain(self) -> None:
        """Admit nothing new."""
        self._faults.drain = True

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serve one ASGI connection."""
        if scope["type"] == "lifespan":
            return await asgi.run_lifespan(receive, send)
        with contextlib.suppress(asgi.Disconnected):
            body = await asgi.read_body(receive)
            if self._connections.is_stalled(send):
                await _wait_for_disconnect(receive)
                return
            try:
                await self._route(scope, body, receive, send)
            except asgi.Malformed as error:
                await _send_error(send, 400, str(error), "invalid_request_error")

    async def _route(
        self, scope: asgi.Scope, body: bytes, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        path = scope["path"]
        if not path.startswith("/control/"):
            self._connections.note(send)
        if path in (TEXT_PATH, CHAT_PATH) and scope["method"] == "POST":
            await self._complete(scope, body, receive, send)
            return
        parts = [urllib.parse.unquote(part) for part in path.split("/")[1:]]
        match (scope["method"], *parts):
            case "POST", "v1", "requests", request_id, "cancel":
                cancelled = self._loop.cancel(request_id)
                await asgi.send_json(send, content={"cancelled": cancelled})
            case "GET", "v1", "models":
                await asgi.send_json(send, content=self._models())
            case "GET", "load":
                report = self._history.report(
                    now_ms=self._clock.now_ms(), draining=bool(self._faults.drain)
                )
                await asgi.send_json(send, content=report)
            case "GET", "cache-events":
                await self._send_cache_events(asgi.query_of(scope), send)
            case "POST", "orders":
                await self._take_order(asgi.decode(body, Order), send)
            case "GET", "orders", "state":
                await asgi.send_json(send, content=self._orders.state())
            case "GET", "kv", prefix:
                await self._export_kv(prefix, send)
            case "POST", "kv", _:
                self._cache.load(body, now_ms=self._clock.now_ms())
                await asgi.send_json(send, content={})
            case "GET", "healthz":
                status = UNAVAILABLE if self._faults.drain else 200
                await asgi.send_json(send, status=status, content={"zone": self._zone})
            case "POST", "control", "faults":
                self._change_faults(asgi.decode(body, EngineFaults))
                await asgi.send_json(send, content=self._faults)
            case "GET", "control", "journal":
                await asgi.send_answer(send, status=200, body=self._journal.lines())
            case _:
                await _send_error(send, 404, "not found", "invalid_request_error")

    async def _complete(
        self, scope: asgi.Scope, body: bytes, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        request = parse_request(scope["path"], body)
        obstacle = self._obstacle(request)
        if obstacle:
            await _send_error(send, UNAVAILABLE, obstacle, "overloaded", NOT_ADMITTED)
            return
        entry = self._entry(scope, body)
        stream = EngineStream(request=request, entry=entry)
        self._journal.add(entry)
        self._loop.admit(stream)
        try:
            if request.stream:
                finished = await self._send_stream(stream, receive, send)
            else:
                finished = await self._send_whole(stream, receive, send)
            self._journal.end(entry, _outcome(stream, finished))
        finally:
            self._loop.remove(stream)
            self._journal.end(entry, "broken")

    def _entry(self, scope: asgi.Scope, body: bytes) -> JournalEntry:
        resume_at = asgi.header(scope, b"x-resume-at") or "0"
        if not resume_at.isdecimal():
            raise asgi.Malformed("x-resume-at is not a number")
        return JournalEntry(
            request_id=asgi.header(scope, b"x-request-id") or uuid.uuid4().hex,
            path=scope["path"],
            digest=digest_of(body),
            resume_at=int(resume_at),
            at_ms=self._clock.wall_ms(),
        )

    async def _send_stream(
        self, stream: EngineStream, receive: asgi.Receive, send: asgi.Send
    ) -> bool:
        await send(
            {"type": "http.response.start", "status": 200, "headers": EVENT_STREAM}
        )
        async with _cancelled_by_disconnect(receive, stream) as gone:
            while not gone.is_set():
                part = await stream.take()
                if gone.is_set():
                    return False
                if self._connections.is_stalled(send):
                    await gone.wait()
                    return False
                ended = stream.ended and not stream.has_output
                message = {"body": part, "more_body": not ended}
                await send({"type": "http.response.body", **message})
                if ended:
                    return True
        return False

    async def _send_whole(
        self, stream: EngineStream, receive: asgi.Receive, send: asgi.Send
    ) -> bool:
        async with _cancelled_by_disconnect(receive, stream) as gone:
            body = await stream.whole()
            if self._connections.is_stalled(send):
                await gone.wait()
            if gone.is_set():
                return False
            await asgi.send_answer(send, status=200, body=body)
            return True
        return False

    def _obstacle(self, request: CompletionRequest) -> str:
        if self._faults.drain:
            return "draining"
        if self._faults.reject:
            return "rejecting"
        if not self._orders.serves(request.model):
            return "model not loaded"
        if self._loop.is_full:
            return "queue full"
        return ""

    async def _take_order(self, order: Order, send: asgi.Send) -> None:
        try:
            self._orders.give(order)
        except OrderRefused as error:
            await asgi.send_json(send, status=409, content={"reason": str(error)})
            return
        await asgi.send_json(send, status=202, content={})

    async def _send_cache_events(self, query: dict[str, str], send: asgi.Send) -> None:
        since = asgi.query_int(query, "since", 0)
        until_ms = self._clock.now_ms() - self._history.lag_ms
        events = self._cache.events(since=since, until_ms=until_ms)
        shown = [item for item in events if item.sequence % GAP_EVERY]
        await asgi.send_json(send, content=shown)

    async def _export_kv(self, prefix: str, send: asgi.Send) -> None:
        content = self._cache.export(prefix)
        status = 200 if content else 404
        await asgi.send_answer(
            send, status=status, body=content, content_type=asgi.BYTES_TYPE
        )

    def _models(self) -> dict[str, t.Any]:
        data = [{"id": name, "object": "model"} for name in self._orders.names()]
        return {"object": "list", "data": data}

    def _change_faults(self, change: EngineFaults) -> None:
        if change.stall_open:
            self._connections.stall_all()
        if change.slow_factor is not None:
            self._loop.slow_factor = change.slow_factor
        if change.report_lag_ms is not None:
            self._history.lag_ms = change.report_lag_ms
        for name in EngineFaults.__struct_fields__:
            value = getattr(change, name)
            if value is not None:
                setattr(self._faults, name, value)

    def _crash_if_marked(self, stream: EngineStream) -> None:
        marker = self._faults.crash_marker
        if marker and marker in stream.request.prompt:
            self._crash()

    def _note_load(self) -> None:
        self._history.note(
            now_ms=self._clock.now_ms(),
            running=self._loop.running,
            waiting=self._loop.waiting,
            step_ms=self._loop.step_ms,
        )


def _outcome(
    stream: EngineStream, finished: bool
) -> t.Literal["done", "cancelled", "broken"]:
    if stream.was_cancelled or not finished:
        return "cancelled"
    return "done"


async def _wait_for_disconnect(receive: asgi.Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


@contextlib.asynccontextmanager
async def _cancelled_by_disconnect(
    receive: asgi.Receive, stream: EngineStream
) -> t.AsyncIterator[anyio.Event]:
    gone = anyio.Event()

    async def watch() -> None:
        await _wait_for_disconnect(receive)
        gone.set()
        stream.cancel()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch)
        yield gone
        tasks.cancel_scope.cancel()


async def _send_error(
    send: asgi.Send,
    status: int,
    message: str,
    kind: str,
    headers: tuple[tuple[bytes, bytes], ...] = (),
) -> None:
    content = {"error": {"type": kind, "message": message, "code": kind}}
    await asgi.send_json(send, status=status, content=content, headers=headers)
