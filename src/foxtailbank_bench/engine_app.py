"""HTTP interface of the engine stand-in."""

import typing as t
import uuid

import anyio

from foxtailbank.clock import Clock, SystemClock
from foxtailbank.endpoint import Order
from foxtailbank_bench import asgi
from foxtailbank_bench.completion_request import (
    CompletionRequest,
    parse_request,
)
from foxtailbank_bench.completion_sender import CompletionSender
from foxtailbank_bench.connections import Connections
from foxtailbank_bench.engine_faults import EngineFaults, default_faults
from foxtailbank_bench.engine_orders import EngineOrders, OrderRefused
from foxtailbank_bench.engine_stream import EngineStream
from foxtailbank_bench.exchange import Exchange
from foxtailbank_bench.journal import Journal, JournalEntry, body_digest
from foxtailbank_bench.load_history import LoadHistory
from foxtailbank_bench.prefix_cache import PrefixCache
from foxtailbank_bench.stand_in import (
    NOT_ADMITTED,
    NOT_FOUND,
    UNAVAILABLE,
    StandIn,
)
from foxtailbank_bench.step_loop import EngineRates, StepLoop

ACCEPTED = 202
CONFLICT = 409
OK = 200
# Cache events whose sequence number is a multiple of this are omitted, so that
# clients must handle gaps.
EVENT_GAP_INTERVAL = 16
DEFAULT_CACHE_BLOCKS = 2_048


