"""Replicas of one submission log and an oracle of what they must agree on."""

import base64
import collections
import dataclasses
import json
import math
import types

from fake_texts import CapturedTexts, shown_result
from foxtailbank.clock import ManualClock
from foxtailbank.keyed_log import LogSlice
from foxtailbank.metrics import Metrics
from foxtailbank.submissions.item_recorder import ItemRecorder
from foxtailbank.submissions.item_run import ItemRun
from foxtailbank.submissions.records import (
    AttemptFailed,
    Ended,
    Item,
    ItemEnded,
    Part,
    RecordUnreadable,
    Submitted,
    TakenOver,
    decode,
    encode,
)
from foxtailbank.submissions.retirement import RETENTION_MS, Retirement
from foxtailbank.submissions.submission_table import SubmissionTable
from foxtailbank_platform.store import KeyedTopic, StoreClient
from serving_fakes import make_logs

REPLICA_COUNT = 4
ROUTE_NAMES = ("r", "q")
ITEM_TOKENS = 10
MS_PER_OFFSET = RETENTION_MS // 30
# Callers send a submission again, and VMs wait to append it, for a fraction of the
# retention time.
OFFSETS_PER_NAME_GROUP = 12
OFFSETS_UNTIL_WITHDRAWN = 10


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accepted:
    """An accepted submission as callers see it.

    `key` is the log key that created it; each acceptance of an id has another one.
    """

    key: str
    route: str
    owner: str
    tokens_by_item: dict[str, int]
    generation: int = 0
    results: tuple[tuple[str, bool, str], ...] = ()
    failures_by_item: dict[str, int] = dataclasses.field(default_factory=dict)
    ended: bool = False

    @property
    def waiting_tokens(self):
        listed = {item_id for item_id, _, _ in self.results}
        tokens = sum(n for i, n in self.tokens_by_item.items() if i not in listed)
        return 0 if self.ended else tokens


class Oracle:
    """Accepted submissions at each offset, by records in the order of the log."""

    def __init__(self):
        self.states = [{}]
        self.refused_keys = set()
        self._parts_by_attempt = collections.defaultdict(list)

    def apply(self, stored):
        state = dict(self.states[-1])
        kind, submission_id, _ = stored.key.split("/", 2)
        known = state.get(submission_id)
        if stored.value:
            changed = self._changed(stored, known, state)
            if changed is not None:
                state[submission_id] = changed
        elif kind == "submitted" and known is not None and known.key == stored.key:
            del state[submission_id]
        self.states.append(state)

    def _changed(self, stored, known, state):
        try:
            record = decode(stored.value)
        except RecordUnreadable:
            return None
        if isinstance(record, Part):
            attempt = (record.submission_id, record.attempt)
            self._parts_by_attempt[attempt] += record.items
        if isinstance(record, Submitted):
            return self._accepted(stored.key, record, known, state)
        if known is None:
            return None
        match record:
            case ItemEnded():
                listed = {item_id for item_id, _, _ in known.results}
                if record.item_id in known.tokens_by_item.keys() - listed:
                    results = (*known.results, shown_result(record))
                    return dataclasses.replace(known, results=results)
            case AttemptFailed():
                failures = dict(known.failures_by_item)
                failures[record.item_id] = failures.get(record.item_id, 0) + 1
                return dataclasses.replace(known, failures_by_item=failures)
            case Ended():
                return dataclasses.replace(known, ended=True)
            case TakenOver(generation=generation, owner=owner):
                if generation == known.generation + 1:
                    return dataclasses.replace(
                        known, generation=generation, owner=owner
                    )
        return None

    def _accepted(self, key, record, known, state):
        attempt = (record.submission_id, record.attempt)
        items = [*self._parts_by_attempt.pop(attempt, ()), *record.items]
        if known is not None:
            return None
        tokens_by_item = {item.item_id: item.tokens for item in items}
        tokens = waiting_tokens(state, record.route) + sum(tokens_by_item.values())
        if record.waiting_limit and tokens > record.waiting_limit:
            self.refused_keys.add(key)
            return None
        return Accepted(
            key=key,
            route=record.route,
            owner=record.owner,
            tokens_by_item=tokens_by_item,
        )


