"""Execution of single batch items."""

import anyio
import msgspec

from foxtailbank.batch_item import BatchItem, parse_batch_item
from foxtailbank.batch_order import BatchOrder
from foxtailbank.clock import Clock
from foxtailbank.completion_collector import CompletionCollector
from foxtailbank.dispatcher import Dispatcher
from foxtailbank.endpoint_batch import ActiveItem, EndpointBatch
from foxtailbank.entry import Entry
from foxtailbank.exceptions import (
    EndpointFailed,
    EndpointRefused,
    FoxtailbankError,
    InvalidRequest,
    NoEndpoint,
    OutcomeUnknown,
    Ran,
)
from foxtailbank.item_set import ItemRange, bitmap_to_ranges, ranges_to_bitmap
from foxtailbank.job_input import parse_custom_id
from foxtailbank.ledger_events import ItemsClaimWon, LedgerEvent
from foxtailbank.ledger_service import LedgerService
from foxtailbank.open_chunk import OpenChunk
from foxtailbank.quarantine import TOKENS_TO_CLEAR
from foxtailbank.records import ItemsClaimed, ItemsReleased
from foxtailbank.results import failure_line
from foxtailbank.work import Work

MAX_ATTEMPTS = 3  # consecutive ones without progress
# Limits the damage of an item that crashes each engine only after some progress.
MAX_FAILURES = 16
ITEM_DEADLINE_MS = 600_000
REFUSAL_PAUSE_S = 0.25


