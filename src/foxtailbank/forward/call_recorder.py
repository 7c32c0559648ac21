"""Log lines, counters and latencies of online requests."""

from foxtailbank.clock import Clock
from foxtailbank.events import Event
from foxtailbank.fleet.worker import Worker
from foxtailbank.forward.call import Call
from foxtailbank.forward.fleet_state import FleetState
from foxtailbank.forward.route import Route
from foxtailbank.forward.worker_client import WorkerAnswer
from foxtailbank.logs import LogFields, Logs
from foxtailbank.metrics import Count, Metrics, Signal
from foxtailbank.settings_sections import LogLevel

BROKEN_OFF = 0  # stands for the status of an answer that ended early
_REFUSED = 503


class CallRecorder:
    """Writes down what became of each request.

    Parameters
    ----------
    fleet : FleetState
        What the decisions rested on.
    clock : Clock
        Source of time.
    logs : Logs
        Takes a line for each decision.
    metrics : Metrics
        Takes counts and latencies.
    """

    def __init__(
        self, *, fleet: FleetState, clock: Clock, logs: Logs, metrics: Metrics
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._logs = logs
        self._metrics = metrics

    def first_byte(self, call: Call, route: Route) -> None:
        """Record that the answer's first byte goes to the client."""
        self._metrics.record(
            entry=route.name, signal=Signal.FIRST_TOKEN, value_ms=self._age_ms(call)
        )

    def retried(self, route: Route) -> None:
        """Record that a request goes to another worker."""
        self._metrics.count(Count.RETRIES, entry=route.name)

    def worker_refused(self, call: Call, worker: Worker, answer: WorkerAnswer) -> None:
        """Record that a worker did not run a request."""
        fields = LogFields(
            request_id=call.request_id,
            endpoint=worker.worker_id,
            status=answer.status,
            count=self._fleet.loads.total(worker.worker_id).total,
        )
        self._logs.write(Event.WORKER_REFUSED, fields=fields)

    def attempt_failed(
        self, call: Call, worker: Worker, reason: str, sent: int
    ) -> None:
        """Record that a send to a worker failed; `sent` counts the sends so far."""
        fields = LogFields(
            request_id=call.request_id,
            endpoint=worker.worker_id,
            reason=reason,
            count=sent,
        )
        self._logs.write(Event.ATTEMPT_FAILED, level=LogLevel.WARNING, fields=fields)

    def client_left(self, call: Call, route: Route) -> None:
        """Record that the client closed its connection first."""
        self._metrics.count(Count.CALLS, entry=route.name, reason="client_left")
        fields = LogFields(
            request_id=call.request_id,
            entry=route.name,
            duration_ms=self._age_ms(call),
        )
        self._logs.write(Event.CLIENT_LEFT, fields=fields)

    def refused(self, call: Call, route: Route, *, reason: str, wait_ms: float) -> None:
        """Record a refusal that promises that nothing has run."""
        self._metrics.count(Count.REFUSALS, entry=route.name, reason=reason)
        self.finished(call, route, _REFUSED, reason=reason, wait_ms=int(wait_ms))

    def finished(
        self, call: Call, route: Route, status: int, *, reason: str, wait_ms: int = 0
    ) -> None:
        """Record the outcome; `BROKEN_OFF` as the status tells of an early end."""
        duration_ms = self._age_ms(call)
        self._metrics.count(Count.CALLS, entry=route.name, reason=str(status))
        self._metrics.record(entry=route.name, signal=Signal.CALL, value_ms=duration_ms)
        event = Event.CALL_FINISHED if 200 <= status < 300 else Event.CALL_FAILED
        if status == _REFUSED:
            event = Event.CALL_REFUSED
        fields = LogFields(
            request_id=call.request_id,
            owner=route.owner,
            entry=route.name,
            reason=reason,
            status=status,
            duration_ms=duration_ms,
            wait_ms=wait_ms or None,
            version=self._fleet.routes_version(),
        )
        self._logs.write(event, fields=fields)

    def _age_ms(self, call: Call) -> int:
        return self._clock.now_ms() - call.arrived_ms
