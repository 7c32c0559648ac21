"""One endpoint of the fleet with what this VM knows of it."""

import dataclasses

from foxtailbank.breaker import BreakerState, CircuitBreaker
from foxtailbank.endpoint import LoadReport, PlainService
from foxtailbank.endpoint_view import EndpointView
from foxtailbank.vm_list import Vm

DEATH_WINDOW_MS = 10_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class TimedReport:
    """A load report and when it came.

    Attributes
    ----------
    report : LoadReport
        What the endpoint said.
    at_ms : int
        When this VM read it, in milliseconds.
    online_then : int
        Online requests of this VM on the endpoint at that time.
    batch_then : int
        Batch streams of this VM on the endpoint at that time.
    """

    report: LoadReport
    at_ms: int
    online_then: int
    batch_then: int


class Backend:
    """An endpoint VM, the connection to it and this VM's own counts.

    Parameters
    ----------
    vm : Vm
        Entry of the VM list.
    service : PlainService
        Adapter that speaks to it; an `Endpoint` for model engines.

    Attributes
    ----------
    breaker : CircuitBreaker
        Keeps requests off while it fails.
    online_in_flight : int
        Online requests of this VM that run there.
    batch_in_flight : int
        Batch streams of this VM that run there.
    suspects_in_flight : int
        Requests of this VM there that are suspected of crashing endpoints.
    reserved : bool
        Whether it is kept free for a request that must run exclusively.
    draining : bool
        Whether anybody said that the endpoint is leaving.
    listed : bool
        Whether the VM list still shows it.
    latest : TimedReport or None
        Latest load report; None before the first.
    """

    def __init__(self, *, vm: Vm, service: PlainService) -> None:
        self.vm = vm
        self.service = service
        self.breaker = CircuitBreaker()
        self.online_in_flight = 0
        self.batch_in_flight = 0
        self.suspects_in_flight = 0
        self.reserved = False
        self.draining = False
        self.listed = True
        self.latest: TimedReport | None = None

    @property
    def endpoint_id(self) -> str:
        """Name of the endpoint VM."""
        return self.vm.vm_id

    def view(self, now_ms: int) -> EndpointView:
        """Return what a router needs to know.

        Parameters
        ----------
        now_ms : int
            Present time in milliseconds.
        """
        return EndpointView(
            endpoint_id=self.vm.vm_id,
            zone=self.vm.zone,
            pool=self.vm.pool,
            online_in_flight=self.online_in_flight,
            batch_in_flight=self.batch_in_flight,
            reported_load=self._load_of_others(),
            health=self.health(now_ms),
            draining=self.draining,
            suspect=self.suspects_in_flight > 0,
            reserved=self.reserved,
        )

    def death_id(self, wall_ms: int) -> str:
        """Return a name for a death seen now, the same on VMs that see it too.

        Parameters
        ----------
        wall_ms : int
            Civil time in milliseconds.
        """
        return f"{self.vm.vm_id}@{wall_ms // DEATH_WINDOW_MS}"

    def health(self, now_ms: int) -> BreakerState:
        """Return the state of the circuit breaker."""
        return self.breaker.state(now_ms)

    def take_report(self, report: LoadReport, now_ms: int) -> None:
        """Keep a load report together with the own counts at its time."""
        self.latest = TimedReport(
            report=report,
            at_ms=now_ms,
            online_then=self.online_in_flight,
            batch_then=self.batch_in_flight,
        )
        if report.draining:
            self.draining = True

    def _load_of_others(self) -> int:
        if self.latest is None:
            return 0
        own = self.latest.online_then + self.latest.batch_then
        reported = self.latest.report.running + self.latest.report.waiting
        return max(0, reported - own)
