"""State that this VM keeps for one endpoint of the fleet."""

from foxtailbank.breaker import BreakerState, CircuitBreaker
from foxtailbank.drain import DrainReport, DrainSource, DrainTracker
from foxtailbank.endpoint import LoadReport, PlainService
from foxtailbank.endpoint_view import EndpointView
from foxtailbank.vm_list import Vm

CRASH_WINDOW_MS = 10_000


class Backend:
    """An endpoint VM, the connection to it, and the requests of this VM there.

    Parameters
    ----------
    vm : Vm
        Entry of the VM list.
    service : PlainService
        Adapter for its protocol; an `Endpoint` for model engines.

    Attributes
    ----------
    breaker : CircuitBreaker
        Blocks requests while the endpoint fails.
    online_in_flight : int
        Online requests of this VM that run there.
    batch_in_flight : int
        Batch streams of this VM that run there.
    suspects_in_flight : int
        Requests of this VM there that are suspected of crashing endpoints.
    has_suspect_reservation : bool
        Whether any VM holds a reservation there for a suspect request.
    reserved : bool
        Whether it is reserved for a request that must run exclusively.
    drain : DrainTracker
        Which sources report that the endpoint is leaving.
    listed : bool
        Whether the VM list still contains it.
    latest_load : LoadReport or None
        Latest load report; None if there is none yet.
    """

    def __init__(self, *, vm: Vm, service: PlainService) -> None:
        self.vm = vm
        self.service = service
        self.breaker = CircuitBreaker()
        self.online_in_flight = 0
        self.batch_in_flight = 0
        self.suspects_in_flight = 0
        self.has_suspect_reservation = False
        self.reserved = False
        self.drain = DrainTracker()
        self.listed = True
        self.latest_load: LoadReport | None = None

    @property
    def endpoint_id(self) -> str:
        """Identifier of the endpoint VM."""
        return self.vm.vm_id

    def view(self, now_ms: int) -> EndpointView:
        """Return the snapshot that routers work on.

        Parameters
        ----------
        now_ms : int
            Current time in milliseconds.
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
            suspect=self.suspects_in_flight > 0 or self.has_suspect_reservation,
            reserved=self.reserved,
        )

    def death_id(self, wall_ms: int) -> str:
        """Return the identifier of a crash observed now.

        VMs that observe the crash in the same window of `CRASH_WINDOW_MS` derive the
        same identifier.

        Parameters
        ----------
        wall_ms : int
            Wall-clock time in milliseconds.
        """
        return f"{self.vm.vm_id}@{wall_ms // CRASH_WINDOW_MS}"

    def update_drain_state(
        self, source: DrainSource, leaving: bool, now_ms: int
    ) -> None:
        """Record whether a source reports that the endpoint is leaving.

        Parameters
        ----------
        source : DrainSource
            The source.
        leaving : bool
            Whether it reports that the endpoint is leaving.
        now_ms : int
            Current time in milliseconds.
        """
        report = DrainReport(
            source=source, incarnation="", leaving=leaving, at_ms=now_ms
        )
        self.drain.on_report(self.vm.vm_id, report)

    def is_leaving(self, now_ms: int) -> bool:
        """Return whether the endpoint is leaving and must get no new work."""
        return self.drain.is_leaving(self.vm.vm_id, now_ms)

    def health(self, now_ms: int) -> BreakerState:
        """Return the state of the circuit breaker."""
        return self.breaker.state(now_ms)

    def on_load_report(self, report: LoadReport, now_ms: int) -> None:
        """Store a load report and the drain state that it contains."""
        self.latest_load = report
        self.update_drain_state(DrainSource.ENDPOINT, report.draining, now_ms)

    def _queue_length(self) -> int:
        # Running streams may be batch work of other VMs, which online requests can
        # preempt; only the queue shows online load beyond the counts of this VM.
        return self.latest_load.waiting if self.latest_load else 0
