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
        self._page_lock = anyio.Lock()  # a page takes several times its size to decode

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
        with anyio.move_on_after(timeout_ms / MS_PER_S):
            for pending in pending_texts:
                await pending.done.wait()
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
        return pending

    async def _read_span(self, span: TextSpan) -> None:
        text_by_key: dict[str, str] = {}
        async with self._limiter:
            try:
                await self._fetch(span, text_by_key)
            except FoxtailbankError as failure:
                fields = LogFields(
                    reason=f"{failure.code}: {failure.detail}",
                    offset=span.start,
                    count=len(span.locations),
                )
                self._logs.write(
                    Event.TEXT_NOT_READ, level=LogLevel.WARNING, fields=fields
                )
        for location in span.locations:
            self._finish(self._pending_by_key[location.key], text_by_key)

    async def _fetch(self, span: TextSpan, text_by_key: dict[str, str]) -> None:
        """Add the texts of a span, by their keys where the history has expired."""
        with contextlib.suppress(HistoryTruncated):
            part = await self._log.read_span(
                start=span.start, size_bytes=span.size_bytes
            )
            self._add(part.records, text_by_key)
            self._count("log", len(part.records))
        async with self._page_lock:
            for key in sorted(location.key for location in span.locations):
                if key in text_by_key:
                    continue
                held = self._cache.get(key)  # from the page of another span
                if held is None:
                    page = await self._log.read_newest_from(key)
                    self._add(_of_same_submission(key, page), text_by_key)
                    self._count("newest", 1)
                else:
                    text_by_key[key] = held

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