class EngineApp(StandIn):
    """ASGI application of a model engine.

    Parameters
    ----------
    orders : EngineOrders
        Executes orders and knows the loaded models.
    rates : EngineRates
        Speed and capacity.
    crash : callable
        Ends the process.
    journal : Journal, optional
        Record of the requests.
    cache_blocks : int
        Maximum number of blocks in the prefix cache.
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
        cache_blocks: int = DEFAULT_CACHE_BLOCKS,
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
        self._load_history = LoadHistory(
            lag_ms=report_lag_ms, max_running=rates.max_running
        )
        self._step_loop = StepLoop(
            rates=rates,
            cache=self._cache,
            clock=self._clock,
            on_start=self._crash_on_marker,
            on_change=self._record_load,
        )
        self._connections = Connections()
        self._faults = default_faults()

    async def run(self) -> None:
        """Run the step loop and execute orders until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._step_loop.run)
            tasks.start_soon(self._orders.run)

    def drain(self) -> None:
        """Stop admitting requests."""
        self._faults.drain = True

    async def handle(self, exchange: Exchange) -> None:
        """Respond to a request."""
        if exchange.path.startswith("/control/"):
            await self._handle_control(exchange)
        elif self._connections.is_stalled(exchange.send):
            await exchange.wait_for_disconnect()
        else:
            self._connections.mark_used(exchange.send)
            await self._handle_request(exchange)

    async def _handle_control(self, exchange: Exchange) -> None:
        match exchange.method, exchange.path:
            case "POST", "/control/faults":
                self._apply_faults(exchange.decode_json(EngineFaults))
                await exchange.send_json(self._faults)
            case "GET", "/control/journal":
                since = exchange.query_int("since", 0)
                await exchange.send_bytes(self._journal.lines(since=since))
            case _:
                await self.send_error(exchange, NOT_FOUND, "not found")

    async def _handle_request(self, exchange: Exchange) -> None:
        match (exchange.method, *exchange.path_segments):
            case ("POST", "v1", "completions") | ("POST", "v1", "chat", "completions"):
                await self._complete(exchange)
            case "POST", "v1", "requests", request_id, "cancel":
                cancelled = self._step_loop.cancel(request_id)
                await exchange.send_json({"cancelled": cancelled})
            case "GET", "v1", "models":
                await self._send_models(exchange)
            case "GET", "healthz":
                status = UNAVAILABLE if self._faults.drain else OK
                await exchange.send_json({"zone": self._zone}, status=status)
            case _:
                await self._handle_management(exchange)

    async def _handle_management(self, exchange: Exchange) -> None:
        match (exchange.method, *exchange.path_segments):
            case "GET", "load":
                now_ms = self._clock.now_ms()
                draining = bool(self._faults.drain)
                report = self._load_history.report(now_ms=now_ms, draining=draining)
                await exchange.send_json(report)
            case "GET", "cache-events":
                await self._send_cache_events(exchange)
            case "POST", "orders":
                await self._accept_order(exchange)
            case "GET", "orders", "state":
                await exchange.send_json(self._orders.state())
            case "GET", "kv", prefix:
                content = self._cache.export_blocks(prefix)
                await exchange.send_bytes(content, status=OK if content else NOT_FOUND)
            case "POST", "kv", _:
                self._cache.import_blocks(exchange.body, now_ms=self._clock.now_ms())
                await exchange.send_json({})
            case _:
                await self.send_error(exchange, NOT_FOUND, "not found")

    async def _complete(self, exchange: Exchange) -> None:
        request = parse_request(exchange.path, exchange.body)
        reason = self._refusal_reason(request)
        if reason:
            await self.send_error(exchange, UNAVAILABLE, reason, NOT_ADMITTED)
            return
        entry = self._new_entry(exchange)
        stream = EngineStream(request=request, entry=entry)
        sender = CompletionSender(
            stream=stream, exchange=exchange, connections=self._connections
        )
        self._journal.add(entry)
        self._step_loop.admit(stream)
        try:
            sent = await sender.run()
            done = sent and not stream.was_cancelled
            self._journal.finish(entry, "done" if done else "cancelled")
        finally:
            self._step_loop.remove(stream)
            self._journal.finish(entry, "broken")

    def _new_entry(self, exchange: Exchange) -> JournalEntry:
        resume_at = exchange.header(b"x-resume-at") or "0"
        if not resume_at.isdecimal():
            raise asgi.MalformedRequest("x-resume-at is not a number")
        return JournalEntry(
            request_id=exchange.header(b"x-request-id") or uuid.uuid4().hex,
            path=exchange.path,
            digest=body_digest(exchange.body),
            resume_at=int(resume_at),
            at_ms=self._clock.wall_ms(),
        )

    def _refusal_reason(self, request: CompletionRequest) -> str:
        if self._faults.drain:
            return "draining"
        if self._faults.reject:
            return "rejecting"
        if not self._orders.is_loaded(request.model):
            return "model not loaded"
        return "queue full" if self._step_loop.is_full else ""

    async def _accept_order(self, exchange: Exchange) -> None:
        try:
            self._orders.submit(exchange.decode_json(Order))
        except OrderRefused as error:
            await exchange.send_json({"reason": str(error)}, status=CONFLICT)
        else:
            await exchange.send_json({}, status=ACCEPTED)

    async def _send_cache_events(self, exchange: Exchange) -> None:
        since = exchange.query_int("since", 0)
        until_ms = self._clock.now_ms() - self._load_history.lag_ms
        events = self._cache.events(since=since, until_ms=until_ms)
        await exchange.send_json(
            [item for item in events if item.sequence % EVENT_GAP_INTERVAL]
        )

    async def _send_models(self, exchange: Exchange) -> None:
        data = [{"id": name, "object": "model"} for name in self._orders.loaded_names()]
        await exchange.send_json({"object": "list", "data": data})

    def _apply_faults(self, change: EngineFaults) -> None:
        self._faults.apply(change)
        if change.stall_open:
            self._connections.stall_all()
        if change.slow_factor is not None:
            self._step_loop.slow_factor = change.slow_factor
        if change.report_lag_ms is not None:
            self._load_history.lag_ms = change.report_lag_ms

    def _crash_on_marker(self, stream: EngineStream) -> None:
        marker = self._faults.crash_marker
        if marker and marker in stream.request.prompt:
            self._crash()

    def _record_load(self) -> None:
        self._load_history.record(
            now_ms=self._clock.now_ms(),
            running=self._step_loop.running,
            waiting=self._step_loop.waiting,
            step_ms=self._step_loop.step_ms,
        )
