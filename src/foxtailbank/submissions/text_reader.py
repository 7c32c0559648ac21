"""Reads outputs of items from the log of texts, each once for all its callers."""

import contextlib
import dataclasses
import typing as t

import anyio

from foxtailbank.clock import MS_PER_S
from foxtailbank.events import Event
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.keyed_log import HistoryTruncated, KeyedRecord, RandomAccessLog
from foxtailbank.logs import LogFields, Logs
from foxtailbank.metrics import Count, Metrics
from foxtailbank.settings_sections import LogLevel
from foxtailbank.submissions.records import TextLocation
from foxtailbank.submissions.text_cache import TextCache
from foxtailbank.submissions.text_spans import TextSpan, plan_spans

MAX_CONCURRENT_READS = 4  # of one VM, so that herds of callers queue here


@dataclasses.dataclass(kw_only=True)
class _PendingText:
    location: TextLocation
    caller_count: int = 0
    text: str | None = None
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)


class TextReader:
    """Returns texts from memory or from the log.

    Reads run in tasks of their own, so that a caller that gives up ends no read that
    others wait for.

    Parameters
    ----------
    log : RandomAccessLog
        Log of texts.
    cache : TextCache
        Texts in memory.
    logs : Logs
        Receives a line for each read that failed.
    metrics : Metrics
        Receives counts of texts by where they came from.
    """

    def __init__(
        self, *, log: RandomAccessLog, cache: TextCache, logs: Logs, metrics: Metrics
    ) -> None:
        self._log = log
        self._cache = cache
        self._logs = logs
        self._metrics = metrics
        self._requested = anyio.Event()
        self._new: list[_PendingText] = []
        self._pending_by_key: dict[str, _PendingText] = {}
        self._limiter = anyio.Semaphore(MAX_CONCURRENT_READS)
        self._page_lock = anyio.Lock()

    async def run(self) -> None:
        """Carry out the reads that callers ask for until cancelled."""
        self._finish_in_flight()
        async with anyio.create_task_group() as group:
            while True:
                await self._requested.wait()
                self._requested = anyio.Event()
                new, self._new = self._new, []
                for span in plan_spans(pending.location for pending in new):
                    group.start_soon(self._read_span, span)

    async def read(
        self, locations: t.Sequence[TextLocation], timeout_ms: int
    ) -> dict[str, str]:
        """Return texts by key, without those that could not be read in time."""
        text_by_key: dict[str, str] = {}
        pending_texts: list[_PendingText] = []
        for location in locations:
            text = self._cache.get(location.key)
            if text is None:
                pending_texts.append(self._request(location))
            else:
                text_by_key[location.key] = text
        self._count("memory", len(text_by_key))
        try:
            with anyio.move_on_after(timeout_ms / MS_PER_S):
                for pending in pending_texts:
                    await pending.done.wait()
        finally:
            for pending in pending_texts:
                pending.caller_count -= 1
        for pending in pending_texts:
            if pending.text is not None:
                text_by_key[pending.location.key] = pending.text
        self._count("missing", len(locations) - len(text_by_key))
        return text_by_key

    def _request(self, location: TextLocation) -> _PendingText:
        pending = self._pending_by_key.get(location.key)
        if pending is None:
            pending = _PendingText(location=location)
            self._pending_by_key[location.key] = pending
            self._new.append(pending)
            self._requested.set()
        pending.caller_count += 1
        return pending

    async def _read_span(self, span: TextSpan) -> None:
        text_by_key: dict[str, str] = {}
        try:
            async with self._limiter:
                await self._read_by_offset(span, text_by_key)
            if any(each.key not in text_by_key for each in span.locations):
                # A page takes several times its size to decode.
                async with self._page_lock:
                    await self._read_by_key(span, text_by_key)
        except FoxtailbankError as failure:
            fields = LogFields(
                reason=f"{failure.code}: {failure.detail}",
                offset=span.start,
                count=len(span.locations),
            )
            self._logs.write(Event.TEXT_NOT_READ, level=LogLevel.WARNING, fields=fields)
        for location in span.locations:
            self._finish(self._pending_by_key[location.key], text_by_key)

    async def _read_by_offset(
        self, span: TextSpan, text_by_key: dict[str, str]
    ) -> None:
        """Add the texts of a span unless its history has expired."""
        if not any(map(self._is_awaited, span.locations)):
            return
        with contextlib.suppress(HistoryTruncated):
            part = await self._log.read_span(
                start=span.start, size_bytes=span.size_bytes
            )
            self._add(part.records, text_by_key)
            self._count("log", len(part.records))

    async def _read_by_key(self, span: TextSpan, text_by_key: dict[str, str]) -> None:
        """Add the texts of a span that are missing from pages of newest records."""
        for location in sorted(span.locations, key=lambda each: each.key):
            key = location.key
            held = text_by_key.get(key) or self._cache.get(key)
            if held is not None:  # also from the page of another span
                text_by_key[key] = held
            elif self._is_awaited(location):
                page = await self._log.read_newest_from(key)
                self._add(_of_same_submission(key, page), text_by_key)
                self._count("newest", 1)
                if key not in text_by_key:
                    return  # dropped, as then the others are

    def _is_awaited(self, location: TextLocation) -> bool:
        """Return whether a caller still waits, so that a read is not in vain."""
        return self._pending_by_key[location.key].caller_count > 0

    def _add(
        self, records: t.Iterable[KeyedRecord], text_by_key: dict[str, str]
    ) -> None:
        for record in records:
            text = _decode(record)
            if text is not None:
                text_by_key[record.key] = text
                self._cache.put(record.key, text)

    def _finish_in_flight(self) -> None:
        """Give up what an earlier run read when an unexpected error ended it."""
        new_keys = {pending.location.key for pending in self._new}
        for key in self._pending_by_key.keys() - new_keys:
            self._finish(self._pending_by_key[key], {})

    def _finish(self, pending: _PendingText, text_by_key: dict[str, str]) -> None:
        key = pending.location.key
        pending.text = text_by_key.get(key)
        self._pending_by_key.pop(key, None)
        pending.done.set()

    def _count(self, source: str, count: int) -> None:
        if count:
            self._metrics.count(Count.RESULT_TEXTS, reason=source, by=count)


def _decode(record: KeyedRecord) -> str | None:
    """Return the text of a record; None if it was dropped or is damaged."""
    if not record.value:
        return None
    try:
        return record.value.decode()
    except UnicodeDecodeError:
        return None


def _of_same_submission(
    key: str, records: t.Iterable[KeyedRecord]
) -> t.Iterator[KeyedRecord]:
    """Yield the records of a page whose keys begin as a key does."""
    kind, submission, _ = key.split("/", 2)
    prefix = f"{kind}/{submission}/"
    return (record for record in records if record.key.startswith(prefix))
