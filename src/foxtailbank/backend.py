"""One endpoint of the fleet with what this VM knows of it."""

from foxtailbank.breaker import BreakerState, CircuitBreaker
from foxtailbank.drain import DrainReport, DrainSource, DrainState
from foxtailbank.endpoint import LoadReport, PlainService
from foxtailbank.endpoint_view import EndpointView
from foxtailbank.vm_list import Vm

DEATH_WINDOW_MS = 10_000


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
    suspect_elsewhere : bool
        Whether one runs there by agreement between the VMs.
    reserved : bool
        Whether it is kept free for a request that must run exclusively.
    drain : DrainState
        Who said that the endpoint is leaving.
    listed : bool
        Whether the VM list still shows it.
    latest : LoadReport or None
        Latest load report; None before the first.
    """

    def __init__(self, *, vm: Vm, service: PlainService) -> None:
        self.vm = vm
        self.service = service
        self.breaker = CircuitBreaker()
        self.online_in_flight = 0
        self.batch_in_flight = 0
        self.suspects_in_flight = 0
        self.suspect_elsewhere = False
        self.reserved = False
        self.drain = DrainState()
        self.listed = True
        self.latest: LoadReport | None = None

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
            reported_load=self._queue_length(),
            health=self.health(now_ms),
            draining=self.is_leaving(now_ms),
            suspect=self.suspects_in_flight > 0 or self.suspect_elsewhere,
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

    def note_leaving(self, source: DrainSource, leaving: bool, now_ms: int) -> None:
        """Note what a source says of the endpoint's leaving.

        Parameters
        ----------
        source : DrainSource
            Who says so.
        leaving : bool
            What it says.
        now_ms : int
            Present time in milliseconds.
        """
        report = DrainReport(
            source=source, incarnation="", leaving=leaving, at_ms=now_ms
        )
        self.drain.on_report(self.vm.vm_id, report)

    def is_leaving(self, now_ms: int) -> bool:
        """Return whether the endpoint must get no new work."""
        return self.drain.is_leaving(self.vm.vm_id, now_ms)

    def health(self, now_ms: int) -> BreakerState:
        """Return the state of the circuit breaker."""
        return self.breaker.state(now_ms)

    def take_report(self, report: LoadReport, now_ms: int) -> None:
        """Keep a load report."""
        self.latest = report
        self.note_leaving(DrainSource.ENDPOINT, report.draining, now_ms)

    def _queue_length(self) -> int:
        # Running streams may be batch work that another VM drives and that yields;
        # only a queue tells of online load beyond the own counts.
        return self.latest.waiting if self.latest else 0
