"""Logs, metrics and burn counts for the outcome of each call."""

from foxtailbank.burn_classify import classify_answer, classify_failure
from foxtailbank.burn_recorder import BurnRecorder
from foxtailbank.clock import Clock
from foxtailbank.events import Event
from foxtailbank.exceptions import CallerDisconnected, FoxtailbankError
from foxtailbank.http_sink import HttpSink
from foxtailbank.logs import LogFields, Logs
from foxtailbank.metrics import Count, Metrics, Signal
from foxtailbank.work import Work

FIRST_SERVER_ERROR_STATUS = 500


class OutcomeRecorder:
    """Records the outcome of each call once in logs, metrics and burn counts.

    Parameters
    ----------
    clock : Clock
        Source of time.
    logs : Logs
        Receives a line for each call.
    metrics : Metrics
        Receives latencies and counts.
    burn : BurnRecorder
        Receives good and bad events.
    """

    def __init__(
        self, *, clock: Clock, logs: Logs, metrics: Metrics, burn: BurnRecorder
    ) -> None:
        self._clock = clock
        self._logs = logs
        self._metrics = metrics
        self._burn = burn

    def on_finished(self, work: Work, sink: HttpSink, *, started_ms: int) -> None:
        """Record a call whose response was forwarded completely.

        Parameters
        ----------
        work : Work
            The call.
        sink : HttpSink
            Sink that received the response.
        started_ms : int
            When the call arrived, in milliseconds.
        """
        entry = work.entry
        total_ms = self._clock.now_ms() - started_ms
        first_ms = (sink.first_chunk_ms or self._clock.now_ms()) - started_ms
        gap_ms = 0.0
        if sink.chunk_count > 1:
            gap_ms = (total_ms - first_ms) / (sink.chunk_count - 1)
        self._metrics.count(Count.CALLS, entry=entry.name)
        self._metrics.record(
            entry=entry.name, signal=Signal.FIRST_TOKEN, value_ms=first_ms
        )
        if gap_ms:
            self._metrics.record(
                entry=entry.name, signal=Signal.TOKEN_GAP, value_ms=gap_ms
            )
        if sink.status < FIRST_SERVER_ERROR_STATUS:
            verdict = classify_answer(
                entry.objective, first_token_ms=first_ms, gap_ms=gap_ms
            )
            now_ms = self._clock.wall_ms()
            self._burn.add(entry=entry.name, verdict=verdict, now_ms=now_ms)
        self._write(Event.CALL_FINISHED, work, work.request_id, total_ms, sink.status)

    def on_failed(
        self,
        work: Work | None,
        failure: FoxtailbankError,
        *,
        request_id: str,
        started_ms: int,
        response_started: bool,
    ) -> None:
        """Record a call that was refused or failed.

        Parameters
        ----------
        work : Work or None
            The call; None if it failed before admission.
        failure : FoxtailbankError
            Reason for the refusal or failure.
        request_id : str
            Identifier of the request.
        started_ms : int
            When the call arrived, in milliseconds.
        response_started : bool
            Whether part of the response was already forwarded.
        """
        entry = work.entry.name if work else ""
        self._metrics.count(Count.REFUSALS, entry=entry, reason=failure.code)
        if work is not None and not isinstance(failure, CallerDisconnected):
            now_ms = self._clock.wall_ms()
            verdict = classify_failure(failure)
            self._burn.add(entry=entry, verdict=verdict, now_ms=now_ms)
        event = Event.CALL_FAILED if response_started else Event.CALL_REFUSED
        total_ms = self._clock.now_ms() - started_ms
        self._write(event, work, request_id, total_ms, failure.status, failure.code)

    def _write(
        self,
        event: Event,
        work: Work | None,
        request_id: str,
        duration_ms: int,
        status: int,
        reason: str = "",
    ) -> None:
        fields = LogFields(
            request_id=request_id,
            owner=work.entry.owner if work else "",
            entry=work.entry.name if work else "",
            reason=reason,
            status=status,
            duration_ms=duration_ms,
        )
        self._logs.write(event, fields=fields)
