"""Notifies other VMs of dispatch events on this VM."""

from foxtailbank import peer_messages as pm
from foxtailbank.backend import Backend
from foxtailbank.batch_runner import BatchRunner
from foxtailbank.clock import Clock
from foxtailbank.dispatcher import DispatchObserver
from foxtailbank.events import Event
from foxtailbank.fleet_placement import FleetPlacement
from foxtailbank.logs import LogFields, Logs
from foxtailbank.peering import Peering
from foxtailbank.quarantine import Quarantine
from foxtailbank.quarantine_exchange import QuarantineExchange
from foxtailbank.work import Work


class FleetObserver(DispatchObserver):
    """Notifies batch owners of online requests, and all VMs of endpoint crashes.

    Parameters
    ----------
    clock : Clock
        Source of time.
    vm_id : str
        This VM.
    placement : FleetPlacement
        Determines the batch owner of each endpoint.
    peering : Peering
        Sends notices to other VMs.
    quarantine : Quarantine
        Requests that are suspected of crashing endpoints.
    exchange : QuarantineExchange
        Sends quarantine marks to other VMs.
    logs : Logs
        Log for lost endpoints and resumed streams.
    yield_notice : bool
        Whether batch owners are notified of online requests.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        vm_id: str,
        placement: FleetPlacement,
        peering: Peering,
        quarantine: Quarantine,
        exchange: QuarantineExchange,
        logs: Logs,
        yield_notice: bool = True,
    ) -> None:
        self._clock = clock
        self._vm_id = vm_id
        self._placement = placement
        self._peering = peering
        self._quarantine = quarantine
        self._exchange = exchange
        self._logs = logs
        self._yield_notice = yield_notice
        self.runner: BatchRunner | None = None

    def on_dispatch(self, backend: Backend, work: Work) -> None:
        """Notify the batch owner before the first byte is sent."""
        if not work.batch and work.is_for_engine:
            self._notify_owner(backend, 1)

    def on_end(self, backend: Backend, work: Work) -> None:
        """Notify the batch owner that an online request ended."""
        if not work.batch and work.is_for_engine:
            self._notify_owner(backend, -1)

    def on_chunk_gap(self, backend: Backend, work: Work, gap_ms: int) -> None:
        """Adapt the endpoint's batch limit to the gap between tokens."""
        limit = self.runner.limit_of(backend.endpoint_id) if self.runner else None
        if limit is not None:
            limit.on_token_gap(gap_ms, self._clock.now_ms())

    def on_death(self, backend: Backend, work: Work, exclusive: bool) -> None:
        """Mark the request in flight as a suspect, and notify all VMs."""
        now_ms = self._clock.wall_ms()
        marks = self._quarantine.on_crash(
            death_id=backend.death_id(now_ms),
            in_flight=(work.fingerprint,),
            exclusive=exclusive,
            now_ms=now_ms,
        )
        self._exchange.broadcast(marks)
        fields = LogFields(endpoint=backend.endpoint_id, request_id=work.request_id)
        self._logs.write(Event.ENDPOINT_LOST, fields=fields)

    def on_complete(self, backend: Backend, work: Work) -> None:
        """Clear a suspected request that completed."""
        marks = self._quarantine.on_complete(work.fingerprint, self._clock.wall_ms())
        if marks:
            self._exchange.broadcast(marks)

    def on_progress(self, work: Work, new_tokens: int) -> bool:
        """Clear a suspected request that got well past the point of the crash."""
        marks = self._quarantine.on_progress(
            work.fingerprint,
            new_tokens=new_tokens,
            now_ms=self._clock.wall_ms(),
        )
        self._exchange.broadcast(marks)
        return bool(marks)

    def on_resumed(self, backend: Backend, work: Work, reason: str) -> None:
        """Log that a stream was resumed."""
        fields = LogFields(
            request_id=work.request_id,
            entry=work.entry.name,
            endpoint=backend.endpoint_id,
            reason=reason,
        )
        self._logs.write(Event.STREAM_RESUMED, fields=fields)

    def _notify_owner(self, backend: Backend, change: int) -> None:
        if not self._yield_notice:
            return
        owner = self._placement.owner_of(backend)
        if owner == self._vm_id and self.runner is not None:
            self.runner.on_online_change(backend.endpoint_id, change)
        elif owner:
            notice = pm.OnlineDispatched(endpoint_id=backend.endpoint_id, count=change)
            self._peering.notify(owner, notice)
