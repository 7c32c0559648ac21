"""Records events of batch items in the submission log, log lines and metrics."""

import dataclasses

from foxtailbank.clock import Clock
from foxtailbank.events import Event
from foxtailbank.fleet.load_table import WorkerLoad
from foxtailbank.fleet.worker import Worker
from foxtailbank.forward.worker_client import WorkerResponse
from foxtailbank.http1.failures import ExchangeFailed
from foxtailbank.logs import LogFields, Logs
from foxtailbank.metrics import Count, Metrics
from foxtailbank.settings_sections import LogLevel
from foxtailbank.submissions.append_queue import AppendQueue
from foxtailbank.submissions.item_run import ItemRun
from foxtailbank.submissions.records import (
    AttemptFailed,
    ItemEnded,
    Progress,
    Record,
    drop_progress,
    encode,
    key_segment,
)
from foxtailbank.submissions.result_texts import ResultTexts
from foxtailbank.tasks import describe_error


class ItemRecorder:
    """Records progress and outcomes of items.

    Parameters
    ----------
    owner_id : str
        This process, as ``vm/incarnation``.
    appends : AppendQueue
        Queue for the submission log.
    texts : ResultTexts
        Takes outputs that are kept apart from that log.
    clock : Clock
        Source of time.
    logs : Logs
        Receives a line for each event.
    metrics : Metrics
        Receives counts.
    """

    def __init__(
        self,
        *,
        owner_id: str,
        appends: AppendQueue,
        texts: ResultTexts,
        clock: Clock,
        logs: Logs,
        metrics: Metrics,
    ) -> None:
        self._owner_id = owner_id
        self._appends = appends
        self._texts = texts
        self._clock = clock
        self._logs = logs
        self._metrics = metrics
        self._suffix_count = 0

    def record_start(self, run: ItemRun, worker: Worker) -> None:
        """Log that an item is sent to a worker."""
        run.times.on_start(age_ms=self._age_ms(run), now_ms=self._clock.now_ms())
        fields = dataclasses.replace(
            self._fields(run, ""),
            after_event=run.event_buffer.last_event_id,
            software_version=worker.software_version,
        )
        if run.texts:
            self._logs.write(Event.STREAM_RESUMED, fields=fields)
            return
        self._logs.write(Event.ITEM_STARTED, level=LogLevel.DEBUG, fields=fields)

    def save_progress(self, run: ItemRun) -> None:
        """Append the output so far to the submission log if it has grown."""
        run.saved_ms = self._clock.now_ms()
        if run.is_done or len(run.texts) == run.saved_event_count:
            return
        run.saved_event_count = len(run.texts)
        submission_id, item_id = run.key
        record = Progress(
            submission_id=submission_id,
            item_id=item_id,
            after_event=run.event_buffer.last_event_id,
            texts=tuple(run.texts),
            origin=run.origin,
        )
        self._append(record, unique=key_segment(item_id))

    def record_preemption(self, run: ItemRun, worker: Worker, load: WorkerLoad) -> None:
        """Log and count the preemption of an item for online requests."""
        self._metrics.count(Count.PREEMPTED_ITEMS)
        run.times.yield_count += 1
        reason = f"{load.online} online, {load.batch} batch on {worker.slots}"
        self._logs.write(Event.ITEM_YIELDED, fields=self._fields(run, reason))

    def record_refusal(
        self, run: ItemRun, answer: WorkerResponse, load: WorkerLoad
    ) -> None:
        """Log that a worker refused to run an item."""
        reason = f"status {answer.status} at {load.total} requests"
        self._logs.write(Event.WORKER_REFUSED, fields=self._fields(run, reason))

    def record_exchange_failure(self, run: ItemRun, failure: ExchangeFailed) -> None:
        """Log a failed exchange with a worker."""
        fields = self._fields(run, f"{failure.code}: {failure.detail}")
        self._logs.write(Event.ATTEMPT_FAILED, level=LogLevel.WARNING, fields=fields)

    def record_defect(self, run: ItemRun, error: Exception) -> None:
        """Log an unexpected error in the run of an item."""
        fields = self._fields(run, describe_error(error))
        self._logs.write(Event.INTERNAL_ERROR, level=LogLevel.ERROR, fields=fields)

    def record_attempt_failure(self, run: ItemRun) -> None:
        """Append to the submission log that a worker answered with an error."""
        submission_id, item_id = run.key
        record = AttemptFailed(submission_id=submission_id, item_id=item_id)
        self._append(record, unique=self._unique_suffix(item_id))
        self._metrics.count(Count.FAILED_ITEMS, entry=run.submission.route)

    def record_end(self, run: ItemRun, *, completed: bool, reason: str) -> None:
        """Append an item's result, or that it was given up, to the submission log.

        Its output goes there or, before it, to the log of texts. The same append drops
        its saved progress, which no process needs any more.
        """
        run.is_done = True
        submission_id, item_id = run.key
        record = ItemEnded(
            submission_id=submission_id,
            item_id=item_id,
            completed=completed,
            text="\n".join(run.texts) if completed else "",
        )
        suffix = self._unique_suffix(item_id)
        dropped = (drop_progress(*run.key),) if run.has_saved_progress else ()
        if not self._texts.put(record, key_suffix=suffix, dropped=dropped):
            stored = encode(record, key_suffix=suffix)
            self._appends.put((stored, *dropped), urgent=False)
        self._metrics.count(Count.FINISHED_ITEMS, reason=reason)
        fields = dataclasses.replace(
            self._fields(run, reason),
            duration_ms=self._age_ms(run),
            first_start_ms=run.times.first_start_ms,
            running_ms=run.times.running_ms(self._clock.now_ms()),
            yields=run.times.yield_count,
        )
        self._logs.write(Event.ITEM_FINISHED, fields=fields)

    def _age_ms(self, run: ItemRun) -> int:
        """Return the time since the submission's arrival."""
        return self._clock.wall_ms() - run.submission.arrived_wall_ms

    def _unique_suffix(self, item_id: str) -> str:
        # Not derived from the run, as an item taken over again gets another run.
        self._suffix_count += 1
        return f"{key_segment(item_id)}/{self._owner_id}/{self._suffix_count}"

    def _append(self, record: Record, *, unique: str) -> None:
        self._appends.put((encode(record, key_suffix=unique),), urgent=False)

    def _fields(self, run: ItemRun, reason: str) -> LogFields:
        submission_id, item_id = run.key
        return LogFields(
            job_id=submission_id,
            request_id=item_id,
            entry=run.submission.route,
            endpoint=run.worker_id,
            reason=reason,
            count=run.send_count,
        )