class ItemRunner:
    """Runs batch items and stores their results in the chunk.

    Parameters
    ----------
    clock : Clock
        Source of time.
    dispatcher : Dispatcher
        Sends requests to endpoints.
    order : BatchOrder
        Updated with the tokens generated for each owner.
    """

    def __init__(
        self, *, clock: Clock, dispatcher: Dispatcher, order: BatchOrder
    ) -> None:
        self._clock = clock
        self._dispatcher = dispatcher
        self._order = order

    async def claim(
        self, service: LedgerService, job_id: str, chunk: int, bitmap: int
    ) -> int:
        """Claim items of a non-idempotent job; return the bitmap of those granted.

        Raises
        ------
        LogUnavailable
            The claim was not confirmed in time; if it takes effect later, the items
            are released.
        """
        claim = ItemsClaimed(
            job_id=job_id,
            chunk=chunk,
            items=bitmap_to_ranges(bitmap),
            claimant=service.incarnation,
        )

        def release_late(events: tuple[LedgerEvent, ...]) -> None:
            for event in events:
                if isinstance(event, ItemsClaimWon):
                    self.release(service, job_id, chunk, event.items)

        events = await service.append(claim, on_late=release_late)
        granted = 0
        for event in events:
            if isinstance(event, ItemsClaimWon):
                granted |= ranges_to_bitmap(event.items, size=bitmap.bit_length()) or 0
        return granted

    def release(
        self,
        service: LedgerService,
        job_id: str,
        chunk: int,
        items: tuple[ItemRange, ...],
    ) -> None:
        """Release claimed items that did not run."""
        service.writer.submit(
            ItemsReleased(
                job_id=job_id,
                chunk=chunk,
                items=items,
                claimant=service.incarnation,
            ),
            urgent=True,
        )

    async def run(
        self,
        *,
        batch: EndpointBatch,
        chunk: OpenChunk,
        position: int,
        entry: Entry,
        deadline_ms: int,
        request_id: str,
    ) -> bool:
        """Run an item until it ends or is cancelled.

        Parameters
        ----------
        batch : EndpointBatch
            Batch state of the endpoint to run on.
        chunk : OpenChunk
            The item's chunk; receives the result, or the item to run again.
        position : int
            The item's position in the chunk.
        entry : Entry
            Catalogue entry of the job.
        deadline_ms : int
            Deadline of the job, in milliseconds since the Unix epoch.
        request_id : str
            Request id, the same on every hop.

        Returns
        -------
        bool
            Whether it was preempted for online requests.
        """
        line = chunk.lines[position]
        try:
            item = parse_batch_item(line, entry)
        except InvalidRequest as failure:
            self._fail(chunk, position, line, failure)
            return False
        collector = chunk.partial_by_position.pop(position, None)
        if collector is None or not _may_continue(collector, batch):
            collector = CompletionCollector(path=item.path)
        work = item.work(
            entry=entry,
            request_id=request_id,
            deadline_at_ms=self._clock.now_ms() + ITEM_DEADLINE_MS,
            resume_at=collector.next_index,
            writer=collector.writer,
        )
        active = ActiveItem(
            chunk=chunk,
            position=position,
            cancel_scope=anyio.CancelScope(),
            collector=collector,
            deadline_ms=deadline_ms,
            max_tokens=item.tokens,
        )
        batch.active_by_id[request_id] = active
        try:
            with active.cancel_scope:
                await self._attempt(batch, active, work, item)
        finally:
            del batch.active_by_id[request_id]
        if active.cancel_scope.cancelled_caught:
            self._on_cancelled(active, work)
        return active.is_preempted and active.cancel_scope.cancelled_caught

    async def _attempt(
        self, batch: EndpointBatch, active: ActiveItem, work: Work, item: BatchItem
    ) -> None:
        chunk = active.chunk
        position = active.position
        first_index = active.collector.next_index
        try:
            await self._dispatcher.run(
                work, active.collector, first_backend=batch.backend, may_retry=False
            )
        except (EndpointRefused, NoEndpoint) as failure:
            if failure.ran is Ran.NO:
                await anyio.sleep(REFUSAL_PAUSE_S)
                chunk.requeue(position, active.collector)
                return
            self._fail(chunk, position, chunk.lines[position], failure)
        except OutcomeUnknown as failure:
            self._fail(chunk, position, chunk.lines[position], failure)
        except EndpointFailed as failure:
            new_tokens = active.collector.next_index - first_index
            if not self._may_run_again(chunk, position, new_tokens):
                self._fail(chunk, position, chunk.lines[position], failure)
                return
            chunk.requeue(position, active.collector)
        except FoxtailbankError as failure:
            self._fail(chunk, position, chunk.lines[position], failure)
        else:
            self._finish(active, item)

    def _may_run_again(self, chunk: OpenChunk, position: int, new_tokens: int) -> bool:
        """Count a failed attempt; return whether the item has attempts left.

        An attempt that got well past the earlier ones restarts the count up to
        `MAX_ATTEMPTS`, since the item is unlikely to be the cause of the failure.
        """
        chunk.failures_by_position[position] += 1
        if new_tokens >= TOKENS_TO_CLEAR:
            chunk.attempts_by_position[position] = 0
        else:
            chunk.attempts_by_position[position] += 1
        return (
            chunk.attempts_by_position[position] < MAX_ATTEMPTS
            and chunk.failures_by_position[position] < MAX_FAILURES
        )

    def _finish(self, active: ActiveItem, item: BatchItem) -> None:
        collector = active.collector
        line = msgspec.json.encode(
            {
                "custom_id": item.custom_id,
                "response": {
                    "status_code": collector.status,
                    "body": collector.body(),
                },
                "error": None,
            }
        )
        active.chunk.finish(active.position, line, failed=False)
        self._order.on_served(active.chunk.owner, max(1, collector.next_index))

    def _on_cancelled(self, active: ActiveItem, work: Work) -> None:
        chunk = active.chunk
        if work.idempotent:
            chunk.requeue(active.position, active.collector)
            return
        failure = OutcomeUnknown(
            detail="the request was cancelled and the endpoint may have run it"
        )
        self._fail(chunk, active.position, chunk.lines[active.position], failure)

    def _fail(
        self, chunk: OpenChunk, position: int, line: bytes, failure: FoxtailbankError
    ) -> None:
        custom_id = parse_custom_id(line, number=position + 1)
        chunk.finish(position, failure_line(custom_id, failure), failed=True)


def _may_continue(collector: CompletionCollector, batch: EndpointBatch) -> bool:
    """Return whether an endpoint runs the software that wrote an item's output."""
    writer = collector.writer
    return writer is None or batch.backend.vm.may_continue_output_of(writer)
