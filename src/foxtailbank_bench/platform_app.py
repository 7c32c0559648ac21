"""The platform stand-in's HTTP interface."""

import contextlib
import typing as t
import urllib.parse

import anyio
import msgspec

from foxtailbank.clock import MS_PER_S, Clock, SystemClock
from foxtailbank.log_service import LogBounds
from foxtailbank.vm_list import Vm
from foxtailbank.weight_store import Weights
from foxtailbank_bench import asgi
from foxtailbank_bench.connections import abort
from foxtailbank_bench.log_stream import LogStream
from foxtailbank_bench.pacer import Pacer
from foxtailbank_bench.vm_registry import VmRegistry

SLOW_LOG_MS = 500
DEFAULT_READ_BYTES = 1 << 20
DEFAULT_WEIGHT_RATE_BYTES_PER_S = 1 << 30
UNAVAILABLE = 503

Switch: t.TypeAlias = t.Literal["up", "down"]


class PlatformFaults(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Change of the platform's faults; what is left out stays as it is.

    Attributes
    ----------
    log : str
        ``up``, ``down`` or ``slow``.
    delay_ms : int
        Delay of each log request, in milliseconds.
    lose_answers : int
        How many of the next appends take effect without an answer.
    retention_records : mapping of str to int
        Most records kept, by stream; 0 keeps all.
    appends_per_s : int
        Appends that the log takes a second; 0 is unlimited.
    vm_list, weights : str
        ``up`` or ``down``.
    vm_list_lag_ms : int
        Age of the VM list, in milliseconds.
    weight_rate_bytes_per_s : int
        Rate of the weight store for all readers together.
    """

    log: t.Literal["up", "down", "slow"] | None = None
    delay_ms: int | None = None
    lose_answers: int | None = None
    retention_records: dict[str, int] | None = None
    appends_per_s: int | None = None
    vm_list: Switch | None = None
    vm_list_lag_ms: int | None = None
    weights: Switch | None = None
    weight_rate_bytes_per_s: int | None = None


class StreamStats(msgspec.Struct, kw_only=True, frozen=True):
    """Use of one stream so far."""

    appends: int
    bytes: int
    reads: int


class PlatformStats(msgspec.Struct, kw_only=True, frozen=True):
    """Use of the platform so far."""

    streams: dict[str, StreamStats]
    vm_list_reads: int
    weight_reads: int


class _Size(msgspec.Struct):
    size_bytes: int


class PlatformApp:
    """ASGI application with a log, a VM list and a weight store.

    Parameters
    ----------
    retention_records : int
        Most records that a stream keeps; 0 keeps all.
    vms : tuple of Vm
        VMs listed from the start.
    weights : tuple of Weights
        What the weight store holds from the start.
    weight_rate_bytes_per_s : int
        Rate of the weight store for all readers together.
    clock : Clock, optional
        Source of time.
    """

    def __init__(
        self,
        *,
        retention_records: int = 0,
        vms: tuple[Vm, ...] = (),
        weights: tuple[Weights, ...] = (),
        weight_rate_bytes_per_s: int = DEFAULT_WEIGHT_RATE_BYTES_PER_S,
        clock: Clock | None = None,
    ) -> None:
        self._retention_records = retention_records
        self._streams_by_name: dict[str, LogStream] = {}
        self._registry = VmRegistry(vms=vms)
        self._weights_by_key = {(item.name, item.version): item for item in weights}
        self._weight_pacer = Pacer(units_per_s=weight_rate_bytes_per_s)
        self._append_pacer = Pacer(units_per_s=0)
        self._clock = clock or SystemClock()
        self._faults = PlatformFaults(
            log="up", delay_ms=0, lose_answers=0, vm_list="up", weights="up"
        )
        self._vm_list_reads = 0
        self._weight_reads = 0

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serve one ASGI connection."""
        if scope["type"] == "lifespan":
            return await asgi.run_lifespan(receive, send)
        with contextlib.suppress(asgi.Disconnected):
            body = await asgi.read_body(receive)
            try:
                await self._route(scope, body, send)
            except asgi.Malformed as error:
                content = {"error": str(error)}
                await asgi.send_json(send, status=400, content=content)

    async def _route(self, scope: asgi.Scope, body: bytes, send: asgi.Send) -> None:
        parts = [urllib.parse.unquote(p) for p in scope["path"].split("/")[1:]]
        match (scope["method"], *parts):
            case "POST", "streams", name, "records":
                await self._append(name, body, send)
            case "GET", "streams", name, "records":
                await self._read(name, asgi.query_of(scope), send)
            case "GET", "streams", name:
                await self._bounds(name, send)
            case "GET", "vms":
                await self._list_vms(send)
            case "PUT", "vms", vm_id:
                await self._put_vm(vm_id, body, send)
            case "DELETE", "vms", vm_id:
                self._registry.delete(vm_id, now_ms=self._clock.now_ms())
                await asgi.send_json(send, content={})
            case "GET", "weights":
                await self._list_weights(send)
            case "PUT", "weights", name, version:
                await self._put_weights(name, version, body, send)
            case "POST", "weights", name, version, "reads":
                await self._read_weights(name, version, send)
            case "POST", "control", "faults":
                self._change_faults(asgi.decode(body, PlatformFaults))
                await asgi.send_json(send, content=self._faults)
            case "GET", "control", "stats":
                await asgi.send_json(send, content=self._stats())
            case "GET", "healthz":
                await asgi.send_json(send, content={})
            case _:
                await asgi.send_json(send, status=404, content={"error": "not found"})

    async def _append(self, name: str, data: bytes, send: asgi.Send) -> None:
        await self._append_pacer.use(1)
        if not await self._log_answers(send):
            return
        offset = self._stream(name).append(data)
        if self._faults.lose_answers:
            self._faults.lose_answers -= 1
            await abort(send)
            return
        await asgi.send_json(send, status=201, content={"offset": offset})

    async def _read(self, name: str, query: dict[str, str], send: asgi.Send) -> None:
        offset = asgi.query_int(query, "offset", 0)
        max_bytes = asgi.query_int(query, "max_bytes", DEFAULT_READ_BYTES)
        wait_s = asgi.query_int(query, "wait_ms", 0) / MS_PER_S
        if not await self._log_answers(send):
            return
        stream = self._stream(name)
        await stream.wait_for_growth(offset=offset, wait_s=wait_s)
        if self._faults.log == "down":
            await _send_unavailable(send)
            return
        if offset < stream.earliest:
            content = {"earliest": stream.earliest}
            await asgi.send_json(send, status=410, content=content)
            return
        body = stream.frames(offset=offset, max_bytes=max_bytes)
        await asgi.send_answer(
            send, status=200, body=body, content_type=asgi.BYTES_TYPE
        )

    async def _bounds(self, name: str, send: asgi.Send) -> None:
        if not await self._log_answers(send):
            return
        stream = self._stream(name)
        bounds = LogBounds(earliest=stream.earliest, end=stream.end)
        await asgi.send_json(send, content=bounds)

    async def _log_answers(self, send: asgi.Send) -> bool:
        if self._faults.delay_ms:
            await anyio.sleep(self._faults.delay_ms / MS_PER_S)
        if self._faults.log == "down":
            await _send_unavailable(send)
            return False
        return True

    async def _list_vms(self, send: asgi.Send) -> None:
        self._vm_list_reads += 1
        if self._faults.vm_list == "down":
            await _send_unavailable(send)
            return
        listed = self._registry.listed(now_ms=self._clock.now_ms())
        await asgi.send_json(send, content=listed)

    async def _put_vm(self, vm_id: str, body: bytes, send: asgi.Send) -> None:
        vm = asgi.decode(body, Vm)
        if vm.vm_id != vm_id:
            raise asgi.Malformed("vm_id differs from the path")
        self._registry.put(vm, now_ms=self._clock.now_ms())
        await asgi.send_json(send, content=vm)

    async def _list_weights(self, send: asgi.Send) -> None:
        if self._faults.weights == "down":
            await _send_unavailable(send)
            return
        content = {
            "rate_bytes_per_s": self._weight_pacer.units_per_s,
            "weights": list(self._weights_by_key.values()),
        }
        await asgi.send_json(send, content=content)

    async def _put_weights(
        self, name: str, version: str, body: bytes, send: asgi.Send
    ) -> None:
        size_bytes = asgi.decode(body, _Size).size_bytes
        item = Weights(name=name, version=version, size_bytes=size_bytes)
        self._weights_by_key[name, version] = item
        await asgi.send_json(send, content=item)

    async def _read_weights(self, name: str, version: str, send: asgi.Send) -> None:
        if self._faults.weights == "down":
            await _send_unavailable(send)
            return
        item = self._weights_by_key.get((name, version))
        if item is None:
            await asgi.send_json(send, status=404, content={"error": "no such weights"})
            return
        self._weight_reads += 1
        await self._weight_pacer.use(item.size_bytes)
        await asgi.send_json(send, content=item)

    def _change_faults(self, change: PlatformFaults) -> None:
        if change.log == "slow" and change.delay_ms is None:
            change.delay_ms = SLOW_LOG_MS
        if change.log == "up" and change.delay_ms is None:
            change.delay_ms = 0
        for name in PlatformFaults.__struct_fields__:
            value = getattr(change, name)
            if value is not None:
                setattr(self._faults, name, value)
        for name, records in (change.retention_records or {}).items():
            self._stream(name).set_retention(records=records)
        if change.appends_per_s is not None:
            self._append_pacer.units_per_s = change.appends_per_s
        if change.weight_rate_bytes_per_s is not None:
            self._weight_pacer.units_per_s = change.weight_rate_bytes_per_s
        if change.vm_list_lag_ms is not None:
            self._registry.lag_ms = change.vm_list_lag_ms
        for stream in self._streams_by_name.values():
            stream.wake()

    def _stats(self) -> PlatformStats:
        return PlatformStats(
            streams={
                name: StreamStats(
                    appends=stream.end, bytes=stream.appended_bytes, reads=stream.reads
                )
                for name, stream in self._streams_by_name.items()
            },
            vm_list_reads=self._vm_list_reads,
            weight_reads=self._weight_reads,
        )

    def _stream(self, name: str) -> LogStream:
        stream = self._streams_by_name.get(name)
        if stream is None:
            stream = LogStream(retention_records=self._retention_records)
            self._streams_by_name[name] = stream
        return stream


async def _send_unavailable(send: asgi.Send) -> None:
    await asgi.send_json(send, status=UNAVAILABLE, content={"error": "unavailable"})
