"""Runs batch items on the endpoints whose batch work this VM schedules."""

import secrets
import typing as t

import anyio
import anyio.abc

from foxtailbank.admission import Admitted
from foxtailbank.backend import Backend
from foxtailbank.batch_admission import BatchAdmission
from foxtailbank.batch_limit import BatchLimit
from foxtailbank.batch_order import BatchOrder, ChunkCandidate
from foxtailbank.burn_classify import classify_batch_item
from foxtailbank.burn_recorder import BurnRecorder
from foxtailbank.catalogue import Catalogue
from foxtailbank.chunk_loader import ChunkLoader
from foxtailbank.chunk_queue import ChunkKey, ChunkQueue
from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.dispatcher import Dispatcher
from foxtailbank.endpoint_batch import EndpointBatch
from foxtailbank.endpoint_directory import EndpointDirectory
from foxtailbank.entry import Entry
from foxtailbank.events import Event
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.item_runner import ItemRunner
from foxtailbank.item_set import bitmap_to_ranges
from foxtailbank.job_follower import JobFollower
from foxtailbank.ledger_service import LedgerService
from foxtailbank.logs import LogFields, Logs
from foxtailbank.open_chunk import OpenChunk
from foxtailbank.ownership import Placement
from foxtailbank.policies import LimitFactory
from foxtailbank.preemption import LeastProgress
from foxtailbank.result_recorder import ResultRecorder
from foxtailbank.sentinels import Missing

SCHEDULING_PERIOD_MS = 10
IDLE_SCHEDULING_PERIOD_MS = 100
READ_AHEAD_ITEMS = 64
ESTIMATED_ITEM_TOKENS = 128
INITIAL_RATE_TOKENS_PER_S = 1_000.0


