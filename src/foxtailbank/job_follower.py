"""Applies job changes in the ledger to running batch work."""

from foxtailbank.chunk_queue import ChunkQueue
from foxtailbank.endpoint_batch import EndpointBatch
from foxtailbank.events import Event
from foxtailbank.ledger import Ledger
from foxtailbank.ledger_events import (
    ItemsEnded,
    JobAdded,
    JobCancelledEvent,
    JobFinished,
    LedgerEvent,
    ResultsApplied,
)
from foxtailbank.ledger_service import LedgerService
from foxtailbank.logs import LogFields, Logs
from foxtailbank.records import Envelope


class JobFollower:
    """Adds and stops chunks, and drops ended items, as ledger records are applied.

    Parameters
    ----------
    source : ChunkQueue
        Chunks that wait to be run; updated.
    service : LedgerService
        Ledger whose replayed records are followed.
    logs : Logs
        Receives a line for each job that has ended.
    batches_by_endpoint : dict of str to EndpointBatch
        Chunks that are being run; updated.
    """

    def __init__(
        self,
        *,
        source: ChunkQueue,
        service: LedgerService,
        logs: Logs,
        batches_by_endpoint: dict[str, EndpointBatch],
    ) -> None:
        self._source = source
        self._service = service
        self._logs = logs
        self._batches_by_endpoint = batches_by_endpoint
        service.replay.add_listener(self._on_record)
        service.replay.add_replacement_listener(self._on_replacement)

    def stop_job(self, job_id: str) -> None:
        """Stop a job that another VM has read as cancelled from the ledger."""
        self._source.remove_job(job_id)
        for batch in self._batches_by_endpoint.values():
            batch.cancel_job(job_id)

    def _on_record(self, envelope: Envelope, events: tuple[LedgerEvent, ...]) -> None:
        for event in events:
            if isinstance(event, JobAdded):
                self._source.add_job(self._service.ledger.jobs_by_id[event.job_id])
            elif isinstance(event, JobCancelledEvent | JobFinished):
                self._end_job(event.job_id)
            elif isinstance(event, ResultsApplied | ItemsEnded):
                self._drop_ended(event)

    def _end_job(self, job_id: str) -> None:
        self._source.remove_job(job_id)
        for batch in self._batches_by_endpoint.values():
            batch.cancel_job(job_id)
        job = self._service.ledger.jobs_by_id.get(job_id)
        if job is not None:
            fields = LogFields(
                job_id=job_id,
                owner=job.owner,
                entry=job.entry,
                reason=job.status.value,
                count=job.item_count,
            )
            self._logs.write(Event.JOB_FINISHED, fields=fields)

    def _drop_ended(self, event: ResultsApplied | ItemsEnded) -> None:
        key = (event.job_id, event.chunk)
        for batch in self._batches_by_endpoint.values():
            for chunk in batch.chunks:
                if chunk.key == key:
                    job = self._service.ledger.jobs_by_id[event.job_id]
                    chunk.remove_pending(job.ended_bitmap(event.chunk))

    def _on_replacement(self, ledger: Ledger) -> None:
        for batch in self._batches_by_endpoint.values():
            for chunk in list(batch.chunks):
                job = ledger.jobs_by_id.get(chunk.job_id)
                if job is None or job.ended:
                    batch.cancel_job(chunk.job_id)
                else:
                    chunk.remove_pending(job.ended_bitmap(chunk.index))
        self._source.update_placements(self._source.placements_by_pool, ledger)
