"""Log lines, counters and latencies of online requests."""

from foxtailbank.events import Event
from foxtailbank.fleet.worker import Worker
from foxtailbank.forward.call import Call
from foxtailbank.forward.forward_tools import ForwardTools
from foxtailbank.forward.route import Route
from foxtailbank.forward.worker_client import WorkerAnswer
from foxtailbank.logs import LogFields
from foxtailbank.metrics import Count, Signal
from foxtailbank.settings_sections import LogLevel

BROKEN_OFF = 0  # stands for the status of an answer that ended early
_REFUSED = 503


class CallRecorder:
    """Writes down what becomes of one request.

    Parameters
    ----------
    call : Call
        The request.
    route : Route
        Entry that it falls under.
    tools : ForwardTools
        What all requests share.
    """

    def __init__(self, *, call: Call, route: Route, tools: ForwardTools) -> None:
        self._call = call
        self._route = route
        self._fleet = tools.fleet
        self._clock = tools.clock
        self._logs = tools.logs
        self._metrics = tools.metrics
        self._endpoint = ""
        self._load_seen: int | None = None
        self._first_byte_ms: int | None = None

    def placed(self, worker: Worker) -> None:
        """Keep which worker was chosen, and how busy it seemed."""
        self._endpoint = worker.worker_id
        self._load_seen = self._fleet.loads.total(worker.worker_id).total

    def first_byte(self) -> None:
        """Record that the answer's first byte goes to the client."""
        if self._first_byte_ms is not None:
            return
        self._first_byte_ms = self._age_ms()
        self._metrics.record(
            entry=self._route.name,
            signal=Signal.FIRST_TOKEN,
            value_ms=self._first_byte_ms,
        )

    def retried(self) -> None:
        """Record that the request goes to another worker."""
        self._metrics.count(Count.RETRIES, entry=self._route.name)

    def worker_refused(self, worker: Worker, answer: WorkerAnswer) -> None:
        """Record that a worker did not run the request."""
        fields = LogFields(
            request_id=self._call.request_id,
            endpoint=worker.worker_id,
            status=answer.status,
            count=self._fleet.loads.total(worker.worker_id).total,
        )
        self._logs.write(Event.WORKER_REFUSED, fields=fields)

    def place_refused(self, worker: Worker, reason: str) -> None:
        """Record that a worker did not reserve a place."""
        self._metrics.count(Count.RESERVATIONS_REFUSED, entry=self._route.name)
        fields = LogFields(
            request_id=self._call.request_id,
            endpoint=worker.worker_id,
            reason=reason,
            count=self._fleet.loads.total(worker.worker_id).total,
        )
        self._logs.write(Event.PLACE_REFUSED, fields=fields)

    def attempt_failed(self, worker: Worker, reason: str, sent: int) -> None:
        """Record that a send to a worker failed; `sent` counts the sends so far."""
        fields = LogFields(
            request_id=self._call.request_id,
            endpoint=worker.worker_id,
            reason=reason,
            count=sent,
        )
        self._logs.write(Event.ATTEMPT_FAILED, level=LogLevel.WARNING, fields=fields)

    def client_left(self) -> None:
        """Record that the client closed its connection first."""
        self._metrics.count(Count.CALLS, entry=self._route.name, reason="client_left")
        fields = LogFields(
            request_id=self._call.request_id,
            entry=self._route.name,
            endpoint=self._endpoint,
            first_byte_ms=self._first_byte_ms,
            duration_ms=self._age_ms(),
        )
        self._logs.write(Event.CLIENT_LEFT, fields=fields)

    def refused(self, *, reason: str, wait_ms: float) -> None:
        """Record a refusal that promises that nothing has run."""
        self._metrics.count(Count.REFUSALS, entry=self._route.name, reason=reason)
        self.finished(_REFUSED, reason=reason, wait_ms=int(wait_ms))

    def finished(self, status: int, *, reason: str, wait_ms: int = 0) -> None:
        """Record the outcome; `BROKEN_OFF` as the status tells of an early end."""
        name = self._route.name
        duration_ms = self._age_ms()
        self._metrics.count(Count.CALLS, entry=name, reason=str(status))
        self._metrics.record(entry=name, signal=Signal.CALL, value_ms=duration_ms)
        event = Event.CALL_FINISHED if 200 <= status < 300 else Event.CALL_FAILED
        if status == _REFUSED:
            event = Event.CALL_REFUSED
        fields = LogFields(
            request_id=self._call.request_id,
            owner=self._route.owner,
            entry=name,
            reason=reason,
            endpoint=self._endpoint,
            count=self._load_seen,
            status=status,
            first_byte_ms=self._first_byte_ms,
            duration_ms=duration_ms,
            wait_ms=wait_ms or None,
            version=self._fleet.routes_version(),
        )
        self._logs.write(event, fields=fields)

    def _age_ms(self) -> int:
        return self._clock.now_ms() - self._call.arrived_ms