class BatchRunner:
    """Starts batch items on endpoints up to the batch limit of each endpoint.

    Parameters
    ----------
    clock : Clock
        Source of time.
    vm_id : str
        Id of this VM.
    catalogue : Catalogue
        Entries of the jobs.
    directory : EndpointDirectory
        Known endpoints.
    dispatcher : Dispatcher
        Runs items.
    service : LedgerService
        Jobs and their payloads.
    logs : Logs
        Receives a line for each preemption, failed item and finished job.
    admission : BatchAdmission
        Applies the limits of catalogue entries to items.
    burn : BurnRecorder
        Counts items for their entry's service-level objective.
    may_start : callable
        Whether new items may start; returns False while another VM could have
        accepted a cancellation that this VM has not seen.
    make_limit : callable
        Creates the batch limit of an endpoint.
    max_buffer_bytes : int
        Maximum size of results that have not been recorded, in bytes.
    max_in_flight : int
        Maximum number of items in flight on this VM.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        vm_id: str,
        catalogue: Catalogue,
        directory: EndpointDirectory,
        dispatcher: Dispatcher,
        service: LedgerService,
        logs: Logs,
        admission: BatchAdmission,
        burn: BurnRecorder,
        may_start: t.Callable[[], bool],
        make_limit: LimitFactory,
        max_buffer_bytes: int,
        max_in_flight: int,
    ) -> None:
        self._clock = clock
        self._vm_id = vm_id
        self._catalogue = catalogue
        self._directory = directory
        self._service = service
        self._logs = logs
        self._admission = admission
        self._burn = burn
        self._may_start = may_start
        self._make_limit = make_limit
        self._max_buffer_bytes = max_buffer_bytes
        self._max_in_flight = max_in_flight
        self._source = ChunkQueue(vm_id=vm_id, catalogue=catalogue)
        self._order = BatchOrder(tokens_per_s=INITIAL_RATE_TOKENS_PER_S)
        self._item_runner = ItemRunner(
            clock=clock, dispatcher=dispatcher, order=self._order
        )
        self._loader = ChunkLoader(
            service=service, queue=self._source, items=self._item_runner
        )
        self._recorder = ResultRecorder(service=service)
        self._batches_by_endpoint: dict[str, EndpointBatch] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self._stopping = False
        self._owned_ids: frozenset[str] = frozenset()
        self._job_follower = JobFollower(
            source=self._source,
            service=service,
            logs=logs,
            batches_by_endpoint=self._batches_by_endpoint,
        )

    async def run(self) -> None:
        """Run items until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._recorder.run)
            while True:
                if not self._stopping:
                    self._schedule()
                pause_ms = (
                    SCHEDULING_PERIOD_MS
                    if self._has_work()
                    else IDLE_SCHEDULING_PERIOD_MS
                )
                await anyio.sleep(pause_ms / MS_PER_S)

    async def stop(self) -> None:
        """Cancel running items, release claims and record finished results.

        Items without a result are left to other VMs.
        """
        self._stopping = True
        for batch in self._batches_by_endpoint.values():
            for item in batch.active_by_id.values():
                item.cancel_scope.cancel()
        self._release_claims()
        await self._recorder.drain()
        await self._service.writer.drain()

    def _release_claims(self) -> None:
        for batch in self._batches_by_endpoint.values():
            for chunk in batch.chunks:
                job = self._service.ledger.jobs_by_id.get(chunk.job_id)
                if job is None or job.idempotent or not chunk.pending:
                    continue
                items = bitmap_to_ranges(
                    sum(1 << position for position in chunk.pending)
                )
                self._item_runner.release(
                    self._service, chunk.job_id, chunk.index, items
                )
                chunk.pending.clear()

    def update_placements(
        self, placements_by_pool: dict[str, Placement], owned_ids: frozenset[str]
    ) -> None:
        """Update the placement of chunks after endpoints or VMs changed.

        Parameters
        ----------
        placements_by_pool : dict of str to Placement
            Placements by pool (model or service).
        owned_ids : frozenset of str
            Endpoints whose batch work this VM schedules.
        """
        self._owned_ids = owned_ids
        for endpoint_id, batch in list(self._batches_by_endpoint.items()):
            is_idle = not batch.chunks and not batch.active_by_id
            if is_idle and not batch.is_loading and endpoint_id not in owned_ids:
                del self._batches_by_endpoint[endpoint_id]
        self._source.update_placements(placements_by_pool, self._service.ledger)
        for endpoint_id, batch in self._batches_by_endpoint.items():
            for chunk in batch.chunks:
                job = self._service.ledger.jobs_by_id.get(chunk.job_id)
                if job is None or not self._source.is_placed_on(
                    endpoint_id, chunk.key, job
                ):
                    chunk.withdraw()

    def stop_job(self, job_id: str) -> None:
        """Stop a job that another VM has read as cancelled from the ledger."""
        self._job_follower.stop_job(job_id)

    def limit_of(self, endpoint_id: str) -> BatchLimit | None:
        """Return the batch limit of an endpoint; None if this VM has none for it."""
        batch = self._batches_by_endpoint.get(endpoint_id)
        return batch.limit if batch else None

    def on_online_change(self, endpoint_id: str, change: int) -> None:
        """Adjust the batch limit to a change in online requests on an endpoint.

        Parameters
        ----------
        endpoint_id : str
            Id of the endpoint.
        change : int
            Number of requests started; negative if requests ended.
        """
        batch = self._batches_by_endpoint.get(endpoint_id)
        if batch is None:
            return
        now_ms = self._clock.now_ms()
        for _ in range(change):
            self._preempt(batch, batch.limit.on_online_dispatch(now_ms))
        for _ in range(-change):
            batch.limit.on_online_end(now_ms)

    def on_load_report(self, backend: Backend) -> None:
        """Adjust the batch limit to the latest load report of an endpoint."""
        batch = self._batches_by_endpoint.get(backend.endpoint_id)
        if batch is None or backend.latest_load is None:
            return
        now_ms = self._clock.now_ms()
        actions = batch.limit.on_load_report(backend.latest_load, now_ms)
        self._preempt(batch, actions)

    def _preempt(self, batch: EndpointBatch, actions: tuple[t.Any, ...]) -> None:
        count = batch.preempt(actions)
        if count:
            fields = LogFields(endpoint=batch.backend.endpoint_id, count=count)
            self._logs.write(Event.BATCH_PREEMPTED, fields=fields)

    def _schedule(self) -> None:
        now_ms = self._clock.now_ms()
        for endpoint_id in self._owned_ids:
            backend = self._directory.backends_by_id.get(endpoint_id)
            if backend is None:
                continue
            batch = self._endpoint_batch(backend)
            self._read_ahead(batch)
            if not batch.chunks:
                continue
            batch.chunks = [chunk for chunk in batch.chunks if not chunk.is_idle]
            if backend.is_leaving(now_ms) or not self._has_capacity():
                continue
            while batch.limit.startable_streams(now_ms) > 0 and self._start_next(batch):
                pass

    def _has_work(self) -> bool:
        return any(
            batch.chunks or batch.is_loading or batch.active_by_id
            for batch in self._batches_by_endpoint.values()
        )

    def _has_capacity(self) -> bool:
        in_flight = sum(len(b.active_by_id) for b in self._batches_by_endpoint.values())
        return (
            self._may_start()
            and self._recorder.buffered_bytes + self._chunk_buffered_bytes()
            < self._max_buffer_bytes
            and in_flight < self._max_in_flight
        )

    def _chunk_buffered_bytes(self) -> int:
        return sum(
            chunk.buffered_bytes
            for batch in self._batches_by_endpoint.values()
            for chunk in batch.chunks
        )

    def _endpoint_batch(self, backend: Backend) -> EndpointBatch:
        batch = self._batches_by_endpoint.get(backend.endpoint_id)
        if batch is None or batch.backend is not backend:
            batch = EndpointBatch(
                backend=backend, limit=self._make_limit(), preemption=LeastProgress()
            )
            self._batches_by_endpoint[backend.endpoint_id] = batch
        return batch

    def _read_ahead(self, batch: EndpointBatch) -> None:
        if batch.is_loading or batch.pending_count() >= READ_AHEAD_ITEMS:
            return
        endpoint_id = batch.backend.endpoint_id
        views = [self._chunk_view(key) for key in self._source.next_chunks(endpoint_id)]
        runnable = [view for view in views if view is not None]
        chosen = self._order.next_chunk(runnable, self._clock.wall_ms())
        if chosen is None or self._tasks is None:
            return
        key = (chosen.job_id, chosen.chunk)
        self._source.pop(endpoint_id, key)
        batch.is_loading = True
        self._tasks.start_soon(self._loader.load, batch, key)

    def _chunk_view(self, key: ChunkKey) -> ChunkCandidate | None:
        job = self._service.ledger.jobs_by_id.get(key[0])
        if job is None or job.ended or self._admission.is_throttled(job.entry):
            return None
        return ChunkCandidate(
            job_id=job.job_id,
            chunk=key[1],
            owner=job.owner,
            deadline_ms=job.deadline_ms,
            job_tokens_left=(job.item_count - job.ended_count) * ESTIMATED_ITEM_TOKENS,
        )

    def _start_next(self, batch: EndpointBatch) -> bool:
        chunks_by_key = {chunk.key: chunk for chunk in batch.chunks if chunk.pending}
        views = [self._chunk_view(key) for key in chunks_by_key]
        chosen = self._order.next_chunk(
            [view for view in views if view is not None], self._clock.wall_ms()
        )
        if chosen is None or self._tasks is None:
            return False
        chunk = chunks_by_key[chosen.job_id, chosen.chunk]
        job = self._service.ledger.jobs_by_id[chunk.job_id]
        entry = self._catalogue.entry(job.entry)
        if isinstance(entry, Missing):
            chunk.pending.clear()
            return True
        admit = self._admission.admit(entry)
        if admit is None:
            return True
        position = chunk.pending.popleft()
        chunk.running.add(position)
        batch.limit.on_batch_start(self._clock.now_ms())
        request_id = f"{chunk.job_id}-{secrets.token_hex(6)}"
        self._tasks.start_soon(
            self._run_admitted,
            admit,
            batch,
            chunk,
            position,
            entry,
            job.deadline_ms,
            request_id,
        )
        return True

    async def _run_admitted(
        self,
        admit: Admitted,
        batch: EndpointBatch,
        chunk: OpenChunk,
        position: int,
        entry: Entry,
        deadline_ms: int,
        request_id: str,
    ) -> None:
        try:
            await self._run_item(batch, chunk, position, entry, deadline_ms, request_id)
        finally:
            self._admission.release(admit)
        if chunk.has_result(position):
            now_ms = self._clock.wall_ms()
            verdict = classify_batch_item(
                finished_ms=now_ms,
                deadline_ms=deadline_ms,
                failure="item_failed" if chunk.has_failed(position) else "",
            )
            self._burn.add(entry=entry.name, verdict=verdict, now_ms=now_ms)
        self._recorder.add_chunk(chunk)

    async def _run_item(
        self,
        batch: EndpointBatch,
        chunk: OpenChunk,
        position: int,
        entry: Entry,
        deadline_ms: int,
        request_id: str,
    ) -> None:
        preempted = False
        try:
            preempted = await self._item_runner.run(
                batch=batch,
                chunk=chunk,
                position=position,
                entry=entry,
                deadline_ms=deadline_ms,
                request_id=request_id,
            )
        except FoxtailbankError as failure:
            fields = LogFields(job_id=chunk.job_id, reason=failure.code)
            self._logs.write(Event.ITEM_FAILED, fields=fields)
        finally:
            # A preempted item was removed from the limit when it was selected.
            if not preempted:
                batch.limit.on_batch_end(self._clock.now_ms())
