"""Logging and metrics of online requests."""

from foxtailbank.events import Event
from foxtailbank.fleet.worker import Worker
from foxtailbank.forward.attempt_target import AttemptTarget
from foxtailbank.forward.call import Call
from foxtailbank.forward.forward_context import ForwardContext
from foxtailbank.forward.route import Route
from foxtailbank.forward.worker_client import WorkerResponse
from foxtailbank.logs import LogFields, format_digests
from foxtailbank.metrics import Count, Signal
from foxtailbank.settings_sections import LogLevel

TRUNCATED = 0  # recorded as the status of a response that ended early
_REFUSED = 503


class CallRecorder:
    """Records the progress and outcome of one request.

    Parameters
    ----------
    call : Call
        The request.
    route : Route
        Route that it matched.
    context : ForwardContext
        Components shared by all requests.
    """

    def __init__(self, *, call: Call, route: Route, context: ForwardContext) -> None:
        self._call = call
        self._route = route
        self._fleet = context.fleet
        self._clock = context.clock
        self._logs = context.logs
        self._metrics = context.metrics
        self._endpoint = ""
        self._peer = ""
        self._software_version = ""
        self._load_at_assignment: int | None = None
        self._first_byte_ms: int | None = None
        self._framing = ""

    @property
    def request_id(self) -> str:
        """Id of the request."""
        return self._call.request_id

    @property
    def asked_worker_id(self) -> str:
        """Worker that the request was sent to last; empty for none."""
        return self._endpoint

    def on_assigned(self, target: AttemptTarget, *, after_event: str) -> None:
        """Remember the chosen target and its load as known to this VM.

        Parameters
        ----------
        target : AttemptTarget
            Where the request is sent.
        after_event : str
            Id of the event after which it continues a stream; empty for a new one.
        """
        self._endpoint = target.endpoint_id
        self._peer = target.peer_id
        self._software_version = target.software_version
        if after_event:
            self._log_resumed(target, after_event)
        self._framing = ""
        self._load_at_assignment = self._fleet.loads.total(target.endpoint_id).total

    def _log_resumed(self, target: AttemptTarget, after_event: str) -> None:
        self._metrics.count(Count.RESUMED_STREAMS, entry=self._route.name)
        fields = LogFields(
            request_id=self._call.request_id,
            entry=self._route.name,
            endpoint=target.endpoint_id,
            peer=target.peer_id,
            after_event=after_event,
            software_version=target.software_version,
        )
        self._logs.write(Event.STREAM_RESUMED, fields=fields)

    def on_response_head(self, target: AttemptTarget, response: WorkerResponse) -> None:
        """Remember who responds and how the response is framed."""
        self._framing = response.framing.value
        self._endpoint = target.endpoint_id
        self._software_version = target.software_version
        if target.peer_id:
            self._metrics.count(Count.RELAYED_CALLS, entry=self._route.name)

    def on_first_byte(self) -> None:
        """Record the time to the first byte sent to the client."""
        if self._first_byte_ms is not None:
            return
        self._first_byte_ms = self._age_ms()
        self._metrics.record(
            entry=self._route.name,
            signal=Signal.FIRST_TOKEN,
            value_ms=self._first_byte_ms,
        )

    def on_retry(self) -> None:
        """Record that the request is retried on another worker."""
        self._metrics.count(Count.RETRIES, entry=self._route.name)

    def on_worker_refused(
        self, target: AttemptTarget, response: WorkerResponse
    ) -> None:
        """Record that a worker, or another VM, refused to run the request."""
        fields = LogFields(
            request_id=self._call.request_id,
            endpoint=target.endpoint_id,
            peer=target.peer_id,
            status=response.status,
            count=self._fleet.loads.count(target.endpoint_id),
            age_ms=self._report_age_ms(),
        )
        self._count_if_believed_free(target.endpoint_id)
        self._logs.write(Event.WORKER_REFUSED, fields=fields)

    def on_reservation_refused(self, worker: Worker, reason: str) -> None:
        """Record that a worker did not reserve a slot."""
        self._metrics.count(Count.RESERVATIONS_REFUSED, entry=self._route.name)
        fields = LogFields(
            request_id=self._call.request_id,
            endpoint=worker.worker_id,
            reason=reason,
            count=self._fleet.loads.count(worker.worker_id),
            age_ms=self._report_age_ms(),
        )
        self._count_if_believed_free(worker.worker_id)
        self._logs.write(Event.PLACE_REFUSED, fields=fields)

    def on_attempt_failed(
        self, target: AttemptTarget, reason: str, *, attempts: int, events: int
    ) -> None:
        """Record a failed attempt.

        Parameters
        ----------
        target : AttemptTarget
            Where it was made.
        reason : str
            Why it failed.
        attempts : int
            Number of attempts so far.
        events : int
            Events of a stream that this attempt brought.
        """
        fields = LogFields(
            request_id=self._call.request_id,
            endpoint=target.endpoint_id,
            peer=target.peer_id,
            reason=reason,
            framing=self._framing,
            parts=format_digests(self._call.prompt_parts),
            events=events,
            software_version=target.software_version,
            count=attempts,
        )
        self._logs.write(Event.ATTEMPT_FAILED, level=LogLevel.WARNING, fields=fields)

    def on_crashing(self, refused_ms: int) -> None:
        """Record which parts of the prompt, if any, stop the request."""
        fields = LogFields(
            request_id=self._call.request_id,
            entry=self._route.name,
            fingerprint=format_digests((self._call.fingerprint,)),
            parts=format_digests(
                self._fleet.crashes.crashing_parts(self._call.prompt_parts)
            ),
            wait_ms=refused_ms,
        )
        self._logs.write(Event.REQUEST_QUARANTINED, fields=fields)

    def on_client_disconnected(self) -> None:
        """Record that the client disconnected before the response was complete."""
        self._metrics.count(Count.CALLS, entry=self._route.name, reason="client_left")
        fields = LogFields(
            request_id=self._call.request_id,
            entry=self._route.name,
            endpoint=self._endpoint,
            first_byte_ms=self._first_byte_ms,
            duration_ms=self._age_ms(),
        )
        self._logs.write(Event.CLIENT_LEFT, fields=fields)

    def on_refused(self, *, reason: str, wait_ms: float) -> None:
        """Record a 503 response, which tells the client that nothing has run."""
        self._metrics.count(Count.REFUSALS, entry=self._route.name, reason=reason)
        self.on_finished(_REFUSED, reason=reason, wait_ms=int(wait_ms))

    def on_denied(self, status: int, *, reason: str) -> None:
        """Record a 4xx response of this VM's own."""
        self._metrics.count(Count.REFUSALS, entry=self._route.name, reason=reason)
        self.on_finished(status, reason=reason)

    def on_finished(self, status: int, *, reason: str, wait_ms: int = 0) -> None:
        """Record the outcome; `TRUNCATED` as the status means an early end."""
        name = self._route.name
        duration_ms = self._age_ms()
        self._metrics.count(Count.CALLS, entry=name, reason=str(status))
        self._metrics.record(entry=name, signal=Signal.CALL, value_ms=duration_ms)
        event = Event.CALL_FINISHED if 200 <= status < 300 else Event.CALL_FAILED
        if status == _REFUSED:
            event = Event.CALL_REFUSED
        fields = LogFields(
            request_id=self._call.request_id,
            owner=self._call.customer_name or self._route.owner,
            entry=name,
            reason=reason,
            endpoint=self._endpoint,
            peer=self._peer,
            count=self._load_at_assignment,
            status=status,
            first_byte_ms=self._first_byte_ms,
            duration_ms=duration_ms,
            wait_ms=wait_ms or None,
            framing=self._framing,
            software_version=self._software_version,
            version=self._fleet.routes_version(),
        )
        self._logs.write(event, fields=fields)

    def _report_age_ms(self) -> int:
        """Return the mean age of the reports from which the load is known."""
        return int(self._fleet.loads.mean_report_age_ms(self._clock.now_ms()))

    def _count_if_believed_free(self, worker_id: str) -> None:
        """Count a refusal of a worker that had a free slot as far as is known."""
        worker = self._fleet.workers.get(worker_id)
        if worker is not None and self._fleet.loads.count(worker_id) < worker.slots:
            self._metrics.count(Count.BELIEVED_FREE_REFUSALS, entry=self._route.name)

    def _age_ms(self) -> int:
        return self._clock.now_ms() - self._call.arrived_ms
