"""The log of texts: outputs of items that not all VMs read."""

import anyio

from foxtailbank.clock import Clock
from foxtailbank.fleet.peer_table import PeerTable
from foxtailbank.keyed_log import KeyedRecord, RandomAccessLog
from foxtailbank.logs import Logs
from foxtailbank.memory_limits import MemoryLimits
from foxtailbank.metrics import Metrics
from foxtailbank.read_share import ReadShare
from foxtailbank.submissions.append_queue import AppendQueue
from foxtailbank.submissions.failures import RETRY_AFTER_MS, StateUnknown
from foxtailbank.submissions.records import ItemEnded, ItemEndedApart
from foxtailbank.submissions.result_page import (
    PageTexts,
    ResultPage,
    page_with_texts,
)
from foxtailbank.submissions.text_cache import TextCache
from foxtailbank.submissions.text_placement import TextPlacement
from foxtailbank.submissions.text_reader import TextReader
from foxtailbank.submissions.text_writer import TextWriter
from foxtailbank.vm_identity import StoreLimits


class ResultTexts(PageTexts):
    """Writes and reads outputs that are kept apart from the submission log.

    Parameters
    ----------
    log : RandomAccessLog
        Log of texts.
    appends : AppendQueue
        Queue for the submission log.
    producer : str
        Name of this process, unique to each start.
    store_limits : StoreLimits
        Size limits of the store.
    memory : MemoryLimits
        Memory for outputs.
    share : ReadShare
        Rate of the store and number of VMs.
    peers : PeerTable
        The other VMs.
    logs : Logs
        Receives log lines.
    clock : Clock
        Source of time.
    metrics : Metrics
        Receives counts.
    """

    def __init__(
        self,
        *,
        log: RandomAccessLog,
        appends: AppendQueue,
        producer: str,
        store_limits: StoreLimits,
        memory: MemoryLimits,
        share: ReadShare,
        peers: PeerTable,
        logs: Logs,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._queue = AppendQueue(
            log=log,
            max_waiting_bytes=memory.waiting_text_bytes,
            producer=producer,
            record_bytes=store_limits.max_record_bytes,
            call_bytes=store_limits.max_append_bytes,
            logs=logs,
            clock=clock,
        )
        cache = TextCache(max_bytes=memory.held_text_bytes)
        self._placement = TextPlacement(share=share, peers=peers, clock=clock)
        self._reader = TextReader(log=log, cache=cache, logs=logs, metrics=metrics)
        self._writer = TextWriter(
            text_appends=self._queue, appends=appends, cache=cache
        )

    @property
    def is_empty(self) -> bool:
        """Whether no output and no result waits to be written here."""
        return self._queue.is_empty and self._writer.is_empty

    @property
    def has_capacity(self) -> bool:
        """Whether there is capacity for more outputs."""
        return self._queue.has_capacity

    async def run(self) -> None:
        """Write and read until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._queue.run)
            group.start_soon(self._writer.run)
            group.start_soon(self._reader.run)

    def put(
        self, record: ItemEnded, *, key_suffix: str, dropped: tuple[KeyedRecord, ...]
    ) -> bool:
        """Queue a result if its output is to be kept apart; return whether it is.

        Parameters
        ----------
        record : ItemEnded
            The result with its output.
        key_suffix : str
            Last part of its keys, unique among the submission's results.
        dropped : tuple of KeyedRecord
            Records to append together with the result.
        """
        if not self._placement.is_apart(len(record.text.encode())):
            return False
        self._writer.put(record, key_suffix=key_suffix, dropped=dropped)
        return True

    def drop(self, keys: set[str]) -> None:
        """Drop outputs from the log."""
        records = (KeyedRecord(key=key, value=b"") for key in sorted(keys))
        self._queue.put_split(tuple(records))

    async def fill(self, page: ResultPage, *, timeout_ms: int) -> ResultPage:
        """Return a page with all texts; see `PageTexts.fill`."""
        locations = [
            result.text_at
            for result in page.results
            if isinstance(result, ItemEndedApart)
        ]
        if not locations:
            return page
        text_by_key = await self._reader.read(locations, timeout_ms)
        filled = page_with_texts(page, text_by_key)
        if not filled.results:
            raise StateUnknown(
                detail="an output could not be read", retry_after_ms=RETRY_AFTER_MS
            )
        return filled
