"""What becomes of batch items: records for the log, log lines and counters."""

from foxtailbank.clock import Clock
from foxtailbank.events import Event
from foxtailbank.fleet.load_table import WorkerLoad
from foxtailbank.fleet.worker import Worker
from foxtailbank.forward.worker_client import WorkerAnswer
from foxtailbank.http1.failures import ExchangeFailed
from foxtailbank.logs import LogFields, Logs
from foxtailbank.metrics import Count, Metrics
from foxtailbank.settings_sections import LogLevel
from foxtailbank.submissions.append_queue import AppendQueue
from foxtailbank.submissions.item_run import ItemRun
from foxtailbank.submissions.records import (
    AttemptFailed,
    Listed,
    Progress,
    Record,
    encode,
)


class ItemRecorder:
    """Writes down progress and outcomes of items.

    Parameters
    ----------
    me : str
        This process, as ``vm/incarnation``.
    appends : AppendQueue
        Takes records.
    clock : Clock
        Source of time.
    logs : Logs
        Takes a line for each decision.
    metrics : Metrics
        Takes counts.
    """

    def __init__(
        self,
        *,
        me: str,
        appends: AppendQueue,
        clock: Clock,
        logs: Logs,
        metrics: Metrics,
    ) -> None:
        self._me = me
        self._appends = appends
        self._clock = clock
        self._logs = logs
        self._metrics = metrics

    def started(self, run: ItemRun) -> None:
        """Record that an item is sent to a worker."""
        reason = f"after event {run.cutter.last_id}" if run.texts else ""
        fields = self._fields(run, reason)
        self._logs.write(Event.ITEM_STARTED, level=LogLevel.DEBUG, fields=fields)

    def saved(self, run: ItemRun) -> None:
        """Write the output so far to the log, if there is more than before."""
        run.saved_ms = self._clock.now_ms()
        if run.is_done or len(run.texts) == run.saved_count:
            return
        run.saved_count = len(run.texts)
        submission_id, item_id = run.key
        record = Progress(
            submission_id=submission_id,
            item_id=item_id,
            after_event=run.cutter.last_id,
            texts=tuple(run.texts),
        )
        self._put(record, unique=item_id)

    def yielded(self, run: ItemRun, worker: Worker, load: WorkerLoad) -> None:
        """Record that an item stops for online requests."""
        self._metrics.count(Count.PREEMPTED_ITEMS)
        reason = f"{load.online} online, {load.batch} batch on {worker.slots}"
        self._logs.write(Event.ITEM_YIELDED, fields=self._fields(run, reason))

    def worker_refused(
        self, run: ItemRun, answer: WorkerAnswer, load: WorkerLoad
    ) -> None:
        """Record that a worker did not run an item."""
        reason = f"status {answer.status} at {load.total} requests"
        self._logs.write(Event.WORKER_REFUSED, fields=self._fields(run, reason))

    def exchange_failed(self, run: ItemRun, failure: ExchangeFailed) -> None:
        """Record that a send to a worker failed."""
        fields = self._fields(run, f"{failure.code}: {failure.detail}")
        self._logs.write(Event.ATTEMPT_FAILED, level=LogLevel.WARNING, fields=fields)

    def attempt_failed(self, run: ItemRun, entry: str) -> None:
        """Write to the log that a worker answered with a failure of its own."""
        submission_id, item_id = run.key
        record = AttemptFailed(submission_id=submission_id, item_id=item_id)
        self._put(record, unique=f"{item_id}/{self._me}/{run.tries}")
        self._metrics.count(Count.FAILED_ITEMS, entry=entry)

    def listed(self, run: ItemRun, *, completed: bool, reason: str) -> None:
        """Write an item's end to the log."""
        run.is_done = True
        submission_id, item_id = run.key
        record = Listed(
            submission_id=submission_id,
            item_id=item_id,
            completed=completed,
            text="\n".join(run.texts) if completed else "",
        )
        self._put(record, unique=f"{item_id}/{self._me}")
        self._metrics.count(Count.FINISHED_ITEMS, reason=reason)
        self._logs.write(Event.ITEM_FINISHED, fields=self._fields(run, reason))

    def _put(self, record: Record, *, unique: str) -> None:
        self._appends.put((encode(record, unique=unique),), urgent=False)

    def _fields(self, run: ItemRun, reason: str) -> LogFields:
        submission_id, item_id = run.key
        return LogFields(
            job_id=submission_id,
            request_id=item_id,
            endpoint=run.worker_id,
            reason=reason,
            count=run.tries,
        )
