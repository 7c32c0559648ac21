"""Writes results whose outputs are kept apart: the output first, then the result."""

import collections
import dataclasses

import anyio

from foxtailbank.keyed_log import KeyedRecord
from foxtailbank.submissions.append_queue import AppendQueue, PendingAppend
from foxtailbank.submissions.records import (
    ItemEnded,
    ItemEndedApart,
    TextLocation,
    encode,
    encode_text,
)
from foxtailbank.submissions.text_cache import TextCache


@dataclasses.dataclass(frozen=True, kw_only=True)
class _WaitingResult:
    record: ItemEnded
    key_suffix: str
    dropped: tuple[KeyedRecord, ...]
    text: KeyedRecord
    pending: PendingAppend


class TextWriter:
    """Appends an output, and once it is in the store the record that refers to it.

    A VM that knows the result can thus have its output. If this process ends between
    the two, the item has no result and its next owner runs it again.

    Parameters
    ----------
    text_appends : AppendQueue
        Queue for the log of texts.
    appends : AppendQueue
        Queue for the submission log.
    cache : TextCache
        Holds what this VM wrote, which callers are likely to read here.
    """

    def __init__(
        self, *, text_appends: AppendQueue, appends: AppendQueue, cache: TextCache
    ) -> None:
        self._text_appends = text_appends
        self._appends = appends
        self._cache = cache
        self._waiting: collections.deque[_WaitingResult] = collections.deque()
        self._wake = anyio.Event()

    @property
    def is_empty(self) -> bool:
        """Whether all results are in the queue of the submission log."""
        return not self._waiting

    def put(
        self, record: ItemEnded, *, key_suffix: str, dropped: tuple[KeyedRecord, ...]
    ) -> None:
        """Queue a result.

        Parameters
        ----------
        record : ItemEnded
            The result with its output.
        key_suffix : str
            Last part of its keys in both logs.
        dropped : tuple of KeyedRecord
            Records to append together with the result.

        Raises
        ------
        AppendTooLarge
            The store would never take the output; nothing was queued.
        """
        text = encode_text(record.submission_id, record.text, key_suffix=key_suffix)
        waiting = _WaitingResult(
            record=record,
            key_suffix=key_suffix,
            dropped=dropped,
            text=text,
            pending=self._text_appends.put((text,), urgent=False),
        )
        self._waiting.append(waiting)
        self._wake.set()

    async def run(self) -> None:
        """Append the results whose outputs are in the store, until cancelled."""
        while True:
            while not self._waiting:
                self._wake = anyio.Event()
                await self._wake.wait()
            first = self._waiting[0]
            await first.pending.done.wait()
            self._append_result(first)
            self._waiting.popleft()

    def _append_result(self, waiting: _WaitingResult) -> None:
        record = waiting.record
        if waiting.pending.end >= 0:
            self._cache.put(waiting.text.key, record.text)
            record = ItemEndedApart(
                submission_id=record.submission_id,
                item_id=record.item_id,
                completed=record.completed,
                text="",
                text_at=TextLocation(
                    key=waiting.text.key,
                    offset=waiting.pending.end - 1,
                    size_bytes=len(waiting.text.value),
                ),
            )
        # Otherwise the log of texts will never take it: it stays in the record.
        stored = encode(record, key_suffix=waiting.key_suffix)
        self._appends.put((stored, *waiting.dropped), urgent=False)
