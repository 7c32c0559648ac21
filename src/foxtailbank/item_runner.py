"""Runs one batch item and says how it ended."""

import anyio
import msgspec

from foxtailbank.batch_item import BatchItem, read_item
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
from foxtailbank.item_set import ItemRange, bitmap_of, ranges_of
from foxtailbank.job_input import parse_item
from foxtailbank.ledger_events import ItemsClaimWon, LedgerEvent
from foxtailbank.ledger_service import LedgerService
from foxtailbank.open_chunk import OpenChunk
from foxtailbank.records import ItemsClaimed, ItemsReleased
from foxtailbank.results import failure_line
from foxtailbank.work import Work

MAX_ATTEMPTS = 3
ITEM_DEADLINE_MS = 600_000
PAUSE_S = 0.25


class ItemRunner:
    """Runs items on the endpoint that they are placed on.

    Parameters
    ----------
    clock : Clock
        Source of time.
    dispatcher : Dispatcher
        Runs work.
    order : BatchOrder
        Is told what owners were served.
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
        """Claim items of a non-idempotent job; return the bitmap of those won.

        Raises
        ------
        LogUnavailable
            No verdict came in time; claims that take effect later are given back.
        """
        claim = ItemsClaimed(
            job_id=job_id,
            chunk=chunk,
            items=ranges_of(bitmap),
            claimant=service.incarnation,
        )

        def release_late(events: tuple[LedgerEvent, ...]) -> None:
            for event in events:
                if isinstance(event, ItemsClaimWon):
                    self.release(service, job_id, chunk, event.items)

        events = await service.append(claim, on_late=release_late)
        won = 0
        for event in events:
            if isinstance(event, ItemsClaimWon):
                won |= bitmap_of(event.items, size=bitmap.bit_length()) or 0
        return won

    def release(
        self,
        service: LedgerService,
        job_id: str,
        chunk: int,
        items: tuple[ItemRange, ...],
    ) -> None:
        """Give claimed items back that did not run."""
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
        """Run an item until it ended or was cut off.

        Parameters
        ----------
        batch : EndpointBatch
            The endpoint and its streams.
        chunk : OpenChunk
            The item's chunk; takes its result, or the item back.
        position : int
            The item's position in the chunk.
        entry : Entry
            Catalogue entry of the job.
        deadline_ms : int
            Deadline of the job, in wall milliseconds.
        request_id : str
            Identifier on every hop.

        Returns
        -------
        bool
            Whether it was cut off to make room for online requests.
        """
        line = chunk.lines[position]
        try:
            item = read_item(line, entry)
        except InvalidRequest as failure:
            self._fail(chunk, position, line, failure)
            return False
        collector = chunk.partial_by_position.pop(position, None)
        collector = collector or CompletionCollector(path=item.path)
        work = item.work(
            entry=entry,
            request_id=request_id,
            deadline_at_ms=self._clock.now_ms() + ITEM_DEADLINE_MS,
            resume_at=collector.next_index,
        )
        active = ActiveItem(
            chunk=chunk,
            position=position,
            scope=anyio.CancelScope(),
            collector=collector,
            deadline_ms=deadline_ms,
            tokens=item.tokens,
        )
        batch.active_by_id[request_id] = active
        try:
            with active.scope:
                await self._attempt(batch, active, work, item)
        finally:
            del batch.active_by_id[request_id]
        if active.scope.cancelled_caught:
            self._cut_off(active, work)
        return active.preempted and active.scope.cancelled_caught

    async def _attempt(
        self, batch: EndpointBatch, active: ActiveItem, work: Work, item: BatchItem
    ) -> None:
        chunk = active.chunk
        position = active.position
        try:
            await self._dispatcher.run(
                work, active.collector, on=batch.backend, may_retry=False
            )
        except (EndpointRefused, NoEndpoint) as failure:
            if failure.ran is Ran.NO:
                await anyio.sleep(PAUSE_S)
                chunk.give_back(position, active.collector)
                return
            self._fail(chunk, position, chunk.lines[position], failure)
        except OutcomeUnknown as failure:
            self._fail(chunk, position, chunk.lines[position], failure)
        except EndpointFailed as failure:
            chunk.attempts_by_position[position] += 1
            if chunk.attempts_by_position[position] < MAX_ATTEMPTS:
                chunk.give_back(position, active.collector)
                return
            self._fail(chunk, position, chunk.lines[position], failure)
        except FoxtailbankError as failure:
            self._fail(chunk, position, chunk.lines[position], failure)
        else:
            self._finish(active, item)

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

    def _cut_off(self, active: ActiveItem, work: Work) -> None:
        chunk = active.chunk
        if work.idempotent:
            chunk.give_back(active.position, active.collector)
            return
        failure = OutcomeUnknown(detail="cut off while it may have been running")
        self._fail(chunk, active.position, chunk.lines[active.position], failure)

    def _fail(
        self, chunk: OpenChunk, position: int, line: bytes, failure: FoxtailbankError
    ) -> None:
        custom_id = parse_item(line, number=position + 1)
        chunk.finish(position, failure_line(custom_id, failure), failed=True)
