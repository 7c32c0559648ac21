"""HTTP interface of the platform stand-in."""

from foxtailbank.clock import Clock, SystemClock
from foxtailbank.vm_list import Vm
from foxtailbank.weight_store import Weights
from foxtailbank_bench import asgi
from foxtailbank_bench.exchange import Exchange
from foxtailbank_bench.platform_faults import PlatformFaults, no_faults
from foxtailbank_bench.platform_log import PlatformLog, send_unavailable
from foxtailbank_bench.platform_stats import PlatformStats
from foxtailbank_bench.platform_weights import (
    DEFAULT_RATE_BYTES_PER_S,
    PlatformWeights,
)
from foxtailbank_bench.stand_in import NOT_FOUND, StandIn
from foxtailbank_bench.vm_registry import VmRegistry


class PlatformApp(StandIn):
    """ASGI application with a log, a VM list and a weight store.

    Parameters
    ----------
    retention_records : int
        Maximum number of records kept per stream; 0 keeps all.
    vms : tuple of Vm
        Initial VM list.
    weights : tuple of Weights
        Initial content of the weight store.
    weight_rate_bytes_per_s : int
        Read rate of the weight store, shared by all readers.
    clock : Clock, optional
        Source of time.
    """

    def __init__(
        self,
        *,
        retention_records: int = 0,
        vms: tuple[Vm, ...] = (),
        weights: tuple[Weights, ...] = (),
        weight_rate_bytes_per_s: int = DEFAULT_RATE_BYTES_PER_S,
        clock: Clock | None = None,
    ) -> None:
        self._clock = clock or SystemClock()
        self._faults = no_faults()
        self._log = PlatformLog(
            retention_records=retention_records, faults=self._faults
        )
        self._registry = VmRegistry(vms=vms)
        self._weights = PlatformWeights(
            weights=weights, rate_bytes_per_s=weight_rate_bytes_per_s
        )
        self._vm_list_reads = 0

    async def handle(self, exchange: Exchange) -> None:
        """Route a request to its handler."""
        match exchange.path_segments[0]:
            case "streams":
                await self._handle_log(exchange)
            case "vms":
                await self._handle_vms(exchange)
            case "weights":
                await self._handle_weights(exchange)
            case _:
                await self._handle_other(exchange)

    async def _handle_log(self, exchange: Exchange) -> None:
        match (exchange.method, *exchange.path_segments):
            case "POST", "streams", name, "records":
                await self._log.append(name, exchange)
            case "GET", "streams", name, "records":
                await self._log.read(name, exchange)
            case "GET", "streams", name:
                await self._log.bounds(name, exchange)
            case _:
                await self.send_error(exchange, NOT_FOUND, "not found")

    async def _handle_vms(self, exchange: Exchange) -> None:
        now_ms = self._clock.now_ms()
        match (exchange.method, *exchange.path_segments):
            case "GET", "vms":
                self._vm_list_reads += 1
                if self._faults.vm_list == "down":
                    await send_unavailable(exchange)
                else:
                    await exchange.send_json(self._registry.listed(now_ms=now_ms))
            case "PUT", "vms", vm_id:
                vm = exchange.decode_json(Vm)
                if vm.vm_id != vm_id:
                    raise asgi.MalformedRequest(
                        "vm_id in the body differs from the path"
                    )
                self._registry.put(vm, now_ms=now_ms)
                await exchange.send_json(vm)
            case "DELETE", "vms", vm_id:
                self._registry.delete(vm_id, now_ms=now_ms)
                await exchange.send_json({})
            case _:
                await self.send_error(exchange, NOT_FOUND, "not found")

    async def _handle_weights(self, exchange: Exchange) -> None:
        if exchange.method != "PUT" and self._faults.weights == "down":
            await send_unavailable(exchange)
            return
        match (exchange.method, *exchange.path_segments):
            case "GET", "weights":
                await self._weights.list(exchange)
            case "PUT", "weights", name, version:
                await self._weights.put(name, version, exchange)
            case "POST", "weights", name, version, "reads":
                await self._weights.read(name, version, exchange)
            case _:
                await self.send_error(exchange, NOT_FOUND, "not found")

    async def _handle_other(self, exchange: Exchange) -> None:
        match exchange.method, exchange.path:
            case "POST", "/control/faults":
                self._apply_faults(exchange.decode_json(PlatformFaults))
                await exchange.send_json(self._faults)
            case "GET", "/control/stats":
                await exchange.send_json(self._stats())
            case "GET", "/healthz":
                await exchange.send_json({})
            case _:
                await self.send_error(exchange, NOT_FOUND, "not found")

    def _apply_faults(self, change: PlatformFaults) -> None:
        self._faults.apply(change)
        self._log.on_faults_changed(change)
        if change.weight_rate_bytes_per_s is not None:
            self._weights.set_rate(bytes_per_s=change.weight_rate_bytes_per_s)
        if change.vm_list_lag_ms is not None:
            self._registry.lag_ms = change.vm_list_lag_ms

    def _stats(self) -> PlatformStats:
        return PlatformStats(
            streams=self._log.stats(),
            vm_list_reads=self._vm_list_reads,
            weight_reads=self._weights.reads,
        )