def waiting_tokens(state, route):
    return sum(s.waiting_tokens for s in state.values() if s.route == route)


class CompactedLog:
    """A log and the newest record of each key."""

    def __init__(self):
        self.records = []
        self.newest_by_key = {}
        self.text_by_key = {}
        self.oracle = Oracle()
        self.clock = ManualClock()

    @property
    def end(self):
        return len(self.records)

    def append(self, records):
        for record in records:
            stored = dataclasses.replace(record, offset=self.end)
            self.records.append(stored)
            self.newest_by_key[stored.key] = stored
            if not stored.value:
                del self.newest_by_key[stored.key]
            self.oracle.apply(stored)
            self.clock.advance(MS_PER_OFFSET)


@types.coroutine
def wait_one_step():
    yield


class PagingStore(StoreClient):
    """Returns the newest records in pages and waits for a step before each."""

    def __init__(self, *, log, page_size):
        super().__init__(address="127.0.0.1:9", clock=ManualClock())
        self._log = log
        self._page_size = page_size
        self.last_page_end = 0

    async def call(self, method, path, query, body, wait_ms, *, transfer_ms=0):
        assert (method, path) == ("GET", "log-newest")
        await wait_one_step()
        after = query.get("after", "")
        keys = sorted(key for key in self._log.newest_by_key if key > after)
        page = [self._log.newest_by_key[key] for key in keys[: self._page_size]]
        items = [
            {
                "key": record.key,
                "value": base64.b64encode(record.value).decode(),
                "offset": record.offset,
            }
            for record in page
        ]
        self.last_page_end = self._log.end
        answer = {
            "items": items,
            "has_more": len(keys) > len(page),
            "end": self._log.end,
        }
        return types.SimpleNamespace(status=200, body=json.dumps(answer).encode())


class Reading:
    """A reading of the newest records that goes on one page at a time."""

    def __init__(self, *, log, page_size):
        self.start = log.end
        self.store = PagingStore(log=log, page_size=page_size)
        self._coroutine = KeyedTopic(store=self.store, topic="t").read_newest()
        self._coroutine.send(None)

    def read_page(self):
        """Return all records after the last page, None before it."""
        try:
            self._coroutine.send(None)
        except StopIteration as done:
            return done.value
        return None

    def close(self):
        self._coroutine.close()


class CapturedAppends:
    """Appends of one process that wait to be sent, first in, first out."""

    def __init__(self, log):
        self.waiting = collections.deque()
        self._log = log

    def put(self, records, *, urgent):
        last_end = self._log.end + OFFSETS_UNTIL_WITHDRAWN if urgent else math.inf
        self.waiting.append((records, last_end))

    def put_split(self, records):
        self.put(records, urgent=False)

    def send_first(self):
        """Append the first records unless they were withdrawn."""
        records, last_end = self.waiting.popleft()
        records = records() if callable(records) else records
        if self._log.end <= last_end:
            self._log.append(records)


class Replica:
    """A process: its table and what it writes."""

    def __init__(self, owner_id, log):
        self.owner_id = owner_id
        self.log = log
        self.table = SubmissionTable(logs=make_logs())
        self.appends = CapturedAppends(log)
        self.texts = CapturedTexts(self.appends, log.text_by_key)
        self.recorder = ItemRecorder(
            owner_id=owner_id,
            appends=self.appends,
            texts=self.texts,
            clock=log.clock,
            logs=make_logs(),
            metrics=Metrics(),
        )
        self.retirement = Retirement(
            owner_id=owner_id,
            table=self.table,
            appends=self.appends,
            texts=self.texts,
            logs=make_logs(),
            clock=log.clock,
        )
        self.next_offset = 0
        self.reading = None
        self.exact_from = 0
        self.runs_by_key = {}
        self._taken_over = set()
        self._suffix_count = 0

    def suffix(self):
        self._suffix_count += 1
        return f"{self.owner_id}/{self._suffix_count}"

    def submit(self, submission_id, item_ids, route, limit, part_count):
        if self.table.ledger.get(submission_id) is not None:
            return
        attempt = self.suffix()
        items = [
            Item(item_id=i, target="/", headers=(), body=b"b", tokens=ITEM_TOKENS)
            for i in item_ids
        ]
        records = []
        for number, item in enumerate(items[:part_count]):
            part = Part(submission_id=submission_id, attempt=attempt, items=(item,))
            records.append(encode(part, key_suffix=f"{attempt}/{number}"))
        submitted = Submitted(
            submission_id=submission_id,
            attempt=attempt,
            route=route,
            host="h",
            target="/",
            arrived_wall_ms=self.log.clock.wall_ms(),
            waiting_limit=limit,
            owner=self.owner_id,
            items=tuple(items[part_count:]),
        )
        records.append(encode(submitted, key_suffix=attempt))
        self.appends.put(tuple(records), urgent=True)

    def end(self, submission_id):
        if self.table.ledger.get(submission_id) is not None:
            record = Ended(submission_id=submission_id)
            stored = encode(record, key_suffix=self.suffix())
            self.appends.put((stored,), urgent=True)

    def take_over(self, submission_id):
        submission = self.table.ledger.get(submission_id)
        if submission is None or submission.owner == self.owner_id:
            return
        generation = submission.generation + 1
        if not submission.is_open or (submission_id, generation) in self._taken_over:
            return
        self._taken_over.add((submission_id, generation))
        record = TakenOver(
            submission_id=submission_id, generation=generation, owner=self.owner_id
        )
        stored = encode(record, key_suffix=f"{self.owner_id}/{generation}")
        self.appends.put((stored,), urgent=False)

    def run_item(self, submission_id, item_id, outcome):
        run = self.runs_by_key.get((submission_id, item_id))
        if run is None or run.is_done:
            return
        run.send_count += 1
        if outcome == "failed":
            self.recorder.record_attempt_failure(run)
            return
        run.texts.append(self.suffix())
        if outcome == "progress":
            self.recorder.save_progress(run)
        else:
            completed = outcome == "completed"
            self.recorder.record_end(run, completed=completed, reason=outcome)

    def follow(self, count):
        if self.reading is not None:
            return
        records = self.log.records[self.next_offset : self.next_offset + count]
        self.next_offset += len(records)
        self.table.apply_records(LogSlice(records=tuple(records), end=self.log.end))
        self._sync_runs()

    def start_reading(self, page_size):
        if self.reading is None:
            self.reading = Reading(log=self.log, page_size=page_size)

    def read_page(self):
        newest = self.reading.read_page() if self.reading is not None else None
        if newest is None:
            return
        self.exact_from = self.reading.store.last_page_end
        self.reading = None
        self.table.restore(newest)
        self.next_offset = newest.end
        self._sync_runs()

    def close(self):
        if self.reading is not None:
            self.reading.close()

    def _sync_runs(self):
        wanted = {
            (submission.submission_id, item.item_id): ItemRun(
                submission=submission, item=item, due_ms=0
            )
            for submission in self.table.ledger.all()
            if submission.owner == self.owner_id
            for item in submission.waiting_items()
        }
        self.runs_by_key = {
            key: self.runs_by_key.get(key, run) for key, run in wanted.items()
        }


def visible(submission):
    """Return what the ledger's state of a submission has in common with the oracle."""
    return {
        "route": submission.route,
        "owner": submission.owner,
        "tokens_by_item": {
            i.item_id: i.tokens for i in submission.items_by_id.values()
        },
        "generation": submission.generation,
        "results": tuple(map(shown_result, submission.results)),
        "failures_by_item": submission.failures_by_id,
        "ended": submission.ended,
    }


def expected_view(accepted):
    view = dict(vars(accepted))
    del view["key"]
    return view
